//! Which version of an adapter a run may begin on.

use std::collections::BTreeMap;

use super::Fleet;
use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::path::types::AnnouncedVersion;
use crate::serving::path::types::Target;

/// How long the previous version still serves after a new one is announced.
/// Owners load the new one within about a third of a second. The guaranteed bound
/// on the time after an announcement until no run begins on the previous version
/// is seconds longer than this, as a request may still wait in the replica's queue.
const PREVIOUS_SERVES: Span = Span::from_millis(1_800);

/// The announced versions of each adapter, with the time of each announcement.
///
/// Versions may be announced while an adapter is in use, and again before the
/// last one has been loaded everywhere. Requests continue on the old version
/// until the new one can have been loaded, and never begin on it later. The
/// period starts with each version's own announcement: if it restarted with the
/// newest one, an adapter that is announced every two seconds would serve its
/// first version for ever.
#[derive(Debug, Default)]
pub struct Versions {
    /// In ascending order: the newest version that is already required, and all
    /// after it.
    announced: BTreeMap<Target, BTreeMap<u32, Moment>>,
}

impl Versions {
    /// Records an announcement. Returns whether it is newer than those known.
    pub fn announce(&mut self, now: Moment, announced: &AnnouncedVersion) -> bool {
        if self
            .newest(&announced.target)
            .is_some_and(|v| v >= announced.version)
        {
            return false;
        }
        let required = self.required(now, &announced.target);
        let versions = self.announced.entry(announced.target.clone()).or_default();
        versions.retain(|v, _| required.is_none_or(|required| *v >= required));
        versions.insert(announced.version, now);
        true
    }

    /// Returns the newest announced version, if any.
    pub fn newest(&self, target: &Target) -> Option<u32> {
        let versions = self.announced.get(target)?;
        versions.last_key_value().map(|(version, _)| *version)
    }

    /// Returns the minimum version of an adapter that a run may begin on now;
    /// `None` while any version may serve. Base models have no required version:
    /// replicas serve the weights that they have loaded.
    pub fn required(&self, now: Moment, target: &Target) -> Option<u32> {
        target.adapter.as_ref()?;
        let mut versions = self.announced.get(target)?.iter().rev();
        let required = versions.find(|(_, at)| now.since(**at) >= PREVIOUS_SERVES);
        required.map(|(version, _)| *version)
    }
}

impl Fleet {
    /// Returns the version that a run at a replica should begin on: the required
    /// one, or the newer one that the replica holds.
    pub fn expected_version(
        &self,
        now: Moment,
        replica: &ReplicaName,
        target: &Target,
    ) -> Option<u32> {
        let required = self.versions.required(now, target)?;
        let entry = self.replicas.get(replica);
        let loaded = entry.and_then(|r| r.holds(now, target));
        Some(required.max(loaded.unwrap_or_default()))
    }
}
