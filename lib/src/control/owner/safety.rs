//! When an owner may order, grant and change slots; plain functions over
//! plain state.
//!
//! Made for owners that are paused past their lease, cut off from the platform
//! or dead. The harm prevented: a slot is changed under a request that another
//! owner's grant lets run. `docs/design/0005-ownership.md` has the argument;
//! each limit is explained where it stands.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::Incarnation;
use crate::ids::ReplicaName;
use crate::lease::HeldLease;
use crate::lease::Predecessor;
use crate::pool::Moment;
use crate::pool::Span;

/// How long an owner past its lease grants on a replica after the engine's
/// last word that it has seen no higher token. Four polls; a successor adds it
/// to its wait.
pub(super) const FENCE_MAX_AGE: Span = Span::from_millis(1_000);

/// How recently a majority of peers must have answered for an owner past its
/// lease to go on granting at engines that ignore tokens.
pub const MAJORITY_MAX_AGE: Span = Span::from_millis(2_000);

/// Between the publication of a tenure and its being on every digest that
/// this process sends.
pub(super) const PUBLISH_DELAY: Span = Span::from_millis(100);

/// What the owner knows from outside at one moment.
#[derive(Clone, Debug, Default)]
pub struct ExternalState {
    /// A majority of the configured peers has answered exchanges begun at this
    /// moment or later.
    pub majority: Moment,
    /// Whether the former owner's VM has left the platform's VM list.
    pub former_left: bool,
    /// Entries that have told which grants they hold.
    pub synced: BTreeSet<String>,
}

/// One owner's rules for its pool.
#[derive(Clone, Debug)]
pub struct SafetyRules {
    honours: bool,
    tenure: HeldLease,
    margin: Span,
    quarantine: Span,
    // The incarnation that was fenced, first and last time.
    fenced: BTreeMap<ReplicaName, (Incarnation, Moment, Moment)>,
    told: Option<Moment>,
    open: bool,
}

impl SafetyRules {
    /// Rules for a pool whose engines honour tokens, or ignore them.
    pub fn new(honours: bool, tenure: HeldLease, margin: Span, quarantine: Span) -> Self {
        Self {
            honours,
            tenure,
            margin,
            quarantine,
            fenced: BTreeMap::new(),
            told: None,
            open: false,
        }
    }

    /// The lease was renewed.
    pub fn renew(&mut self, until: Moment) {
        self.tenure.valid_until = until;
    }

    /// The tenure.
    pub fn lease(&self) -> &HeldLease {
        &self.tenure
    }

    /// Whether engines honour tokens here.
    pub fn honours(&self) -> bool {
        self.honours
    }

    /// An engine confirmed, to a question sent at `asked`, that it has seen no
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

    /// Whether the replica must be asked again before it is granted on.
    pub fn needs_fence(
        &self,
        now: Moment,
        replica: &ReplicaName,
        incarnation: Incarnation,
    ) -> bool {
        if !self.honours {
            return false;
        }
        let Some((fenced, _, last)) = self.fenced.get(replica) else {
            return true;
        };
        // Half of the limit, so that a slow answer does not interrupt grants.
        *fenced != incarnation || (self.is_past(now) && now.since(*last).0 > FENCE_MAX_AGE.0 / 2)
    }

    /// Whether the lease is past its end, as this process counts.
    pub fn is_past(&self, now: Moment) -> bool {
        now >= self.tenure.valid_until
    }

    /// Whether to grant or prolong on a replica.
    ///
    /// Within the lease always, once the engine refuses the former owner's
    /// orders. Past it, which takes an outage of the platform, only while no
    /// successor can be about to change slots: engines that honour tokens say
    /// so themselves; for the others a majority of the peers does.
    pub fn may_grant(&self, now: Moment, replica: &ReplicaName, facts: &ExternalState) -> bool {
        if !self.honours {
            return !self.is_past(now) || now <= facts.majority.after(MAJORITY_MAX_AGE);
        }
        let Some((_, _, last)) = self.fenced.get(replica) else {
            return false;
        };
        !self.is_past(now) || now.since(*last) <= FENCE_MAX_AGE
    }

    /// Whether to send an order now; asked immediately before each.
    ///
    /// Engines that honour tokens refuse an old owner's orders themselves. At
    /// the others nothing may be ordered past the lease.
    pub fn may_order(&self, now: Moment) -> bool {
        self.honours || !self.is_past(now)
    }

    /// Whether a slot of this replica may be given up: on an engine that
    /// restarted, and so forgot the fence, a former owner past its lease may
    /// have granted until this one fenced it again.
    pub fn may_evict(&self, now: Moment, replica: &ReplicaName) -> bool {
        if !self.honours || !self.former_may_grant() {
            return true;
        }
        self.fenced
            .get(replica)
            .is_some_and(|(_, first, _)| now >= first.after(self.fence_wait()))
    }

    /// Whether slots may not be changed yet.
    pub fn is_frozen(
        &mut self,
        now: Moment,
        replicas: &BTreeSet<ReplicaName>,
        facts: &ExternalState,
    ) -> bool {
        if self.open {
            return false;
        }
        self.open = self.is_open(now, replicas, facts);
        !self.open
    }

    // Whether an earlier owner may be alive and past its lease.
    fn former_may_grant(&self) -> bool {
        matches!(
            self.tenure.predecessor,
            Predecessor::Lapsed(_) | Predecessor::Unsettled
        )
    }

    fn grant_wait(&self) -> Span {
        Span(self.tenure.predecessor_ttl.0 + self.margin.0)
    }

    fn fence_wait(&self) -> Span {
        Span(FENCE_MAX_AGE.0 + self.grant_wait().0)
    }

    fn is_open(
        &mut self,
        now: Moment,
        replicas: &BTreeSet<ReplicaName>,
        facts: &ExternalState,
    ) -> bool {
        let waited = now >= self.tenure.acquired_at.after(self.grant_wait());
        match &self.tenure.predecessor {
            Predecessor::None => true,
            // Its last grant was sent before it ended.
            Predecessor::Ended | Predecessor::Released(None) => waited,
            Predecessor::Released(Some(entries)) => waited || entries.is_subset(&facts.synced),
            Predecessor::Lapsed(_) | Predecessor::Unsettled if self.honours => {
                // Unreachable replicas get nothing until they are fenced, and
                // then are held by `may_evict`.
                let last = replicas
                    .iter()
                    .filter_map(|r| self.fenced.get(r))
                    .map(|(_, first, _)| *first)
                    .max();
                last.is_some_and(|at| now >= at.after(self.fence_wait()))
            }
            Predecessor::Lapsed(_) if facts.former_left => waited,
            Predecessor::Lapsed(_) | Predecessor::Unsettled => {
                let told = facts.majority >= self.tenure.acquired_at.after(PUBLISH_DELAY);
                if self.told.is_none() && told {
                    self.told = Some(now);
                }
                self.told.is_some_and(|at| now >= at.after(self.quarantine))
            }
        }
    }
}
