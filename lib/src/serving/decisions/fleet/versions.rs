//! Which version of an adapter a run may begin on.

use std::collections::BTreeMap;

use super::Fleet;
use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::path::types::AnnouncedVersion;
use crate::serving::path::types::Target;

/// How long after the news of a version its forerunner still serves. Owners
/// load the new one in about a third of a second meanwhile; the promise is
/// seconds longer, and a request may still wait in the replica's queue.
const FORERUNNER_SERVES: Span = Span::from_millis(1_800);

/// The announced versions of each adapter, with the time of the news.
///
/// Made for versions that are announced while an adapter is in use, and again
/// before the last one is everywhere: requests go on where the old version is
/// until the new one can have come, and never begin on it later. Each version
/// counts from its own news: counted from the newest one's, an adapter that is
/// announced every two seconds would serve its first version for ever.
#[derive(Debug, Default)]
pub struct Versions {
    /// Rising; the last of those that may not be ignored any more, and those
    /// after it.
    announced: BTreeMap<Target, BTreeMap<u32, Moment>>,
}

impl Versions {
    /// Takes an announcement; gives whether it is news.
    pub fn announce(&mut self, now: Moment, a: &AnnouncedVersion) -> bool {
        if self.newest(&a.target).is_some_and(|v| v >= a.version) {
            return false;
        }
        let required = self.required(now, &a.target);
        let versions = self.announced.entry(a.target.clone()).or_default();
        versions.retain(|v, _| required.is_none_or(|required| *v >= required));
        versions.insert(a.version, now);
        true
    }

    /// The newest version, if one was announced.
    pub fn newest(&self, target: &Target) -> Option<u32> {
        let versions = self.announced.get(target)?;
        versions.last_key_value().map(|(version, _)| *version)
    }

    /// The version of an adapter that a run must begin on now, or a newer one;
    /// `None` while any may serve. New weights of a base model are taken as
    /// replicas load them.
    pub fn required(&self, now: Moment, target: &Target) -> Option<u32> {
        target.adapter.as_ref()?;
        let mut versions = self.announced.get(target)?.iter().rev();
        let over = versions.find(|(_, at)| now.since(**at) >= FORERUNNER_SERVES);
        over.map(|(version, _)| *version)
    }
}

impl Fleet {
    /// The version that a run there is to begin on: the required one, or the
    /// newer one that the replica holds.
    pub fn expected_version(
        &self,
        now: Moment,
        replica: &ReplicaName,
        target: &Target,
    ) -> Option<u32> {
        let required = self.versions.required(now, target)?;
        let held = self.replicas.get(replica);
        let held = held.and_then(|r| r.holds(now, target));
        Some(required.max(held.unwrap_or_default()))
    }
}
