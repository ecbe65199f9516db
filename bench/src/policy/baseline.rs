//! The policies that a user would have without this project.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use banyangauge::ids::AdapterVersion;
use banyangauge::ids::Incarnation;
use banyangauge::ids::ReplicaName;
use banyangauge::pool::*;

/// What a refused caller is told.
const COME_BACK: Span = Span::from_millis(1_000);

/// Tells the next use of an adapter, for the eviction that knows the future.
pub type Future = Box<dyn Fn(&AdapterVersion, Moment) -> Moment + Send>;

#[derive(Default)]
struct Replica {
    spec: Option<ReplicaSpec>,
    live: bool,
    incarnation: Incarnation,
    /// Loaded adapters and when they were used last.
    loaded: BTreeMap<AdapterVersion, Moment>,
    users: BTreeMap<AdapterVersion, u32>,
    loading: Option<(OrderId, AdapterVersion)>,
    outstanding: u32,
    /// What was sent here and waits, the first to come first.
    queue: BTreeMap<Ticket, Arrival>,
}

impl Replica {
    fn load(&self) -> usize {
        self.outstanding as usize + self.queue.len()
    }

    /// Has the adapter, loads it, or will have to.
    fn has(&self, adapter: &AdapterVersion) -> bool {
        let loading = self.loading.as_ref().is_some_and(|(_, a)| a == adapter);
        loading || self.loaded.contains_key(adapter) || self.users.contains_key(adapter)
    }
}

/// Least loaded replica, least recently used eviction, first come first
/// loaded; with affinity, a replica that has the adapter first.
pub struct Baseline {
    affinity: bool,
    future: Option<Future>,
    replicas: BTreeMap<ReplicaName, Replica>,
    running: BTreeMap<Ticket, (ReplicaName, Incarnation, Option<AdapterVersion>)>,
    /// Where a request waits.
    places: BTreeMap<Ticket, ReplicaName>,
    expiries: BTreeSet<(Moment, Ticket)>,
    /// How many requests wait at a replica for an adapter.
    bound: BTreeMap<(AdapterVersion, ReplicaName), u32>,
    commands: Vec<Command>,
    orders: u64,
    order: Option<(OrderId, ReplicaName)>,
}

impl Baseline {
    /// An empty pool; `future` makes its eviction clairvoyant.
    pub fn new(affinity: bool, future: Option<Future>) -> Self {
        Self {
            affinity,
            future,
            replicas: BTreeMap::new(),
            running: BTreeMap::new(),
            places: BTreeMap::new(),
            expiries: BTreeSet::new(),
            bound: BTreeMap::new(),
            commands: Vec::new(),
            orders: 0,
            order: None,
        }
    }

    /// As [`Pool::set_replicas`].
    pub fn set_replicas(&mut self, specs: &[ReplicaSpec]) {
        for spec in specs {
            let r = self.replicas.entry(spec.name.clone()).or_default();
            r.spec = Some(spec.clone());
        }
    }

    /// As [`Pool::report`].
    pub fn report(&mut self, now: Moment, report: LoadReport) {
        let name = report.replica.clone();
        let Some(r) = self.replicas.get_mut(&name) else {
            return;
        };
        if r.incarnation != report.incarnation {
            r.incarnation = report.incarnation;
            r.loaded = report.loaded.into_iter().map(|a| (a, now)).collect();
            r.users.clear();
            r.outstanding = 0;
            r.loading = None;
            if self.order.as_ref().is_some_and(|(_, n)| *n == name) {
                self.order = None;
            }
        }
        r.live = true;
        self.pump(now, &name);
    }

    /// As [`Pool::offer`].
    pub fn offer(&mut self, now: Moment, a: Arrival) {
        let Some(name) = self.choose(&a) else {
            self.refuse(a.ticket, Reason::NoReplica);
            return;
        };
        self.expiries.insert((a.deadline, a.ticket));
        self.places.insert(a.ticket, name.clone());
        if let Some(adapter) = &a.adapter {
            let key = (adapter.clone(), name.clone());
            *self.bound.entry(key).or_insert(0) += 1;
        }
        if let Some(r) = self.replicas.get_mut(&name) {
            r.queue.insert(a.ticket, a);
        }
        self.pump(now, &name);
    }

    fn choose(&self, a: &Arrival) -> Option<ReplicaName> {
        let live = || {
            let all = self.replicas.iter();
            all.filter(|(n, r)| r.live && !a.avoid.contains(*n))
        };
        let has = |n: &ReplicaName, r: &Replica| {
            let Some(x) = &a.adapter else { return true };
            r.has(x) || self.bound.contains_key(&(x.clone(), n.clone()))
        };
        let least = |(n, r): (&ReplicaName, &Replica)| (r.load(), n.clone());
        let near = live().filter(|(n, r)| self.affinity && has(n, r));
        let near = near.map(least).min();
        near.or_else(|| live().map(least).min()).map(|(_, n)| n)
    }

