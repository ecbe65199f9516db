//! Admission: who may wait, and what those who may not are told.

use super::adapter::Target;
use super::queue::Lane;
use super::queue::Waiting;
use super::state::COME_BACK;
use super::state::Pool;
use super::types::*;

/// The most requests that wait in a pool. An entry holds the callers'
/// connections meanwhile, so the bound is one of memory: above it, each team's
/// bound shrinks to an equal part.
const MOST_WAITING: usize = 16_384;

/// Loads counted ahead of a request when its wait is estimated; more would
/// not change a refusal.
const LOADS_COUNTED: usize = 256;

/// Longest time told to a refused caller.
const LONGEST_AFTER: Span = Span::from_millis(60_000);

impl Pool {
    /// Whether a request may wait, and if not, why and when to come back.
    ///
    /// Made for bursts and for full saturation: a request that would wait
    /// past its deadline takes the place of one that would not, and its
    /// caller learns too late that it did not run. Refused at once, it can go
    /// elsewhere or come back. Each team's queue is bounded by itself, so that
    /// one team's burst does not take the places of the others.
    pub(super) fn admit(&mut self, now: Moment, a: &Arrival) -> Result<(), (Reason, Span)> {
        if self.draining {
            return Err((Reason::Draining, COME_BACK));
        }
        if let Some(left) = self.verdicts.convicted(now, a.fingerprint) {
            return Err((Reason::Convicted, left));
        }
        if !self.replicas.values().any(|r| r.hopeful()) {
            return Err((Reason::NoReplica, COME_BACK));
        }
        let lane = Lane::of(a.class);
        let flows = self.queue.flows().max(1);
        let limit = match self.queue.len() < MOST_WAITING {
            true => self.settings.queue_limit as usize,
            false => MOST_WAITING / flows,
        };
        if self.queue.count(&a.team, lane) as usize >= limit {
            return Err((Reason::QueueFull, self.wait_estimate()));
        }
        let wait = self.least_wait(now, a);
        let least = self.service.least(&self.settings, lane, a.max_tokens);
        if now.after(Span(wait.0 + least.0)) > a.deadline {
            return Err((Reason::Deadline, wait.clamp(COME_BACK, LONGEST_AFTER)));
        }
        if a.attempt > 0 && !self.budget.spend() {
            return Err((Reason::RetryBudget, COME_BACK));
        }
        Ok(())
    }

    /// The least time that this request will wait before it is dispatched, as
    /// far as it is certain: the loads that go before its adapter's.
    fn least_wait(&self, now: Moment, a: &Arrival) -> Span {
        let Some(adapter) = &a.adapter else {
            return Span(0);
        };
        let entry = self.adapters.get(&a.adapter);
        if entry.is_some_and(|e| !e.holders.is_empty() || e.loading > 0) {
            return Span(0);
        }
        let pause = entry.map_or(Span(0), |e| e.backoff.since(now));
        let key = self.load_key(now, adapter, 1);
        let ahead = self
            .adapters
            .wanted_before(Lane::of(a.class), key, LOADS_COUNTED);
        let load = self.load_time().0;
        let pause = pause.max(self.frozen.since(now));
        Span(pause.0.max(load * ahead as u64) + load)
    }

    /// About how long until what waits now has been dispatched.
    pub(super) fn wait_estimate(&self) -> Span {
        let batch: u32 = self.replicas.values().map(|r| r.spec.batch).sum();
        let mean = self.service.mean(Lane::Short).0;
        let rounds = self.queue.len() as u64 / u64::from(batch.max(1)) + 1;
        Span(mean * rounds).clamp(COME_BACK, LONGEST_AFTER)
    }

    /// Lets an admitted request wait, or run at once.
    pub(super) fn enqueue(&mut self, now: Moment, a: Arrival) {
        let lane = Lane::of(a.class);
        let ticket = a.ticket;
        let target = a.adapter.clone();
        let solo = self
            .verdicts
            .is_suspect(now, a.fingerprint, self.settings.strikes);
        self.note_demand(now, &a);
        let cost = u64::from(a.max_tokens / 2) + u64::from(a.prompt_tokens / 16) + 1;
        let share = self.share(&a);
        let tag = self.fair[lane.index()].tag(&a.team, cost, share);
        let least = self.service.least(&self.settings, lane, a.max_tokens);
        let expiry = Moment(a.deadline.0.saturating_sub(least.0)).max(now);
        let w = Waiting {
            arrival: a,
            since: now,
            tag,
            cost,
            expiry,
            solo,
        };
        if !solo && self.place(now, &w) {
            return;
        }
        if lane == Lane::Long {
            self.note_gathering(now, &w.arrival);
        }
        self.queue.insert(w);
        let entry = self.adapters.entry(&target);
        if entry.waiting() == 0 {
            entry.since = now;
        }
        match solo {
            true => {
                entry.solos += 1;
                self.solos.insert((now, ticket));
            }
            false => {
                entry.lists[lane.index()].insert((tag, ticket));
            }
        }
        if let Some(adapter) = &target {
            let held = entry.holders.iter().any(|r| {
                let r = self.replicas.get(r);
                r.is_some_and(|r| r.live())
            });
            self.stalls += u64::from(!held);
            self.rewant(now, adapter);
        }
    }

    /// Takes a waiting request out of every list.
    pub(super) fn withdraw(&mut self, now: Moment, ticket: Ticket) -> Option<Waiting> {
        let w = self.queue.remove(ticket)?;
        let lane = w.lane();
        let target: &Target = &w.arrival.adapter;
        if let Some(entry) = self.adapters.get_mut(target) {
            match w.solo {
                true => entry.solos = entry.solos.saturating_sub(1),
                false => {
                    entry.lists[lane.index()].remove(&(w.tag, ticket));
                }
            }
        }
        if w.solo {
            self.solos.remove(&(w.since, ticket));
            self.unreserve(ticket, target);
        }
        if let Some(adapter) = target {
            self.rewant(now, adapter);
        }
        Some(w)
    }

    /// Takes out a waiting request that will not run, and gives the replica
    /// that was kept for it back to the others.
    pub(super) fn give_up(&mut self, now: Moment, ticket: Ticket) -> Option<Waiting> {
        let kept = self.reserved.get(&ticket).cloned();
        let w = self.withdraw(now, ticket);
        if let Some(name) = kept {
            self.fill(now, &name);
        }
        w
    }

    /// Refuses a waiting request.
    pub(super) fn turn_away(&mut self, now: Moment, ticket: Ticket, why: Reason, after: Span) {
        if let Some(w) = self.give_up(now, ticket) {
            let share = self.share(&w.arrival);
            let lane = w.lane().index();
            self.fair[lane].give_back(&w.arrival.team, w.cost, share);
            self.refuse(ticket, why, after);
        }
    }

    pub(super) fn refuse(&mut self, ticket: Ticket, reason: Reason, retry_after: Span) {
        self.commands.push(Command::Refuse {
            ticket,
            reason,
            retry_after,
        });
    }

    fn share(&self, a: &Arrival) -> u32 {
        self.settings.shares.get(&a.team).copied().unwrap_or(1)
    }
}
