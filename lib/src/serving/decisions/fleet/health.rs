//! Health of replicas, inferred from the outcomes of runs.

use std::collections::BTreeMap;

use super::Fleet;
use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::path::types::Instance;

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

/// How long a replica gets no requests that does not answer a check. While it is silent it is
/// checked again sooner.
const UNANSWERED_BACKOFF: Span = Span::from_millis(1_200);

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
    /// Back-offs since the replica last responded.
    consecutive_failures: u32,
    backoff_until: Moment,
    last_received: Moment,
    /// Moving average of the fraction of runs that failed.
    pub(super) failure_rate: f64,
    /// Whether it rested and has accepted no request since.
    on_trial: bool,
    /// Send times of the runs that wait for their first byte, by run number.
    waiting: BTreeMap<u64, Moment>,
}

impl Health {
    /// Returns whether the replica may get a request while this VM has `outstanding`
    /// requests there. After a failure it gets one request at a time until one of
    /// them gets a response.
    pub(super) fn allows_request(&self, now: Moment, outstanding: u32) -> bool {
        if now < self.backoff_until || self.is_unresponsive(now) {
            return false;
        }
        let on_trial = self.on_trial && !self.waiting.is_empty();
        !on_trial && (self.consecutive_failures == 0 || outstanding == 0)
    }

    /// From now on it gets one request at a time until it accepts one.
    pub(super) fn begin_trial(&mut self) {
        self.on_trial = true;
    }

    /// Records that it accepted a request.
    pub(super) fn end_trial(&mut self) {
        self.on_trial = false;
    }

    /// Returns whether a run waits too long for its first byte and the replica has
    /// sent nothing to this VM for as long.
    fn is_unresponsive(&self, now: Moment) -> bool {
        self.is_silent_for(now, UNRESPONSIVE_AFTER)
    }

    /// The same for any time.
    fn is_silent_for(&self, now: Moment, span: Span) -> bool {
        let Some(oldest) = self.waiting.values().min() else {
            return false;
        };
        now.since(*oldest) > span && now.since(self.last_received) > span
    }

    /// Counts a failure, and backs off for `MIN_BACKOFF`, doubled for each consecutive
    /// failure before it, up to `MAX_BACKOFF`.
    fn back_off(&mut self, now: Moment) {
        let span = MIN_BACKOFF.0 << self.consecutive_failures.min(8);
        self.backoff_until = now.after(Span(span.min(MAX_BACKOFF.0)));
        self.consecutive_failures += 1;
    }

    /// Adds an outcome to the moving average of failures.
    fn update_failure_rate(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate += OUTCOME_WEIGHT * (sample - self.failure_rate);
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

    /// Returns whether this VM received nothing from a replica for longer than
    /// `UNRESPONSIVE_AFTER`, or does not know the replica.
    pub fn is_silent(&self, now: Moment, name: &ReplicaName) -> bool {
        let r = self.replicas.get(name);
        r.is_none_or(|r| now.since(r.health.last_received) > UNRESPONSIVE_AFTER)
    }

    /// Returns the replicas from which this VM has received nothing for `span`, while a run
    /// waits as long for its first byte.
    pub fn silent_replicas(&self, now: Moment, span: Span) -> impl Iterator<Item = &ReplicaName> {
        let all = self.replicas.iter();
        let silent = all.filter(move |(_, r)| r.health.is_silent_for(now, span));
        silent.map(|(name, _)| name)
    }

    /// Updates a replica's health with the outcome of a run.
    ///
    /// Replicas may crash, become unresponsive, or fail some of their requests
    /// while their health probe passes, so the responses to callers count, not
    /// the probe. Otherwise a replica that refuses at once would end its runs
    /// sooner than any other, appear least loaded and attract all requests.
    pub fn record_outcome(&mut self, now: Moment, name: &ReplicaName, outcome: RunOutcome) {
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        let health = &mut r.health;
        match outcome {
            RunOutcome::Answered => {
                health.consecutive_failures = 0;
                health.update_failure_rate(false);
            }
            RunOutcome::Failed => {
                health.consecutive_failures = 0;
                health.update_failure_rate(true);
            }
            RunOutcome::Full => {
                health.backoff_until = health.backoff_until.max(now.after(FULL_BACKOFF))
            }
            RunOutcome::Unreached | RunOutcome::Gone => health.back_off(now),
            RunOutcome::Broken => {
                health.update_failure_rate(true);
                health.back_off(now);
            }
        }
    }

    /// Records whether a replica answers a check of whether it is alive.
    pub fn record_check(&mut self, now: Moment, replica: &Instance, answers: bool) {
        let r = self.replicas.get_mut(&replica.name);
        let Some(r) = r.filter(|r| r.listing.instance() == *replica) else {
            return;
        };
        let until = &mut r.health.backoff_until;
        *until = match answers {
            true => now.min(*until),
            false => now.after(UNANSWERED_BACKOFF).max(*until),
        };
    }

    /// Returns the state of a replica for the log.
    ///
    /// Operators read these texts in the log, so they stay the same when a field or
    /// method is renamed.
    pub fn status(&self, now: Moment, name: &ReplicaName) -> &'static str {
        let Some(r) = self.replicas.get(name) else {
            return "unlisted";
        };
        match () {
            () if r.listing.draining => "draining",
            () if r.health.is_unresponsive(now) => "dark",
            () if r.withheld_at(now).is_some() => "withheld",
            () if now < r.health.backoff_until => "paused",
            () if r.health.consecutive_failures > 0 || r.health.on_trial => "on trial",
            () => "live",
        }
    }
}
