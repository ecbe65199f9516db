//! Slot state: which adapters are loaded where, which are in use and which may
//! be evicted.

use super::adapter::Target;
use super::replica::Replica;
use super::state::Dispatch;
use super::state::Pool;
use super::types::*;
use crate::ids::AdapterVersion;
use crate::ids::ReplicaName;

/// Requests for one adapter that arrive within this interval would have waited
/// for the same load.
const BURST_INTERVAL: Span = Span::from_millis(1_000);

/// Weight in the request rate of each further request of such a burst. Keeping
/// the adapter loaded saves the burst one load; counted in full, a burst of
/// long requests would rank its adapter as high as one that is requested again
/// and again.
const BURST_WEIGHT: f64 = 0.1;

/// How long a slot is retained after a dispatch that did not end with its
/// answer: an engine keeps a broken stream for 5 s, and 1 s is added as a
/// margin.
const RETENTION: Span = Span::from_millis(6_000);

impl Pool {
    /// Returns the configured half-life of request rates, or the default of the
    /// objective, in microseconds.
    pub(super) fn half_life(&self) -> f64 {
        self.settings.half_life_us()
    }

    /// Records a request in the rate of its adapter, unless it is a retry.
    pub(super) fn record_demand(&mut self, now: Moment, a: &Arrival) {
        let half = self.half_life();
        if a.attempt == 0 {
            let demand = &mut self.adapters.entry(&a.adapter).demand;
            let burst = now.since(demand.last_request) < BURST_INTERVAL;
            let weight = if burst { BURST_WEIGHT } else { 1.0 };
            demand.record(now, half, weight);
        }
        if let Some(adapter) = &a.adapter {
            self.reindex(adapter);
        }
    }

    /// Updates the index entries of an adapter.
    pub(super) fn reindex(&mut self, adapter: &AdapterVersion) {
        let half = self.half_life();
        self.adapters.unindex(adapter);
        let replicas = &self.replicas;
        let evictable = |name: &ReplicaName| {
            let r = replicas.get(name);
            r.is_some_and(|r| is_evictable(r, adapter))
        };
        let live = |name: &ReplicaName| replicas.get(name).is_some_and(|r| r.live());
        self.adapters.index(adapter, half, live, evictable);
    }

    /// Adds or removes a replica as holder of an adapter and updates the
    /// indexes.
    fn set_holder(&mut self, name: &ReplicaName, adapter: &AdapterVersion, holds: bool) {
        self.adapters.unindex(adapter);
        let entry = self.adapters.entry(&Some(adapter.clone()));
        match holds {
            true => entry.holders.insert(name.clone()),
            false => entry.holders.remove(name),
        };
        self.reindex(adapter);
    }

    /// Records that a replica holds an adapter.
    pub(super) fn add_loaded(&mut self, now: Moment, name: &ReplicaName, adapter: &AdapterVersion) {
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        r.unconfirmed.remove(adapter);
        if r.loaded.insert(adapter.clone()) {
            self.set_holder(name, adapter, true);
        }
        let entry = self.adapters.entry(&Some(adapter.clone()));
        entry.failures = 0;
        self.update_load_key(now, adapter);
    }

    /// Records that a replica no longer holds an adapter; `unconfirmed` if it
    /// may still occupy a slot.
    pub(super) fn remove_loaded(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        adapter: &AdapterVersion,
        unconfirmed: bool,
    ) {
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        r.unconfirmed.remove(adapter);
        if unconfirmed {
            r.unconfirmed.insert(adapter.clone());
        }
        if r.loaded.remove(adapter) {
            self.set_holder(name, adapter, false);
        }
        self.update_load_key(now, adapter);
    }

    /// Counts a dispatch as a use of its slot. A dispatch granted by an earlier
    /// owner also shows that the adapter is loaded.
    pub(super) fn acquire_slot(&mut self, now: Moment, name: &ReplicaName, target: &Target) {
        let Some(adapter) = target else {
            return;
        };
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        r.acquire(adapter);
        match r.loaded.contains(adapter) || r.unconfirmed.contains(adapter) {
            true => self.reindex(adapter),
            false => self.add_loaded(now, name, adapter),
        }
    }

    /// Ends the use of a slot by a dispatch.
    pub(super) fn release_slot(&mut self, name: &ReplicaName, target: &Target) {
        let Some(adapter) = target else {
            return;
        };
        let freed = self
            .replicas
            .get_mut(name)
            .is_some_and(|r| r.release(adapter));
        if freed {
            self.reindex(adapter);
        }
    }

    /// Retains the slot of a dispatch that may still run in its engine.
    ///
    /// Handles connections that break and callers that disconnect. The engine
    /// keeps such a stream for some seconds, and an eviction would fail a
    /// request that still runs or is resumed.
    pub(super) fn retain_slot(&mut self, now: Moment, ticket: Ticket, run: Dispatch) {
        self.retention_ends.insert((now.after(RETENTION), ticket));
        self.retained.insert(ticket, run);
    }

    /// Releases the slots whose retention has ended.
    pub(super) fn release_retained(&mut self, now: Moment) {
        while let Some((at, _)) = self.retention_ends.first()
            && *at <= now
            && let Some((_, ticket)) = self.retention_ends.pop_first()
        {
            let run = self.retained.remove(&ticket);
            let same = |run: &Dispatch| {
                let r = self.replicas.get(&run.replica);
                r.is_some_and(|r| r.incarnation == run.incarnation)
            };
            if let Some(run) = run.filter(same) {
                self.release_slot(&run.replica, &run.target);
            }
        }
    }
}

/// Returns whether an adapter may be evicted from a replica: the replica is
/// live and nothing uses the adapter. An adapter with a running or granted
/// request is never evicted, as the request would fail.
fn is_evictable(r: &Replica, adapter: &AdapterVersion) -> bool {
    r.live() && !r.in_use.contains_key(adapter)
}
