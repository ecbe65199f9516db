//! Counts the usage of teams, at the point where responses pass to callers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use banyangauge_proto as wire;

use crate::ids::AdapterVersion;
use crate::ids::TeamName;

/// Usage of one team and adapter version. The counts never decrease.
#[derive(Debug, Default)]
pub struct UsageCounter {
    requests: AtomicU64,
    prompt_tokens: AtomicU64,
    output_tokens: AtomicU64,
    /// Sum of the three counts in the last acknowledged report.
    reported_sum: AtomicU64,
}

impl UsageCounter {
    /// Counts a request, at the first byte that is sent to its caller.
    pub fn add_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds the tokens of a prompt, as counted by the engine.
    pub fn add_prompt_tokens(&self, tokens: u64) {
        self.prompt_tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Adds tokens that were passed to a caller.
    pub fn add_output_tokens(&self, tokens: u64) {
        self.output_tokens.fetch_add(tokens, Ordering::Relaxed);
    }
}

type Key = (TeamName, Option<AdapterVersion>);

/// Usage counters of the process.
#[derive(Debug, Default)]
pub struct Usage {
    counters: Mutex<BTreeMap<Key, Arc<UsageCounter>>>,
}

impl Usage {
    /// Returns the counter of a team and adapter version; `None` stands for calls to
    /// services.
    pub fn counter(&self, team: &TeamName, adapter: Option<&AdapterVersion>) -> Arc<UsageCounter> {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (team.clone(), adapter.cloned());
        counters.entry(key).or_default().clone()
    }

    /// Returns the cumulative counts of all teams.
    ///
    /// ```
    /// use banyangauge::entry::Usage;
    /// let usage = Usage::default();
    /// let team = "laundry".parse().unwrap();
    /// usage.counter(&team, None).add_request();
    /// assert_eq!(usage.counts()[0].requests, 1);
    /// ```
    pub fn counts(&self) -> Vec<wire::UsageCount> {
        self.select(|_| true).counts
    }

    /// Returns the cumulative counts that changed since the last acknowledged report.
    pub fn unreported(&self) -> UsageBatch {
        self.select(|c| c.sum() != c.reported_sum.load(Ordering::Relaxed))
    }

    fn select(&self, wanted: impl Fn(&UsageCounter) -> bool) -> UsageBatch {
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let mut report = UsageBatch::default();
        for ((team, adapter), counter) in counters.iter() {
            if wanted(counter) {
                // The sum is read before the counts, so that it is never higher than
                // what is reported.
                report.sums.push((counter.clone(), counter.sum()));
                report
                    .counts
                    .push(usage_count(team, adapter.as_ref(), counter));
            }
        }
        report
    }

    /// Returns all counts, for a control process that may know none of them.
    pub fn all(&self) -> UsageBatch {
        self.select(|_| true)
    }
}

/// Counts to report, with the sums to record once they are acknowledged.
#[derive(Debug, Default)]
pub struct UsageBatch {
    /// The cumulative counts.
    pub counts: Vec<wire::UsageCount>,
    sums: Vec<(Arc<UsageCounter>, u64)>,
}

impl UsageBatch {
    /// Records that the report was acknowledged.
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
            counter.reported_sum.store(sum, Ordering::Relaxed);
        }
    }
}

impl UsageCounter {
    fn sum(&self) -> u64 {
        let parts = [&self.requests, &self.prompt_tokens, &self.output_tokens];
        parts.iter().map(|p| p.load(Ordering::Relaxed)).sum()
    }
}

fn usage_count(
    team: &TeamName,
    adapter: Option<&AdapterVersion>,
    counter: &UsageCounter,
) -> wire::UsageCount {
    wire::UsageCount {
        team: team.to_string(),
        adapter: adapter.map(|a| a.adapter.to_string()).unwrap_or_default(),
        version: adapter.map_or(0, |a| a.version),
        requests: counter.requests.load(Ordering::Relaxed),
        prompt_tokens: counter.prompt_tokens.load(Ordering::Relaxed),
        output_tokens: counter.output_tokens.load(Ordering::Relaxed),
    }
}
