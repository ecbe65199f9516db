//! State of one replica.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::queue::Lane;
use super::types::Health;
use super::types::Moment;
use super::types::OrderId;
use super::types::ReplicaSpec;
use super::types::Ticket;
use crate::ids::AdapterVersion;
use crate::ids::Incarnation;

/// Weight of the newest sample in the moving average of the time per token.
/// About the last ten answers count: at ten answers per second a slow replica
/// is detected within a second, and one slow answer has little effect.
const EWMA_WEIGHT: f64 = 0.1;

/// Maximum number of ended dispatches remembered; more than a replica completes
/// during the age of a report.
const MAX_RECENT_ENDS: usize = 256;

/// A load order in flight.
#[derive(Debug)]
pub(super) struct Order {
    pub(super) id: OrderId,
    pub(super) adapter: AdapterVersion,
    pub(super) evict: Option<AdapterVersion>,
    pub(super) sent_at: Moment,
}

/// State of one replica.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) spec: ReplicaSpec,
    pub(super) health: Health,
    pub(super) incarnation: Incarnation,
    /// Whether the replica has reported since it was configured.
    pub(super) reported: bool,
    /// Whether the replica is configured.
    pub(super) configured: bool,
    /// When a connection broke or a dispatch was refused; cleared by a later
    /// report.
    pub(super) suspended: Option<Moment>,
    /// Adapters that requests may be sent to.
    pub(super) loaded: BTreeSet<AdapterVersion>,
    /// Adapters that may occupy a slot but must receive no requests: an
    /// eviction or load of them had an unknown result, or an answer named
    /// another adapter.
    pub(super) unconfirmed: BTreeSet<AdapterVersion>,
    /// Dispatches by adapter, retained slots included. An adapter listed here
    /// is never evicted.
    pub(super) in_use: BTreeMap<AdapterVersion, u32>,
    pub(super) order: Option<Order>,
    /// When an order last changed the slots; the slots in a report observed
    /// earlier are ignored.
    pub(super) slots_changed: Moment,
    /// Whether an order ended with an unknown result or was fenced, and no
    /// later report has settled the slots.
    pub(super) slots_unknown: bool,
    /// Dispatches in flight of this incarnation.
    pub(super) tickets: BTreeSet<Ticket>,
    /// Long dispatches in flight.
    pub(super) long_count: u32,
    /// Long dispatches in flight by adapter.
    pub(super) long_in_use: BTreeMap<AdapterVersion, u32>,
    /// Requests in the engine by the last report that this pool did not
    /// dispatch.
    pub(super) external: u32,
    /// When the latest dispatches ended, the oldest first.
    pub(super) ended: VecDeque<Moment>,
    /// Moving average of microseconds per token, or per answer of a plain
    /// service; 0 until known.
    pub(super) token_us: f64,
    /// The request that the replica is reserved for or runs alone.
    pub(super) isolated: Option<Ticket>,
    /// Score in the index of available replicas; `None` if not in the index.
    pub(super) score: Option<u64>,
}

impl Replica {
    pub(super) fn new(spec: ReplicaSpec) -> Self {
        Self {
            spec,
            health: Health::Suspect,
            incarnation: Incarnation(0),
            reported: false,
            configured: true,
            suspended: None,
            loaded: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            in_use: BTreeMap::new(),
            order: None,
            slots_changed: Moment(0),
            slots_unknown: false,
            tickets: BTreeSet::new(),
            long_count: 0,
            long_in_use: BTreeMap::new(),
            external: 0,
            ended: VecDeque::new(),
            token_us: 0.0,
            isolated: None,
            score: None,
        }
    }

    /// Returns whether the replica may receive new work.
    pub(super) fn live(&self) -> bool {
        self.configured && self.reported && self.health == Health::Live && self.suspended.is_none()
    }

    /// Returns whether the replica is live or may become live without being
    /// configured again.
    pub(super) fn may_recover(&self) -> bool {
        self.configured && matches!(self.health, Health::Live | Health::Suspect)
    }

    /// Returns the number of dispatches in flight.
    pub(super) fn outstanding(&self) -> u32 {
        self.tickets.len() as u32
    }

    /// Returns whether the replica may run one more request together with
    /// others.
    pub(super) fn accepts_work(&self) -> bool {
        self.live() && self.isolated.is_none() && self.busy() < self.spec.batch
    }

