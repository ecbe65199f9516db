//! A bounded memory of replicas.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::serving::path::types::Instance;

/// Maximum number of replicas that are remembered, more than leave within the time in which
/// a removed entry may return.
const MAX_INSTANCES: usize = 1_024;

/// The incarnations of replicas that something was said of last.
///
/// They are remembered beyond the removal of their entries: an entry may lapse and return
/// while the replica still serves what it runs, and a store that came back from an earlier
/// copy lists replicas that are gone.
#[derive(Debug, Default)]
pub(super) struct RecentInstances {
    all: BTreeSet<Instance>,
    /// The same in order of insertion.
    order: VecDeque<Instance>,
}

impl RecentInstances {
    /// Returns whether a replica is remembered.
    pub(super) fn contains(&self, replica: &Instance) -> bool {
        self.all.contains(replica)
    }

    /// Adds a replica, in place of the oldest one if there are too many.
    pub(super) fn insert(&mut self, replica: Instance) {
        if !self.all.insert(replica.clone()) {
            return;
        }
        self.order.push_back(replica);
        if self.order.len() > MAX_INSTANCES
            && let Some(oldest) = self.order.pop_front()
        {
            self.all.remove(&oldest);
        }
    }

    /// Forgets a replica.
    pub(super) fn remove(&mut self, replica: &Instance) {
        if self.all.remove(replica) {
            self.order.retain(|r| r != replica);
        }
    }
}