    /// As [`Pool::finish`].
    pub fn finish(&mut self, now: Moment, finish: DispatchEnd) {
        let Some((name, inc, adapter)) = self.running.remove(&finish.ticket) else {
            return;
        };
        if let Some(r) = self.replicas.get_mut(&name) {
            if matches!(
                finish.outcome,
                Outcome::BrokenEarly | Outcome::BrokenLate | Outcome::NotRun
            ) {
                r.live = false;
            }
            if r.incarnation == inc {
                r.outstanding -= 1;
                if let Some(x) = &adapter
                    && let Some(n) = r.users.get_mut(x)
                {
                    *n -= 1;
                    if *n == 0 {
                        r.users.remove(x);
                    }
                }
            }
        }
        self.pump(now, &name);
    }

    /// As [`Pool::order_end`].
    pub fn order_end(&mut self, now: Moment, order: OrderId, end: OrderEnd) {
        let Some((_, name)) = self.order.take_if(|(id, _)| *id == order) else {
            return;
        };
        if let Some(r) = self.replicas.get_mut(&name)
            && let Some((_, adapter)) = r.loading.take()
            && end == OrderEnd::Done
        {
            r.loaded.insert(adapter, now);
        }
        self.pump(now, &name);
    }

    /// As [`Pool::tick`].
    pub fn tick(&mut self, now: Moment) {
        while let Some((at, ticket)) = self.expiries.first().copied()
            && at <= now
        {
            self.take_out(ticket);
            self.refuse(ticket, Reason::Deadline);
        }
        self.order_next(now);
    }

    /// As [`Pool::take_commands`].
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    fn refuse(&mut self, ticket: Ticket, reason: Reason) {
        self.commands.push(Command::Refuse {
            ticket,
            reason,
            retry_after: COME_BACK,
        });
    }

    fn take_out(&mut self, ticket: Ticket) -> Option<Arrival> {
        let name = self.places.remove(&ticket)?;
        let a = self.replicas.get_mut(&name)?.queue.remove(&ticket)?;
        self.expiries.remove(&(a.deadline, ticket));
        if let Some(adapter) = &a.adapter {
            let key = (adapter.clone(), name);
            if let Some(n) = self.bound.get_mut(&key) {
                *n -= 1;
                if *n == 0 {
                    self.bound.remove(&key);
                }
            }
        }
        Some(a)
    }

    fn pump(&mut self, now: Moment, name: &ReplicaName) {
        while let Some(ticket) = self.ready(name) {
            self.grant(now, ticket, name);
        }
        self.order_next(now);
    }

    fn ready(&self, name: &ReplicaName) -> Option<Ticket> {
        let r = self.replicas.get(name)?;
        let batch = r.spec.as_ref()?.batch;
        if !r.live || r.outstanding >= batch {
            return None;
        }
        let fits = |a: &&Arrival| a.adapter.as_ref().is_none_or(|x| r.loaded.contains_key(x));
        r.queue.values().find(fits).map(|a| a.ticket)
    }

    fn grant(&mut self, now: Moment, ticket: Ticket, name: &ReplicaName) {
        let Some(a) = self.take_out(ticket) else {
            return;
        };
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        r.outstanding += 1;
        if let Some(x) = &a.adapter {
            *r.users.entry(x.clone()).or_insert(0) += 1;
            r.loaded.insert(x.clone(), now);
        }
        self.running
            .insert(ticket, (name.clone(), r.incarnation, a.adapter));
        self.commands.push(Command::Grant {
            ticket,
            replica: name.clone(),
            incarnation: r.incarnation,
            priority: 0,
        });
    }

    /// Loads for the first to have come whose replica can take a load.
    fn order_next(&mut self, now: Moment) {
        if self.order.is_some() {
            return;
        }
        let first = self.replicas.iter().filter_map(|(name, r)| {
            let fits = r.live && (r.loaded.len() < self.slots(r) || self.victim(now, r).is_some());
            let missing = |a: &&Arrival| {
                let x = a.adapter.as_ref();
                x.is_some_and(|x| !r.loaded.contains_key(x))
            };
            let a = r.queue.values().find(missing).filter(|_| fits)?;
            Some((a.ticket, name.clone(), a.adapter.clone()?))
        });
        let Some((_, name, adapter)) = first.min() else {
            return;
        };
        let Some(r) = self.replicas.get(&name) else {
            return;
        };
        let full = r.loaded.len() >= self.slots(r);
        let evict = self.victim(now, r).filter(|_| full);
        self.orders += 1;
        let order = OrderId(self.orders);
        self.order = Some((order, name.clone()));
        let Some(r) = self.replicas.get_mut(&name) else {
            return;
        };
        if let Some(x) = &evict {
            r.loaded.remove(x);
        }
        r.loading = Some((order, adapter.clone()));
        self.commands.push(Command::Load {
            order,
            replica: name,
            incarnation: r.incarnation,
            adapter,
            evict,
        });
    }

    fn slots(&self, r: &Replica) -> usize {
        r.spec.as_ref().map_or(0, |s| s.slots as usize)
    }

    fn victim(&self, now: Moment, r: &Replica) -> Option<AdapterVersion> {
        let idle = r.loaded.iter().filter(|(x, _)| !r.users.contains_key(*x));
        let worth = |x: &AdapterVersion, used: Moment| match &self.future {
            Some(next) => u64::MAX - next(x, now).0,
            None => used.0,
        };
        let least = idle.min_by_key(|(x, used)| worth(x, **used));
        least.map(|(x, _)| x.clone())
    }
}
