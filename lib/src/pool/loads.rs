//! Adapter loads: which adapter is loaded next, and what follows when an order
//! ends.

use super::queue::Lane;
use super::replica::Order;
use super::state::Pool;
use super::types::*;
use crate::ids::AdapterVersion;
use crate::ids::ReplicaName;

/// Head start in the load queue per waiting request beyond the first, in
/// microseconds: a load that serves three callers precedes one that serves one.
const WAITING_CREDIT_US: f64 = 4_000_000.0;

/// Weight of a long request relative to a short one, whose caller waits for the
/// first token.
const LONG_WEIGHT: f64 = 0.25;

/// Head start in the load queue per expected request per second, in
/// microseconds: the load also serves the requests that will arrive meanwhile.
const RATE_CREDIT_US: f64 = 20_000_000.0;

/// Upper bound of the head start for expected requests, in microseconds, so
/// that the wait of an adapter needed by one caller stays bounded.
const MAX_RATE_CREDIT_US: f64 = 40_000_000.0;

/// Delay in the load queue of a further copy, in microseconds: the first copy
/// will serve its waiting requests as well, while adapters without a copy
/// cannot serve theirs at all.
const COPY_PENALTY_US: f64 = 2_000_000.0;

/// One load in this many goes to long work even if short work waits.
const LONG_LOAD_INTERVAL: u64 = 6;

/// Time for which queued long work may occupy the existing copies before
/// another copy is loaded.
const MAX_LONG_WAIT: Span = Span::from_millis(10_000);

/// Queued loads of a lane examined for one that can be ordered now.
pub(super) const PROBED_LOADS: usize = 8;

/// Number of load times after which an order without a result no longer blocks
/// further loads.
const ORDER_TIMEOUT_LOADS: u64 = 8;

/// Backoff after a failed load, in microseconds; doubled on each further
/// failure.
const INITIAL_BACKOFF_US: u64 = 500_000;

/// Maximum backoff after failed loads, in microseconds.
const MAX_BACKOFF_US: u64 = 30_000_000;

/// Consecutive failed loads after which waiting requests are refused. One
/// failure may be a transient fault of the weight store; after three, a refusal
/// serves the callers better than a wait until their deadlines.
const MAX_LOAD_FAILURES: u32 = 3;

/// Mean request intervals without a request after which the expected rate falls
/// below the decayed rate, as the callers have probably gone.
pub(super) const MAX_SILENT_INTERVALS: f64 = 1.0;

impl Pool {
    /// Returns the duration of one load at the full speed of the weight store.
    pub(super) fn load_time(&self) -> Span {
        Span((1e6 / self.settings.loads_per_s.max(1e-3)) as u64)
    }

    /// Returns the key of an adapter in the load queue; lower is loaded
    /// earlier. `more` counts requests that are about to be queued.
    ///
    /// Designed for two or three loads per second under skewed demand. All
    /// loads cost the same, so they are ordered by benefit: the requests that
    /// wait, and those expected to arrive while the adapter is not loaded. The
    /// key includes the time of the oldest wait, so that no load starves.
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

    /// Queues a load of an adapter or updates its place in the queue if it
    /// needs one, and removes it otherwise.
    pub(super) fn update_load_key(&mut self, now: Moment, adapter: &AdapterVersion) {
        let key = self.needs_load(now, adapter);
        let key = key.then(|| self.load_key(now, adapter, 0));
        self.adapters.set_load_key(adapter, key);
    }

