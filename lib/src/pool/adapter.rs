//! What the pool knows of one adapter version, and the ordered indexes over
//! all of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::demand::Demand;
use super::queue::Lane;
use super::types::Moment;
use super::types::Ticket;
use crate::ids::AdapterVersion;
use crate::ids::ReplicaName;

/// What a request runs on: an adapter, or the bare model or service.
pub(super) type Target = Option<AdapterVersion>;

/// The most versions remembered; those least asked for are forgotten first.
/// Above the 14,000 adapters of the target with a new and an old version each.
const MAX_ADAPTERS: usize = 32_768;

/// One adapter version.
#[derive(Debug)]
pub(super) struct Adapter {
    /// What waits for it, by lane, in the order of their turn.
    pub(super) lane_queues: [BTreeSet<(u64, Ticket)>; 2],
    /// How many suspects wait for it.
    pub(super) isolated: u32,
    /// Since when something has waited for it.
    pub(super) waiting_since: Moment,
    pub(super) demand: Demand,
    /// Replicas that have it, live or not.
    pub(super) holders: BTreeSet<ReplicaName>,
    /// Orders under way for it.
    pub(super) pending_loads: u32,
    /// Loads that failed one after the other.
    pub(super) failures: u32,
    /// No load before then.
    pub(super) backoff_until: Moment,
    load_key: Option<(Lane, i64)>,
    index_keys: Option<IndexKeys>,
}

/// The keys under which an adapter stands in the indexes.
#[derive(Clone, Copy, Debug)]
struct IndexKeys {
    rate_key: i64,
    last_request: Moment,
    overdue_at: Moment,
}

impl Adapter {
    fn new() -> Self {
        Self {
            lane_queues: [BTreeSet::new(), BTreeSet::new()],
            isolated: 0,
            waiting_since: Moment(0),
            demand: Demand::NONE,
            holders: BTreeSet::new(),
            pending_loads: 0,
            failures: 0,
            backoff_until: Moment(0),
            load_key: None,
            index_keys: None,
        }
    }

    /// How many requests wait for it.
    pub(super) fn waiting(&self) -> usize {
        self.lane_queues[0].len() + self.lane_queues[1].len() + self.isolated as usize
    }

    /// Whether someone stands and waits for it.
    pub(super) fn urgent(&self) -> bool {
        !self.lane_queues[Lane::Short.index()].is_empty() || self.isolated > 0
    }

    pub(super) fn lane_queue(&self, lane: Lane) -> &BTreeSet<(u64, Ticket)> {
        &self.lane_queues[lane.index()]
    }

    fn idle(&self) -> bool {
        self.waiting() == 0 && self.holders.is_empty() && self.pending_loads == 0
    }
}

/// All adapter versions, with the sets that make each choice a look at the
/// first few entries.
#[derive(Debug, Default)]
pub(super) struct Adapters {
    all: BTreeMap<Target, Adapter>,
    /// Adapters that something waits for and that should be loaded, the most
    /// beneficial load first; by the most urgent lane that waits.
    load_queues: [BTreeSet<(i64, AdapterVersion)>; 2],
    /// Slots that nothing uses, the least asked for first.
    by_rate: BTreeSet<(i64, ReplicaName, AdapterVersion)>,
    /// The same, the longest silent first.
    by_last_use: BTreeSet<(Moment, ReplicaName, AdapterVersion)>,
    /// The same, those first whose next request is the longest overdue.
    by_overdue: BTreeSet<(Moment, ReplicaName, AdapterVersion)>,
    /// Known adapters that no live replica has, the least asked for first.
    unloaded: BTreeSet<(i64, AdapterVersion)>,
}

impl Adapters {
    pub(super) fn get(&self, target: &Target) -> Option<&Adapter> {
        self.all.get(target)
    }

    pub(super) fn entry(&mut self, target: &Target) -> &mut Adapter {
        if !self.all.contains_key(target) {
            self.all.insert(target.clone(), Adapter::new());
        }
        // The entry was just made sure of.
        self.all.entry(target.clone()).or_insert_with(Adapter::new)
    }

    pub(super) fn get_mut(&mut self, target: &Target) -> Option<&mut Adapter> {
        self.all.get_mut(target)
    }

    /// How many adapters wait for a load.
    pub(super) fn queued_loads(&self) -> usize {
        self.load_queues.iter().map(BTreeSet::len).sum()
    }

    /// How many loads come before one of this key, counted up to `most`.
    pub(super) fn loads_before(&self, lane: Lane, key: i64, most: usize) -> usize {
        let before = self.load_queues[lane.index()].iter();
        before.take_while(|(k, _)| *k < key).take(most).count()
    }

