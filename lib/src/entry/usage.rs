//! Counts what each team used, where it passes to the caller.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use banyangauge_proto as wire;

use crate::ids::AdapterVersion;
use crate::ids::TeamName;

/// Counters of one team and adapter version; they only rise.
#[derive(Debug, Default)]
pub struct Counter {
    requests: AtomicU64,
    prompt: AtomicU64,
    output: AtomicU64,
}

impl Counter {
    /// Counts a request, at the first byte that its caller gets.
    pub fn request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the tokens of a prompt, as the engine tells them.
    pub fn prompt(&self, tokens: u64) {
        self.prompt.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Counts tokens that were passed on.
    pub fn output(&self, tokens: u64) {
        self.output.fetch_add(tokens, Ordering::Relaxed);
    }
}

type Key = (TeamName, Option<AdapterVersion>);

/// All counters of the process.
#[derive(Debug, Default)]
pub struct Usage {
    counters: Mutex<BTreeMap<Key, Arc<Counter>>>,
}

impl Usage {
    /// The counter of a team and what it uses; `None` is plain calls.
    pub fn counter(&self, team: &TeamName, adapter: Option<&AdapterVersion>) -> Arc<Counter> {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (team.clone(), adapter.cloned());
        counters.entry(key).or_default().clone()
    }

    /// Cumulative counts, for a report.
    ///
    /// ```
    /// use banyangauge::entry::Usage;
    /// let usage = Usage::default();
    /// let team = "laundry".parse().unwrap();
    /// usage.counter(&team, None).request();
    /// assert_eq!(usage.counts()[0].requests, 1);
    /// ```
    pub fn counts(&self) -> Vec<wire::UsageCount> {
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        counters
            .iter()
            .map(|((team, adapter), c)| wire::UsageCount {
                team: team.to_string(),
                adapter: adapter
                    .as_ref()
                    .map(|a| a.adapter.to_string())
                    .unwrap_or_default(),
                version: adapter.as_ref().map_or(0, |a| a.version),
                requests: c.requests.load(Ordering::Relaxed),
                prompt_tokens: c.prompt.load(Ordering::Relaxed),
                output_tokens: c.output.load(Ordering::Relaxed),
            })
            .collect()
    }
}
