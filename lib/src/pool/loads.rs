//! Loads: which adapter is loaded next, where, and what gives up its slot.

use super::queue::Lane;
use super::replica::Order;
use super::state::Pool;
use super::types::*;
use crate::ids::AdapterVersion;
use crate::ids::ReplicaName;

/// Microseconds that each waiting request makes its adapter's wait seem
/// older: a load that serves three callers goes before one that serves one.
const WAITING_CREDIT_US: f64 = 4_000_000.0;

/// A long request counts for less: nobody stands and waits for it.
const LONG_WEIGHT: f64 = 0.25;

/// Microseconds by which an adapter of one request a second seems older: its
/// load serves all that would come meanwhile. Bounded, so that the wait of an
/// adapter that one caller needs stays bounded too.
const RATE_CREDIT_US: f64 = 20_000_000.0;

/// The most that the expected demand counts, in microseconds.
const MAX_RATE_CREDIT_US: f64 = 40_000_000.0;

/// Microseconds by which a second copy seems younger: those who wait for it
/// will be served by the first copy at some time, the others by none.
const COPY_PENALTY_US: f64 = 2_000_000.0;

/// One load in so many goes to long work, also when shorter work waits.
const LONG_LOAD_INTERVAL: u64 = 6;

/// How long long work waits for its turn before a second copy is loaded.
const MAX_LONG_WAIT: Span = Span::from_millis(10_000);

/// Wanted loads of a lane looked at for one that can be ordered now.
pub(super) const MAX_LOADS_PROBED: usize = 8;

/// An order that has had no end for so many load times no longer holds the
/// others up.
const ORDER_TIMEOUT_LOADS: u64 = 8;

/// The first wait after a failed load, doubled at each further failure.
const INITIAL_BACKOFF_US: u64 = 500_000;

/// The longest wait after failed loads.
const MAX_BACKOFF_US: u64 = 30_000_000;

/// Failed loads in a row after which those who wait are told. One failure may
/// be the weight store's hiccup; after three the callers are better off
/// knowing than waiting for their deadline.
const MAX_LOAD_FAILURES: u32 = 3;

/// Seconds of silence, in mean intervals between requests, after which demand
/// is thought to have gone elsewhere.
pub(super) const MAX_SILENT_INTERVALS: f64 = 1.0;

impl Pool {
    /// The time of one load at full speed.
    pub(super) fn load_time(&self) -> Span {
        Span((1e6 / self.settings.loads_per_s.max(1e-3)) as u64)
    }

    /// Where a load of an adapter stands in the queue of loads; lower is
    /// earlier. `more` requests are counted that do not wait yet.
    ///
    /// Made for two or three loads a second against skewed demand. All loads
    /// cost the same, so the order of benefit per second of load is that of
    /// benefit: callers who wait, and those who are expected to come while it
    /// is not loaded. The age of the first wait is part of the key, so that
    /// each load has its turn at last.
    pub(super) fn load_key(&self, now: Moment, adapter: &AdapterVersion, more: usize) -> i64 {
        let half = self.half_life();
        let Some(e) = self.adapters.get(&Some(adapter.clone())) else {
            return now.0 as i64;
        };
        let since = if e.waiting() == 0 {
            now
        } else {
            e.waiting_since
        };
        let long = e.lane_queue(Lane::Long).len() as f64;
        let short = (e.waiting() + more) as f64 - long;
        let waiting = (short + long * LONG_WEIGHT - 1.0).max(0.0);
        let rate = e.demand.expected_rate(now, half, MAX_SILENT_INTERVALS);
        let expected = (rate * RATE_CREDIT_US).min(MAX_RATE_CREDIT_US);
        let copy = if e.holders.is_empty() {
            0.0
        } else {
            COPY_PENALTY_US
        };
        (since.0 as f64 - waiting * WAITING_CREDIT_US - expected + copy) as i64
    }

    /// Sets or ends that an adapter should be loaded.
    pub(super) fn update_load_key(&mut self, now: Moment, adapter: &AdapterVersion) {
        let key = self.needs_load(now, adapter);
        let key = key.then(|| self.load_key(now, adapter, 0));
        self.adapters.set_load_key(adapter, key);
    }

    /// Whether an adapter needs a load: something waits for it, and no live
    /// replica has it or all that have it are full while others are not.
    ///
    /// Made for a hot adapter whose replica is full. A second copy takes a
    /// slot from another adapter for good, so it is loaded only when another
    /// replica has room and more wait than those that have the adapter end
    /// within the time of the load, or for long work in the time it bears.
    fn needs_load(&self, now: Moment, adapter: &AdapterVersion) -> bool {
        let Some(e) = self.adapters.get(&Some(adapter.clone())) else {
            return false;
        };
        if e.waiting() == 0 || e.pending_loads > 0 || e.backoff_until > now {
            return false;
        }
        let holders = e.holders.iter().filter_map(|n| self.replicas.get(n));
        let live: Vec<_> = holders.filter(|r| r.live()).collect();
        if live.is_empty() {
            return true;
        }
        if self.available.is_empty() {
            return false;
        }
        Lane::ALL.into_iter().any(|lane| {
            let full = !live.iter().any(|r| self.has_lane_room(r, lane));
            let work = self.service_times.mean_time(lane).0 * e.lane_queue(lane).len() as u64;
            let batch: u32 = live.iter().map(|r| r.spec.batch).sum();
            let max_wait = match lane {
                Lane::Short => self.load_time().0,
                Lane::Long => MAX_LONG_WAIT.0,
            };
            full && work > max_wait * u64::from(batch)
        })
    }

