//! Slot selection: where an adapter is loaded, and which adapter is evicted for
//! it.

use super::loads::MAX_SILENT_INTERVALS;
use super::replica::Replica;
use super::state::Pool;
use super::types::*;
use crate::ids::AdapterVersion;
use crate::ids::ReplicaName;

/// Candidate slots taken from each index when a slot is chosen for eviction.
const PROBED_SLOTS: usize = 8;

/// Maximum number of entries scanned in each index to find the candidates:
/// others are on replicas with an order in flight, or their adapters have
/// waiting requests.
const SCANNED_SLOTS: usize = 64;

/// Candidates whose value is at most this many times the lowest are compared by
/// their replicas instead: those that accept work first, then by placement cost.
const SIMILAR_VALUE_RATIO: f64 = 2.0;

impl Pool {
    /// Returns the replicas that can load an adapter without giving up a loaded
    /// one, with the adapter to evict first, if any.
    ///
    /// Replicas with a vacant slot come first: those that accept work before
    /// the others, then by placement cost and by number of loaded adapters.
    /// They are followed by replicas without a vacant slot that hold an
    /// unconfirmed adapter which no dispatch uses, see
    /// [`Replica::unconfirmed`]; that adapter is evicted. These are sorted by
    /// the adapter and then in the same way, and are left out while evictions
    /// are frozen. Replicas that cannot take an order now, or are reserved for
    /// isolation or run an isolated request, are left out in any case.
    pub(super) fn vacancies(&self, now: Moment) -> Vec<(ReplicaName, Option<AdapterVersion>)> {
        let all = self.replicas.iter();
        let candidates = all.filter(|(_, r)| r.orderable() && r.isolated.is_none());
        let mut free: Vec<_> = candidates
            .filter_map(|(n, r)| {
                let unconfirmed = r.unconfirmed.iter().find(|g| !r.in_use.contains_key(*g));
                let unconfirmed =
                    unconfirmed.filter(|_| !r.has_vacant_slot() && now >= self.evict_freeze);
                let fit = r.has_vacant_slot() || unconfirmed.is_some();
                fit.then(|| {
                    (
                        unconfirmed,
                        !r.accepts_work(),
                        self.placement_cost(r, n),
                        r.loaded.len(),
                        n,
                    )
                })
            })
            .collect();
        free.sort();
        let found = free.into_iter();
        found.map(|f| (f.4.clone(), f.0.cloned())).collect()
    }

    /// Returns the replica where an adapter should be loaded, and the adapter
    /// to evict there.
    pub(super) fn choose_slot(
        &self,
        now: Moment,
        adapter: &AdapterVersion,
        vacant: &[(ReplicaName, Option<AdapterVersion>)],
    ) -> Option<(ReplicaName, Option<AdapterVersion>)> {
        let fits = |name: &ReplicaName| {
            let r = self.replicas.get(name)?;
            let fit = r.orderable() && r.isolated.is_none() && !r.loaded.contains(adapter);
            fit.then_some(r)
        };
        if let Some(found) = vacant.iter().find(|(name, _)| fits(name).is_some()) {
            return Some(found.clone());
        }
        let target = Some(adapter.clone());
        let urgent = self.adapters.get(&target).is_some_and(|e| e.urgent());
        match now < self.evict_freeze {
            true => None,
            false => self.choose_victim(now, urgent, fits),
        }
    }

    /// Returns the evictable slot with the least value.
    ///
    /// Handles popularity that shifts without warning. The value of a slot is
    /// the expected request rate of its adapter per copy: the decayed rate,
    /// bounded by the time since the last request. Because the value is the
    /// smaller of the two, the candidates are taken from the indexes by rate
    /// and by last use. A slot whose next request is overdue has no value, so
    /// right after a shift the formerly busiest adapters are evicted first.
    ///
    /// An adapter with waiting requests keeps its slot, so that two adapters do
    /// not evict each other in turn. Long work that waits does not keep a slot
    /// from an adapter that short work waits for.
    fn choose_victim<'a>(
        &'a self,
        now: Moment,
        urgent: bool,
        fits: impl Fn(&ReplicaName) -> Option<&'a Replica>,
    ) -> Option<(ReplicaName, Option<AdapterVersion>)> {
        let half = self.half_life();
        let value = |a: &AdapterVersion| {
            let e = self.adapters.get(&Some(a.clone()))?;
            let rate = e.demand.expected_rate(now, half, MAX_SILENT_INTERVALS);
            let free = e.waiting() == 0 || urgent && !e.urgent();
            free.then(|| rate / e.holders.len().max(1) as f64)
        };
        let rate = self.adapters.least_requested().take(SCANNED_SLOTS);
        let silent = self.adapters.least_recent().take(SCANNED_SLOTS);
        let fit = |(name, a): (&ReplicaName, &AdapterVersion)| {
            let r = fits(name)?;
            Some((value(a)?, r, name.clone(), a.clone()))
        };
        let overdue = self.adapters.overdue(now).take(SCANNED_SLOTS);
        if let Some((_, _, name, a)) = overdue.filter_map(fit).next() {
            return Some((name, Some(a)));
        }
        let mut slots: Vec<_> = rate.filter_map(fit).take(PROBED_SLOTS).collect();
        slots.extend(silent.filter_map(fit).take(PROBED_SLOTS));
        let least = slots.iter().map(|s| s.0).min_by(f64::total_cmp)?;
        let near = slots.iter().filter(|s| s.0 <= least * SIMILAR_VALUE_RATIO);
        let best =
            near.min_by_key(|(_, r, name, _)| (!r.accepts_work(), self.placement_cost(r, name)));
        best.map(|(_, _, name, a)| (name.clone(), Some(a.clone())))
    }

    /// Returns the cost of placing one more adapter at a replica, other things
    /// being equal: its load, or where long work is batched, the inverse of its
    /// batch size.
    fn placement_cost(&self, r: &Replica, name: &ReplicaName) -> usize {
        match self.batches_long_work() {
            true => usize::MAX - self.batch_size(name),
            false => r.busy() as usize,
        }
    }

    /// Returns the value of an adapter's slot: its expected request rate per
    /// copy in requests per second, or zero if its next request is overdue.
    pub(super) fn slot_value(&self, now: Moment, adapter: &AdapterVersion) -> f64 {
        let half = self.half_life();
        let entry = self.adapters.get(&Some(adapter.clone()));
        entry.map_or(0.0, |e| match e.demand.overdue_at(half) <= now {
            true => 0.0,
            false => {
                e.demand.expected_rate(now, half, MAX_SILENT_INTERVALS)
                    / e.holders.len().max(1) as f64
            }
        })
    }
}
