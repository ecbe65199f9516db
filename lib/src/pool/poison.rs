//! Requests suspected or convicted of crashing their upstream.

use std::collections::BTreeMap;

use super::types::Moment;
use super::types::Span;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::ReplicaName;

/// How long a suspicion holds when nothing settles it: longer than a caller's
/// retries, shorter than what would keep an innocent request slow.
const SUSPICION_TTL: Span = Span::from_millis(120_000);

/// The most fingerprints kept of either kind: those that have ended go first,
/// then any, as a flood of them must not fill the memory.
const MAX_FINGERPRINTS: usize = 8_192;

#[derive(Debug)]
struct Suspect {
    until: Moment,
    replica: ReplicaName,
    incarnation: Incarnation,
    /// How many times it ran where an upstream broke.
    strikes: u32,
}

/// What is known of requests that may crash their upstream.
///
/// Made for the one request that crashes each engine that runs it, sent again
/// by its caller: without verdicts it takes a batch of others down each time.
#[derive(Debug, Default)]
pub(super) struct PoisonTracker {
    suspects: BTreeMap<Fingerprint, Suspect>,
    blocked: BTreeMap<Fingerprint, Moment>,
}

impl PoisonTracker {
    /// It ran where the upstream broke.
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

    /// It was answered, so it does not crash its upstream.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
    }

    /// The replica still runs the incarnation that was thought to have
    /// crashed: only connections broke.
    pub(super) fn clear_replica(&mut self, replica: &ReplicaName, incarnation: Incarnation) {
        self.suspects
            .retain(|_, s| s.replica != *replica || s.incarnation != incarnation);
    }

    /// Whether it ran so many times where an upstream broke.
    pub(super) fn is_suspect(&self, now: Moment, fingerprint: Fingerprint, strikes: u32) -> bool {
        let s = self.suspects.get(&fingerprint);
        s.is_some_and(|s| s.until > now && s.strikes >= strikes)
    }

    /// Refuse it until `until`.
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

    /// How long its verdict still holds.
    pub(super) fn blocked_for(&self, now: Moment, fingerprint: Fingerprint) -> Option<Span> {
        let end = self.blocked.get(&fingerprint)?;
        (*end > now).then(|| end.since(now))
    }
}
