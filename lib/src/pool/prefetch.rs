//! Loads ahead of requests, while the weight store is idle.

use super::loads::MAX_LOADS_PROBED;
use super::loads::MAX_SILENT_INTERVALS;
use super::state::Pool;
use super::types::*;
use crate::ids::AdapterVersion;

/// Requests a second below which an adapter is not loaded ahead.
const MIN_PREFETCH_RATE: f64 = 0.03;

/// How many times more what is loaded ahead must be asked for than what goes.
const MIN_PREFETCH_GAIN: f64 = 3.0;

impl Pool {
    /// Loads what is asked for most of what is loaded nowhere, while nothing
    /// waits for a load.
    ///
    /// Made for an engine that restarts empty and for the time after a shift:
    /// the weight store has some loads to spare, and each adapter that is
    /// back before its next request is a stall less. It pays only if what
    /// comes is asked for much more than what goes; else near equals would
    /// chase each other out, and each such load holds up the next real one.
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
        let unloaded = self.adapters.hottest_unloaded().take(MAX_LOADS_PROBED);
        let best = unloaded.filter_map(|a| Some((expected(a)?, a)));
        let Some((gain, adapter)) = best.max_by(|a, b| a.0.total_cmp(&b.0)) else {
            return;
        };
        if gain < MIN_PREFETCH_RATE {
            return;
        }
        let adapter = adapter.clone();
        let Some((name, evict)) = self.choose_slot(now, &adapter, &self.vacant_replicas(now))
        else {
            return;
        };
        let loss = evict.as_ref().map_or(0.0, |a| self.slot_value(now, a));
        if gain > loss * MIN_PREFETCH_GAIN {
            self.order_load(now, &adapter, &name, evict);
        }
    }
}
