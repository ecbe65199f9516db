//! Where a prompt's head was run last.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::types::Moment;
use crate::ids::ReplicaName;

/// Prefixes remembered; the engines' caches hold fewer.
const MAX_PREFIXES: usize = 16_384;

/// Remembers where each prefix ran last; the oldest is forgotten first.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    replicas: BTreeMap<u64, (Moment, ReplicaName)>,
    by_age: BTreeSet<(Moment, u64)>,
}

impl Prefixes {
    pub(super) fn last_replica(&self, prefix: u64) -> Option<&ReplicaName> {
        self.replicas.get(&prefix).map(|(_, name)| name)
    }

    /// Notes where a prefix runs; 0 is none.
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

    /// The replica's cache is empty again.
    pub(super) fn forget_replica(&mut self, name: &ReplicaName) {
        let replicas = &mut self.replicas;
        replicas.retain(|_, (_, replica)| replica != name);
        self.by_age
            .retain(|(_, prefix)| replicas.contains_key(prefix));
    }
}
