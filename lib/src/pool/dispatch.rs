//! Dispatch: which replica runs a request, and which request a replica runs
//! next.

use super::adapter::Target;
use super::queue::Lane;
use super::queue::QueuedRequest;
use super::replica::Replica;
use super::state::Dispatch;
use super::state::Pool;
use super::types::*;
use crate::ids::ReplicaName;

/// Available replicas examined for a request that any replica can run. The
/// first is the least loaded; the others matter when it is to be avoided.
const PROBED_REPLICAS: usize = 16;

/// Requests of one lane queue examined for one that need not avoid the replica.
const PROBED_REQUESTS: usize = 4;

/// Steps of the integer score per unit of load.
const SCORE_STEPS: f64 = 1_000.0;

/// Requests subtracted from the load of the replica that last ran the same
/// prompt prefix. A cached prefix saves about the time of a few tokens of a few
/// requests, so it must not outweigh a half-full batch.
const PREFIX_BONUS: f64 = 3.0;

/// Engine priority by lane; lower runs earlier.
const ENGINE_PRIORITIES: [i32; 2] = [0, 10];

impl Pool {
    /// Dispatches a request at once if a replica can run it. Returns whether it
    /// did.
    pub(super) fn dispatch_now(&mut self, now: Moment, w: &QueuedRequest) -> bool {
        let Some(name) = self.choose_replica(now, w) else {
            return false;
        };
        self.dispatch(now, w, &name);
        if w.lane() == Lane::Long {
            // This request may complete the batch that queued long work waits
            // for.
            self.fill_replica(now, &name);
        }
        true
    }

    /// Returns the least loaded replica that can run a request.
    ///
    /// Handles skewed load and a slow upstream while load reports lag. The pool
    /// counts its own dispatches, so a burst between two reports does not go
    /// entirely to the replica that the last report showed as idle. The
    /// measured time per token scales the score, so a slow replica gets only
    /// the work that it can finish in time. Replicas that the request should
    /// avoid are used only if no other live replica can run it.
    fn choose_replica(&self, now: Moment, w: &QueuedRequest) -> Option<ReplicaName> {
        let a = &w.arrival;
        let lane = w.lane();
        let usable = |name: &ReplicaName| {
            let r = self.replicas.get(name)?;
            let fit = self.can_run(r, lane, &a.adapter)
                && !self.avoids(a, name)
                && (lane == Lane::Short || self.batch_ready(now, r, 1));
            fit.then_some(r)
        };
        let prefix_holder = self.prefixes.replica(a.prefix).filter(|_| a.prefix != 0);
        let score = |name: &ReplicaName, r: &Replica| {
            let bonus = if prefix_holder == Some(name) {
                PREFIX_BONUS
            } else {
                0.0
            };
            self.score(r, bonus)
        };
        if a.adapter.is_some() {
            let holders = &self.adapters.get(&a.adapter)?.holders;
            let fit = holders.iter().filter_map(|n| Some((n, usable(n)?)));
            return fit.min_by_key(|(n, r)| score(n, r)).map(|(n, _)| n.clone());
        }
        let first = self.available.iter().take(PROBED_REPLICAS).map(|(_, n)| n);
        let fit = first
            .chain(prefix_holder)
            .filter_map(|n| Some((n, usable(n)?)));
        fit.min_by_key(|(n, r)| score(n, r)).map(|(n, _)| n.clone())
    }

    /// Returns whether a replica has room for a request of a lane. The caller
    /// checks that the replica holds the target if it is an adapter.
    fn can_run(&self, r: &Replica, lane: Lane, target: &Target) -> bool {
        let s = &self.settings;
        let long_waits = lane == Lane::Short && self.long_work_waits(r, target);
        let slot_allowed = lane == Lane::Short || r.long_slot_allowed(target, s.long_slots);
        slot_allowed && r.has_room(lane, s.effective_long_cap(), s.long_floor, long_waits)
    }

    /// Returns whether a replica has room for a lane, regardless of long work
    /// that waits.
    pub(super) fn has_lane_room(&self, r: &Replica, lane: Lane) -> bool {
        r.has_room(
            lane,
            self.settings.effective_long_cap(),
            self.settings.long_floor,
            false,
        )
    }

    /// Returns whether long work waits that this replica could run.
    fn long_work_waits(&self, r: &Replica, target: &Target) -> bool {
        let waits = |t: &Target| {
            let entry = self.adapters.get(t);
            entry.is_some_and(|e| !e.lane_queue(Lane::Long).is_empty())
        };
        if !self.queue.has_long() {
            return false;
        }
        waits(target) || r.loaded.iter().any(|a| waits(&Some(a.clone())))
    }

    /// Returns the load of a replica as a score, with `bonus` requests
    /// subtracted. Lower is better.
    fn score(&self, r: &Replica, bonus: f64) -> u64 {
        let slowdown = match (r.token_us > 0.0, self.service.token_us()) {
            (true, mean) if mean > 0.0 => r.token_us / mean,
            _ => 1.0,
        };
        let queue = (f64::from(r.busy()) + 1.0 - bonus).max(0.1);
        (queue * slowdown.max(0.2) * SCORE_STEPS) as u64
    }

    /// Dispatches waiting requests to a replica while it has room.
    pub(super) fn fill_replica(&mut self, now: Moment, name: &ReplicaName) {
        while let Some(ticket) = self.next_request(now, name) {
            let Some(w) = self.dequeue(now, ticket) else {
                return;
            };
            self.dispatch(now, &w, name);
            // The dispatch may have filled the replica, so that the requests
            // still waiting need another copy.
            if let Some(adapter) = &w.arrival.adapter {
                self.update_load_key(now, adapter);
            }
        }
    }

