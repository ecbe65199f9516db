//! Counts of what became of the requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

use super::client::Verdict;
use super::histories::Histories;
use super::profile::Work;

/// Findings that are named in full; the rest is only counted.
const FINDINGS_MOST: usize = 10;

/// The longest latency that is told apart, in microseconds.
const LATENCY_MOST_US: u64 = 600_000_000;

/// Latencies in microseconds.
#[derive(Debug)]
struct Latency(Histogram<u64>);

impl Default for Latency {
    fn default() -> Self {
        // Saturating records need a fixed range.
        #[expect(clippy::unwrap_used, reason = "constant arguments")]
        Self(Histogram::new_with_bounds(1, LATENCY_MOST_US, 3).unwrap())
    }
}

impl Latency {
    fn record(&mut self, span: Duration) {
        self.0.saturating_record(span.as_micros() as u64);
    }

    fn ms(&self, percentile: f64) -> f64 {
        self.0.value_at_percentile(percentile) as f64 / 1_000.0
    }

    fn json(&self) -> Value {
        json!({"count": self.0.len(), "p50_ms": self.ms(50.0), "p99_ms": self.ms(99.0)})
    }
}

/// What became of the requests so far.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) requests: u64,
    /// Due, and not sent, because too many were in flight.
    pub(super) skipped: u64,
    answered: u64,
    wrong: u64,
    lost: u64,
    doubled: u64,
    /// Refused as not run, and yet it ran.
    ran_refused: u64,
    evicted: u64,
    crashes: u64,
    refused: BTreeMap<String, u64>,
    unknown: BTreeMap<String, u64>,
    refused_once: BTreeSet<String>,
    total: Latency,
    by_kind: BTreeMap<&'static str, Latency>,
    first: BTreeMap<&'static str, Latency>,
    findings: Vec<String>,
}

impl Tally {
    /// Counts one request.
    pub(super) fn add(
        &mut self,
        work: &Work,
        verdict: Verdict,
        first: Option<Duration>,
        total: Duration,
    ) {
        match verdict {
            Verdict::Answered => {
                self.answered += 1;
                self.total.record(total);
                self.by_kind.entry(work.kind()).or_default().record(total);
                if let Some(first) = first {
                    self.first.entry(work.kind()).or_default().record(first);
                }
            }
            Verdict::Refused(code) => {
                *self.refused.entry(code).or_default() += 1;
                if let Work::Call {
                    once: Some(once), ..
                } = work
                {
                    self.refused_once.insert(once.clone());
                }
            }
            Verdict::Unknown(code) => *self.unknown.entry(code).or_default() += 1,
            Verdict::Wrong(what) => {
                self.wrong += 1;
                self.find(format!("wrong: {what}"));
            }
            Verdict::Unreachable(why) | Verdict::Lost(why) => {
                self.lost += 1;
                self.find(format!("lost ({}): {why}", work.kind()));
            }
        }
    }

    fn find(&mut self, what: String) {
        if self.findings.len() < FINDINGS_MOST {
            eprintln!("      {what}");
            self.findings.push(what);
        }
    }

    /// Adds what the stand-ins' histories tell.
    pub(super) fn settle(&mut self, histories: &Histories) {
        self.doubled = histories.once.values().filter(|n| **n > 1).count() as u64;
        self.evicted = histories.evicted;
        self.crashes = histories.crashes;
        let refused = std::mem::take(&mut self.refused_once);
        for once in &refused {
            // The system may join the caller's key with its team.
            let ran = |name: &String| name == once || name.ends_with(&format!("/{once}"));
            if histories.once.keys().any(ran) {
                self.ran_refused += 1;
                self.find(format!("refused as not run, and it ran: {once}"));
            }
        }
    }

    /// Whether nothing was wrong, lost or doubled, or ran though refused.
    pub(super) fn is_clean(&self) -> bool {
        self.wrong + self.lost + self.doubled + self.ran_refused == 0
    }

    /// A line while the load goes on.
    pub(super) fn progress(&self) -> String {
        format!(
            "requests={} answered={} refused={} unknown={} wrong={} lost={}",
            self.requests,
            self.answered,
            sum(&self.refused),
            sum(&self.unknown),
            self.wrong,
            self.lost
        )
    }

    /// Why requests were refused or their outcome is unknown; empty when none.
    pub(super) fn reasons(&self) -> String {
        let of = |name: &str, counts: &BTreeMap<String, u64>| -> String {
            let parts = counts.iter().map(|(code, n)| format!(" {code}={n}"));
            match counts.is_empty() {
                true => String::new(),
                false => format!("{name}:{}\n", parts.collect::<String>()),
            }
        };
        of("refused", &self.refused) + &of("unknown", &self.unknown)
    }

    /// The final line.
    pub(super) fn line(&self) -> String {
        format!(
            "load: requests={} answered={} refused={} unknown={} wrong_adapter={} lost={} \
             doubled={} p50_ms={:.1} p99_ms={:.1}",
            self.requests,
            self.answered,
            sum(&self.refused),
            sum(&self.unknown),
            self.wrong,
            self.lost,
            self.doubled,
            self.total.ms(50.0),
            self.total.ms(99.0)
        )
    }

    /// The whole report.
    pub(super) fn json(&self, teams: &str) -> Value {
        let of = |map: &BTreeMap<&'static str, Latency>| -> BTreeMap<&'static str, Value> {
            map.iter().map(|(k, l)| (*k, l.json())).collect()
        };
        json!({
            "requests": self.requests, "skipped": self.skipped, "answered": self.answered,
            "refused": self.refused, "unknown": self.unknown, "wrong_adapter": self.wrong,
            "lost": self.lost, "doubled": self.doubled, "ran_refused": self.ran_refused,
            "evicted_in_use": self.evicted, "crashes": self.crashes,
            "p50_ms": self.total.ms(50.0), "p99_ms": self.total.ms(99.0),
            "by_kind": of(&self.by_kind), "first_byte": of(&self.first),
            "findings": self.findings, "teams": teams,
        })
    }
}

fn sum(counts: &BTreeMap<String, u64>) -> u64 {
    counts.values().sum()
}
