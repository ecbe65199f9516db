//! Poison requests: requests suspected or known to crash their upstream.

use std::collections::BTreeMap;

use super::types::Moment;
use super::types::Span;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::ReplicaName;

/// How long a request stays suspected if it is neither cleared nor blocked:
/// longer than the retries of a caller last, and short enough that a harmless
/// request is not delayed by isolation for long.
const SUSPICION_TTL: Span = Span::from_millis(120_000);

/// Maximum number of suspected and of blocked fingerprints, so that a flood of
/// them cannot exhaust memory. Expired ones are dropped first, then any.
const MAX_FINGERPRINTS: usize = 8_192;

/// A request suspected of crashing its upstream.
#[derive(Debug)]
struct Suspect {
    until: Moment,
    /// Replica and incarnation of the last crash.
    replica: ReplicaName,
    incarnation: Incarnation,
    /// Number of distinct upstream crashes during which the request ran.
    strikes: u32,
}

/// Tracks requests that may crash their upstream.
///
/// Handles a single request that crashes each engine that runs it and is
/// retried by its caller. If it were not blocked, each try would also fail the
/// other requests of its batch.
#[derive(Debug, Default)]
pub(super) struct PoisonTracker {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When the block of each request ends.
    blocked: BTreeMap<Fingerprint, Moment>,
}

impl PoisonTracker {
    /// Records that a request ran at a replica that broke. Repeated breaks of
    /// one incarnation count once.
    pub(super) fn add_suspect(
        &mut self,
        now: Moment,
        fingerprint: Fingerprint,
        replica: &ReplicaName,
        incarnation: Incarnation,
    ) {
        if self.suspects.len() >= MAX_FINGERPRINTS {
            self.suspects.retain(|_, s| s.until > now);
        }
        if self.suspects.len() >= MAX_FINGERPRINTS {
            self.suspects.pop_first();
        }
        let old = self.suspects.get(&fingerprint);
        let same = old.is_some_and(|s| s.replica == *replica && s.incarnation == incarnation);
        let before = old.filter(|s| s.until > now).map_or(0, |s| s.strikes);
        let suspect = Suspect {
            until: now.after(SUSPICION_TTL),
            replica: replica.clone(),
            incarnation,
            strikes: before + u32::from(!same),
        };
        self.suspects.insert(fingerprint, suspect);
    }

    /// Clears a request that was answered.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
    }

    /// Clears the suspects of an incarnation that was thought to have crashed
    /// but still reports: only connections broke.
    pub(super) fn clear_replica(&mut self, replica: &ReplicaName, incarnation: Incarnation) {
        self.suspects
            .retain(|_, s| s.replica != *replica || s.incarnation != incarnation);
    }

    /// Returns whether a request is suspected with at least `strikes` crashes.
    pub(super) fn is_suspect(&self, now: Moment, fingerprint: Fingerprint, strikes: u32) -> bool {
        let s = self.suspects.get(&fingerprint);
        s.is_some_and(|s| s.until > now && s.strikes >= strikes)
    }

    /// Blocks a request until `until`.
    pub(super) fn block(&mut self, now: Moment, fingerprint: Fingerprint, until: Moment) {
        if self.blocked.len() >= MAX_FINGERPRINTS {
            self.blocked.retain(|_, end| *end > now);
        }
        if self.blocked.len() >= MAX_FINGERPRINTS {
            self.blocked.pop_first();
        }
        self.suspects.remove(&fingerprint);
        let end = self.blocked.entry(fingerprint).or_insert(until);
        *end = until.max(*end);
    }

    /// Returns how long a request stays blocked, or `None` if it is not.
    pub(super) fn blocked_for(&self, now: Moment, fingerprint: Fingerprint) -> Option<Span> {
        let end = self.blocked.get(&fingerprint)?;
        (*end > now).then(|| end.since(now))
    }
}
