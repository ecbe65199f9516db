//! Health of replicas, inferred from the outcomes of runs.

use std::collections::BTreeMap;

use super::Fleet;
use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;

/// Back-off after a replica's first failure; it doubles with each further one.
const MIN_BACKOFF: Span = Span::from_millis(200);

/// Maximum back-off: a restarted replica is used again within about this time.
const MAX_BACKOFF: Span = Span::from_millis(3_200);

/// Back-off after a replica reported that it is full: about the time in which
/// one of its requests ends.
const FULL_BACKOFF: Span = Span::from_millis(80);

/// A replica is unresponsive if it sent nothing for this time while a run waits
/// as long for its first byte. The longest prompt is prefilled within it.
const UNRESPONSIVE_AFTER: Span = Span::from_millis(1_500);

/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Outcome of a run, as far as it concerns the replica's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The replica responded.
    Answered,
    /// The replica responded with an error of its own.
    Failed,
    /// The replica refused the request because it is full.
    Full,
    /// The replica could not be reached.
    Unreached,
    /// The connection broke, or the response was malformed or another request's.
    Broken,
    /// Another replica has the address, or the replica is draining.
    Gone,
}

/// Health of one replica: back-off state and failure rate.
#[derive(Debug, Default)]
pub(super) struct Health {
    strikes: u32,
    backoff_until: Moment,
    last_received: Moment,
    /// Moving average of the fraction of runs that failed.
    pub(super) failed: f64,
    /// Start times of the runs that wait for their first byte, by run number.
    waiting: BTreeMap<u64, Moment>,
}

impl Health {
    /// Returns whether the replica may get a request. After a failure one request
    /// at a time is let through until one gets a response.
    pub(super) fn open(&self, now: Moment, outstanding: u32) -> bool {
        if now < self.backoff_until || self.dark(now) {
            return false;
        }
        self.strikes == 0 || outstanding == 0
    }

    fn dark(&self, now: Moment) -> bool {
        let Some(oldest) = self.waiting.values().min() else {
            return false;
        };
        now.since(*oldest) > UNRESPONSIVE_AFTER
            && now.since(self.last_received) > UNRESPONSIVE_AFTER
    }

    fn back_off(&mut self, now: Moment) {
        let span = MIN_BACKOFF.0 << self.strikes.min(8);
        self.backoff_until = now.after(Span(span.min(MAX_BACKOFF.0)));
        self.strikes += 1;
    }

    fn count(&mut self, failed: bool) {
        let seen = if failed { 1.0 } else { 0.0 };
        self.failed += OUTCOME_WEIGHT * (seen - self.failed);
    }
}

impl Fleet {
    /// Records that a run was sent and waits for its first byte.
    pub fn await_first_byte(&mut self, now: Moment, name: &ReplicaName, run: u64) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.health.waiting.insert(run, now);
        }
    }

    /// Records that a run no longer waits for its first byte; `bytes` says
    /// whether data came, as opposed to the run's end.
    pub fn record_progress(&mut self, now: Moment, name: &ReplicaName, run: u64, bytes: bool) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.health.waiting.remove(&run);
            if bytes {
                r.health.last_received = now;
            }
        }
    }

    /// Returns whether this VM received nothing from a replica for
    /// `UNRESPONSIVE_AFTER`.
    pub fn is_silent(&self, now: Moment, name: &ReplicaName) -> bool {
        let r = self.replicas.get(name);
        r.is_none_or(|r| now.since(r.health.last_received) > UNRESPONSIVE_AFTER)
    }

    /// Updates a replica's health with the outcome of a run.
    ///
    /// Replicas may crash, become unresponsive, or fail some of their requests
    /// while their health probe passes, so the responses to callers count, not
    /// the probe. Otherwise a replica that refuses at once would end its runs
    /// sooner than any other, appear least loaded and attract all requests.
    pub fn record_outcome(&mut self, now: Moment, name: &ReplicaName, end: RunOutcome) {
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        let h = &mut r.health;
        match end {
            RunOutcome::Answered => {
                h.strikes = 0;
                h.count(false);
            }
            RunOutcome::Failed => {
                h.strikes = 0;
                h.count(true);
            }
            RunOutcome::Full => h.backoff_until = h.backoff_until.max(now.after(FULL_BACKOFF)),
            RunOutcome::Unreached | RunOutcome::Gone => h.back_off(now),
            RunOutcome::Broken => {
                h.count(true);
                h.back_off(now);
            }
        }
    }

    /// Returns the state of a replica for the log.
    pub fn status(&self, now: Moment, name: &ReplicaName) -> &'static str {
        let Some(r) = self.replicas.get(name) else {
            return "unlisted";
        };
        match () {
            () if r.listing.draining => "draining",
            () if r.health.dark(now) => "dark",
            () if now < r.health.backoff_until => "paused",
            () if r.health.strikes > 0 => "on trial",
            () => "live",
        }
    }
}