    /// Returns the next request for a replica: short work first, then long
    /// work, each in fair-queueing order between teams.
    fn next_request(&self, now: Moment, name: &ReplicaName) -> Option<Ticket> {
        let r = self.replicas.get(name)?;
        if !r.accepts_work() {
            return None;
        }
        let bare: Target = None;
        let loaded = r.loaded.iter().map(|a| Some(a.clone()));
        let targets: Vec<Target> = loaded.chain([bare]).collect();
        let entries = targets
            .iter()
            .filter_map(|t| Some((t, self.adapters.get(t)?)));
        let entries: Vec<_> = entries.filter(|(_, e)| e.waiting() > 0).collect();
        let s = &self.settings;
        let slot_allowed =
            |t: &Target, lane| lane == Lane::Short || r.long_slot_allowed(t, s.long_slots);
        let mut long_entries = entries.iter().filter(|(t, _)| slot_allowed(t, Lane::Long));
        let long_waiting = long_entries.any(|(_, e)| !e.lane_queue(Lane::Long).is_empty());
        let lanes = Lane::ALL.into_iter();
        let mut open_lanes = lanes
            .filter(|lane| r.has_room(*lane, s.effective_long_cap(), s.long_floor, long_waiting));
        open_lanes.find_map(|lane| {
            if lane == Lane::Long && !self.batch_ready(now, r, 0) {
                return None;
            }
            let usable = entries.iter().filter(|(t, _)| slot_allowed(t, lane));
            let first_runnable = usable.flat_map(|(_, e)| {
                let candidates = e.lane_queue(lane).iter().take(PROBED_REQUESTS);
                candidates.filter(|(_, t)| self.may_run(*t, name)).take(1)
            });
            first_runnable.min().map(|(_, ticket)| *ticket)
        })
    }

    /// Returns whether a waiting request may run at a replica.
    fn may_run(&self, ticket: Ticket, name: &ReplicaName) -> bool {
        let w = self.queue.get(ticket);
        w.is_some_and(|w| !self.avoids(&w.arrival, name))
    }

    /// Returns whether a request must not run at a replica: the replica is on
    /// its avoid list, and another live replica could run it.
    fn avoids(&self, a: &Arrival, name: &ReplicaName) -> bool {
        let alternative = |n: &ReplicaName| {
            let r = self.replicas.get(n);
            r.is_some_and(|r| r.live()) && !a.avoid.contains(n)
        };
        if !a.avoid.contains(name) {
            return false;
        }
        match a.adapter {
            Some(_) => {
                let entry = self.adapters.get(&a.adapter);
                entry.is_some_and(|e| e.holders.iter().any(alternative))
            }
            None => self.replicas.keys().any(alternative),
        }
    }

    /// Dispatches a request that was removed from all queues.
    pub(super) fn dispatch(&mut self, now: Moment, w: &QueuedRequest, name: &ReplicaName) {
        let Some(r) = self.replicas.get(name) else {
            return;
        };
        let a = &w.arrival;
        let lane = w.lane();
        let incarnation = r.incarnation;
        self.fair_queues[lane.index()].advance(w.tag);
        self.prefixes.record(now, a.prefix, name);
        self.commands.push(Command::Grant {
            ticket: a.ticket,
            replica: name.clone(),
            incarnation,
            priority: ENGINE_PRIORITIES[lane.index()],
        });
        let run = Dispatch {
            replica: name.clone(),
            incarnation,
            target: a.adapter.clone(),
            lane,
            fingerprint: a.fingerprint,
            isolated: w.isolated,
        };
        self.record_dispatch(now, a.ticket, run);
    }

    /// Records a dispatch in the state of its replica.
    pub(super) fn record_dispatch(&mut self, now: Moment, ticket: Ticket, run: Dispatch) {
        let name = run.replica.clone();
        if let Some(r) = self.replicas.get_mut(&name)
            && (!r.reported || r.incarnation == run.incarnation)
        {
            r.tickets.insert(ticket);
            if run.lane == Lane::Long {
                r.begin_long(&run.target);
            }
            self.acquire_slot(now, &name, &run.target);
            self.update_score(&name);
        }
        self.running.insert(ticket, run);
    }

    /// Removes a dispatch from the state of its replica, and releases or
    /// retains its slot.
    pub(super) fn end_dispatch(
        &mut self,
        now: Moment,
        ticket: Ticket,
        run: Dispatch,
        end: Outcome,
    ) {
        let name = run.replica.clone();
        let Some(r) = self.replicas.get_mut(&name) else {
            return;
        };
        if r.isolated == Some(ticket) {
            r.isolated = None;
        }
        if r.tickets.remove(&ticket) {
            r.record_end(now);
            if run.lane == Lane::Long {
                r.end_long(&run.target);
            }
            match end {
                Outcome::Answered | Outcome::NotRun => self.release_slot(&name, &run.target),
                _ => self.retain_slot(now, ticket, run),
            }
        }
        self.update_score(&name);
    }

    /// Updates a replica in the index of available replicas.
    pub(super) fn update_score(&mut self, name: &ReplicaName) {
        let Some(r) = self.replicas.get(name) else {
            return;
        };
        let score = r.accepts_work().then(|| self.score(r, 0.0));
        let old = r.score;
        if score == old {
            return;
        }
        if let Some(old) = old {
            self.available.remove(&(old, name.clone()));
        }
        if let Some(new) = score {
            self.available.insert((new, name.clone()));
        }
        if let Some(r) = self.replicas.get_mut(name) {
            r.score = score;
        }
    }
}
