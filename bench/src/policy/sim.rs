//! One run: arrivals, engines and the weight store around a policy, in
//! virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use banyangauge::ids::AdapterVersion;
use banyangauge::ids::Fingerprint;
use banyangauge::ids::Incarnation;
use banyangauge::ids::ReplicaName;
use banyangauge::pool::*;

use super::baseline::Baseline;
use super::deployment::Deployment;
use super::engine::Engine;
use super::work::COUNTED;
use super::work::Jobs;
use super::work::Scenario;
use super::work::WARM_UP;

/// How often engines report, and how old a report is when it comes.
const REPORT: Span = Span::from_millis(250);
const LAG: Span = Span::from_millis(200);
/// How often the owner ticks at least.
const TICK: Span = Span::from_millis(20);
/// In `slow`, how many times slower one engine is.
const SLOW: f64 = 4.0;
/// In `restart`, how often an engine restarts and how long it is away.
const RESTART_EVERY: Span = Span::from_millis(40_000);
const AWAY: Span = Span::from_millis(3_000);
/// Retries of a request whose engine broke.
const RETRIES: u32 = 2;

/// A policy under measurement.
pub enum Policy {
    /// One without this project.
    Baseline(Box<Baseline>),
    /// The pool that the programs run.
    Pool(Box<Pool>),
}

macro_rules! to_both {
    ($self:ident, $p:ident => $e:expr) => {
        match $self {
            Policy::Baseline($p) => $e,
            Policy::Pool($p) => $e,
        }
    };
}

impl Policy {
    fn set_replicas(&mut self, now: Moment, specs: &[ReplicaSpec]) {
        match self {
            Self::Baseline(p) => p.set_replicas(specs),
            Self::Pool(p) => p.set_replicas(now, specs),
        }
    }

    fn report(&mut self, now: Moment, report: LoadReport) {
        to_both!(self, p => p.report(now, report))
    }

    fn offer(&mut self, now: Moment, a: Arrival) {
        to_both!(self, p => p.offer(now, a))
    }

    fn finish(&mut self, now: Moment, f: DispatchEnd) {
        to_both!(self, p => p.finish(now, f))
    }

    fn order_end(&mut self, now: Moment, order: OrderId, end: OrderEnd) {
        to_both!(self, p => p.order_end(now, order, end))
    }

    fn tick(&mut self, now: Moment) {
        to_both!(self, p => p.tick(now))
    }

    fn take_commands(&mut self) -> Vec<Command> {
        to_both!(self, p => p.take_commands())
    }
}

/// What a caller got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The whole answer.
    Answered,
    /// "Not run", at once or after a wait.
    Refused,
    /// Its engine broke and no retry was left.
    Broken,
}

/// What became of one job.
#[derive(Clone, Copy, Debug)]
pub struct Fate {
    /// How it ended.
    pub end: End,
    /// When.
    pub at: Moment,
    /// How long it waited for its adapter.
    pub stall: Span,
}

/// What a run showed.
pub struct Run {
    /// By job; `None` has not ended by the end of the run.
    pub fates: Vec<Option<Fate>>,
    /// Steps of all engines while counted, and the requests in them.
    pub steps: u64,
    /// Requests in these steps.
    pub filled: u64,
    /// Loads ordered while counted.
    pub loads: u64,
}

#[derive(Debug)]
enum Event {
    Step(usize, u64),
    Snap(usize),
    Report(LoadReport),
    Loaded(OrderId),
    Tick,
    Restart(usize),
    Back(usize),
}

struct Try {
    job: usize,
    attempt: u32,
    avoid: BTreeSet<ReplicaName>,
    granted: Moment,
}

struct Sim<'a> {
    d: &'a Deployment,
    jobs: &'a Jobs,
    policy: Policy,
    now: Moment,
    serial: u64,
    events: BTreeMap<(Moment, u64), Event>,
    names: Vec<ReplicaName>,
    engines: Vec<Engine>,
    tries: BTreeMap<Ticket, Try>,
    tickets: u64,
    orders: BTreeMap<OrderId, (usize, Incarnation, AdapterVersion)>,
    /// Loads at the weight store, the first to come first.
    store: VecDeque<OrderId>,
    run: Run,
}

/// Runs a policy through the arrivals.
pub fn run(d: &Deployment, scenario: Scenario, jobs: &Jobs, policy: Policy) -> Run {
    let names = (1..=d.engines.count).filter_map(|i| format!("r{i}").parse().ok());
    let names: Vec<ReplicaName> = names.collect();
    let engines = vec![Engine::new(&d.engines, d.pool.step_us); names.len()];
    let mut sim = Sim {
        d,
        jobs,
        policy,
        now: Moment(0),
        serial: 0,
        events: BTreeMap::new(),
        names,
        engines,
        tries: BTreeMap::new(),
        tickets: 0,
        orders: BTreeMap::new(),
        store: VecDeque::new(),
        run: Run {
            fates: vec![None; jobs.jobs.len()],
            steps: 0,
            filled: 0,
            loads: 0,
        },
    };
    sim.begin(scenario);
    sim.go();
    sim.run.steps = sim.engines.iter().map(|e| e.steps).sum();
    sim.run.filled = sim.engines.iter().map(|e| e.filled).sum();
    sim.run
}

