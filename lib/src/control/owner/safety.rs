//! When an owner may send orders, issue grants and change slots; no I/O.
//!
//! The rules cover owners that are paused past their lease, partitioned from the
//! platform or crashed. They prevent a slot from being changed under a request
//! that runs on another owner's grant. `docs/design/0005-ownership.md` has the
//! proof.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::Incarnation;
use crate::ids::ReplicaName;
use crate::lease::HeldLease;
use crate::lease::Predecessor;
use crate::pool::Moment;
use crate::pool::Span;

/// How long an owner with an expired lease may grant on a replica after it sent a
/// fence request that the engine confirmed. This is four poll intervals at the default
/// setting. A successor waits this much longer.
pub(super) const FENCE_MAX_AGE: Span = Span::from_millis(1_000);

/// The greatest age of the last answers of a majority of peers at which an owner
/// with an expired lease may grant on engines that ignore tokens.
pub const MAJORITY_MAX_AGE: Span = Span::from_millis(2_000);

/// The time from acquiring a lease until every digest that this process sends
/// contains it.
pub(super) const PUBLISH_DELAY: Span = Span::from_millis(100);

/// A snapshot of the state outside the owner that its rules depend on.
#[derive(Clone, Debug, Default)]
pub struct ExternalState {
    /// The latest time such that this process has completed heartbeat exchanges with a
    /// majority, itself included, that began then or later.
    pub majority_contact: Moment,
    /// Whether the previous owner's VM has left the platform's VM list.
    pub predecessor_left: bool,
    /// Entries that have reported the grants they hold to this owner.
    pub synced: BTreeSet<String>,
}

/// The safety rules of one owner.
#[derive(Clone, Debug)]
pub struct SafetyRules {
    // Whether the pool's engines honour fencing tokens.
    honours_token: bool,
    lease: HeldLease,
    margin: Span,
    quarantine: Span,
    // The fenced incarnation of each replica, and when its first and its last
    // confirmation were requested.
    fenced: BTreeMap<ReplicaName, (Incarnation, Moment, Moment)>,
    // When this owner found that a majority of the peers knows its lease.
    announced: Option<Moment>,
    unfrozen: bool,
}

impl SafetyRules {
    /// Creates the rules for a pool whose engines honour or ignore fencing tokens.
    pub fn new(honours_token: bool, lease: HeldLease, margin: Span, quarantine: Span) -> Self {
        Self {
            honours_token,
            lease,
            margin,
            quarantine,
            fenced: BTreeMap::new(),
            announced: None,
            unfrozen: false,
        }
    }

    /// Records a renewal of the lease.
    pub fn renew(&mut self, valid_until: Moment) {
        self.lease.valid_until = valid_until;
    }

    /// Returns the lease.
    pub fn lease(&self) -> &HeldLease {
        &self.lease
    }

    /// Returns whether the pool's engines honour fencing tokens.
    pub fn honours_token(&self) -> bool {
        self.honours_token
    }

    /// Records that an engine, asked at `asked`, confirmed that it has seen no
    /// higher token.
    pub fn confirm(&mut self, asked: Moment, replica: &ReplicaName, incarnation: Incarnation) {
        let fence = self
            .fenced
            .entry(replica.clone())
            .or_insert((incarnation, asked, asked));
        if fence.0 != incarnation {
            *fence = (incarnation, asked, asked);
        }
        fence.2 = fence.2.max(asked);
    }

    /// Returns whether the replica must confirm the token again before the owner
    /// grants on it.
    pub fn needs_fence(
        &self,
        now: Moment,
        replica: &ReplicaName,
        incarnation: Incarnation,
    ) -> bool {
        if !self.honours_token {
            return false;
        }
        let Some((fenced, _, last)) = self.fenced.get(replica) else {
            return true;
        };
        // Asks at half of the limit, so that a slow answer does not interrupt
        // grants.
        *fenced != incarnation || (self.is_expired(now) && now.since(*last).0 > FENCE_MAX_AGE.0 / 2)
    }

    /// Returns whether the lease has expired by this process's count.
    pub fn is_expired(&self, now: Moment) -> bool {
        now >= self.lease.valid_until
    }

