//! Where an adapter is loaded, and what gives up its slot.

use super::loads::MAX_SILENT_INTERVALS;
use super::replica::Replica;
use super::state::Pool;
use super::types::*;
use crate::ids::AdapterVersion;
use crate::ids::ReplicaName;

/// Idle slots looked at from each index for the one to evict.
const MAX_SLOTS_PROBED: usize = 8;

/// Idle slots walked over at the most to find these: others are on replicas
/// with an order under way, or wanted.
const MAX_SLOTS_SCANNED: usize = 64;

/// Weighs several candidates of nearly equal demand by where they are.
const SIMILAR_VALUE_RATIO: f64 = 2.0;

impl Pool {
    /// Replicas with a free slot, the least loaded first; then those with a
    /// slot that nothing can use, and what may still fill it.
    pub(super) fn vacant_replicas(
        &self,
        now: Moment,
    ) -> Vec<(ReplicaName, Option<AdapterVersion>)> {
        let all = self.replicas.iter();
        let candidates = all.filter(|(_, r)| r.orderable() && r.isolated.is_none());
        let mut free: Vec<_> = candidates
            .filter_map(|(n, r)| {
                let unconfirmed = r.unconfirmed.iter().find(|g| !r.in_use.contains_key(*g));
                let unconfirmed =
                    unconfirmed.filter(|_| !r.has_vacant_slot() && now >= self.eviction_freeze);
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

    /// Where an adapter should be loaded, and what gives up its slot.
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
        match now < self.eviction_freeze {
            true => None,
            false => self.choose_victim(now, urgent, fits),
        }
    }

    /// The idle slot that is worth the least.
    ///
    /// Made for popularity that shifts without warning. The worth of a slot is
    /// the demand expected for it: the decayed count, but no more than its
    /// silence leaves likely. The least of either index is the least of both.
    /// A slot whose next request is long overdue is worth nothing: right after
    /// a shift those of yesterday's busiest adapters go first.
    /// An adapter for which something waits keeps its slot, so that no two
    /// adapters chase each other out; but long work that waits for its turn
    /// does not keep a slot from someone who stands and waits.
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
        let rate = self.adapters.least_requested().take(MAX_SLOTS_SCANNED);
        let silent = self.adapters.least_recent().take(MAX_SLOTS_SCANNED);
        let fit = |(name, a): (&ReplicaName, &AdapterVersion)| {
            let r = fits(name)?;
            Some((value(a)?, r, name.clone(), a.clone()))
        };
        let overdue = self.adapters.overdue(now).take(MAX_SLOTS_SCANNED);
        if let Some((_, _, name, a)) = overdue.filter_map(fit).next() {
            return Some((name, Some(a)));
        }
        let mut slots: Vec<_> = rate.filter_map(fit).take(MAX_SLOTS_PROBED).collect();
        slots.extend(silent.filter_map(fit).take(MAX_SLOTS_PROBED));
        let least = slots.iter().map(|s| s.0).min_by(f64::total_cmp)?;
        let near = slots.iter().filter(|s| s.0 <= least * SIMILAR_VALUE_RATIO);
        let best =
            near.min_by_key(|(_, r, name, _)| (!r.accepts_work(), self.placement_cost(r, name)));
        best.map(|(_, _, name, a)| (name.clone(), Some(a.clone())))
    }

    /// How little a replica suits one more adapter, others being equal: its
    /// load, or where long work is gathered, how little company there is.
    fn placement_cost(&self, r: &Replica, name: &ReplicaName) -> usize {
        match self.batches_long_work() {
            true => usize::MAX - self.batch_size(name),
            false => r.busy() as usize,
        }
    }

    /// The demand expected for a slot; nothing when it is long overdue.
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
