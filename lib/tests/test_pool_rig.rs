//! Fake replicas and callers around a pool, in virtual time. Every command is
//! checked against the invariants of the pool.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use banyangauge::ids::AdapterVersion;
use banyangauge::ids::Fingerprint;
use banyangauge::ids::Incarnation;
use banyangauge::ids::ReplicaName;
use banyangauge::pool::*;

/// Time until a crashed replica restarts.
const DOWNTIME: Span = Span::from_millis(1_000);
/// Interval between reports of a replica, and the age of a report on arrival.
const REPORT_INTERVAL: Span = Span::from_millis(250);
const REPORT_LAG: Span = Span::from_millis(100);

/// State of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RequestState {
    Waiting,
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
    End(Ticket),
    Crash(ReplicaName, Incarnation),
    Restart(ReplicaName),
    LoadEnd(OrderId),
    Sample(ReplicaName),
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
    /// Duration of a step in percent of the normal duration.
    pub(crate) time_percent: u64,
}

/// A pool with fake replicas and callers.
pub(crate) struct Rig {
    pub(crate) pool: Pool,
    pub(crate) now: Moment,
    pub(crate) states: BTreeMap<Ticket, RequestState>,
    /// Adapters whose loads fail.
    pub(crate) failing_loads: BTreeSet<AdapterVersion>,
    /// Requests that crash their replica.
    pub(crate) poison: BTreeSet<Fingerprint>,
    /// Number of retries of a broken request by its caller.
    pub(crate) retries: u32,
    pub(crate) crashes: u32,
    pub(crate) blocked: BTreeSet<Fingerprint>,
    pub(crate) loads: Vec<(Moment, ReplicaName, AdapterVersion)>,
    /// Maximum number of requests and of long requests that a replica ran at
    /// once.
    pub(crate) peak: BTreeMap<ReplicaName, (usize, usize)>,
    pub(crate) engines: BTreeMap<ReplicaName, Engine>,
    pub(crate) submitted: BTreeMap<Ticket, (Arrival, Moment, Moment)>,
    pub(crate) orders: BTreeMap<OrderId, (ReplicaName, Incarnation, AdapterVersion)>,
    /// Original ticket of a retry.
    pub(crate) original: BTreeMap<Ticket, Ticket>,
    events: BTreeMap<(Moment, u64), Event>,
    serial: u64,
    pub(crate) step_time: Span,
    pub(crate) load_time: Span,
    pub(crate) slot_freeze: Moment,
    pub(crate) evict_freeze: Moment,
}

/// Creates an arrival with default values; tests change the fields they need.
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

/// Returns the settings of most of these tests.
pub(crate) fn settings() -> PoolSettings {
    // Round numbers: 50 tokens take half a second, and a load takes as long.
    PoolSettings::builder()
        .loads_per_s(2.0)
        .step_us(10_000)
        .build()
}

/// Sets the deadline of an arrival to `ms` from now.
pub(crate) fn with_deadline(rig: &Rig, ms: u64, mut a: Arrival) -> Arrival {
    a.deadline = rig.now.after(Span::from_millis(ms));
    a
}

impl Rig {
    /// Creates `count` replicas named `r1`, `r2` and so on, which have
    /// reported.
    pub(crate) fn new(settings: PoolSettings, count: u32, slots: u32, batch: u32) -> Self {
        let step_time = Span(settings.step_us);
        let load_time = Span((1e6 / settings.loads_per_s) as u64);
        let mut rig = Self {
            pool: Pool::new(settings),
            now: Moment(1_000_000),
            states: BTreeMap::new(),
            failing_loads: BTreeSet::new(),
            poison: BTreeSet::new(),
            retries: 0,
            crashes: 0,
            blocked: BTreeSet::new(),
            loads: Vec::new(),
            peak: BTreeMap::new(),
            engines: BTreeMap::new(),
            submitted: BTreeMap::new(),
            orders: BTreeMap::new(),
            original: BTreeMap::new(),
            events: BTreeMap::new(),
            serial: 0,
            step_time,
            load_time,
            slot_freeze: Moment(0),
            evict_freeze: Moment(0),
        };
        for i in 1..=count {
            let engine = Engine {
                up: true,
                incarnation: 1,
                slots,
                batch,
                time_percent: 100,
                ..Engine::default()
            };
            rig.engines.insert(format!("r{i}").parse().unwrap(), engine);
        }
        rig.configure(&[]);
        let names: Vec<_> = rig.engines.keys().cloned().collect();
        for name in names {
            rig.schedule(rig.now, Event::Sample(name));
        }
        rig.schedule(rig.now, Event::Tick);
        rig.run_for(500);
        rig
    }

