//! Suspects: each runs alone on a replica, so that a crash convicts exactly.

use super::adapter::Target;
use super::state::Pool;
use super::types::*;
use crate::ids::ReplicaName;

/// Suspects looked at for one that a replica can be emptied for.
const MAX_SUSPECTS_PROBED: usize = 8;

/// One replica in so many may be kept for suspects, and one at the least: a
/// full batch of suspects after a crash must not stop the pool.
const REPLICAS_PER_RESERVATION: usize = 4;

/// Open replicas looked at for a suspect of a plain service.
const MAX_REPLICAS_PROBED: usize = 16;

impl Pool {
    /// Gives suspects replicas of their own.
    pub(super) fn reserve_replicas(&mut self, now: Moment) {
        let probed = self.isolation_queue.iter().take(MAX_SUSPECTS_PROBED);
        let probed: Vec<_> = probed.copied().collect();
        for (since, ticket) in probed {
            if self.reserved.len() >= (self.live_count / REPLICAS_PER_RESERVATION).max(1) {
                return;
            }
            if let Some(name) = self.choose_reservation(ticket) {
                self.isolation_queue.remove(&(since, ticket));
                self.reserve(now, ticket, &name);
            }
        }
    }

    /// The replica that will be empty soonest, of those that have its adapter.
    fn choose_reservation(&self, ticket: Ticket) -> Option<ReplicaName> {
        let a = &self.queue.get(ticket)?.arrival;
        let entry = self.adapters.get(&a.adapter)?;
        let open = self
            .available
            .iter()
            .take(MAX_REPLICAS_PROBED)
            .map(|(_, n)| n);
        let names: Vec<_> = match a.adapter {
            Some(_) => entry.holders.iter().collect(),
            None => open.collect(),
        };
        let fit = names.into_iter().filter_map(|n| {
            let r = self.replicas.get(n)?;
            let free = r.live() && r.isolated.is_none();
            free.then(|| (a.avoid.contains(n), r.outstanding(), n))
        });
        fit.min().map(|(_, _, n)| n.clone())
    }

    fn reserve(&mut self, now: Moment, ticket: Ticket, name: &ReplicaName) {
        let target = self.queue.get(ticket).map(|w| w.arrival.adapter.clone());
        if let Some(r) = self.replicas.get_mut(name) {
            r.isolated = Some(ticket);
        }
        // The slot must still be there when the replica is empty.
        self.acquire_slot(now, name, &target.unwrap_or_default());
        self.reserved.insert(ticket, name.clone());
        self.update_score(name);
        self.run_isolated(now, name);
    }

    /// Runs the suspect that a replica was emptied for, once it is empty.
    pub(super) fn run_isolated(&mut self, now: Moment, name: &ReplicaName) {
        let Some(r) = self.replicas.get(name) else {
            return;
        };
        let Some(ticket) = r.isolated.filter(|_| r.tickets.is_empty()) else {
            return;
        };
        if !self.reserved.contains_key(&ticket) {
            return;
        }
        let Some(w) = self.dequeue(now, ticket) else {
            return;
        };
        if let Some(r) = self.replicas.get_mut(name) {
            r.isolated = Some(ticket);
        }
        self.dispatch(now, &w, name);
    }

    /// Ends a suspect's claim on a replica.
    pub(super) fn cancel_reservation(&mut self, ticket: Ticket, target: &Target) {
        let Some(name) = self.reserved.remove(&ticket) else {
            return;
        };
        if let Some(r) = self.replicas.get_mut(&name) {
            r.isolated = None;
        }
        self.release_slot(&name, target);
        self.update_score(&name);
    }

    /// A suspect whose replica is no longer live waits for another.
    pub(super) fn requeue_suspect(&mut self, ticket: Ticket) {
        let Some(w) = self.queue.get(ticket) else {
            return;
        };
        let (since, target) = (w.queued_at, w.arrival.adapter.clone());
        self.cancel_reservation(ticket, &target);
        self.isolation_queue.insert((since, ticket));
    }
}