    /// The loads that wait in a lane, the most beneficial first.
    pub(super) fn load_queue(&self, lane: Lane) -> impl Iterator<Item = &AdapterVersion> {
        self.load_queues[lane.index()].iter().map(|(_, a)| a)
    }

    /// Sets or ends that an adapter should be loaded; lower keys go first.
    pub(super) fn set_load_key(&mut self, adapter: &AdapterVersion, key: Option<i64>) {
        let Some(a) = self.all.get_mut(&Some(adapter.clone())) else {
            return;
        };
        let lane = if a.urgent() { Lane::Short } else { Lane::Long };
        let new = key.map(|key| (lane, key));
        if a.load_key == new {
            return;
        }
        if let Some((lane, old)) = a.load_key {
            self.load_queues[lane.index()].remove(&(old, adapter.clone()));
        }
        if let Some((lane, new)) = new {
            self.load_queues[lane.index()].insert((new, adapter.clone()));
        }
        a.load_key = new;
    }

    /// Idle slots in the order of least demand.
    pub(super) fn least_requested(&self) -> impl Iterator<Item = (&ReplicaName, &AdapterVersion)> {
        self.by_rate.iter().map(|(_, r, a)| (r, a))
    }

    /// Idle slots in the order of longest silence.
    pub(super) fn least_recent(&self) -> impl Iterator<Item = (&ReplicaName, &AdapterVersion)> {
        self.by_last_use.iter().map(|(_, r, a)| (r, a))
    }

    /// Idle slots whose next request is overdue, the longest overdue first.
    pub(super) fn overdue(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (&ReplicaName, &AdapterVersion)> {
        let due = self
            .by_overdue
            .iter()
            .take_while(move |(due, _, _)| *due <= now);
        due.map(|(_, r, a)| (r, a))
    }

    /// Adapters that no live replica has, the most asked for first.
    pub(super) fn hottest_unloaded(&self) -> impl Iterator<Item = &AdapterVersion> {
        self.unloaded.iter().rev().map(|(_, a)| a)
    }

    /// Takes an adapter out of the indexes before its demand, holders or idle
    /// slots change; [`Adapters::index`] puts it back.
    pub(super) fn unindex(&mut self, adapter: &AdapterVersion) {
        let Some(a) = self.all.get_mut(&Some(adapter.clone())) else {
            return;
        };
        let Some(IndexKeys {
            rate_key,
            last_request,
            overdue_at,
        }) = a.index_keys.take()
        else {
            return;
        };
        self.unloaded.remove(&(rate_key, adapter.clone()));
        for r in &a.holders {
            self.by_rate.remove(&(rate_key, r.clone(), adapter.clone()));
            self.by_last_use
                .remove(&(last_request, r.clone(), adapter.clone()));
            self.by_overdue
                .remove(&(overdue_at, r.clone(), adapter.clone()));
        }
    }

    /// Puts an adapter into the indexes; `idle` tells whether its slot at a
    /// replica may be evicted.
    pub(super) fn index(
        &mut self,
        adapter: &AdapterVersion,
        half_life_us: f64,
        live: impl Fn(&ReplicaName) -> bool,
        idle: impl Fn(&ReplicaName) -> bool,
    ) {
        let Some(a) = self.all.get_mut(&Some(adapter.clone())) else {
            return;
        };
        let rate_key = a.demand.order_key(a.holders.len());
        let last_request = a.demand.last_request;
        let overdue_at = a.demand.overdue_at(half_life_us);
        a.index_keys = Some(IndexKeys {
            rate_key,
            last_request,
            overdue_at,
        });
        if !a.holders.iter().any(live) {
            self.unloaded.insert((rate_key, adapter.clone()));
        }
        for r in a.holders.iter().filter(|r| idle(r)) {
            self.by_rate.insert((rate_key, r.clone(), adapter.clone()));
            self.by_last_use
                .insert((last_request, r.clone(), adapter.clone()));
            self.by_overdue
                .insert((overdue_at, r.clone(), adapter.clone()));
        }
        if self.unloaded.len() > MAX_ADAPTERS {
            self.forget_idle();
        }
    }

    fn forget_idle(&mut self) {
        let idle = |a: &&(i64, AdapterVersion)| {
            self.all
                .get(&Some(a.1.clone()))
                .is_none_or(|adapter| adapter.idle())
        };
        if let Some(entry) = self.unloaded.iter().find(idle).cloned() {
            self.unloaded.remove(&entry);
            self.all.remove(&Some(entry.1));
        }
    }
}
