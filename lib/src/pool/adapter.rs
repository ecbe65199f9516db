//! State of each adapter version, and ordered indexes over all versions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::demand::Demand;
use super::queue::Lane;
use super::types::Moment;
use super::types::Ticket;
use crate::ids::AdapterVersion;
use crate::ids::ReplicaName;

/// The target of a request: an adapter version, or `None` for the bare model or
/// plain service.
pub(super) type Target = Option<AdapterVersion>;

/// Maximum number of versions without a live copy that are remembered; idle
/// ones with the lowest request rate are forgotten first. Exceeds the design
/// target of 14,000 adapters with an old and a new version each.
const MAX_ADAPTERS: usize = 32_768;

/// State of one adapter version.
#[derive(Debug)]
pub(super) struct Adapter {
    /// Waiting requests by lane, ordered by fair-queueing tag.
    pub(super) lane_queues: [BTreeSet<(u64, Ticket)>; 2],
    /// Number of waiting requests that must run isolated.
    pub(super) isolated: u32,
    /// Time since which at least one request has been waiting: set when a
    /// request arrives while no other waits.
    pub(super) waiting_since: Moment,
    pub(super) demand: Demand,
    /// Replicas that hold the adapter, live or not.
    pub(super) holders: BTreeSet<ReplicaName>,
    /// Load orders in flight.
    pub(super) pending_loads: u32,
    /// Consecutive failed loads.
    pub(super) failures: u32,
    /// Earliest time of the next load.
    pub(super) backoff_until: Moment,
    load_key: Option<(Lane, i64)>,
    index_keys: Option<IndexKeys>,
}

/// Keys of an adapter in the ordered indexes, kept so that its entries can be
/// removed.
#[derive(Clone, Copy, Debug)]
struct IndexKeys {
    /// Order key of the request rate per copy, see [`Demand::order_key`].
    rate: i64,
    /// Time of the last request.
    used: Moment,
    /// Time from which the next request is overdue.
    due: Moment,
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

    /// Returns the number of requests that wait for the adapter.
    pub(super) fn waiting(&self) -> usize {
        self.lane_queues[0].len() + self.lane_queues[1].len() + self.isolated as usize
    }

    /// Returns whether a request of the short lane or an isolated one waits.
    pub(super) fn urgent(&self) -> bool {
        !self.lane_queues[Lane::Short.index()].is_empty() || self.isolated > 0
    }

    pub(super) fn lane_queue(&self, lane: Lane) -> &BTreeSet<(u64, Ticket)> {
        &self.lane_queues[lane.index()]
    }

    /// Returns whether no request waits for the adapter, no replica holds it and
    /// no load of it is in flight.
    fn idle(&self) -> bool {
        self.waiting() == 0 && self.holders.is_empty() && self.pending_loads == 0
    }
}

