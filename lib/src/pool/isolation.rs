//! Isolation of suspects: each runs alone on a replica, so that a crash
//! identifies the request that caused it.

use super::adapter::Target;
use super::state::Pool;
use super::types::*;
use crate::ids::ReplicaName;

/// Suspects examined for one that a replica can be reserved for.
const PROBED_SUSPECTS: usize = 8;

/// At most one live replica in this many is reserved for suspects, and at least
/// one: a full batch of suspects after a crash must not stop the pool.
const REPLICAS_PER_RESERVATION: usize = 4;

/// Available replicas examined for a suspect of a plain service.
const PROBED_REPLICAS: usize = 16;

impl Pool {
    /// Reserves replicas for waiting suspects.
    pub(super) fn reserve_replicas(&mut self, now: Moment) {
        let probed = self.isolation_queue.iter().take(PROBED_SUSPECTS);
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

    /// Returns the replica with the fewest dispatches, which is empty soonest,
    /// of those that can run a suspect; replicas that it should avoid come
    /// last.
    fn choose_reservation(&self, ticket: Ticket) -> Option<ReplicaName> {
        let a = &self.queue.get(ticket)?.arrival;
        let entry = self.adapters.get(&a.adapter)?;
        let open = self.available.iter().take(PROBED_REPLICAS).map(|(_, n)| n);
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
        // Pins the slot until the replica is empty.
        self.acquire_slot(now, name, &target.unwrap_or_default());
        self.reserved.insert(ticket, name.clone());
        self.update_score(name);
        self.run_isolated(now, name);
    }

    /// Runs the suspect that a replica is reserved for, once the replica is
    /// empty.
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

    /// Cancels the reservation of a suspect, if it has one.
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

    /// Makes a suspect whose reserved replica is no longer live wait for
    /// another one.
    pub(super) fn requeue_suspect(&mut self, ticket: Ticket) {
        let Some(w) = self.queue.get(ticket) else {
            return;
        };
        let (since, target) = (w.queued_at, w.arrival.adapter.clone());
        self.cancel_reservation(ticket, &target);
        self.isolation_queue.insert((since, ticket));
    }
}
