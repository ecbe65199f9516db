//! Replicas that get no requests for a while, at their own wish.

use super::Fleet;
use super::Replica;
use crate::ids::ReplicaName;
use crate::pool::Moment;

/// Why a replica gets no requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WithheldReason {
    /// Its limit for the requests of all VMs is exhausted.
    Limit,
    /// It is leaving.
    Leaving,
}

impl WithheldReason {
    /// Name used in logs, for one replica.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Limit => "over_replica_limit",
            Self::Leaving => "replica_leaving",
        }
    }

    /// Reason code of a refusal: this holds for all replicas that could run the request.
    pub fn refusal(self) -> &'static str {
        match self {
            Self::Limit => "replicas_limited",
            Self::Leaving => "replicas_leaving",
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
}

impl Fleet {
    /// Withholds requests from a replica.
    pub fn withhold(&mut self, name: &ReplicaName, withheld: Withheld) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.withheld = Some(withheld);
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
