//! Gathering: long work starts when it fills steps.

use super::adapter::Adapter;
use super::queue::Lane;
use super::replica::Replica;
use super::replica::part;
use super::state::Pool;
use super::types::*;
use crate::ids::ReplicaName;

/// Long work gives one part in so many of its time to wait for company.
const DEADLINE_PARTS: u64 = 10;

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
    pub(super) fn gathered(&self, now: Moment, r: &Replica, more: usize) -> bool {
        if !self.gathers() || r.spec.slots == 0 {
            return true;
        }
        let enough = part(r.spec.batch, self.settings.batch_fill) as usize;
        let mut ready = r.busy() as usize + more;
        for adapter in &r.loaded {
            if ready >= enough {
                break;
            }
            let entry = self.adapters.get(&Some(adapter.clone()));
            let Some(e) = entry.filter(|e| !e.list(Lane::Long).is_empty()) else {
                continue;
            };
            if self.patience_over(now, e) {
                return true;
            }
            ready += e.list(Lane::Long).len();
        }
        ready >= enough
    }

    /// Whether long work is gathered in this pool.
    pub(super) fn gathers(&self) -> bool {
        self.settings.objective == Objective::Batch && self.settings.batch_fill > 0
    }

    /// Whether the first in turn has waited long enough.
    fn patience_over(&self, now: Moment, e: &Adapter) -> bool {
        let first = e.list(Lane::Long).first();
        let first = first.and_then(|(_, ticket)| self.queue.get(*ticket));
        first.is_some_and(|w| self.patience_end(w.since, &w.arrival) <= now)
    }

    fn patience_end(&self, since: Moment, a: &Arrival) -> Moment {
        let part = Span(a.deadline.since(since).0 / DEADLINE_PARTS);
        since.after(part.min(self.settings.batch_delay))
    }

    /// Notes that long work waits for company.
    pub(super) fn note_gathering(&mut self, now: Moment, a: &Arrival) {
        if self.gathers()
            && let Some(adapter) = &a.adapter
        {
            let due = self.patience_end(now, a);
            self.gathering.insert((due, adapter.clone()));
        }
    }

    /// Starts long work that has waited long enough for company.
    pub(super) fn end_gathering(&mut self, now: Moment) {
        while let Some((due, _)) = self.gathering.first()
            && *due <= now
            && let Some((_, adapter)) = self.gathering.pop_first()
        {
            let entry = self.adapters.get(&Some(adapter));
            let holders = entry.map(|e| e.holders.clone());
            for name in holders.unwrap_or_default() {
                self.fill(now, &name);
            }
        }
    }

    /// How well long work for an adapter would be in company at a replica:
    /// requests that run there or wait for it.
    pub(super) fn company(&self, name: &ReplicaName) -> usize {
        let Some(r) = self.replicas.get(name) else {
            return 0;
        };
        let waits = r.loaded.iter().filter_map(|a| {
            let e = self.adapters.get(&Some(a.clone()))?;
            Some(e.list(Lane::Long).len())
        });
        r.busy() as usize + waits.sum::<usize>()
    }
}