    /// Returns whether an adapter needs a load: requests wait for it, and
    /// either no live replica holds it, or all live holders are full while
    /// other replicas are available.
    ///
    /// Handles a hot adapter whose replica is full. A second copy takes a slot
    /// from another adapter for good, so it is loaded only if the queued work
    /// exceeds what the holders finish during one load, or during
    /// [`MAX_LONG_WAIT`] for long work.
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
            let work = self.service.mean_time(lane).0 * e.lane_queue(lane).len() as u64;
            let batch: u32 = live.iter().map(|r| r.spec.batch).sum();
            let max_wait = match lane {
                Lane::Short => self.load_time().0,
                Lane::Long => MAX_LONG_WAIT.0,
            };
            full && work > max_wait * u64::from(batch)
        })
    }

    /// Orders the next load if none is in flight.
    ///
    /// The weight store gives its full speed to only one load: two at once both
    /// end later than one after the other. Loads that only long work waits for
    /// get a fixed share and the capacity that others leave; by their number
    /// alone they would delay short work.
    pub(super) fn order_next_load(&mut self, now: Moment) {
        if now < self.slot_freeze || self.store_busy(now) {
            return;
        }
        if self.adapters.queued_loads() == 0 {
            self.prefetch_adapter(now);
            return;
        }
        let vacant = self.vacancies(now);
        let probed = |lane| self.adapters.load_queue(lane).take(PROBED_LOADS);
        let lanes = match self.loads_ordered % LONG_LOAD_INTERVAL {
            0 => [Lane::Long, Lane::Short],
            _ => Lane::ALL,
        };
        let wanted = lanes.into_iter().flat_map(probed);
        let first = wanted.cloned().find_map(|adapter| {
            let (name, evict) = self.choose_slot(now, &adapter, &vacant)?;
            Some((adapter, name, evict))
        });
        if let Some((adapter, name, evict)) = first {
            self.order_load(now, &adapter, &name, evict);
        }
    }

    /// Returns whether a load order is in flight. An order without a result for
    /// [`ORDER_TIMEOUT_LOADS`] load times does not count.
    fn store_busy(&self, now: Moment) -> bool {
        let timeout = Span(self.load_time().0 * ORDER_TIMEOUT_LOADS);
        let sent_at = |name| {
            let r = self.replicas.get(name)?;
            r.order.as_ref().map(|o| o.sent_at)
        };
        let mut in_flight = self.orders.values().filter_map(sent_at);
        in_flight.any(|sent_at| sent_at.after(timeout) > now)
    }

    /// Orders a load of an adapter into a slot of a replica, after the eviction
    /// of `evict`.
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

    /// Records the result of an order.
    pub fn order_end(&mut self, now: Moment, order: OrderId, end: OrderEnd) {
        if let Some(name) = self.orders.remove(&order) {
            self.complete_order(now, &name, order, end);
            self.fill_replica(now, &name);
        }
        self.reserve_replicas(now);
        self.order_next_load(now);
    }

    /// Ends an order if it is still the one in flight at the replica, and updates
    /// the slots there.
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

    /// Marks the adapters of a load or eviction with an uncertain result as
    /// unconfirmed: they may occupy slots, but receive no requests.
    fn mark_unconfirmed(&mut self, name: &ReplicaName, o: &Order, end: OrderEnd) {
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        r.unconfirmed.extend(o.evict.clone());
        if end == OrderEnd::Unknown {
            r.unconfirmed.insert(o.adapter.clone());
        }
    }

    /// Delays further loads of an adapter whose load failed, without delaying
    /// other adapters.
    ///
    /// Handles loads that fail for one adapter or for all. If retried at once, a
    /// broken adapter would use up the whole load rate of the weight store.
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

    /// Refuses the requests that wait for an adapter which cannot be loaded.
    fn refuse_failed(&mut self, now: Moment, adapter: &AdapterVersion, after: Span) {
        let target = Some(adapter.clone());
        for ticket in self.queue.matching(|a| a.adapter == target) {
            self.refuse_waiting(now, ticket, Reason::LoadFailed, after);
        }
    }

    /// Queues the loads whose backoff has ended.
    pub(super) fn expire_backoffs(&mut self, now: Moment) {
        while let Some((at, _)) = self.backoffs.first()
            && *at <= now
            && let Some((_, adapter)) = self.backoffs.pop_first()
        {
            self.update_load_key(now, &adapter);
        }
    }
}
