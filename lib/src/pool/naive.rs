//! The thinnest pool that keeps the promises; the first policy.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::settings::PoolSettings;
use super::types::*;
use crate::ids::AdapterVersion;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::ReplicaName;

/// When a refused caller may come back, where nothing better is known.
const COME_BACK: Span = Span::from_millis(1_000);

#[derive(Debug)]
struct Replica {
    spec: ReplicaSpec,
    health: Health,
    incarnation: Incarnation,
    loaded: BTreeMap<AdapterVersion, Moment>,
    loading: Option<(OrderId, AdapterVersion)>,
}

/// The decisions of one pool.
#[derive(Debug, Default)]
pub struct Pool {
    settings: PoolSettings,
    replicas: BTreeMap<ReplicaName, Replica>,
    queue: VecDeque<Arrival>,
    running: BTreeMap<Ticket, (ReplicaName, Option<AdapterVersion>, Fingerprint)>,
    convicted: BTreeMap<Fingerprint, Moment>,
    commands: Vec<Command>,
    frozen: Moment,
    draining: bool,
    orders: u64,
    stalls: u64,
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

    /// Replaces the shares of the teams.
    pub fn set_shares(&mut self, shares: &Shares) {
        self.settings.shares = shares.clone();
    }

    /// Sets the replicas; those left out get nothing new.
    pub fn set_replicas(&mut self, now: Moment, specs: &[ReplicaSpec]) {
        let keep: BTreeSet<_> = specs.iter().map(|s| s.name.clone()).collect();
        self.replicas.retain(|name, _| keep.contains(name));
        for spec in specs {
            self.replicas
                .entry(spec.name.clone())
                .and_modify(|r| r.spec = spec.clone())
                .or_insert_with(|| Replica {
                    spec: spec.clone(),
                    health: Health::Suspect,
                    incarnation: Incarnation(0),
                    loaded: BTreeMap::new(),
                    loading: None,
                });
        }
        self.pump(now);
    }

