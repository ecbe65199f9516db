//! What ends and silences of runs say of a replica.

use std::collections::BTreeMap;

use super::Fleet;
use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;

/// The pause after a replica's first failure; it doubles with each further one.
const FIRST_PAUSE: Span = Span::from_millis(200);

/// The longest pause: a restarted replica is used again within about that.
const LONGEST_PAUSE: Span = Span::from_millis(3_200);

/// The pause after a replica said that it is full: about the time in which
/// one of its requests ends.
const FULL_PAUSE: Span = Span::from_millis(80);

/// A replica that sent nothing for so long, while a run there waits for its
/// first byte as long, is dark: the longest prompt is read within it.
const SILENCE: Span = Span::from_millis(1_500);

/// Weight of the newest outcome in the part that failed.
const FAILED_WEIGHT: f64 = 0.15;

/// How a run ended, as far as it tells of the replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// It answered.
    Answered,
    /// It answered with a failure of its own.
    Failed,
    /// It refused because it is full.
    Full,
    /// It could not be reached.
    Unreached,
    /// The connection broke, or the answer was another's or spoilt.
    Broken,
    /// It is not this replica any more, or it is leaving.
    Gone,
}

/// What outcomes say of one replica.
#[derive(Debug, Default)]
pub(super) struct Health {
    strikes: u32,
    until: Moment,
    heard: Moment,
    /// The part of its runs that failed lately.
    pub(super) failed: f64,
    /// Runs that wait for their first byte, by number.
    waiting: BTreeMap<u64, Moment>,
}

impl Health {
    /// Whether it may get a request. After a failure one at a time is let
    /// through until one is answered.
    pub(super) fn open(&self, now: Moment, outstanding: u32) -> bool {
        if now < self.until || self.dark(now) {
            return false;
        }
        self.strikes == 0 || outstanding == 0
    }

    fn dark(&self, now: Moment) -> bool {
        let Some(oldest) = self.waiting.values().min() else {
            return false;
        };
        now.since(*oldest) > SILENCE && now.since(self.heard) > SILENCE
    }

    fn pause(&mut self, now: Moment) {
        let span = FIRST_PAUSE.0 << self.strikes.min(8);
        self.until = now.after(Span(span.min(LONGEST_PAUSE.0)));
        self.strikes += 1;
    }

    fn count(&mut self, failed: bool) {
        let seen = if failed { 1.0 } else { 0.0 };
        self.failed += FAILED_WEIGHT * (seen - self.failed);
    }
}

impl Fleet {
    /// A run was sent and waits for its first byte.
    pub fn await_first_byte(&mut self, now: Moment, name: &ReplicaName, run: u64) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.health.waiting.insert(run, now);
        }
    }

    /// Bytes of a run came, or it ended.
    pub fn record_progress(&mut self, now: Moment, name: &ReplicaName, run: u64, bytes: bool) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.health.waiting.remove(&run);
            if bytes {
                r.health.heard = now;
            }
        }
    }

    /// Whether a replica has sent nothing to anybody here for a while.
    pub fn is_silent(&self, now: Moment, name: &ReplicaName) -> bool {
        let r = self.replicas.get(name);
        r.is_none_or(|r| now.since(r.health.heard) > SILENCE)
    }

    /// Learns from the end of a run.
    ///
    /// Made for replicas that crash, go dark, or fail a part of their requests
    /// while their health probe is good: what callers got decides, not the
    /// probe. A replica that refuses at once would otherwise end its runs
    /// sooner than any other, seem the least loaded and draw all requests in.
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
            RunOutcome::Full => h.until = h.until.max(now.after(FULL_PAUSE)),
            RunOutcome::Unreached | RunOutcome::Gone => h.pause(now),
            RunOutcome::Broken => {
                h.count(true);
                h.pause(now);
            }
        }
    }

    /// How a replica is seen, in a word for the log.
    pub fn status(&self, now: Moment, name: &ReplicaName) -> &'static str {
        let Some(r) = self.replicas.get(name) else {
            return "unlisted";
        };
        match () {
            () if r.listing.draining => "draining",
            () if r.health.dark(now) => "dark",
            () if now < r.health.until => "paused",
            () if r.health.strikes > 0 => "on trial",
            () => "live",
        }
    }
}
