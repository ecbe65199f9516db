//! The state of a pool, and the calls by which its owner drives it.

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

/// A dispatch in flight.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub(super) replica: ReplicaName,
    pub(super) incarnation: Incarnation,
    pub(super) target: Target,
    pub(super) lane: Lane,
    pub(super) fingerprint: Fingerprint,
    pub(super) isolated: bool,
}

/// The scheduler of one pool. Calls change its state, and its decisions are
/// collected by [`Pool::take_commands`].
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
    /// Replicas that accept work by score, the least loaded first.
    pub(super) available: BTreeSet<(u64, ReplicaName)>,
    pub(super) adapters: Adapters,
    pub(super) queue: Queue,
    pub(super) fair_queues: [FairQueue; 2],
    pub(super) running: BTreeMap<Ticket, Dispatch>,
    /// Suspects that wait for a reservation, the oldest first.
    pub(super) isolation_queue: BTreeSet<(Moment, Ticket)>,
    /// Replicas reserved for suspects that still wait.
    pub(super) reserved: BTreeMap<Ticket, ReplicaName>,
    /// Load orders in flight.
    pub(super) orders: BTreeMap<OrderId, ReplicaName>,
    /// Ends of backoffs after failed loads.
    pub(super) backoffs: BTreeSet<(Moment, AdapterVersion)>,
    /// Ends of the delays of long work.
    pub(super) batch_delays: BTreeSet<(Moment, AdapterVersion)>,
    pub(super) service: ServiceTimes,
    pub(super) retry_budget: RetryBudget,
    pub(super) poison: PoisonTracker,
    pub(super) prefixes: Prefixes,
    pub(super) commands: Vec<Command>,
    /// No slot is changed before this time.
    pub(super) slot_freeze: Moment,
    /// No adapter is evicted before this time.
    pub(super) evict_freeze: Moment,
    /// Ends of the retention of slots.
    pub(super) retention_ends: BTreeSet<(Moment, Ticket)>,
    pub(super) retained: BTreeMap<Ticket, Dispatch>,
    pub(super) draining: bool,
    pub(super) loads_ordered: u64,
    pub(super) stalls: u64,
    pub(super) live_count: usize,
}

/// Snapshot of the state of a pool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolView {
    /// Waiting requests.
    pub queued: u32,
    /// Dispatches in flight.
    pub granted: u32,
    /// Loads ordered since the pool was created.
    pub loads: u64,
    /// Requests that had to wait for a load of their adapter.
    pub stalls: u64,
    /// Dispatches in flight by replica.
    pub outstanding: BTreeMap<ReplicaName, u32>,
    /// Loaded adapter versions by replica.
    pub loaded: BTreeMap<ReplicaName, BTreeSet<AdapterVersion>>,
}

impl Pool {
    /// Creates a pool without replicas.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Replaces the shares of the teams; waiting requests keep their place.
    pub fn set_shares(&mut self, shares: &Shares) {
        self.settings.shares = shares.clone();
    }

    /// Replaces the set of replicas. Removed ones receive nothing new and are
    /// forgotten some time after their last dispatch has ended.
    pub fn set_replicas(&mut self, now: Moment, specs: &[ReplicaSpec]) {
        let keep: BTreeSet<_> = specs.iter().map(|s| s.name.clone()).collect();
        let names: Vec<_> = self.replicas.keys().cloned().collect();
        for name in names.iter().filter(|name| !keep.contains(*name)) {
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

    /// Sets the health of a replica.
    pub fn set_health(&mut self, now: Moment, name: &ReplicaName, health: Health) {
        self.update_replica(now, name, |r| r.health = health);
        self.schedule(now);
    }

    /// Applies a load report. A new incarnation is reset to what it reports.
    pub fn report(&mut self, now: Moment, report: LoadReport) {
        let name = report.replica.clone();
        let Some(r) = self.replicas.get(&name) else {
            return;
        };
        if !r.reported || r.incarnation != report.incarnation {
            self.reset_replica(now, &name, report);
        } else {
            self.apply_report(now, &name, report);
        }
        self.schedule(now);
    }

    /// Submits a request, which is refused, dispatched or queued.
    pub fn offer(&mut self, now: Moment, arrival: Arrival) {
        if let Err((reason, after)) = self.admit(now, &arrival) {
            self.refuse(arrival.ticket, reason, after);
            return;
        }
        self.enqueue(now, arrival);
        self.schedule(now);
    }

    /// Removes a waiting request whose caller went away.
    pub fn abandon(&mut self, now: Moment, ticket: Ticket) {
        self.cancel_waiting(now, ticket);
        self.schedule(now);
    }

    /// Records the end of a dispatch, or that its grant expired.
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

    /// Records a dispatch that an earlier owner granted.
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

    /// Blocks a request that crashes its upstream for `duration`, and refuses
    /// the waiting copies of it.
    pub fn block(&mut self, now: Moment, fingerprint: Fingerprint, duration: Span) {
        self.poison.block(now, fingerprint, now.after(duration));
        for ticket in self.queue.matching(|a| a.fingerprint == fingerprint) {
            self.refuse_waiting(now, ticket, Reason::Convicted, duration);
        }
        self.schedule(now);
    }

    /// Prohibits loads and evictions before `until`. A new owner calls this
    /// while engines that ignore fencing tokens may still execute orders of an
    /// earlier owner.
    pub fn freeze_slots(&mut self, until: Moment) {
        self.slot_freeze = self.slot_freeze.max(until);
    }

    /// Prohibits evictions before `until`; loads into vacant slots continue. A
    /// new owner calls this where engines refuse orders of an earlier owner.
    /// Requests may still run under grants that the new owner does not know,
    /// and a load into a vacant slot does not affect them.
    pub fn freeze_evictions(&mut self, until: Moment) {
        self.evict_freeze = self.evict_freeze.max(until);
    }

    /// Refuses all waiting and all future requests.
    pub fn drain(&mut self, now: Moment) {
        self.draining = true;
        for ticket in self.queue.matching(|_| true) {
            self.refuse_waiting(now, ticket, Reason::Draining, RETRY_DELAY);
        }
    }

    /// Refuses waiting requests that can no longer meet their deadline, handles
    /// other expired timers and schedules work.
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

    /// Returns the time of the next required call of [`Pool::tick`].
    pub fn next_wake(&self) -> Option<Moment> {
        let expiry = self.queue.next_expiry();
        let backoff = self.backoffs.first().map(|(at, _)| *at);
        let wanted = self.adapters.queued_loads() > 0;
        let retention = self.retention_ends.first().map(|(at, _)| *at);
        // The ends of freezes and of retentions matter only while a load is queued.
        let slot_changes = [Some(self.slot_freeze), Some(self.evict_freeze), retention];
        let slot_changes = slot_changes.into_iter().flatten();
        let slot_change = slot_changes
            .filter(|at| wanted && *at > self.service.now)
            .min();
        let delay = self.batch_delays.first().map(|(at, _)| *at);
        [expiry, backoff, slot_change, delay]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the decisions made since the last call, in order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Returns a snapshot of the state.
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

    /// Reserves replicas and orders loads, which any change may have made
    /// possible.
    fn schedule(&mut self, now: Moment) {
        self.service.now = now;
        self.reserve_replicas(now);
        self.order_next_load(now);
    }
}

/// Retry time given to a refused caller if no estimate is available.
pub(super) const RETRY_DELAY: Span = Span::from_millis(1_000);
