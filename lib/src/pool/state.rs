//! The pool's state and the calls of its owner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::adapter::Adapters;
use super::adapter::Target;
use super::poison::PoisonTracker;
use super::prefix::Prefixes;
use super::queue::FairQueue;
use super::queue::Lane;
use super::queue::Queue;
use super::replica::Replica;
use super::retry_budget::RetryBudget;
use super::service_time::ServiceTimes;
use super::settings::PoolSettings;
use super::types::*;
use crate::ids::AdapterVersion;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::ReplicaName;

/// A dispatch under way.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub(super) replica: ReplicaName,
    pub(super) incarnation: Incarnation,
    pub(super) target: Target,
    pub(super) lane: Lane,
    pub(super) fingerprint: Fingerprint,
    pub(super) isolated: bool,
}

/// The decisions of one pool.
///
/// ```
/// use banyangauge::pool::Health;
/// use banyangauge::pool::Moment;
/// use banyangauge::pool::Pool;
/// use banyangauge::pool::PoolSettings;
/// use banyangauge::pool::ReplicaSpec;
/// let mut pool = Pool::new(PoolSettings::default());
/// let spec = ReplicaSpec { name: "r1".parse().unwrap(), slots: 8, batch: 16 };
/// pool.set_replicas(Moment(0), &[spec]);
/// pool.set_health(Moment(0), &"r1".parse().unwrap(), Health::Leaving);
/// assert!(pool.take_commands().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Pool {
    pub(super) settings: PoolSettings,
    pub(super) replicas: BTreeMap<ReplicaName, Replica>,
    /// Replicas that are no longer configured.
    pub(super) removed: BTreeSet<ReplicaName>,
    /// Replicas that take work, the least loaded first.
    pub(super) available: BTreeSet<(u64, ReplicaName)>,
    pub(super) adapters: Adapters,
    pub(super) queue: Queue,
    pub(super) fair_queues: [FairQueue; 2],
    pub(super) running: BTreeMap<Ticket, Dispatch>,
    /// Suspects that wait for a replica of their own, the oldest first.
    pub(super) isolation_queue: BTreeSet<(Moment, Ticket)>,
    /// Suspects for which a replica is being emptied.
    pub(super) reserved: BTreeMap<Ticket, ReplicaName>,
    /// Orders under way.
    pub(super) orders: BTreeMap<OrderId, ReplicaName>,
    /// Adapters that wait for the end of their backoff.
    pub(super) backoffs: BTreeSet<(Moment, AdapterVersion)>,
    /// When long work for an adapter no longer waits for company.
    pub(super) batch_delays: BTreeSet<(Moment, AdapterVersion)>,
    pub(super) service_times: ServiceTimes,
    pub(super) retry_budget: RetryBudget,
    pub(super) poison: PoisonTracker,
    pub(super) prefixes: Prefixes,
    pub(super) commands: Vec<Command>,
    pub(super) slot_freeze: Moment,
    /// No eviction before then.
    pub(super) eviction_freeze: Moment,
    /// Uses of slots that may outlast their dispatch, the first to end first.
    pub(super) retention_ends: BTreeSet<(Moment, Ticket)>,
    pub(super) retained: BTreeMap<Ticket, Dispatch>,
    pub(super) draining: bool,
    pub(super) loads_ordered: u64,
    pub(super) stalls: u64,
    pub(super) live_count: usize,
}