    /// Configures all replicas except those named.
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
        self.run_commands();
    }

    pub(crate) fn freeze_evictions(&mut self, until: Moment) {
        self.evict_freeze = until;
        self.pool.freeze_evictions(until);
    }

    pub(crate) fn freeze_slots(&mut self, until: Moment) {
        self.slot_freeze = until;
        self.pool.freeze_slots(until);
    }

    pub(crate) fn set_health(&mut self, name: &str, health: Health) {
        self.pool
            .set_health(self.now, &name.parse().unwrap(), health);
        self.run_commands();
    }

    pub(crate) fn drain(&mut self) {
        self.pool.drain(self.now);
        self.run_commands();
    }

    pub(crate) fn slow_down(&mut self, name: &str, percent: u64) {
        if let Some(e) = self.engines.get_mut(name) {
            e.time_percent = percent;
        }
    }

    /// Submits a request `ms` from now.
    pub(crate) fn offer_in(&mut self, ms: u64, a: Arrival) {
        self.schedule(self.now.after(Span::from_millis(ms)), Event::Offer(a));
    }

    /// Lets a caller go away `ms` from now.
    pub(crate) fn abandon_in(&mut self, ms: u64, ticket: u64) {
        let event = Event::Abandon(Ticket(ticket));
        self.schedule(self.now.after(Span::from_millis(ms)), event);
    }

    /// Crashes a replica `ms` from now; it restarts empty.
    pub(crate) fn crash_in(&mut self, ms: u64, name: &str) {
        let name: ReplicaName = name.parse().unwrap();
        let inc = self.engines.get(&name).map_or(0, |e| e.incarnation);
        let event = Event::Crash(name, Incarnation(inc));
        self.schedule(self.now.after(Span::from_millis(ms)), event);
    }

    pub(crate) fn run_for(&mut self, ms: u64) {
        let end = self.now.after(Span::from_millis(ms));
        while let Some(((at, _), _)) = self.events.first_key_value()
            && *at <= end
            && let Some(((at, _), event)) = self.events.pop_first()
        {
            self.now = at;
            self.handle(event);
            self.run_commands();
        }
        self.now = end;
    }

    pub(crate) fn schedule(&mut self, when: Moment, event: Event) {
        self.serial += 1;
        self.events.insert((when, self.serial), event);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Offer(a) => {
                let old = self.states.insert(a.ticket, RequestState::Waiting);
                assert!(old.is_none());
                self.submitted.insert(a.ticket, (a.clone(), now, now));
                self.pool.offer(now, a);
            }
            Event::Abandon(ticket) => {
                if let Some(got @ RequestState::Waiting) = self.states.get_mut(&ticket) {
                    *got = RequestState::Abandoned;
                    self.pool.abandon(now, ticket);
                }
            }
            Event::End(ticket) => self.end(ticket),
            Event::Crash(name, inc) => self.crash(&name, inc),
            Event::Restart(name) => {
                if let Some(e) = self.engines.get_mut(&name) {
                    e.up = true;
                    self.schedule(now, Event::Sample(name));
                }
            }
            Event::LoadEnd(order) => self.end_load(order),
            Event::Sample(name) => self.sample(name),
            Event::Report(report) => self.pool.report(now, report),
            Event::Tick => {
                self.pool.tick(now);
                self.schedule(now.after(Span::from_millis(10)), Event::Tick);
            }
        }
    }

    fn sample(&mut self, name: ReplicaName) {
        let Some(e) = self.engines.get(&name).filter(|e| e.up) else {
            return;
        };
        let report = LoadReport {
            replica: name.clone(),
            incarnation: Incarnation(e.incarnation),
            age: REPORT_LAG,
            running: e.running.len() as u32,
            waiting: 0,
            loaded: e.loaded.clone(),
        };
        self.schedule(self.now.after(REPORT_LAG), Event::Report(report));
        self.schedule(self.now.after(REPORT_INTERVAL), Event::Sample(name));
    }

    fn end(&mut self, ticket: Ticket) {
        let Some(RequestState::Granted(name)) = self.states.get(&ticket).cloned() else {
            return;
        };
        if let Some(e) = self.engines.get_mut(&name) {
            e.running.remove(&ticket);
        }
        let (a, offered, granted) = self.submitted[&ticket].clone();
        let got = RequestState::Answered {
            wait: granted.since(offered),
            total: self.now.since(offered),
        };
        self.states.insert(ticket, got);
        self.finish(ticket, Outcome::Answered, a.max_tokens, granted);
    }

    fn finish(&mut self, ticket: Ticket, outcome: Outcome, tokens: u32, granted: Moment) {
        let total = self.now.since(granted);
        let finish = DispatchEnd {
            ticket,
            outcome,
            tokens,
            first_byte: Span(total.0.min(self.step_time.0)),
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
        self.schedule(self.now.after(DOWNTIME), Event::Restart(name.clone()));
        for ticket in lost {
            self.fail(ticket, name, Outcome::BrokenEarly);
        }
    }

    /// Ends a dispatch without an answer; its caller may retry.
    pub(crate) fn fail(&mut self, ticket: Ticket, name: &ReplicaName, outcome: Outcome) {
        self.states
            .insert(ticket, RequestState::Broken(name.clone()));
        let (mut a, _, granted) = self.submitted[&ticket].clone();
        self.finish(ticket, outcome, 0, granted);
        if a.attempt < self.retries {
            let first = self.original.get(&ticket).copied().unwrap_or(ticket);
            a.attempt += 1;
            a.avoid.insert(name.clone());
            a.ticket = Ticket(1_000_000 + self.serial);
            self.serial += 1;
            self.original.insert(a.ticket, first);
            self.schedule(self.now, Event::Offer(a));
        }
    }

    fn end_load(&mut self, order: OrderId) {
        let Some((name, inc, adapter)) = self.orders.remove(&order) else {
            return;
        };
        let fails = self.failing_loads.contains(&adapter);
        let Some(e) = self.engines.get_mut(&name) else {
            return;
        };
        let same = e.up && e.incarnation == inc.0;
        let end = match (same, fails) {
            (true, false) => {
                e.loaded.insert(adapter);
                assert!(e.loaded.len() <= e.slots as usize, "slot limit exceeded");
                OrderEnd::Done
            }
            (true, true) => OrderEnd::Failed,
            (false, _) => OrderEnd::Unknown,
        };
        self.pool.order_end(self.now, order, end);
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.states
            .values()
            .filter(|g| **g == RequestState::Waiting)
            .count()
    }

    /// Returns the sorted times from submission to answer of the requests that
    /// match.
    pub(crate) fn latencies(&self, test: impl Fn(&Arrival) -> bool) -> Vec<Span> {
        let mut all: Vec<_> = self
            .states
            .iter()
            .filter(|(t, _)| test(&self.submitted[*t].0))
            .filter_map(|(_, g)| match g {
                RequestState::Answered { total, .. } => Some(*total),
                _ => None,
            })
            .collect();
        all.sort();
        all
    }

    /// Returns the number of requests refused for a reason.
    pub(crate) fn refused(&self, reason: Reason) -> usize {
        let why =
            |g: &&RequestState| matches!(g, RequestState::Refused { why, .. } if *why == reason);
        self.states.values().filter(why).count()
    }
}
