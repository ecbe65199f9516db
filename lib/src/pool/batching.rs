//! Gathering: long work starts when it fills steps.

use super::adapter::Adapter;
use super::queue::Lane;
use super::replica::Replica;
use super::replica::percent_of;
use super::state::Pool;
use super::types::*;
use crate::ids::ReplicaName;

/// Long work gives one part in so many of its time to wait for company.
const DEADLINE_DIVISOR: u64 = 10;

impl Pool {
    /// Whether long work may start at a replica now, `more` requests of it
    /// counted that do not wait yet.
    ///
    /// Made for long work below saturation where full steps weigh more. A step
    /// takes nearly the same time for one request as for a batch, so long work
    /// that is spread as it comes keeps every engine at work nearly empty. It
    /// waits until what runs at the replica and what waits for it fill enough
    /// of a batch together, but no longer than `gather_for` or a tenth of its
    /// time, so that each reading is started in time. Short work never waits
    /// for this.
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

    /// Whether long work is gathered in this pool.
    pub(super) fn batches_long_work(&self) -> bool {
        self.settings.objective == Objective::Batch && self.settings.batch_fill > 0
    }

    /// Whether the first in turn has waited long enough.
    fn delay_elapsed(&self, now: Moment, e: &Adapter) -> bool {
        let first = e.lane_queue(Lane::Long).first();
        let first = first.and_then(|(_, ticket)| self.queue.get(*ticket));
        first.is_some_and(|w| self.delay_end(w.queued_at, &w.arrival) <= now)
    }

    fn delay_end(&self, since: Moment, a: &Arrival) -> Moment {
        let part = Span(a.deadline.since(since).0 / DEADLINE_DIVISOR);
        since.after(part.min(self.settings.batch_delay))
    }

    /// Notes that long work waits for company.
    pub(super) fn track_delay(&mut self, now: Moment, a: &Arrival) {
        if self.batches_long_work()
            && let Some(adapter) = &a.adapter
        {
            let due = self.delay_end(now, a);
            self.batch_delays.insert((due, adapter.clone()));
        }
    }

    /// Starts long work that has waited long enough for company.
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

    /// How well long work for an adapter would be in company at a replica:
    /// requests that run there or wait for it.
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
