//! Where a prompt's head was run last.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::types::Moment;
use crate::ids::ReplicaName;

/// Prefixes remembered; the engines' caches hold fewer.
const MOST_KEPT: usize = 16_384;

/// Remembers where each prefix ran last; the oldest is forgotten first.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    places: BTreeMap<u64, (Moment, ReplicaName)>,
    ages: BTreeSet<(Moment, u64)>,
}

impl Prefixes {
    pub(super) fn place(&self, prefix: u64) -> Option<&ReplicaName> {
        self.places.get(&prefix).map(|(_, name)| name)
    }

    /// Notes where a prefix runs; 0 is none.
    pub(super) fn note(&mut self, now: Moment, prefix: u64, name: &ReplicaName) {
        if prefix == 0 {
            return;
        }
        if let Some((old, _)) = self.places.insert(prefix, (now, name.clone())) {
            self.ages.remove(&(old, prefix));
        }
        self.ages.insert((now, prefix));
        if self.ages.len() > MOST_KEPT
            && let Some((_, oldest)) = self.ages.pop_first()
        {
            self.places.remove(&oldest);
        }
    }

    /// The replica's cache is empty again.
    pub(super) fn forget(&mut self, name: &ReplicaName) {
        let places = &mut self.places;
        places.retain(|_, (_, place)| place != name);
        self.ages.retain(|(_, prefix)| places.contains_key(prefix));
    }
}
