//! Replicas that get no requests for a while.

use super::Fleet;
use super::Replica;
use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;

/// Maximum rest: a replica that asked for more is asked again after it.
const MAX_REST: Span = Span::from_millis(60_000);

/// Divisor of a rest that gives the time over which VMs come back after it, and the maximum
/// of that time.
const SPREAD_DIVISOR: u64 = 10;
const MAX_SPREAD: Span = Span::from_millis(500);

/// Why a replica gets no requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WithheldReason {
    /// Its limit for the requests of all VMs is exhausted.
    Limit,
    /// It turned a request of this VM away and asked for rest.
    Rest,
    /// It is leaving.
    Leaving,
    /// It was gone, and only the copy that the store came back from lists it.
    Unconfirmed,
}

impl WithheldReason {
    /// Name used in logs, for one replica.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Limit => "over_replica_limit",
            Self::Rest => "replica_resting",
            Self::Leaving => "replica_leaving",
            Self::Unconfirmed => "replica_unconfirmed",
        }
    }

    /// Reason code of a refusal: this holds for all replicas that could run the request.
    pub fn refusal(self) -> &'static str {
        match self {
            Self::Limit => "replicas_limited",
            Self::Rest => "replicas_resting",
            Self::Leaving => "replicas_leaving",
            Self::Unconfirmed => "replicas_unconfirmed",
        }
    }
}

/// That a replica gets no requests for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Withheld {
    /// When the replica is considered again.
    pub until: Moment,
    /// When it is expected to accept a request.
    pub ready: Moment,
    /// The reason.
    pub reason: WithheldReason,
}

impl Replica {
    /// Returns why and until when the replica gets no requests, if so.
    pub(super) fn withheld_at(&self, now: Moment) -> Option<Withheld> {
        self.withheld.filter(|w| w.until > now)
    }

    /// Records that the replica wrote its entry.
    pub(super) fn confirm(&mut self) {
        self.withheld = self
            .withheld
            .filter(|w| w.reason != WithheldReason::Unconfirmed);
    }
}

impl Fleet {
    /// Withholds requests from a replica, unless they are withheld for longer already.
    pub fn withhold(&mut self, name: &ReplicaName, withheld: Withheld) {
        if let Some(r) = self.replicas.get_mut(name) {
            let longer = r.withheld.filter(|w| w.until >= withheld.until);
            r.withheld = longer.or(Some(withheld));
        }
    }

    /// Returns why and until when a replica gets no requests, if so.
    pub fn withheld(&self, now: Moment, name: &ReplicaName) -> Option<Withheld> {
        self.replicas.get(name)?.withheld_at(now)
    }

    /// Withholds requests from a replica that asked for rest, and returns until when.
    ///
    /// `seed` differs between VMs, so that they do not all come back at the same time. After
    /// the rest a VM sends one request at a time until one is accepted.
    pub fn begin_rest(&mut self, now: Moment, name: &ReplicaName, rest: Span, seed: u64) -> Moment {
        let rest = rest.min(MAX_REST);
        let spread = (rest.0 / SPREAD_DIVISOR).min(MAX_SPREAD.0);
        let until = now.after(Span(rest.0 + seed % (spread + 1)));
        self.withhold(
            name,
            Withheld {
                until,
                ready: until,
                reason: WithheldReason::Rest,
            },
        );
        if let Some(r) = self.replicas.get_mut(name) {
            r.health.begin_trial();
        }
        until
    }

    /// Records that a replica accepted a request.
    pub fn record_accepted(&mut self, now: Moment, name: &ReplicaName) {
        if let Some(r) = self.replicas.get_mut(name)
            && r.withheld_at(now).is_none()
        {
            r.health.end_trial();
        }
    }
}

/// Returns the replica's state that ends first.
pub(super) fn first_ready<'a>(
    now: Moment,
    replicas: impl Iterator<Item = &'a Replica>,
) -> Option<Withheld> {
    let withheld = replicas.filter_map(|r| r.withheld_at(now));
    withheld.min_by_key(|w| w.ready)
}