/// All adapter versions, with indexes that let each choice examine only the
/// first few entries.
#[derive(Debug, Default)]
pub(super) struct Adapters {
    all: BTreeMap<Target, Adapter>,
    /// Adapters that need a load, by the most urgent lane that waits and then
    /// by load key; the lowest key is loaded first.
    load_queues: [BTreeSet<(i64, AdapterVersion)>; 2],
    /// Evictable slots, the lowest request rate per copy first: the rate of the
    /// adapter divided by the number of its holders.
    by_rate: BTreeSet<(i64, ReplicaName, AdapterVersion)>,
    /// Evictable slots, the least recently requested first.
    by_use: BTreeSet<(Moment, ReplicaName, AdapterVersion)>,
    /// Evictable slots, the earliest overdue time first.
    by_due: BTreeSet<(Moment, ReplicaName, AdapterVersion)>,
    /// Known adapters that no live replica holds, the lowest request rate per
    /// copy first.
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
        self.all.entry(target.clone()).or_insert_with(Adapter::new)
    }

    pub(super) fn get_mut(&mut self, target: &Target) -> Option<&mut Adapter> {
        self.all.get_mut(target)
    }

    /// Returns the number of adapters in the load queues.
    pub(super) fn queued_loads(&self) -> usize {
        self.load_queues.iter().map(BTreeSet::len).sum()
    }

    /// Counts the queued loads of a lane with a key below `key`, up to `most`.
    pub(super) fn loads_before(&self, lane: Lane, key: i64, most: usize) -> usize {
        let before = self.load_queues[lane.index()].iter();
        before.take_while(|(k, _)| *k < key).take(most).count()
    }

    /// Returns the queued loads of a lane, the lowest key first.
    pub(super) fn load_queue(&self, lane: Lane) -> impl Iterator<Item = &AdapterVersion> {
        self.load_queues[lane.index()].iter().map(|(_, a)| a)
    }

    /// Queues a load of an adapter under `key`, or removes it from the queue.
    /// Lower keys are loaded first.
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

    /// Returns evictable slots, the lowest request rate per copy first: the rate
    /// of the adapter divided by the number of its holders.
    pub(super) fn least_requested(&self) -> impl Iterator<Item = (&ReplicaName, &AdapterVersion)> {
        self.by_rate.iter().map(|(_, r, a)| (r, a))
    }

    /// Returns evictable slots, the least recently requested first.
    pub(super) fn least_recent(&self) -> impl Iterator<Item = (&ReplicaName, &AdapterVersion)> {
        self.by_use.iter().map(|(_, r, a)| (r, a))
    }

    /// Returns evictable slots whose next request is overdue, the longest
    /// overdue first.
    pub(super) fn overdue(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (&ReplicaName, &AdapterVersion)> {
        let due = self
            .by_due
            .iter()
            .take_while(move |(due, _, _)| *due <= now);
        due.map(|(_, r, a)| (r, a))
    }

    /// Returns adapters that no live replica holds, the highest request rate
    /// per copy first.
    pub(super) fn most_requested_unloaded(&self) -> impl Iterator<Item = &AdapterVersion> {
        self.unloaded.iter().rev().map(|(_, a)| a)
    }

    /// Removes an adapter from the indexes. Must be called before its demand,
    /// holders or evictable slots change; [`Adapters::index`] adds it again.
    pub(super) fn unindex(&mut self, adapter: &AdapterVersion) {
        let Some(a) = self.all.get_mut(&Some(adapter.clone())) else {
            return;
        };
        let Some(IndexKeys { rate, used, due }) = a.index_keys.take() else {
            return;
        };
        self.unloaded.remove(&(rate, adapter.clone()));
        for r in &a.holders {
            self.by_rate.remove(&(rate, r.clone(), adapter.clone()));
            self.by_use.remove(&(used, r.clone(), adapter.clone()));
            self.by_due.remove(&(due, r.clone(), adapter.clone()));
        }
    }

    /// Adds an adapter to the indexes. `evictable` returns whether its slot at a
    /// replica may be evicted.
    pub(super) fn index(
        &mut self,
        adapter: &AdapterVersion,
        half_life: f64,
        live: impl Fn(&ReplicaName) -> bool,
        evictable: impl Fn(&ReplicaName) -> bool,
    ) {
        let Some(a) = self.all.get_mut(&Some(adapter.clone())) else {
            return;
        };
        let rate = a.demand.order_key(a.holders.len());
        let used = a.demand.last_request;
        let due = a.demand.overdue_at(half_life);
        a.index_keys = Some(IndexKeys { rate, used, due });
        if !a.holders.iter().any(live) {
            self.unloaded.insert((rate, adapter.clone()));
        }
        for r in a.holders.iter().filter(|r| evictable(r)) {
            self.by_rate.insert((rate, r.clone(), adapter.clone()));
            self.by_use.insert((used, r.clone(), adapter.clone()));
            self.by_due.insert((due, r.clone(), adapter.clone()));
        }
        if self.unloaded.len() > MAX_ADAPTERS {
            self.forget_idle();
        }
    }

    /// Forgets the idle adapter with the lowest request rate.
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