    /// Returns whether a grant on a replica may be issued or renewed.
    ///
    /// Allowed while the lease is valid, on engines that honour tokens once they
    /// refuse the previous owner's orders. After it has expired, which happens
    /// in outages of the platform, allowed only while no successor can be about
    /// to change slots: engines that honour tokens confirm that themselves, for
    /// the others a majority of the peers does.
    pub fn may_grant(&self, now: Moment, replica: &ReplicaName, external: &ExternalState) -> bool {
        if !self.honours_token {
            return !self.is_expired(now)
                || now <= external.majority_contact.after(MAJORITY_MAX_AGE);
        }
        let Some((_, _, last)) = self.fenced.get(replica) else {
            return false;
        };
        !self.is_expired(now) || now.since(*last) <= FENCE_MAX_AGE
    }

    /// Returns whether an order may be sent now.
    ///
    /// Engines that honour tokens refuse an old owner's orders themselves. On
    /// others no order may be sent after the lease has expired.
    pub fn may_order(&self, now: Moment) -> bool {
        self.honours_token || !self.is_expired(now)
    }

    /// Returns whether a slot of this replica may be evicted.
    ///
    /// An engine that restarted has lost the fence, and a previous owner with an
    /// expired lease may have granted on it until this owner fenced it again.
    pub fn may_evict(&self, now: Moment, replica: &ReplicaName) -> bool {
        if !self.honours_token || !self.predecessor_may_grant() {
            return true;
        }
        self.fenced
            .get(replica)
            .is_some_and(|(_, first, _)| now >= first.after(self.fence_wait()))
    }

    /// Returns whether slots must not be changed yet; once false, it stays false.
    pub fn is_frozen(
        &mut self,
        now: Moment,
        replicas: &BTreeSet<ReplicaName>,
        external: &ExternalState,
    ) -> bool {
        if self.unfrozen {
            return false;
        }
        self.unfrozen = self.can_unfreeze(now, replicas, external);
        !self.unfrozen
    }

    // Whether an earlier owner may still be running with an expired lease.
    fn predecessor_may_grant(&self) -> bool {
        matches!(
            self.lease.predecessor,
            Predecessor::Lapsed(_) | Predecessor::Unsettled
        )
    }

    // How long a grant of the previous holder may still be in use after its last
    // renewal.
    fn grant_wait(&self) -> Span {
        Span(self.lease.predecessor_ttl.0 + self.margin.0)
    }

    // The wait after a replica was fenced until no grant that an owner with an
    // expired lease issued on it can be in use: such an owner may grant for
    // `FENCE_MAX_AGE` after its last confirmed fence request, and its last grant may
    // be in use for `grant_wait` after that.
    fn fence_wait(&self) -> Span {
        Span(FENCE_MAX_AGE.0 + self.grant_wait().0)
    }

    // Returns whether no grant of an earlier owner can be in use on a slot that
    // `may_evict` does not protect.
    fn can_unfreeze(
        &mut self,
        now: Moment,
        replicas: &BTreeSet<ReplicaName>,
        external: &ExternalState,
    ) -> bool {
        let waited = now >= self.lease.acquired_at.after(self.grant_wait());
        match &self.lease.predecessor {
            Predecessor::None => true,
            // It sent its last grant before it ended.
            Predecessor::Ended | Predecessor::Released(None) => waited,
            Predecessor::Released(Some(entries)) => waited || entries.is_subset(&external.synced),
            Predecessor::Lapsed(_) | Predecessor::Unsettled if self.honours_token => {
                // Replicas that are not fenced yet get no grants, and after
                // fencing `may_evict` protects their slots.
                let last_fenced = replicas
                    .iter()
                    .filter_map(|r| self.fenced.get(r))
                    .map(|(_, first, _)| *first)
                    .max();
                last_fenced.is_some_and(|at| now >= at.after(self.fence_wait()))
            }
            Predecessor::Lapsed(_) if external.predecessor_left => waited,
            Predecessor::Lapsed(_) | Predecessor::Unsettled => {
                let known =
                    external.majority_contact >= self.lease.acquired_at.after(PUBLISH_DELAY);
                if self.announced.is_none() && known {
                    self.announced = Some(now);
                }
                self.announced
                    .is_some_and(|at| now >= at.after(self.quarantine))
            }
        }
    }
}
