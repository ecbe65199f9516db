//! Admission control: which requests may wait, and the reason and retry time
//! for those that are refused.

use super::adapter::Target;
use super::queue::Lane;
use super::queue::QueuedRequest;
use super::state::Pool;
use super::state::RETRY_DELAY;
use super::types::*;

/// Maximum number of requests that wait in a pool. Entries hold the callers'
/// connections meanwhile, so this bounds memory. Above it, the limit of each
/// team and lane shrinks to an equal share.
const MAX_WAITING: usize = 16_384;

/// Maximum number of queued loads counted when a wait is estimated; a longer
/// queue would not change the refusal.
const COUNTED_LOADS: usize = 256;

/// Longest retry time given to a refused caller.
const MAX_RETRY_DELAY: Span = Span::from_millis(60_000);

impl Pool {
    /// Checks whether a request may wait. Returns the reason and retry time if
    /// it may not.
    ///
    /// Handles bursts and full saturation. A request that would wait past its
    /// deadline takes the place of one that would not, and its caller learns
    /// too late that it did not run. If it is refused at once, the caller can
    /// go elsewhere or retry. Each team has its own queue limit, so that a
    /// burst of one team does not use up the places of the others.
    pub(super) fn admit(&mut self, now: Moment, a: &Arrival) -> Result<(), (Reason, Span)> {
        if self.draining {
            return Err((Reason::Draining, RETRY_DELAY));
        }
        if let Some(left) = self.poison.blocked_for(now, a.fingerprint) {
            return Err((Reason::Convicted, left));
        }
        if !self.replicas.values().any(|r| r.may_recover()) {
            return Err((Reason::NoReplica, RETRY_DELAY));
        }
        let lane = Lane::of(a.class);
        let flows = self.queue.flows().max(1);
        let limit = match self.queue.len() < MAX_WAITING {
            true => self.settings.queue_limit as usize,
            false => MAX_WAITING / flows,
        };
        if self.queue.count(&a.team, lane) as usize >= limit {
            return Err((Reason::QueueFull, self.estimated_wait()));
        }
        let wait = self.min_wait(now, a);
        let least = self.service.min_time(&self.settings, lane, a.max_tokens);
        if now.after(Span(wait.0 + least.0)) > a.deadline {
            return Err((Reason::Deadline, wait.clamp(RETRY_DELAY, MAX_RETRY_DELAY)));
        }
        if a.attempt > 0 && !self.retry_budget.spend() {
            return Err((Reason::RetryBudget, RETRY_DELAY));
        }
        Ok(())
    }

    /// Returns a lower bound of the time until this request is dispatched: the
    /// loads that precede the load of its adapter.
    fn min_wait(&self, now: Moment, a: &Arrival) -> Span {
        let Some(adapter) = &a.adapter else {
            return Span(0);
        };
        let entry = self.adapters.get(&a.adapter);
        if entry.is_some_and(|e| !e.holders.is_empty() || e.pending_loads > 0) {
            return Span(0);
        }
        let pause = entry.map_or(Span(0), |e| e.backoff_until.since(now));
        let key = self.load_key(now, adapter, 1);
        let ahead = self
            .adapters
            .loads_before(Lane::of(a.class), key, COUNTED_LOADS);
        let load = self.load_time().0;
        let pause = pause.max(self.slot_freeze.since(now));
        Span(pause.0.max(load * ahead as u64) + load)
    }

    /// Estimates the time until all requests that wait now are dispatched.
    pub(super) fn estimated_wait(&self) -> Span {
        let batch: u32 = self.replicas.values().map(|r| r.spec.batch).sum();
        let mean = self.service.mean_time(Lane::Short).0;
        let rounds = self.queue.len() as u64 / u64::from(batch.max(1)) + 1;
        Span(mean * rounds).clamp(RETRY_DELAY, MAX_RETRY_DELAY)
    }

    /// Dispatches an admitted request at once if a replica can run it, and
    /// queues it otherwise.
    pub(super) fn enqueue(&mut self, now: Moment, a: Arrival) {
        let lane = Lane::of(a.class);
        let ticket = a.ticket;
        let target = a.adapter.clone();
        let isolated = self
            .poison
            .is_suspect(now, a.fingerprint, self.settings.strikes);
        self.record_demand(now, &a);
        let cost = u64::from(a.max_tokens / 2) + u64::from(a.prompt_tokens / 16) + 1;
        let share = self.team_share(&a);
        let tag = self.fair_queues[lane.index()].tag(&a.team, cost, share);
        let least = self.service.min_time(&self.settings, lane, a.max_tokens);
        let expiry = Moment(a.deadline.0.saturating_sub(least.0)).max(now);
        let w = QueuedRequest {
            arrival: a,
            queued_at: now,
            tag,
            cost,
            expiry,
            isolated,
        };
        if !isolated && self.dispatch_now(now, &w) {
            return;
        }
        if lane == Lane::Long {
            self.track_delay(now, &w.arrival);
        }
        self.queue.insert(w);
        let entry = self.adapters.entry(&target);
        if entry.waiting() == 0 {
            entry.waiting_since = now;
        }
        match isolated {
            true => {
                entry.isolated += 1;
                self.isolation_queue.insert((now, ticket));
            }
            false => {
                entry.lane_queues[lane.index()].insert((tag, ticket));
            }
        }
        if let Some(adapter) = &target {
            let held = entry.holders.iter().any(|r| {
                let r = self.replicas.get(r);
                r.is_some_and(|r| r.live())
            });
            self.stalls += u64::from(!held);
            self.update_load_key(now, adapter);
        }
    }

    /// Removes a waiting request from all queues and cancels its reservation.
    pub(super) fn dequeue(&mut self, now: Moment, ticket: Ticket) -> Option<QueuedRequest> {
        let w = self.queue.remove(ticket)?;
        let lane = w.lane();
        let target: &Target = &w.arrival.adapter;
        if let Some(entry) = self.adapters.get_mut(target) {
            match w.isolated {
                true => entry.isolated = entry.isolated.saturating_sub(1),
                false => {
                    entry.lane_queues[lane.index()].remove(&(w.tag, ticket));
                }
            }
        }
        if w.isolated {
            self.isolation_queue.remove(&(w.queued_at, ticket));
            self.cancel_reservation(ticket, target);
        }
        if let Some(adapter) = target {
            self.update_load_key(now, adapter);
        }
        Some(w)
    }

    /// Removes a waiting request that will not run, and gives the replica that
    /// was reserved for it other work.
    pub(super) fn cancel_waiting(&mut self, now: Moment, ticket: Ticket) -> Option<QueuedRequest> {
        let reserved = self.reserved.get(&ticket).cloned();
        let w = self.dequeue(now, ticket);
        if let Some(name) = reserved {
            self.fill_replica(now, &name);
        }
        w
    }

    /// Refuses a waiting request.
    pub(super) fn refuse_waiting(&mut self, now: Moment, ticket: Ticket, why: Reason, after: Span) {
        if let Some(w) = self.cancel_waiting(now, ticket) {
            let share = self.team_share(&w.arrival);
            let lane = w.lane().index();
            self.fair_queues[lane].refund(&w.arrival.team, w.cost, share);
            self.refuse(ticket, why, after);
        }
    }

    /// Refuses a request that is in no queue.
    pub(super) fn refuse(&mut self, ticket: Ticket, reason: Reason, retry_after: Span) {
        self.commands.push(Command::Refuse {
            ticket,
            reason,
            retry_after,
        });
    }

    fn team_share(&self, a: &Arrival) -> u32 {
        self.settings.shares.get(&a.team).copied().unwrap_or(1)
    }
}