    /// Sets whether a replica takes new work.
    pub fn set_health(&mut self, now: Moment, name: &ReplicaName, health: Health) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.health = health;
        }
        self.pump(now);
    }

    /// Takes in a load report; a new incarnation starts empty.
    pub fn report(&mut self, now: Moment, report: LoadReport) {
        if let Some(r) = self.replicas.get_mut(&report.replica) {
            if r.incarnation != report.incarnation {
                r.incarnation = report.incarnation;
                r.loading = None;
                r.loaded = report.loaded.into_iter().map(|a| (a, now)).collect();
            }
            if r.health == Health::Suspect {
                r.health = Health::Live;
            }
        }
        self.pump(now);
    }

    /// A request asks for a replica.
    pub fn offer(&mut self, now: Moment, arrival: Arrival) {
        let held = self.convicted.get(&arrival.fingerprint).copied();
        if let Some(until) = held.filter(|until| *until > now) {
            self.refuse(arrival.ticket, Reason::Convicted, until.since(now));
        } else if self.draining {
            self.refuse(arrival.ticket, Reason::Draining, COME_BACK);
        } else {
            let has = |a| self.replicas.values().any(|r| r.loaded.contains_key(a));
            if arrival.adapter.as_ref().is_some_and(|a| !has(a)) {
                self.stalls += 1;
            }
            self.queue.push_back(arrival);
            self.pump(now);
        }
    }

    /// The caller of a waiting request went away.
    pub fn abandon(&mut self, _now: Moment, ticket: Ticket) {
        self.queue.retain(|a| a.ticket != ticket);
    }

    /// A dispatch ended, or its grant lapsed.
    pub fn finish(&mut self, now: Moment, finish: Finish) {
        self.running.remove(&finish.ticket);
        self.pump(now);
    }

    /// A new owner learns of a dispatch under an earlier owner's grant.
    pub fn adopt(&mut self, _now: Moment, held: Held) {
        self.running
            .insert(held.ticket, (held.replica, held.adapter, held.fingerprint));
    }

    /// An order ended.
    pub fn order_end(&mut self, now: Moment, order: OrderId, end: OrderEnd) {
        for r in self.replicas.values_mut() {
            if r.loading.as_ref().is_some_and(|(o, _)| *o == order)
                && let Some((_, adapter)) = r.loading.take()
                && end == OrderEnd::Done
            {
                r.loaded.insert(adapter, now);
            }
        }
        self.pump(now);
    }

    /// Another process found that a request crashes its upstream.
    pub fn convict(&mut self, now: Moment, fingerprint: Fingerprint, hold: Span) {
        self.convicted.insert(fingerprint, now.after(hold));
    }

    /// No slot changes before `until`: a new owner's quarantine.
    pub fn freeze(&mut self, until: Moment) {
        self.frozen = until;
    }

    /// Refuses what waits and all that comes.
    pub fn drain(&mut self, _now: Moment) {
        self.draining = true;
        for a in std::mem::take(&mut self.queue) {
            self.refuse(a.ticket, Reason::Draining, COME_BACK);
        }
    }

    /// Ends waits whose deadline has passed and looks for work.
    pub fn tick(&mut self, now: Moment) {
        let (late, queue) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition::<VecDeque<_>, _>(|a| a.deadline <= now);
        self.queue = queue;
        for a in late {
            self.refuse(a.ticket, Reason::Deadline, COME_BACK);
        }
        self.pump(now);
    }

    /// When [`Pool::tick`] is wanted next.
    pub fn next_wake(&self) -> Option<Moment> {
        self.queue.iter().map(|a| a.deadline).min()
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
            loads: self.orders,
            stalls: self.stalls,
            ..PoolView::default()
        };
        for (name, r) in &self.replicas {
            view.outstanding.insert(name.clone(), self.load_of(name));
            view.loaded
                .insert(name.clone(), r.loaded.keys().cloned().collect());
        }
        view
    }

    fn load_of(&self, name: &ReplicaName) -> u32 {
        self.running.values().filter(|(r, _, _)| r == name).count() as u32
    }

    fn refuse(&mut self, ticket: Ticket, reason: Reason, retry_after: Span) {
        self.commands.push(Command::Refuse {
            ticket,
            reason,
            retry_after,
        });
    }

    fn pump(&mut self, now: Moment) {
        let waiting = std::mem::take(&mut self.queue);
        for arrival in waiting {
            if !self.dispatch(now, &arrival) {
                self.order_load(now, &arrival);
                self.queue.push_back(arrival);
            }
        }
    }

    fn dispatch(&mut self, now: Moment, a: &Arrival) -> bool {
        let best = self
            .replicas
            .iter()
            .filter(|(name, r)| {
                r.health == Health::Live
                    && !a.avoid.contains(*name)
                    && self.load_of(name) < r.spec.batch
                    && a.adapter.as_ref().is_none_or(|x| r.loaded.contains_key(x))
            })
            .map(|(name, r)| (self.load_of(name), name.clone(), r.incarnation))
            .min();
        let Some((_, replica, incarnation)) = best else {
            return false;
        };
        if let Some(adapter) = &a.adapter
            && let Some(r) = self.replicas.get_mut(&replica)
        {
            r.loaded.insert(adapter.clone(), now);
        }
        self.running.insert(
            a.ticket,
            (replica.clone(), a.adapter.clone(), a.fingerprint),
        );
        self.commands.push(Command::Grant {
            ticket: a.ticket,
            replica,
            incarnation,
            priority: a.class as i32,
        });
        true
    }

    fn order_load(&mut self, now: Moment, a: &Arrival) {
        let Some(adapter) = &a.adapter else { return };
        let under_way = self.replicas.values().any(|r| {
            r.loaded.contains_key(adapter) || r.loading.as_ref().is_some_and(|(_, x)| x == adapter)
        });
        if under_way || now < self.frozen {
            return;
        }
        let running = &self.running;
        let in_use = |name: &ReplicaName, x: &AdapterVersion| {
            running
                .values()
                .any(|(r, y, _)| r == name && y.as_ref() == Some(x))
        };
        let choice = self
            .replicas
            .iter()
            .filter(|(_, r)| r.health == Health::Live && r.loading.is_none() && r.spec.slots > 0)
            .filter_map(|(name, r)| {
                if r.loaded.len() < r.spec.slots as usize {
                    return Some((Moment(0), name.clone(), None));
                }
                let idle = r.loaded.iter().filter(|(x, _)| !in_use(name, x));
                let (x, used) = idle.min_by_key(|(_, used)| **used)?;
                Some((*used, name.clone(), Some(x.clone())))
            })
            .min();
        let Some((_, replica, evict)) = choice else {
            return;
        };
        self.orders += 1;
        let order = OrderId(self.orders);
        if let Some(r) = self.replicas.get_mut(&replica) {
            if let Some(x) = &evict {
                r.loaded.remove(x);
            }
            r.loading = Some((order, adapter.clone()));
            self.commands.push(Command::Load {
                order,
                replica,
                incarnation: r.incarnation,
                adapter: adapter.clone(),
                evict,
            });
        }
    }
}
