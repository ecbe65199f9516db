//! Fake replicas and callers around a pool, in virtual time; every command is
//! checked against what must always hold.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use banyangauge::ids::AdapterVersion;
use banyangauge::ids::Fingerprint;
use banyangauge::ids::Incarnation;
use banyangauge::ids::ReplicaName;
use banyangauge::pool::*;

/// How long a crashed replica is away.
const AWAY: Span = Span::from_millis(1_000);
/// How often replicas report, and how old a report is on arrival.
const REPORT: Span = Span::from_millis(250);
const LAG: Span = Span::from_millis(100);

/// What became of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Got {
    Waits,
    Granted(ReplicaName),
    Answered {
        wait: Span,
        total: Span,
    },
    Refused {
        why: Reason,
        at: Moment,
        after: Span,
    },
    Broken(ReplicaName),
    Abandoned,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Offer(Arrival),
    Abandon(Ticket),
    Ends(Ticket),
    Crash(ReplicaName, Incarnation),
    Back(ReplicaName),
    Loaded(OrderId),
    Snap(ReplicaName),
    Report(LoadReport),
    Tick,
}

#[derive(Debug, Default)]
pub(crate) struct Engine {
    pub(crate) up: bool,
    pub(crate) incarnation: u64,
    pub(crate) slots: u32,
    pub(crate) batch: u32,
    pub(crate) loaded: BTreeSet<AdapterVersion>,
    pub(crate) running: BTreeSet<Ticket>,
    /// Hundredths of the usual time.
    pub(crate) slow: u64,
}

/// A pool with fake replicas and callers.
pub(crate) struct Rig {
    pub(crate) pool: Pool,
    pub(crate) now: Moment,
    pub(crate) got: BTreeMap<Ticket, Got>,
    /// Loads that fail.
    pub(crate) broken: BTreeSet<AdapterVersion>,
    /// Requests that crash their replica.
    pub(crate) poison: BTreeSet<Fingerprint>,
    /// Retries of a broken request by its caller.
    pub(crate) retries: u32,
    pub(crate) crashes: u32,
    pub(crate) convicted: BTreeSet<Fingerprint>,
    pub(crate) loads: Vec<(Moment, ReplicaName, AdapterVersion)>,
    /// Most requests that a replica ran at once, long ones apart.
    pub(crate) peak: BTreeMap<ReplicaName, (usize, usize)>,
    pub(crate) engines: BTreeMap<ReplicaName, Engine>,
    pub(crate) sent: BTreeMap<Ticket, (Arrival, Moment, Moment)>,
    pub(crate) orders: BTreeMap<OrderId, (ReplicaName, Incarnation, AdapterVersion)>,
    /// The request that a retry stands for.
    pub(crate) first: BTreeMap<Ticket, Ticket>,
    events: BTreeMap<(Moment, u64), Event>,
    serial: u64,
    pub(crate) step: Span,
    pub(crate) load: Span,
    pub(crate) frozen: Moment,
    pub(crate) keeping: Moment,
}

/// A plain arrival; tests change what they are about.
pub(crate) fn arrival(ticket: u64, team: &str, adapter: &str) -> Arrival {
    Arrival {
        ticket: Ticket(ticket),
        team: team.parse().unwrap(),
        adapter: (!adapter.is_empty()).then(|| adapter.parse().unwrap()),
        class: Class::Interactive,
        deadline: Moment(u64::MAX),
        prompt_tokens: 100,
        max_tokens: 50,
        prefix: 0,
        idempotent: true,
        fingerprint: Fingerprint(ticket),
        attempt: 0,
        avoid: BTreeSet::new(),
    }
}

/// Settings of most of these tests.
pub(crate) fn settings() -> PoolSettings {
    // Round numbers: 50 tokens take half a second, a load takes as long.
    PoolSettings::builder()
        .loads_per_s(2.0)
        .step_us(10_000)
        .build()
}

/// Gives an arrival a deadline.
pub(crate) fn due(rig: &Rig, ms: u64, mut a: Arrival) -> Arrival {
    a.deadline = rig.now.after(Span::from_millis(ms));
    a
}

