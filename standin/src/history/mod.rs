//! What a stand-in saw, for those who check a run afterwards.

use std::collections::VecDeque;
use std::time::Instant;

use serde::Serialize;
use serde::Serializer;

/// Entries that are kept; older ones are dropped and counted.
const ENTRIES_MOST: usize = 400_000;

/// One request that an upstream ran or refused.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Execution {
    /// Its `x-request-id`.
    pub request: String,
    /// `adapter@version`, or the path at a plain service.
    pub model: String,
    /// The first word of its prompt or body, by which a checker knows it again.
    pub call: String,
    /// Its `Idempotency-Key`; empty is none.
    pub key: String,
    /// Milliseconds since the stand-in started.
    pub start_ms: u64,
    /// When it ended; 0 while it runs.
    pub end_ms: u64,
    /// How it ended; `running` until then.
    pub outcome: &'static str,
    /// The incarnation that ran it.
    pub incarnation: u64,
    /// Tokens that were generated.
    pub tokens: u32,
}

/// One order that an engine was given.
#[derive(Clone, Debug, Serialize)]
pub struct Order {
    /// `load`, `unload` or `fence`.
    pub kind: &'static str,
    /// What it is about.
    pub model: String,
    /// The fencing token it carried; 0 is none.
    pub token: u64,
    /// Milliseconds since the stand-in started.
    pub at_ms: u64,
    /// The status it was answered with.
    pub status: u16,
    /// The engine's incarnation.
    pub incarnation: u64,
}

/// The log of a stand-in.
#[derive(Debug, Serialize)]
pub struct History {
    #[serde(rename = "now_ms", serialize_with = "serialize_elapsed")]
    start: Instant,
    /// Entries that were dropped from the front of `requests`.
    dropped: u64,
    requests: VecDeque<Execution>,
    orders: Vec<Order>,
}

fn serialize_elapsed<S: Serializer>(start: &Instant, out: S) -> Result<S::Ok, S::Error> {
    out.serialize_u64(start.elapsed().as_millis() as u64)
}

/// The longest first word that is kept.
const CALL_MOST: usize = 64;

/// The first word of a prompt or body.
///
/// ```
/// assert_eq!(banyangauge_standin::history::first_word("call=7 len=3"), "call=7");
/// ```
pub fn first_word(text: &str) -> String {
    let word = text.split_ascii_whitespace().next().unwrap_or("");
    word.chars().take(CALL_MOST).collect()
}

impl Default for History {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            dropped: 0,
            requests: VecDeque::new(),
            orders: Vec::new(),
        }
    }
}

impl History {
    /// Milliseconds since the stand-in started.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Notes that a request began; gives the number to end it with.
    pub fn begin(&mut self, mut execution: Execution) -> u64 {
        execution.start_ms = self.now_ms();
        execution.outcome = "running";
        if self.requests.len() == ENTRIES_MOST {
            self.requests.pop_front();
            self.dropped += 1;
        }
        self.requests.push_back(execution);
        self.dropped + self.requests.len() as u64 - 1
    }

    /// Notes how the request ended.
    pub fn end(&mut self, number: u64, outcome: &'static str, tokens: u32) {
        let now = self.now_ms();
        let place = number.checked_sub(self.dropped);
        if let Some(entry) = place.and_then(|p| self.requests.get_mut(p as usize)) {
            entry.outcome = outcome;
            entry.end_ms = now;
            entry.tokens = tokens;
        }
    }

    /// Notes an order.
    pub fn order(&mut self, order: Order) {
        self.orders.push(order);
    }
}
