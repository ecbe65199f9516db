//! Slots: what is loaded where, what uses it and what may be evicted.

use super::adapter::Target;
use super::replica::Replica;
use super::state::Dispatch;
use super::state::Pool;
use super::types::*;
use crate::ids::AdapterVersion;
use crate::ids::ReplicaName;

/// Requests for one adapter that come closer together than this would have
/// waited for the same load.
const BURST_INTERVAL: Span = Span::from_millis(1_000);

/// What each further one of them counts for. A load that is saved for a group
/// of readings is one load; counted in full, the group would make its adapter
/// look as busy as one that is asked for again and again.
const BURST_WEIGHT: f64 = 0.1;

/// How long a slot is kept after a dispatch that did not end with its answer:
/// the five seconds for which an engine keeps a broken stream, and one more.
const SLOT_RETENTION: Span = Span::from_millis(6_000);

impl Pool {
    /// Half-life of demand, in microseconds.
    pub(super) fn half_life(&self) -> f64 {
        self.settings.half_life_us()
    }

    /// Counts a request for an adapter. A retry is not demand of its own.
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

    /// Keeps the indexes in step with one adapter.
    pub(super) fn reindex(&mut self, adapter: &AdapterVersion) {
        let half = self.half_life();
        self.adapters.unindex(adapter);
        let replicas = &self.replicas;
        let idle = |name: &ReplicaName| {
            let r = replicas.get(name);
            r.is_some_and(|r| evictable(r, adapter))
        };
        let live = |name: &ReplicaName| replicas.get(name).is_some_and(|r| r.live());
        self.adapters.index(adapter, half, live, idle);
    }

    /// Changes holders of an adapter and keeps the indexes in step.
    fn set_holder(&mut self, name: &ReplicaName, adapter: &AdapterVersion, holds: bool) {
        self.adapters.unindex(adapter);
        let entry = self.adapters.entry(&Some(adapter.clone()));
        match holds {
            true => entry.holders.insert(name.clone()),
            false => entry.holders.remove(name),
        };
        self.reindex(adapter);
    }

    /// A replica has an adapter from now on.
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

    /// A replica has an adapter no more; `ghost` when it may still fill a
    /// slot.
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

    /// A dispatch uses a slot; under an earlier owner's grant it tells that
    /// the slot is there.
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

    /// A dispatch no longer uses a slot.
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

    /// Keeps the slot of a dispatch whose engine may not know yet that it is
    /// over.
    ///
    /// Made for connections that break and callers that go away: the engine
    /// keeps such a stream for some seconds, and an eviction would fail a
    /// request that still runs or is resumed.
    pub(super) fn retain_slot(&mut self, now: Moment, ticket: Ticket, run: Dispatch) {
        self.retention_ends
            .insert((now.after(SLOT_RETENTION), ticket));
        self.retained.insert(ticket, run);
    }

    /// Gives up the slots that were kept long enough.
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

/// Whether an adapter's slot may be given up: nothing uses it, at a replica
/// that takes orders. An adapter that a request is using, or has been granted,
/// is never evicted: its requests would fail.
fn evictable(r: &Replica, adapter: &AdapterVersion) -> bool {
    r.live() && !r.in_use.contains_key(adapter)
}
