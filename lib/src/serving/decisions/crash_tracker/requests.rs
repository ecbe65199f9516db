//! Judges which requests crash the replicas that run them.
//!
//! A request is blocked once `MIN_RUNS` runs of it have ended with their replicas and none has been
//! complete since. Neither the order of the crashes nor the number of replicas nor the other
//! requests there matter: copies that are sent at the same time crash replicas at the same time. A
//! sound request whose runs all broke off is refused until its first trial.

use std::collections::BTreeMap;

use super::CrashTracker;
use super::MEMORY;
use super::evidence::BrokenRun;
use super::evidence::Crash;
use super::evidence::SettledCrash;
use super::evidence::Suspect;
use super::feature::Feature;
use crate::pool::Moment;
use crate::pool::Span;

/// Runs that ended with their replicas after which a request is blocked.
const MIN_RUNS: usize = 3;

/// Crashes after which a request that broke a run is not sent again.
const DOUBTFUL_CRASHES: usize = 2;

/// What a VM knows of the crashes of replicas that ran a request, since it was last complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownCrashes {
    /// Replicas that crashed.
    pub crashes: usize,
    /// Runs of the request that broke off there.
    pub runs: usize,
    /// Those in crashes that count already.
    pub settled: usize,
    /// Whether the request is blocked.
    pub blocked: bool,
}

impl CrashTracker {
    /// Returns what is known of crashes on the request with these features; `None` if there were
    /// none. `settle` is that of [`Self::convict`].
    ///
    /// ```
    /// use banyangauge::ids::Fingerprint;
    /// use banyangauge::pool::{Moment, Span};
    /// use banyangauge::serving::{BrokenRun, CrashTracker, Feature, Instance};
    /// let mut tracker = CrashTracker::default();
    /// let features = Feature::of_request(Fingerprint(7), &[]);
    /// let run = BrokenRun { sent: Moment(0), features: features.clone() };
    /// let replica = Instance { name: "i-1".parse().unwrap(), started_ms: 0 };
    /// tracker.accuse(Moment(70_000), &replica, run);
    /// let known = tracker.known_crashes(Moment(80_000), Span::from_millis(1_000), &features);
    /// let known = known.unwrap();
    /// assert_eq!((known.crashes, known.runs, known.settled), (1, 1, 0));
    /// ```
    pub fn known_crashes(
        &self,
        now: Moment,
        settle: Span,
        features: &[Feature],
    ) -> Option<KnownCrashes> {
        let request = *features.iter().find(|f| !f.is_part())?;
        let crashes = self.crashes_of(now, request);
        if crashes == 0 {
            return None;
        }
        let counts = |at: Moment, run: &BrokenRun| {
            now.since(at) < MEMORY
                && run.request() == Some(request)
                && !self.is_cleared(request, at)
        };
        let until = Moment(now.0.saturating_sub(settle.0));
        let all = self.crashes.values().flat_map(Crash::runs);
        let settled = self.crashes.values().filter_map(|c| c.settled(until));
        let settled = settled.map(|c| c.runs.iter().filter(|(at, run)| counts(*at, run)).count());
        Some(KnownCrashes {
            crashes,
            runs: all.filter(|(at, run)| counts(*at, run)).count(),
            settled: settled.sum(),
            blocked: self.blocks.contains(request),
        })
    }

    /// Returns the requests to block, given crashes in the order of their times.
    pub(super) fn find_bad_requests(
        &self,
        crashes: &[SettledCrash<'_>],
    ) -> Vec<(Feature, Suspect)> {
        let mut suspects: BTreeMap<Feature, Suspect> = BTreeMap::new();
        let mut run_position = 0;
        for (position, crash) in crashes.iter().enumerate() {
            let mut last_sent: BTreeMap<Feature, Moment> = BTreeMap::new();
            for (at, run) in &crash.runs {
                run_position += 1;
                let Some(request) = run.request().filter(|r| !self.is_cleared(*r, *at)) else {
                    continue;
                };
                let last = last_sent.entry(request).or_insert(run.sent);
                *last = run.sent.max(*last);
                let suspect = suspects.entry(request).or_default();
                suspect.runs.insert(run_position);
                suspect.requests.insert(request);
            }
            for (request, sent) in last_sent {
                let suspect = suspects.entry(request).or_default();
                suspect.add_crash(position, crash.at, sent);
            }
        }
        let is_bad = |(request, suspect): &(Feature, Suspect)| {
            suspect.runs.len() >= MIN_RUNS && !self.blocks.contains(*request)
        };
        suspects.into_iter().filter(is_bad).collect()
    }

    /// Returns on how many replicas a request ran when they crashed, since it was last complete.
    pub(super) fn crashes_of(&self, now: Moment, request: Feature) -> usize {
        let counts = |crash: &&Crash| {
            crash.runs().any(|(at, run)| {
                now.since(at) < MEMORY
                    && run.request() == Some(request)
                    && !self.is_cleared(request, at)
            })
        };
        self.crashes.values().filter(counts).count()
    }

    /// Returns on how many replicas the request with these features ran when they crashed, since
    /// it was last complete, as far as this VM knows.
    ///
    /// ```
    /// use banyangauge::ids::Fingerprint;
    /// use banyangauge::pool::Moment;
    /// use banyangauge::serving::{BrokenRun, CrashTracker, Feature, Instance};
    /// let mut tracker = CrashTracker::default();
    /// let features = Feature::of_request(Fingerprint(7), &[]);
    /// let run = BrokenRun { sent: Moment(0), features: features.clone() };
    /// let replica = Instance { name: "i-1".parse().unwrap(), started_ms: 0 };
    /// tracker.accuse(Moment(70_000), &replica, run);
    /// assert_eq!(tracker.request_crashes(Moment(80_000), &features), 1);
    /// ```
    pub fn request_crashes(&self, now: Moment, features: &[Feature]) -> usize {
        let request = features.iter().find(|f| !f.is_part());
        request.map_or(0, |request| self.crashes_of(now, *request))
    }

    /// Returns whether too many replicas crashed on a request with these features to send it
    /// again after a broken run.
    pub(super) fn is_doubtful_request(&self, now: Moment, features: &[Feature]) -> bool {
        self.request_crashes(now, features) >= DOUBTFUL_CRASHES
    }
}
