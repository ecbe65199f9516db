//! Loads ahead of requests, while the weight store is idle.

use super::loads::LOADS_PROBED;
use super::loads::SILENCE;
use super::state::Pool;
use super::types::*;
use crate::ids::AdapterVersion;

/// Requests a second below which an adapter is not loaded ahead.
const LEAST_AHEAD: f64 = 0.03;

/// How many times more what is loaded ahead must be asked for than what goes.
const GAIN_AHEAD: f64 = 3.0;

impl Pool {
    /// Loads what is asked for most of what is loaded nowhere, while nothing
    /// waits for a load.
    ///
    /// Made for an engine that restarts empty and for the time after a shift:
    /// the weight store has some loads to spare, and each adapter that is
    /// back before its next request is a stall less. It pays only if what
    /// comes is asked for much more than what goes; else near equals would
    /// chase each other out, and each such load holds up the next real one.
    pub(super) fn load_ahead(&mut self, now: Moment) {
        if !self.settings.prefetch || self.open.is_empty() {
            return;
        }
        let half = self.half_life();
        let outlook = |a: &AdapterVersion| {
            let e = self.adapters.get(&Some(a.clone()))?;
            let known = e.backoff <= now && e.loading == 0 && e.demand.due(half) > now;
            known.then(|| e.demand.expected_rate(now, half, SILENCE))
        };
        let missed = self.adapters.missed().take(LOADS_PROBED);
        let best = missed.filter_map(|a| Some((outlook(a)?, a)));
        let Some((gain, adapter)) = best.max_by(|a, b| a.0.total_cmp(&b.0)) else {
            return;
        };
        if gain < LEAST_AHEAD {
            return;
        }
        let adapter = adapter.clone();
        let Some((name, evict)) = self.choose_slot(now, &adapter, &self.vacant(now)) else {
            return;
        };
        let loss = evict.as_ref().map_or(0.0, |a| self.worth_of(now, a));
        if gain > loss * GAIN_AHEAD {
            self.order(now, &adapter, &name, evict);
        }
    }
}
