//! Adapters that an engine may still run after the dispatch has ended for us.

use std::collections::BTreeMap;

use crate::ids::AdapterVersion;
use crate::ids::Incarnation;
use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;

/// How long an engine may go on with a request whose connection broke or whose
/// answer was given up: it keeps the stream for 5 s; the rest is for the time
/// that the release took to get here.
const KEPT: Span = Span::from_millis(6_000);

/// Adapters that may not be unloaded yet.
///
/// Made for broken, cancelled and crossed answers: the entry is done with the
/// request, the engine is not. The harm prevented is an eviction under it.
#[derive(Clone, Debug, Default)]
pub struct Pins {
    pins: BTreeMap<(ReplicaName, AdapterVersion), (Incarnation, Moment)>,
}

impl Pins {
    /// A dispatch ended without the engine's word that it is done.
    pub fn pin(
        &mut self,
        now: Moment,
        replica: &ReplicaName,
        incarnation: Incarnation,
        adapter: &AdapterVersion,
    ) {
        self.pins.retain(|_, (_, until)| now < *until);
        let key = (replica.clone(), adapter.clone());
        self.pins.insert(key, (incarnation, now.after(KEPT)));
    }

    /// How long an unload has to wait. An engine that restarted runs nothing.
    pub fn wait(
        &self,
        now: Moment,
        replica: &ReplicaName,
        incarnation: Incarnation,
        adapter: &AdapterVersion,
    ) -> Span {
        match self.pins.get(&(replica.clone(), adapter.clone())) {
            Some((pinned, until)) if *pinned == incarnation => until.since(now),
            _ => Span(0),
        }
    }
}
