//! Which version of an adapter a run may begin on.

use std::collections::BTreeMap;

use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::model::Announced;
use crate::serving::model::Target;

/// How long after the news of a version its forerunner still serves. Owners
/// load the new one in about a third of a second meanwhile; the promise is
/// seconds longer, and a request may still wait in the replica's queue.
const FORERUNNER_SERVES: Span = Span::from_millis(1_800);

/// The newest announced version of each adapter.
///
/// Made for versions that are announced while an adapter is in use, and again
/// before the last one is everywhere: requests go on where the old version is
/// until the new one can have come, and never begin on it later.
#[derive(Debug, Default)]
pub struct Versions {
    newest: BTreeMap<Target, (u32, Moment)>,
}

impl Versions {
    /// Takes an announcement; gives whether it is news.
    pub fn announce(&mut self, now: Moment, a: &Announced) -> bool {
        let old = self.newest.get(&a.target);
        if old.is_some_and(|(version, _)| *version >= a.version) {
            return false;
        }
        self.newest.insert(a.target.clone(), (a.version, now));
        true
    }

    /// The newest version, if one was announced.
    pub fn newest(&self, target: &Target) -> Option<u32> {
        self.newest.get(target).map(|(version, _)| *version)
    }

    /// The version of an adapter that a run must begin on now; `None` while an
    /// older one may serve as well. New weights of a base model are taken as
    /// replicas load them.
    pub fn required(&self, now: Moment, target: &Target) -> Option<u32> {
        target.adapter.as_ref()?;
        let (version, at) = self.newest.get(target)?;
        (now.since(*at) >= FORERUNNER_SERVES).then_some(*version)
    }
}
