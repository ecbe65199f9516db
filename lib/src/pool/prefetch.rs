//! Adapter loads before requests need them, while the weight store is idle.

use super::loads::MAX_SILENT_INTERVALS;
use super::loads::PROBED_LOADS;
use super::state::Pool;
use super::types::*;
use crate::ids::AdapterVersion;

/// Expected requests per second below which an adapter is not prefetched.
const MIN_PREFETCH_RATE: f64 = 0.03;

/// Minimum ratio of the expected rate of a prefetched adapter to that of the
/// adapter evicted for it.
const MIN_PREFETCH_GAIN: f64 = 3.0;

impl Pool {
    /// Loads the adapter with the highest expected rate that no live replica
    /// holds, while no request waits for a load.
    ///
    /// Handles an engine that restarts empty and the time after a shift of
    /// popularity. The weight store has loads to spare, and each adapter that
    /// is loaded before its next request avoids a stall. Prefetching pays only
    /// if the loaded adapter is requested much more often than the evicted one.
    /// Otherwise adapters of similar rates would evict each other, and each
    /// such load delays the next one that requests wait for.
    pub(super) fn prefetch_adapter(&mut self, now: Moment) {
        if !self.settings.prefetch || self.available.is_empty() {
            return;
        }
        let half = self.half_life();
        let expected = |a: &AdapterVersion| {
            let e = self.adapters.get(&Some(a.clone()))?;
            let eligible =
                e.backoff_until <= now && e.pending_loads == 0 && e.demand.overdue_at(half) > now;
            eligible.then(|| e.demand.expected_rate(now, half, MAX_SILENT_INTERVALS))
        };
        let unloaded = self.adapters.most_requested_unloaded().take(PROBED_LOADS);
        let best = unloaded.filter_map(|a| Some((expected(a)?, a)));
        let Some((gain, adapter)) = best.max_by(|a, b| a.0.total_cmp(&b.0)) else {
            return;
        };
        if gain < MIN_PREFETCH_RATE {
            return;
        }
        let adapter = adapter.clone();
        let Some((name, evict)) = self.choose_slot(now, &adapter, &self.vacancies(now)) else {
            return;
        };
        let loss = evict.as_ref().map_or(0.0, |a| self.slot_value(now, a));
        if gain > loss * MIN_PREFETCH_GAIN {
            self.order_load(now, &adapter, &name, evict);
        }
    }
}
