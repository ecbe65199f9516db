//! Replicas that stated that they leave.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::serving::path::types::Instance;

/// Maximum number of leaving replicas that are remembered, more than leave within the time
/// in which a removed entry may return.
const MAX_LEAVING: usize = 1_024;

/// Incarnations that stated that they leave.
///
/// They are remembered beyond the removal of their entries: an entry may lapse and return
/// while the replica still serves what it runs.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    all: BTreeSet<Instance>,
    /// The same in order of insertion.
    order: VecDeque<Instance>,
}

impl Leaving {
    /// Returns whether a replica stated that it leaves.
    pub(super) fn contains(&self, replica: &Instance) -> bool {
        self.all.contains(replica)
    }

    /// Adds a replica, in place of the oldest one if there are too many.
    pub(super) fn insert(&mut self, replica: Instance) {
        if !self.all.insert(replica.clone()) {
            return;
        }
        self.order.push_back(replica);
        if self.order.len() > MAX_LEAVING
            && let Some(oldest) = self.order.pop_front()
        {
            self.all.remove(&oldest);
        }
    }
}