/// What a pool looks like from outside.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolView {
    /// Requests that wait.
    pub queued: u32,
    /// Dispatches under way.
    pub granted: u32,
    /// Loads ordered since the start.
    pub loads: u64,
    /// Requests that had to wait for their adapter.
    pub stalls: u64,
    /// Outstanding dispatches by replica.
    pub outstanding: BTreeMap<ReplicaName, u32>,
    /// Loaded adapter versions by replica.
    pub loaded: BTreeMap<ReplicaName, BTreeSet<AdapterVersion>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Replaces the shares of the teams; requests that wait keep their turn.
    pub fn set_shares(&mut self, shares: &Shares) {
        self.settings.shares = shares.clone();
    }

    /// Sets the replicas; those left out get nothing new, and are forgotten
    /// once the last dispatch there has ended.
    pub fn set_replicas(&mut self, now: Moment, specs: &[ReplicaSpec]) {
        let keep: BTreeSet<_> = specs.iter().map(|s| s.name.clone()).collect();
        let gone: Vec<_> = self.replicas.keys().cloned().collect();
        for name in gone.iter().filter(|name| !keep.contains(*name)) {
            self.update_replica(now, name, |r| r.configured = false);
            self.removed.insert(name.clone());
        }
        for spec in specs {
            self.removed.remove(&spec.name);
            self.replicas
                .entry(spec.name.clone())
                .or_insert_with(|| Replica::new(spec.clone()));
            self.update_replica(now, &spec.name, |r| {
                r.spec = spec.clone();
                r.configured = true;
            });
        }
        self.schedule(now);
    }

    /// Sets whether a replica takes new work.
    pub fn set_health(&mut self, now: Moment, name: &ReplicaName, health: Health) {
        self.update_replica(now, name, |r| r.health = health);
        self.schedule(now);
    }

    /// Takes in a load report; a new incarnation starts with what it reports.
    pub fn report(&mut self, now: Moment, report: LoadReport) {
        let name = report.replica.clone();
        let Some(r) = self.replicas.get(&name) else {
            return;
        };
        if !r.has_reported || r.incarnation != report.incarnation {
            self.reset_replica(now, &name, report);
        } else {
            self.apply_report(now, &name, report);
        }
        self.schedule(now);
    }

    /// A request asks for a replica.
    pub fn offer(&mut self, now: Moment, arrival: Arrival) {
        if let Err((reason, after)) = self.admit(now, &arrival) {
            self.refuse(arrival.ticket, reason, after);
            return;
        }
        self.enqueue(now, arrival);
        self.schedule(now);
    }

    /// The caller of a waiting request went away.
    pub fn abandon(&mut self, now: Moment, ticket: Ticket) {
        self.cancel_waiting(now, ticket);
        self.schedule(now);
    }

    /// A dispatch ended, or its grant lapsed.
    pub fn finish(&mut self, now: Moment, finish: DispatchEnd) {
        if let Some(run) = self.running.remove(&finish.ticket) {
            self.record_outcome(now, &finish, &run);
            let name = run.replica.clone();
            self.end_dispatch(now, finish.ticket, run, finish.outcome);
            self.run_isolated(now, &name);
            self.fill_replica(now, &name);
        }
        self.schedule(now);
    }

    /// A new owner learns of a dispatch under an earlier owner's grant.
    pub fn adopt(&mut self, now: Moment, held: InheritedDispatch) {
        let lane = Lane::of(held.class);
        let run = Dispatch {
            replica: held.replica,
            incarnation: held.incarnation,
            target: held.adapter,
            lane,
            fingerprint: held.fingerprint,
            isolated: false,
        };
        self.record_dispatch(now, held.ticket, run);
    }

    /// Another process found that a request crashes its upstream.
    pub fn block(&mut self, now: Moment, fingerprint: Fingerprint, hold: Span) {
        self.poison.block(now, fingerprint, now.after(hold));
        for ticket in self.queue.matching(|a| a.fingerprint == fingerprint) {
            self.refuse_waiting(now, ticket, Reason::Convicted, hold);
        }
        self.schedule(now);
    }

    /// No slot changes before `until`: a new owner's quarantine at engines that
    /// ignore fencing tokens, where an earlier owner may still give orders.
    pub fn freeze_slots(&mut self, until: Moment) {
        self.slot_freeze = self.slot_freeze.max(until);
    }

    /// Nothing is evicted before `until`, loads into free slots go on: a new
    /// owner's quarantine at engines that refuse an earlier owner's orders.
    /// Requests may run under grants that it does not know, but a load into a
    /// free slot takes nothing from them.
    pub fn freeze_evictions(&mut self, until: Moment) {
        self.eviction_freeze = self.eviction_freeze.max(until);
    }

    /// Refuses what waits and all that comes.
    pub fn drain(&mut self, now: Moment) {
        self.draining = true;
        for ticket in self.queue.matching(|_| true) {
            self.refuse_waiting(now, ticket, Reason::Draining, DEFAULT_RETRY_AFTER);
        }
    }

    /// Ends waits whose deadline can no longer be made and looks for work.
    pub fn tick(&mut self, now: Moment) {
        while let Some(ticket) = self.queue.expired(now) {
            let after = self.estimated_wait();
            let why = match self.live_count {
                0 => Reason::NoReplica,
                _ => Reason::Deadline,
            };
            self.refuse_waiting(now, ticket, why, after);
        }
        self.release_retained(now);
        self.expire_backoffs(now);
        self.start_delayed(now);
        self.forget_removed(now);
        self.schedule(now);
    }

    /// When [`Pool::tick`] is wanted next.
    pub fn next_wake(&self) -> Option<Moment> {
        let expiry = self.queue.next_expiry();
        let backoff = self.backoffs.first().map(|(at, _)| *at);
        let wanted = self.adapters.queued_loads() > 0;
        let retention = self.retention_ends.first().map(|(at, _)| *at);
        let freeze_end = [
            Some(self.slot_freeze),
            Some(self.eviction_freeze),
            retention,
        ];
        let freeze_end = freeze_end.into_iter().flatten();
        let freeze_end = freeze_end
            .filter(|at| wanted && *at > self.service_times.now)
            .min();
        let delay = self.batch_delays.first().map(|(at, _)| *at);
        [expiry, backoff, freeze_end, delay]
            .into_iter()
            .flatten()
            .min()
    }

    /// What was decided since the last call.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// What the pool looks like.
    pub fn view(&self) -> PoolView {
        let mut view = PoolView {
            queued: self.queue.len() as u32,
            granted: self.running.len() as u32,
            loads: self.loads_ordered,
            stalls: self.stalls,
            ..PoolView::default()
        };
        for (name, r) in &self.replicas {
            view.outstanding.insert(name.clone(), r.outstanding());
            view.loaded.insert(name.clone(), r.loaded.clone());
        }
        view
    }

    /// Decisions that any change may have made possible.
    fn schedule(&mut self, now: Moment) {
        self.service_times.now = now;
        self.reserve_replicas(now);
        self.order_next_load(now);
    }
}

/// When a refused caller may come back, where nothing better is known.
pub(super) const DEFAULT_RETRY_AFTER: Span = Span::from_millis(1_000);