    /// Orders the next load, one at a time.
    ///
    /// The weight store gives its full speed to one load only: two at a time
    /// end both later than one after the other. Loads for which only long work
    /// waits have a share of them and what the others leave: by their number
    /// alone they would hold up someone who stands and waits.
    pub(super) fn order_next_load(&mut self, now: Moment) {
        if now < self.slot_freeze || self.store_busy(now) {
            return;
        }
        if self.adapters.queued_loads() == 0 {
            self.prefetch_adapter(now);
            return;
        }
        let vacant = self.vacant_replicas(now);
        let probed = |lane| self.adapters.load_queue(lane).take(MAX_LOADS_PROBED);
        let turn = match self.loads_ordered % LONG_LOAD_INTERVAL {
            0 => [Lane::Long, Lane::Short],
            _ => Lane::ALL,
        };
        let wanted = turn.into_iter().flat_map(probed);
        let first = wanted.cloned().find_map(|adapter| {
            let (name, evict) = self.choose_slot(now, &adapter, &vacant)?;
            Some((adapter, name, evict))
        });
        if let Some((adapter, name, evict)) = first {
            self.order_load(now, &adapter, &name, evict);
        }
    }

    fn store_busy(&self, now: Moment) -> bool {
        let timeout = Span(self.load_time().0 * ORDER_TIMEOUT_LOADS);
        let sent_at = |name| {
            let r = self.replicas.get(name)?;
            r.order.as_ref().map(|o| o.sent_at)
        };
        let mut under_way = self.orders.values().filter_map(sent_at);
        under_way.any(|sent_at| sent_at.after(timeout) > now)
    }

    pub(super) fn order_load(
        &mut self,
        now: Moment,
        adapter: &AdapterVersion,
        name: &ReplicaName,
        evict: Option<AdapterVersion>,
    ) {
        self.loads_ordered += 1;
        let id = OrderId(self.loads_ordered);
        if let Some(old) = &evict {
            self.remove_loaded(now, name, old, false);
        }
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        r.order = Some(Order {
            id,
            adapter: adapter.clone(),
            evict: evict.clone(),
            sent_at: now,
        });
        self.commands.push(Command::Load {
            order: id,
            replica: name.clone(),
            incarnation: r.incarnation,
            adapter: adapter.clone(),
            evict,
        });
        self.orders.insert(id, name.clone());
        self.adapters.entry(&Some(adapter.clone())).pending_loads += 1;
        self.update_load_key(now, adapter);
    }

    /// An order ended.
    pub fn order_end(&mut self, now: Moment, order: OrderId, end: OrderEnd) {
        if let Some(name) = self.orders.remove(&order) {
            self.complete_order(now, &name, order, end);
            self.fill_replica(now, &name);
        }
        self.reserve_replicas(now);
        self.order_next_load(now);
    }

    fn complete_order(&mut self, now: Moment, name: &ReplicaName, order: OrderId, end: OrderEnd) {
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        let Some(o) = r.order.take_if(|o| o.id == order) else {
            return;
        };
        r.slots_changed = now;
        r.slots_unknown = matches!(end, OrderEnd::Unknown | OrderEnd::Fenced);
        let entry = self.adapters.entry(&Some(o.adapter.clone()));
        entry.pending_loads = entry.pending_loads.saturating_sub(1);
        match end {
            OrderEnd::Done => self.add_loaded(now, name, &o.adapter),
            OrderEnd::Failed | OrderEnd::Unknown => {
                self.mark_unconfirmed(name, &o, end);
                self.back_off(now, &o.adapter, end);
            }
            OrderEnd::Fenced => {
                if let Some(old) = &o.evict {
                    self.add_loaded(now, name, old);
                }
            }
        }
        self.update_load_key(now, &o.adapter);
    }

    /// After a load that may not have happened, or an eviction that may not,
    /// the slot counts as full of something that nothing is sent to.
    fn mark_unconfirmed(&mut self, name: &ReplicaName, o: &Order, end: OrderEnd) {
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        r.unconfirmed.extend(o.evict.clone());
        if end == OrderEnd::Unknown {
            r.unconfirmed.insert(o.adapter.clone());
        }
    }

    /// Lets a failing load wait, without holding up the others.
    ///
    /// Made for loads that fail for one adapter or for all: tried again at
    /// once, a broken adapter would take the whole rate of the weight store.
    fn back_off(&mut self, now: Moment, adapter: &AdapterVersion, end: OrderEnd) {
        let entry = self.adapters.entry(&Some(adapter.clone()));
        if end == OrderEnd::Failed {
            entry.failures = entry.failures.saturating_add(1);
        }
        let doublings = entry.failures.saturating_sub(1).min(10);
        let wait = (INITIAL_BACKOFF_US << doublings).min(MAX_BACKOFF_US);
        entry.backoff_until = now.after(Span(wait));
        let give_up = entry.failures >= MAX_LOAD_FAILURES && entry.holders.is_empty();
        self.backoffs.insert((entry.backoff_until, adapter.clone()));
        if give_up {
            self.refuse_failed(now, adapter, Span(wait));
        }
    }

    fn refuse_failed(&mut self, now: Moment, adapter: &AdapterVersion, after: Span) {
        let target = Some(adapter.clone());
        for ticket in self.queue.matching(|a| a.adapter == target) {
            self.refuse_waiting(now, ticket, Reason::LoadFailed, after);
        }
    }

    /// Lets loads back into the queue whose backoff has ended.
    pub(super) fn expire_backoffs(&mut self, now: Moment) {
        while let Some((at, _)) = self.backoffs.first()
            && *at <= now
            && let Some((_, adapter)) = self.backoffs.pop_first()
        {
            self.update_load_key(now, &adapter);
        }
    }
}