impl Sim<'_> {
    fn begin(&mut self, scenario: Scenario) {
        let size = &self.d.engines;
        let spec = |name: &ReplicaName| ReplicaSpec {
            name: name.clone(),
            slots: size.slots,
            batch: size.batch,
        };
        let specs: Vec<_> = self.names.iter().map(spec).collect();
        self.policy.set_replicas(self.now, &specs);
        for i in 0..self.engines.len() {
            self.at(Moment(i as u64 * 7_000), Event::Snap(i));
        }
        self.at(Moment(0), Event::Tick);
        let from = Moment((WARM_UP * 1e6) as u64);
        if scenario == Scenario::Slow
            && let Some(e) = self.engines.first_mut()
        {
            e.slow = SLOW;
        }
        if scenario == Scenario::Restart {
            self.at(from.after(Span::from_millis(5_000)), Event::Restart(0));
        }
    }

    fn go(&mut self) {
        let last = self.jobs.jobs.last().map_or(Moment(0), |j| j.at);
        let end = last.after(Span::from_millis(self.d.work.long_deadline + 30_000));
        let mut next = 0;
        loop {
            let event = self.events.first_key_value().map(|((at, _), _)| *at);
            let job = self.jobs.jobs.get(next).map(|j| j.at);
            let at = [event, job].into_iter().flatten().min();
            let Some(at) = at.filter(|at| *at <= end) else {
                return;
            };
            self.now = at;
            if job == Some(at) {
                self.offer(next, 0, BTreeSet::new());
                next += 1;
            } else if let Some((_, event)) = self.events.pop_first() {
                self.happen(event);
            }
            self.obey();
        }
    }

    fn counted(&self) -> bool {
        let s = self.now.0 as f64 / 1e6;
        (WARM_UP..WARM_UP + COUNTED).contains(&s)
    }

    fn at(&mut self, when: Moment, event: Event) {
        self.serial += 1;
        self.events.insert((when, self.serial), event);
    }

    fn offer(&mut self, job: usize, attempt: u32, avoid: BTreeSet<ReplicaName>) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let j = &self.jobs.jobs[job];
        let a = Arrival {
            ticket,
            team: self.jobs.teams[j.team].clone(),
            adapter: Some(self.jobs.adapters[j.adapter].clone()),
            class: j.class,
            deadline: j.deadline,
            prompt_tokens: j.prompt,
            max_tokens: j.limit,
            prefix: j.prefix,
            idempotent: true,
            fingerprint: Fingerprint(job as u64),
            attempt,
            avoid: avoid.clone(),
        };
        let entry = Try {
            job,
            attempt,
            avoid,
            granted: Moment(0),
        };
        self.tries.insert(ticket, entry);
        self.policy.offer(self.now, a);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Step(i, incarnation) => self.step(i, incarnation),
            Event::Snap(i) => self.snap(i),
            Event::Report(report) => self.policy.report(self.now, report),
            Event::Loaded(order) => self.loaded(order),
            Event::Tick => {
                self.policy.tick(self.now);
                self.at(self.now.after(TICK), Event::Tick);
            }
            Event::Restart(i) => self.restart(i),
            Event::Back(i) => {
                self.engines[i].up = true;
                self.at(self.now, Event::Snap(i));
            }
        }
    }

    fn snap(&mut self, i: usize) {
        let e = &self.engines[i];
        if !e.up {
            return;
        }
        let (running, waiting) = e.load();
        let report = LoadReport {
            replica: self.names[i].clone(),
            incarnation: Incarnation(e.incarnation),
            age: LAG,
            running,
            waiting,
            loaded: e.loaded.keys().cloned().collect(),
        };
        self.at(self.now.after(LAG), Event::Report(report));
        self.at(self.now.after(REPORT), Event::Snap(i));
    }

    fn step(&mut self, i: usize, incarnation: u64) {
        if self.engines[i].incarnation != incarnation {
            return;
        }
        for ticket in self.engines[i].end() {
            self.answered(ticket);
        }
        self.obey();
        self.begin_step(i);
    }

    fn begin_step(&mut self, i: usize) {
        let counted = self.counted();
        let e = &mut self.engines[i];
        if e.idle()
            && let Some(time) = e.begin(counted)
        {
            let incarnation = e.incarnation;
            self.at(self.now.after(time), Event::Step(i, incarnation));
        }
    }

    fn answered(&mut self, ticket: Ticket) {
        let Some(entry) = self.tries.remove(&ticket) else {
            return;
        };
        self.end(entry.job, End::Answered);
        let tokens = self.jobs.jobs[entry.job].tokens;
        self.finish(ticket, Outcome::Answered, tokens, entry.granted);
    }

    fn finish(&mut self, ticket: Ticket, outcome: Outcome, tokens: u32, granted: Moment) {
        let total = self.now.since(granted);
        let finish = DispatchEnd {
            ticket,
            outcome,
            tokens,
            first_byte: Span(total.0 / u64::from(tokens.max(1))),
            total,
        };
        self.policy.finish(self.now, finish);
    }

    fn end(&mut self, job: usize, end: End) {
        let fate = self.run.fates[job].get_or_insert(Fate {
            end,
            at: self.now,
            stall: Span(0),
        });
        fate.end = end;
        fate.at = self.now;
    }

    fn restart(&mut self, i: usize) {
        let lost = self.engines[i].crash();
        for ticket in lost {
            self.broken(ticket, i, Outcome::BrokenEarly);
        }
        self.at(self.now.after(AWAY), Event::Back(i));
        if self.counted() {
            let next = (i + 1) % self.engines.len();
            self.at(self.now.after(RESTART_EVERY), Event::Restart(next));
        }
    }

    fn broken(&mut self, ticket: Ticket, i: usize, outcome: Outcome) {
        let Some(entry) = self.tries.remove(&ticket) else {
            return;
        };
        self.finish(ticket, outcome, 0, entry.granted);
        if entry.attempt >= RETRIES {
            self.end(entry.job, End::Broken);
            return;
        }
        let mut avoid = entry.avoid;
        avoid.insert(self.names[i].clone());
        self.offer(entry.job, entry.attempt + 1, avoid);
    }

    fn loaded(&mut self, order: OrderId) {
        self.store.pop_front();
        if let Some(next) = self.store.front().copied() {
            self.at(self.now.after(self.load_time()), Event::Loaded(next));
        }
        let Some((i, incarnation, adapter)) = self.orders.remove(&order) else {
            return;
        };
        let e = &mut self.engines[i];
        let end = match e.up && e.incarnation == incarnation.0 {
            true => OrderEnd::Done,
            false => OrderEnd::Unknown,
        };
        if end == OrderEnd::Done {
            e.loaded.insert(adapter, self.now);
            assert!(e.loaded.len() <= self.d.engines.slots as usize);
        }
        self.policy.order_end(self.now, order, end);
    }

    fn load_time(&self) -> Span {
        Span((1e6 / self.d.pool.loads_per_s) as u64)
    }

    fn obey(&mut self) {
        loop {
            let commands = self.policy.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.carry_out(command);
            }
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Grant {
                ticket,
                replica,
                incarnation,
                priority,
            } => self.grant(ticket, &replica, incarnation, priority),
            Command::Refuse { ticket, .. } => {
                if let Some(entry) = self.tries.remove(&ticket) {
                    self.end(entry.job, End::Refused);
                }
            }
            Command::Load {
                order,
                replica,
                incarnation,
                adapter,
                evict,
            } => self.order(order, &replica, incarnation, adapter, evict),
            Command::Block { .. } => {}
        }
    }

    fn index(&self, name: &ReplicaName) -> usize {
        self.names.iter().position(|n| n == name).unwrap_or(0)
    }

    fn grant(&mut self, ticket: Ticket, name: &ReplicaName, inc: Incarnation, priority: i32) {
        let i = self.index(name);
        let now = self.now;
        let Some(entry) = self.tries.get_mut(&ticket) else {
            return;
        };
        entry.granted = now;
        let e = &self.engines[i];
        if !e.up || e.incarnation != inc.0 {
            self.broken(ticket, i, Outcome::NotRun);
            return;
        }
        let job = entry.job;
        let j = &self.jobs.jobs[job];
        let since = e.loaded.get(&self.jobs.adapters[j.adapter]).copied();
        assert!(since.is_some(), "granted where its adapter is not loaded");
        let stall = since.unwrap_or_default().min(now).since(j.at);
        let fate = self.run.fates[job].get_or_insert(Fate {
            end: End::Broken,
            at: now,
            stall,
        });
        fate.stall = fate.stall.max(stall);
        let (tokens, prompt, head) = (j.tokens, j.prompt, j.prefix);
        self.engines[i].take(ticket, priority, tokens, prompt, head);
        self.begin_step(i);
    }

    fn order(
        &mut self,
        order: OrderId,
        name: &ReplicaName,
        inc: Incarnation,
        adapter: AdapterVersion,
        evict: Option<AdapterVersion>,
    ) {
        let i = self.index(name);
        self.run.loads += u64::from(self.counted());
        if let Some(old) = evict {
            self.engines[i].loaded.remove(&old);
        }
        self.orders.insert(order, (i, inc, adapter));
        self.store.push_back(order);
        if self.store.len() == 1 {
            self.at(self.now.after(self.load_time()), Event::Loaded(order));
        }
    }
}
