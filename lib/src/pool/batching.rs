//! Dynamic batching: delays long work until it fills enough of an engine step.

use super::adapter::Adapter;
use super::queue::Lane;
use super::replica::Replica;
use super::replica::percent_of;
use super::state::Pool;
use super::types::*;
use crate::ids::ReplicaName;

/// Long work is delayed by at most this fraction of the time to its deadline:
/// one tenth.
const DEADLINE_DIVISOR: u64 = 10;

impl Pool {
    /// Returns whether long work may start at a replica now. `more` counts
    /// requests that are about to be queued.
    ///
    /// Applies to long work below saturation where the objective is full engine
    /// steps. A step takes nearly the same time for one request as for a full
    /// batch, so starting long work as it arrives keeps every engine busy with
    /// nearly empty steps. Long work therefore waits until the requests that
    /// run at the replica and those that wait for its adapters fill
    /// `batch_fill` percent of a batch, but no longer than `batch_delay` or a
    /// tenth of the time to its deadline. Short work is never delayed.
    pub(super) fn batch_ready(&self, now: Moment, r: &Replica, more: usize) -> bool {
        if !self.batches_long_work() || r.spec.slots == 0 {
            return true;
        }
        let enough = percent_of(r.spec.batch, self.settings.batch_fill) as usize;
        let mut ready = r.busy() as usize + more;
        for adapter in &r.loaded {
            if ready >= enough {
                break;
            }
            let entry = self.adapters.get(&Some(adapter.clone()));
            let Some(e) = entry.filter(|e| !e.lane_queue(Lane::Long).is_empty()) else {
                continue;
            };
            if self.delay_elapsed(now, e) {
                return true;
            }
            ready += e.lane_queue(Lane::Long).len();
        }
        ready >= enough
    }

    /// Returns whether this pool delays long work to fill batches.
    pub(super) fn batches_long_work(&self) -> bool {
        self.settings.objective == Objective::Batch && self.settings.batch_fill > 0
    }

    /// Returns whether the delay of the first queued long request has ended.
    fn delay_elapsed(&self, now: Moment, e: &Adapter) -> bool {
        let first = e.lane_queue(Lane::Long).first();
        let first = first.and_then(|(_, ticket)| self.queue.get(*ticket));
        first.is_some_and(|w| self.delay_end(w.queued_at, &w.arrival) <= now)
    }

    fn delay_end(&self, since: Moment, a: &Arrival) -> Moment {
        let part = Span(a.deadline.since(since).0 / DEADLINE_DIVISOR);
        since.after(part.min(self.settings.batch_delay))
    }

    /// Schedules the end of the delay of a long request.
    pub(super) fn track_delay(&mut self, now: Moment, a: &Arrival) {
        if self.batches_long_work()
            && let Some(adapter) = &a.adapter
        {
            let due = self.delay_end(now, a);
            self.batch_delays.insert((due, adapter.clone()));
        }
    }

    /// Starts long work whose delay has ended.
    pub(super) fn start_delayed(&mut self, now: Moment) {
        while let Some((due, _)) = self.batch_delays.first()
            && *due <= now
            && let Some((_, adapter)) = self.batch_delays.pop_first()
        {
            let entry = self.adapters.get(&Some(adapter));
            let holders = entry.map(|e| e.holders.clone());
            for name in holders.unwrap_or_default() {
                self.fill_replica(now, &name);
            }
        }
    }

    /// Returns the number of requests that run at a replica plus the long
    /// requests that wait for its adapters.
    pub(super) fn batch_size(&self, name: &ReplicaName) -> usize {
        let Some(r) = self.replicas.get(name) else {
            return 0;
        };
        let waits = r.loaded.iter().filter_map(|a| {
            let e = self.adapters.get(&Some(a.clone()))?;
            Some(e.lane_queue(Lane::Long).len())
        });
        r.busy() as usize + waits.sum::<usize>()
    }
}
