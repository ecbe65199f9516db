//! What a stand-in saw, for those who check a run afterwards.

use std::collections::VecDeque;
use std::time::Instant;

use serde::Serialize;

/// Entries that are kept; older ones are dropped and counted.
const ENTRIES_MOST: usize = 400_000;

/// One request that an upstream ran or refused.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Execution {
    /// Its `x-request-id`.
    pub request: String,
    /// `adapter@version`, or the path at a plain service.
    pub model: String,
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
    #[serde(skip)]
    start: Instant,
    /// Entries that were dropped from the front of `requests`.
    dropped: u64,
    requests: VecDeque<Execution>,
    orders: Vec<Order>,
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