impl Rig {
    /// `count` replicas named `r1`, `r2` and so on, which have reported.
    pub(crate) fn new(settings: PoolSettings, count: u32, slots: u32, batch: u32) -> Self {
        let step = Span(settings.step_us);
        let load = Span((1e6 / settings.loads_per_s) as u64);
        let mut rig = Self {
            pool: Pool::new(settings),
            now: Moment(1_000_000),
            got: BTreeMap::new(),
            broken: BTreeSet::new(),
            poison: BTreeSet::new(),
            retries: 0,
            crashes: 0,
            convicted: BTreeSet::new(),
            loads: Vec::new(),
            peak: BTreeMap::new(),
            engines: BTreeMap::new(),
            sent: BTreeMap::new(),
            orders: BTreeMap::new(),
            first: BTreeMap::new(),
            events: BTreeMap::new(),
            serial: 0,
            step,
            load,
            frozen: Moment(0),
            keeping: Moment(0),
        };
        for i in 1..=count {
            let engine = Engine {
                up: true,
                incarnation: 1,
                slots,
                batch,
                slow: 100,
                ..Engine::default()
            };
            rig.engines.insert(format!("r{i}").parse().unwrap(), engine);
        }
        rig.configure(&[]);
        let names: Vec<_> = rig.engines.keys().cloned().collect();
        for name in names {
            rig.at(rig.now, Event::Snap(name));
        }
        rig.at(rig.now, Event::Tick);
        rig.run_for(500);
        rig
    }

    /// Configures all replicas but those named.
    pub(crate) fn configure(&mut self, without: &[&str]) {
        let names = self.engines.iter();
        let specs: Vec<_> = names
            .filter(|(n, _)| !without.contains(&n.as_str()))
            .map(|(name, e)| ReplicaSpec {
                name: name.clone(),
                slots: e.slots,
                batch: e.batch,
            })
            .collect();
        self.pool.set_replicas(self.now, &specs);
        self.obey();
    }

    pub(crate) fn freeze_evictions(&mut self, until: Moment) {
        self.keeping = until;
        self.pool.freeze_evictions(until);
    }

    pub(crate) fn freeze(&mut self, until: Moment) {
        self.frozen = until;
        self.pool.freeze_slots(until);
    }

    pub(crate) fn health(&mut self, name: &str, health: Health) {
        self.pool
            .set_health(self.now, &name.parse().unwrap(), health);
        self.obey();
    }

    pub(crate) fn drain(&mut self) {
        self.pool.drain(self.now);
        self.obey();
    }

    pub(crate) fn slow(&mut self, name: &str, hundredths: u64) {
        if let Some(e) = self.engines.get_mut(name) {
            e.slow = hundredths;
        }
    }

    /// A request arrives `ms` from now.
    pub(crate) fn offer_in(&mut self, ms: u64, a: Arrival) {
        self.at(self.now.after(Span::from_millis(ms)), Event::Offer(a));
    }

    /// A caller goes away `ms` from now.
    pub(crate) fn abandon_in(&mut self, ms: u64, ticket: u64) {
        let event = Event::Abandon(Ticket(ticket));
        self.at(self.now.after(Span::from_millis(ms)), event);
    }

    /// A replica crashes `ms` from now and comes back empty.
    pub(crate) fn crash_in(&mut self, ms: u64, name: &str) {
        let name: ReplicaName = name.parse().unwrap();
        let inc = self.engines.get(&name).map_or(0, |e| e.incarnation);
        let event = Event::Crash(name, Incarnation(inc));
        self.at(self.now.after(Span::from_millis(ms)), event);
    }

    pub(crate) fn run_for(&mut self, ms: u64) {
        let end = self.now.after(Span::from_millis(ms));
        while let Some(((at, _), _)) = self.events.first_key_value()
            && *at <= end
            && let Some(((at, _), event)) = self.events.pop_first()
        {
            self.now = at;
            self.happen(event);
            self.obey();
        }
        self.now = end;
    }

    pub(crate) fn at(&mut self, when: Moment, event: Event) {
        self.serial += 1;
        self.events.insert((when, self.serial), event);
    }

