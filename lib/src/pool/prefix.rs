//! Prefix affinity: the replica that last ran each prompt prefix.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::types::Moment;
use crate::ids::ReplicaName;

/// Maximum number of prefixes remembered; the caches of the engines hold fewer.
const MAX_PREFIXES: usize = 16_384;

/// Maps each prompt prefix to the replica that ran it last; the least recently
/// recorded prefix is dropped first.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    replicas: BTreeMap<u64, (Moment, ReplicaName)>,
    by_age: BTreeSet<(Moment, u64)>,
}

impl Prefixes {
    /// Returns the replica that last ran a prefix.
    pub(super) fn replica(&self, prefix: u64) -> Option<&ReplicaName> {
        self.replicas.get(&prefix).map(|(_, name)| name)
    }

    /// Records the replica that runs a prefix; prefix 0 means none and is
    /// ignored.
    pub(super) fn record(&mut self, now: Moment, prefix: u64, name: &ReplicaName) {
        if prefix == 0 {
            return;
        }
        if let Some((old, _)) = self.replicas.insert(prefix, (now, name.clone())) {
            self.by_age.remove(&(old, prefix));
        }
        self.by_age.insert((now, prefix));
        if self.by_age.len() > MAX_PREFIXES
            && let Some((_, oldest)) = self.by_age.pop_first()
        {
            self.replicas.remove(&oldest);
        }
    }

    /// Drops the prefixes of a replica that restarted with an empty cache.
    pub(super) fn forget_replica(&mut self, name: &ReplicaName) {
        let replicas = &mut self.replicas;
        replicas.retain(|_, (_, replica)| replica != name);
        self.by_age
            .retain(|(_, prefix)| replicas.contains_key(prefix));
    }
}
