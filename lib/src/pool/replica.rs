//! What the pool knows of one replica.

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

/// The part that the newest answer has in the measured pace: about the last
/// ten answers count, so that a replica that turned slow is known within a
/// second at ten answers a second and one slow answer does not condemn it.
const EWMA_WEIGHT: f64 = 0.1;

/// Ended dispatches remembered: more than a replica ends in a report's age.
const MAX_RECENT_ENDS: usize = 256;

/// An order under way.
#[derive(Debug)]
pub(super) struct Order {
    pub(super) id: OrderId,
    pub(super) adapter: AdapterVersion,
    pub(super) evict: Option<AdapterVersion>,
    pub(super) sent_at: Moment,
}

/// One replica.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) spec: ReplicaSpec,
    pub(super) health: Health,
    pub(super) incarnation: Incarnation,
    /// Whether it has reported since it was configured.
    pub(super) has_reported: bool,
    /// Whether it is still configured.
    pub(super) configured: bool,
    /// A connection to it broke and no later report has come.
    pub(super) suspended_at: Option<Moment>,
    /// What requests may be sent to.
    pub(super) loaded: BTreeSet<AdapterVersion>,
    /// What may still fill a slot but must not be sent to: an eviction or a
    /// load that ended unknown, or an answer by another adapter.
    pub(super) unconfirmed: BTreeSet<AdapterVersion>,
    /// Dispatches by adapter; such an adapter is never evicted.
    pub(super) in_use: BTreeMap<AdapterVersion, u32>,
    pub(super) order: Option<Order>,
    /// When its slots were last changed by an order: a report of an older
    /// state says nothing about them.
    pub(super) slots_changed: Moment,
    /// Whether an order ended unknown and no later report has settled it.
    pub(super) slots_unknown: bool,
    /// Dispatches of this incarnation.
    pub(super) tickets: BTreeSet<Ticket>,
    /// Of these, long ones.
    pub(super) long_count: u32,
    /// Long dispatches by adapter.
    pub(super) long_in_use: BTreeMap<AdapterVersion, u32>,
    /// Requests in the engine that are not ours, by its last report.
    pub(super) external: u32,
    /// When the last dispatches ended, the oldest first.
    pub(super) recent_ends: VecDeque<Moment>,
    /// Microseconds a token (an answer at a plain service); 0 is not known.
    pub(super) token_us: f64,
    /// The request that has it, or will have it, alone.
    pub(super) isolated: Option<Ticket>,
    /// The score under which it stands in the index of open replicas.
    pub(super) score: Option<u64>,
}

impl Replica {
    pub(super) fn new(spec: ReplicaSpec) -> Self {
        Self {
            spec,
            health: Health::Suspect,
            incarnation: Incarnation(0),
            has_reported: false,
            configured: true,
            suspended_at: None,
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
            recent_ends: VecDeque::new(),
            token_us: 0.0,
            isolated: None,
            score: None,
        }
    }

    /// Whether it may get new work at all.
    pub(super) fn live(&self) -> bool {
        self.configured
            && self.has_reported
            && self.health == Health::Live
            && self.suspended_at.is_none()
    }

    /// Whether it may become live without being configured anew.
    pub(super) fn may_recover(&self) -> bool {
        self.configured && matches!(self.health, Health::Live | Health::Suspect)
    }

    pub(super) fn outstanding(&self) -> u32 {
        self.tickets.len() as u32
    }

    /// Whether it takes one more request beside others.
    pub(super) fn accepts_work(&self) -> bool {
        self.live() && self.isolated.is_none() && self.busy() < self.spec.batch
    }

    /// Whether it takes one more request of this lane, given the parts of the
    /// batch, in hundredths, that long work may hold at most and that waiting
    /// long work is left.
    ///
    /// Made for long work beside counters. Without the cap, long work that
    /// came in a quiet minute holds the whole batch for seconds and a counter
    /// waits behind it; without the floor, a busy counter starves long work
    /// for good.
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

    /// Requests in its batch as far as is known.
    pub(super) fn busy(&self) -> u32 {
        self.outstanding() + self.external
    }

    /// Slots that hold nothing and are promised to nothing.
    pub(super) fn has_vacant_slot(&self) -> bool {
        let used = self.loaded.len() + self.unconfirmed.len() + usize::from(self.order.is_some());
        used < self.spec.slots as usize
    }

    /// Whether an order may be sent to it.
    pub(super) fn orderable(&self) -> bool {
        self.live() && self.order.is_none() && !self.slots_unknown && self.spec.slots > 0
    }

    /// Takes in how many requests the engine had at `seen`. Those of ours that
    /// have ended since are in the count and no longer here; without them a
    /// report that lags would show each ended request as another's.
    pub(super) fn update_external(&mut self, observed_at: Moment, reported: u32) {
        let since = self
            .recent_ends
            .iter()
            .rev()
            .take_while(|at| **at >= observed_at);
        let own = self.outstanding() + since.count() as u32;
        self.external = reported.saturating_sub(own).min(self.spec.batch / 2);
    }

    /// Notes that a dispatch ended.
    pub(super) fn record_end(&mut self, now: Moment) {
        self.recent_ends.push_back(now);
        if self.recent_ends.len() > MAX_RECENT_ENDS {
            self.recent_ends.pop_front();
        }
    }

    /// Takes in how long an answer of `tokens` tokens took.
    pub(super) fn record_token_time(&mut self, micros: u64, tokens: u32) {
        let sample = micros as f64 / f64::from(tokens.max(1));
        self.token_us = match self.token_us > 0.0 {
            true => self.token_us + EWMA_WEIGHT * (sample - self.token_us),
            false => sample,
        };
    }

    /// Whether long work may use an adapter's slot: one that it uses already,
    /// or one more while it holds fewer than `cap` hundredths of the slots.
    ///
    /// Made for full saturation by long work. When it uses every slot, none
    /// can be evicted for seconds, and a counter whose adapter is not loaded
    /// waits behind all of it.
    pub(super) fn long_slot_allowed(&self, target: &Option<AdapterVersion>, cap: u32) -> bool {
        let Some(adapter) = target else {
            return true;
        };
        let held = self.long_in_use.len() as u32;
        self.long_in_use.contains_key(adapter) || held < percent_of(self.spec.slots, cap).max(1)
    }

    /// Counts a dispatch of long work up.
    pub(super) fn begin_long(&mut self, target: &Option<AdapterVersion>) {
        self.long_count += 1;
        if let Some(adapter) = target {
            *self.long_in_use.entry(adapter.clone()).or_insert(0) += 1;
        }
    }

    /// Counts a dispatch of long work down.
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

    pub(super) fn acquire(&mut self, adapter: &AdapterVersion) {
        *self.in_use.entry(adapter.clone()).or_insert(0) += 1;
    }

    /// Ends a hold; true when nothing uses the adapter any more.
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

/// `hundredths` of a batch, rounded down.
pub(super) fn percent_of(batch: u32, percent: u32) -> u32 {
    batch * percent / 100
}