    /// Returns whether the replica may run one more request of a lane. `cap` is
    /// the largest part of the batch that long work may hold, and `floor` the
    /// part reserved for it while long work waits, both in percent.
    ///
    /// Without the cap, long work that arrives while there is little short work
    /// holds the whole batch for seconds and delays the short work that follows.
    /// Without the floor, steady short work starves long work.
    pub(super) fn has_room(&self, lane: Lane, cap: u32, floor: u32, long_waits: bool) -> bool {
        if !self.accepts_work() {
            return false;
        }
        match lane {
            Lane::Long => self.long_count < percent_of(self.spec.batch, cap).max(1),
            Lane::Short => {
                let reserved = percent_of(self.spec.batch, floor).saturating_sub(self.long_count);
                !long_waits || self.busy() + reserved < self.spec.batch
            }
        }
    }

    /// Returns the number of requests in the engine as far as known.
    pub(super) fn busy(&self) -> u32 {
        self.outstanding() + self.external
    }

    /// Returns whether a slot is free: it holds nothing and no load into it is
    /// in flight.
    pub(super) fn has_vacant_slot(&self) -> bool {
        let used = self.loaded.len() + self.unconfirmed.len() + usize::from(self.order.is_some());
        used < self.spec.slots as usize
    }

    /// Returns whether a load order may be sent to the replica.
    pub(super) fn orderable(&self) -> bool {
        self.live() && self.order.is_none() && !self.slots_unknown && self.spec.slots > 0
    }

    /// Updates the number of external requests from a report that counted
    /// `reported` requests at `observed`. The report includes dispatches that
    /// have ended since; they are counted as own ones, or a lagging report
    /// would show each of them as external.
    pub(super) fn update_external(&mut self, observed: Moment, reported: u32) {
        let since = self.ended.iter().rev().take_while(|at| **at >= observed);
        let own = self.outstanding() + since.count() as u32;
        self.external = reported.saturating_sub(own).min(self.spec.batch / 2);
    }

    /// Records the end of a dispatch.
    pub(super) fn record_end(&mut self, now: Moment) {
        self.ended.push_back(now);
        if self.ended.len() > MAX_RECENT_ENDS {
            self.ended.pop_front();
        }
    }

    /// Records the duration of an answer of `tokens` tokens.
    pub(super) fn record_token_time(&mut self, micros: u64, tokens: u32) {
        let sample = micros as f64 / f64::from(tokens.max(1));
        self.token_us = match self.token_us > 0.0 {
            true => self.token_us + EWMA_WEIGHT * (sample - self.token_us),
            false => sample,
        };
    }

    /// Returns whether long work may use the slot of an adapter: it uses the
    /// slot already, or it uses fewer than `cap` percent of the slots.
    ///
    /// Handles saturation by long work. If long work used every slot, no adapter
    /// could be evicted for seconds, and short work for an adapter that is not
    /// loaded would wait for all of it.
    pub(super) fn long_slot_allowed(&self, target: &Option<AdapterVersion>, cap: u32) -> bool {
        let Some(adapter) = target else {
            return true;
        };
        let held = self.long_in_use.len() as u32;
        self.long_in_use.contains_key(adapter) || held < percent_of(self.spec.slots, cap).max(1)
    }

    /// Records the start of a long dispatch.
    pub(super) fn begin_long(&mut self, target: &Option<AdapterVersion>) {
        self.long_count += 1;
        if let Some(adapter) = target {
            *self.long_in_use.entry(adapter.clone()).or_insert(0) += 1;
        }
    }

    /// Records the end of a long dispatch.
    pub(super) fn end_long(&mut self, target: &Option<AdapterVersion>) {
        self.long_count -= 1;
        if let Some(adapter) = target
            && let Some(n) = self.long_in_use.get_mut(adapter)
        {
            *n -= 1;
            if *n == 0 {
                self.long_in_use.remove(adapter);
            }
        }
    }

    /// Counts one more use of an adapter.
    pub(super) fn acquire(&mut self, adapter: &AdapterVersion) {
        *self.in_use.entry(adapter.clone()).or_insert(0) += 1;
    }

    /// Releases one use of an adapter; returns true if no use is left.
    pub(super) fn release(&mut self, adapter: &AdapterVersion) -> bool {
        let Some(n) = self.in_use.get_mut(adapter) else {
            return true;
        };
        *n -= 1;
        let free = *n == 0;
        if free {
            self.in_use.remove(adapter);
        }
        free
    }
}

/// Returns `percent` of `total`, rounded down.
pub(super) fn percent_of(total: u32, percent: u32) -> u32 {
    total * percent / 100
}
