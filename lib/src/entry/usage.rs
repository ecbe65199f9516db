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
pub struct UsageCounter {
    requests: AtomicU64,
    prompt: AtomicU64,
    output: AtomicU64,
    /// The sum of the three when they were last reported.
    told: AtomicU64,
}

impl UsageCounter {
    /// Counts a request, at the first byte that its caller gets.
    pub fn add_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the tokens of a prompt, as the engine tells them.
    pub fn add_prompt_tokens(&self, tokens: u64) {
        self.prompt.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Counts tokens that were passed on.
    pub fn add_output_tokens(&self, tokens: u64) {
        self.output.fetch_add(tokens, Ordering::Relaxed);
    }
}

type Key = (TeamName, Option<AdapterVersion>);

/// All counters of the process.
#[derive(Debug, Default)]
pub struct Usage {
    counters: Mutex<BTreeMap<Key, Arc<UsageCounter>>>,
}

impl Usage {
    /// The counter of a team and what it uses; `None` is plain calls.
    pub fn counter(&self, team: &TeamName, adapter: Option<&AdapterVersion>) -> Arc<UsageCounter> {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (team.clone(), adapter.cloned());
        counters.entry(key).or_default().clone()
    }

    /// Cumulative counts of all.
    ///
    /// ```
    /// use banyangauge::entry::Usage;
    /// let usage = Usage::default();
    /// let team = "laundry".parse().unwrap();
    /// usage.counter(&team, None).add_request();
    /// assert_eq!(usage.counts()[0].requests, 1);
    /// ```
    pub fn counts(&self) -> Vec<wire::UsageCount> {
        self.pick(|_| true).counts
    }

    /// Cumulative counts of those that rose since they were last told.
    pub fn unreported(&self) -> UsageBatch {
        self.pick(|c| c.sum() != c.told.load(Ordering::Relaxed))
    }

    fn pick(&self, wanted: impl Fn(&UsageCounter) -> bool) -> UsageBatch {
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let mut report = UsageBatch::default();
        for ((team, adapter), counter) in counters.iter() {
            if wanted(counter) {
                // Read before the counts, so that it is never too high.
                report.sums.push((counter.clone(), counter.sum()));
                report.counts.push(count(team, adapter.as_ref(), counter));
            }
        }
        report
    }

    /// All counters, for a control process that may know none of them.
    pub fn all(&self) -> UsageBatch {
        self.pick(|_| true)
    }
}

/// Counts to be told, and how far they tell.
#[derive(Debug, Default)]
pub struct UsageBatch {
    /// The counts.
    pub counts: Vec<wire::UsageCount>,
    sums: Vec<(Arc<UsageCounter>, u64)>,
}

impl UsageBatch {
    /// Notes that the report was answered.
    ///
    /// ```
    /// use banyangauge::entry::Usage;
    /// let usage = Usage::default();
    /// usage.counter(&"laundry".parse().unwrap(), None).add_request();
    /// usage.unreported().mark_reported();
    /// assert!(usage.unreported().counts.is_empty());
    /// ```
    pub fn mark_reported(self) {
        for (counter, sum) in self.sums {
            counter.told.store(sum, Ordering::Relaxed);
        }
    }
}

impl UsageCounter {
    fn sum(&self) -> u64 {
        let parts = [&self.requests, &self.prompt, &self.output];
        parts.iter().map(|p| p.load(Ordering::Relaxed)).sum()
    }
}

fn count(
    team: &TeamName,
    adapter: Option<&AdapterVersion>,
    counter: &UsageCounter,
) -> wire::UsageCount {
    wire::UsageCount {
        team: team.to_string(),
        adapter: adapter.map(|a| a.adapter.to_string()).unwrap_or_default(),
        version: adapter.map_or(0, |a| a.version),
        requests: counter.requests.load(Ordering::Relaxed),
        prompt_tokens: counter.prompt.load(Ordering::Relaxed),
        output_tokens: counter.output.load(Ordering::Relaxed),
    }
}