    fn happen(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Offer(a) => {
                let old = self.got.insert(a.ticket, Got::Waits);
                assert!(old.is_none());
                self.sent.insert(a.ticket, (a.clone(), now, now));
                self.pool.offer(now, a);
            }
            Event::Abandon(ticket) => {
                if let Some(got @ Got::Waits) = self.got.get_mut(&ticket) {
                    *got = Got::Abandoned;
                    self.pool.abandon(now, ticket);
                }
            }
            Event::Ends(ticket) => self.end(ticket),
            Event::Crash(name, inc) => self.crash(&name, inc),
            Event::Back(name) => {
                if let Some(e) = self.engines.get_mut(&name) {
                    e.up = true;
                    self.at(now, Event::Snap(name));
                }
            }
            Event::Loaded(order) => self.loaded(order),
            Event::Snap(name) => self.snap(name),
            Event::Report(report) => self.pool.report(now, report),
            Event::Tick => {
                self.pool.tick(now);
                self.at(now.after(Span::from_millis(10)), Event::Tick);
            }
        }
    }

    fn snap(&mut self, name: ReplicaName) {
        let Some(e) = self.engines.get(&name).filter(|e| e.up) else {
            return;
        };
        let report = LoadReport {
            replica: name.clone(),
            incarnation: Incarnation(e.incarnation),
            age: LAG,
            running: e.running.len() as u32,
            waiting: 0,
            loaded: e.loaded.clone(),
        };
        self.at(self.now.after(LAG), Event::Report(report));
        self.at(self.now.after(REPORT), Event::Snap(name));
    }

    fn end(&mut self, ticket: Ticket) {
        let Some(Got::Granted(name)) = self.got.get(&ticket).cloned() else {
            return;
        };
        if let Some(e) = self.engines.get_mut(&name) {
            e.running.remove(&ticket);
        }
        let (a, offered, granted) = self.sent[&ticket].clone();
        let got = Got::Answered {
            wait: granted.since(offered),
            total: self.now.since(offered),
        };
        self.got.insert(ticket, got);
        self.finish(ticket, Outcome::Answered, a.max_tokens, granted);
    }

    fn finish(&mut self, ticket: Ticket, outcome: Outcome, tokens: u32, granted: Moment) {
        let total = self.now.since(granted);
        let finish = DispatchEnd {
            ticket,
            outcome,
            tokens,
            first_byte: Span(total.0.min(self.step.0)),
            total,
        };
        self.pool.finish(self.now, finish);
    }

    fn crash(&mut self, name: &ReplicaName, inc: Incarnation) {
        let Some(e) = self.engines.get_mut(name) else {
            return;
        };
        if !e.up || e.incarnation != inc.0 {
            return;
        }
        e.up = false;
        e.incarnation += 1;
        e.loaded.clear();
        self.crashes += 1;
        let lost = std::mem::take(&mut e.running);
        self.at(self.now.after(AWAY), Event::Back(name.clone()));
        for ticket in lost {
            self.break_off(ticket, name, Outcome::BrokenEarly);
        }
    }

    /// A dispatch ended without an answer; its caller may try again.
    pub(crate) fn break_off(&mut self, ticket: Ticket, name: &ReplicaName, outcome: Outcome) {
        self.got.insert(ticket, Got::Broken(name.clone()));
        let (mut a, _, granted) = self.sent[&ticket].clone();
        self.finish(ticket, outcome, 0, granted);
        if a.attempt < self.retries {
            let first = self.first.get(&ticket).copied().unwrap_or(ticket);
            a.attempt += 1;
            a.avoid.insert(name.clone());
            a.ticket = Ticket(1_000_000 + self.serial);
            self.serial += 1;
            self.first.insert(a.ticket, first);
            self.at(self.now, Event::Offer(a));
        }
    }

    fn loaded(&mut self, order: OrderId) {
        let Some((name, inc, adapter)) = self.orders.remove(&order) else {
            return;
        };
        let fails = self.broken.contains(&adapter);
        let Some(e) = self.engines.get_mut(&name) else {
            return;
        };
        let same = e.up && e.incarnation == inc.0;
        let end = match (same, fails) {
            (true, false) => {
                e.loaded.insert(adapter);
                assert!(e.loaded.len() <= e.slots as usize, "more than the slots");
                OrderEnd::Done
            }
            (true, true) => OrderEnd::Failed,
            (false, _) => OrderEnd::Unknown,
        };
        self.pool.order_end(self.now, order, end);
    }

    /// Requests that neither ended nor run.
    pub(crate) fn waiting(&self) -> usize {
        self.got.values().filter(|g| **g == Got::Waits).count()
    }

    /// Times from offer to the end of the answers that match, sorted.
    pub(crate) fn totals(&self, test: impl Fn(&Arrival) -> bool) -> Vec<Span> {
        let mut all: Vec<_> = self
            .got
            .iter()
            .filter(|(t, _)| test(&self.sent[*t].0))
            .filter_map(|(_, g)| match g {
                Got::Answered { total, .. } => Some(*total),
                _ => None,
            })
            .collect();
        all.sort();
        all
    }

    /// Requests that match and were refused for a reason.
    pub(crate) fn refused(&self, reason: Reason) -> usize {
        let why = |g: &&Got| matches!(g, Got::Refused { why, .. } if *why == reason);
        self.got.values().filter(why).count()
    }
}
