//! What one decision costs at today's size and at the target's.

use std::collections::BTreeSet;
use std::hint::black_box;

use banyangauge::ids::AdapterVersion;
use banyangauge::ids::Fingerprint;
use banyangauge::ids::Incarnation;
use banyangauge::ids::ReplicaName;
use banyangauge::ids::TeamName;
use banyangauge::pool::*;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

/// Slots and batch of each replica.
const SLOTS: u32 = 8;
const BATCH: u32 = 16;

/// A pool in which every adapter has been asked for and every slot is full,
/// with `busy` hundredths of all places taken.
struct Bench {
    pool: Pool,
    now: Moment,
    adapters: Vec<AdapterVersion>,
    loaded: usize,
    teams: Vec<TeamName>,
    serial: u64,
    running: std::collections::VecDeque<Ticket>,
}

impl Bench {
    fn new(replicas: usize, adapters: usize, busy: usize) -> Self {
        let name = |i: usize| -> Option<ReplicaName> { format!("r{i}").parse().ok() };
        let names: Vec<_> = (0..replicas).filter_map(name).collect();
        let adapter = |i: usize| format!("adapter-{i}@1").parse().ok();
        let adapters: Vec<AdapterVersion> = (0..adapters).filter_map(adapter).collect();
        let teams = (0..100).filter_map(|i| format!("team-{i}").parse().ok());
        let mut b = Self {
            pool: Pool::default(),
            now: Moment(1_000_000),
            adapters,
            loaded: replicas * SLOTS as usize,
            teams: teams.collect(),
            serial: 0,
            running: std::collections::VecDeque::new(),
        };
        let spec = |name: &ReplicaName| ReplicaSpec {
            name: name.clone(),
            slots: SLOTS,
            batch: BATCH,
        };
        let specs: Vec<_> = names.iter().map(spec).collect();
        b.pool.set_replicas(b.now, &specs);
        for (i, name) in names.iter().enumerate() {
            let from = i * SLOTS as usize;
            let report = LoadReport {
                replica: name.clone(),
                incarnation: Incarnation(1),
                age: Span(0),
                running: 0,
                waiting: 0,
                loaded: b.adapters[from..from + SLOTS as usize]
                    .iter()
                    .cloned()
                    .collect(),
            };
            b.pool.report(b.now, report);
        }
        b.ask_for_all();
        for _ in 0..replicas * BATCH as usize * busy / 100 {
            b.offer_loaded();
        }
        b
    }

    /// Makes every adapter known, as after days of work.
    fn ask_for_all(&mut self) {
        let thaw = self.now.after(Span(self.adapters.len() as u64 * 200));
        self.pool.freeze_slots(thaw);
        for i in self.loaded..self.adapters.len() {
            let ticket = self.offer(i);
            self.pool.abandon(self.now, ticket);
        }
        self.pool.take_commands();
        self.now = thaw.after(Span(1));
    }

    fn arrival(&mut self, adapter: usize) -> Arrival {
        self.serial += 1;
        self.now = self.now.after(Span(100));
        Arrival {
            ticket: Ticket(self.serial),
            team: self.teams[self.serial as usize % self.teams.len()].clone(),
            adapter: Some(self.adapters[adapter].clone()),
            class: Class::Interactive,
            deadline: self.now.after(Span::from_millis(3_600_000)),
            prompt_tokens: 200,
            max_tokens: 200,
            prefix: self.serial % 5_000,
            idempotent: true,
            fingerprint: Fingerprint(self.serial),
            attempt: 0,
            avoid: BTreeSet::new(),
        }
    }

    fn offer(&mut self, adapter: usize) -> Ticket {
        let arrival = self.arrival(adapter);
        let ticket = arrival.ticket;
        self.pool.offer(self.now, arrival);
        ticket
    }

    fn offer_loaded(&mut self) {
        let adapter = self.serial as usize * 7 % self.loaded;
        self.offer(adapter);
        self.note_grants();
    }

    fn note_grants(&mut self) {
        for command in self.pool.take_commands() {
            if let Command::Grant { ticket, .. } = command {
                self.running.push_back(ticket);
            }
        }
    }

    /// One request through the pool: offered and granted, and the oldest one
    /// ended.
    fn turn(&mut self) {
        self.offer_loaded();
        if let Some(ticket) = self.running.pop_front() {
            let finish = DispatchEnd {
                ticket,
                outcome: Outcome::Answered,
                tokens: 100,
                first_byte: Span::from_millis(50),
                total: Span::from_millis(900),
            };
            self.pool.finish(self.now, finish);
            self.note_grants();
        }
    }

    /// Lets adapters wait that are not loaded, for a while that outlasts the
    /// measurement; with every slot in use none can be loaded.
    fn block(&mut self) {
        for i in 0..64 {
            self.offer(self.loaded + i);
        }
        self.note_grants();
    }

    /// A request whose adapter is not loaded, while the store is busy.
    fn miss(&mut self) {
        let cold = self.loaded + self.serial as usize * 7 % (self.adapters.len() - self.loaded);
        let ticket = self.offer(cold);
        self.pool.abandon(self.now, ticket);
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for (replicas, adapters) in [(12, 3_000), (58, 3_000), (12, 14_000), (58, 14_000)] {
        let size = format!("{replicas}x{adapters}");
        for (kind, busy) in [("half_full", 50), ("full", 110)] {
            let mut bench = Bench::new(replicas, adapters, busy);
            let id = BenchmarkId::new(kind, &size);
            group.bench_function(id, |b| b.iter(|| black_box(&mut bench).turn()));
        }
        let mut bench = Bench::new(replicas, adapters, 110);
        bench.block();
        let id = BenchmarkId::new("no_slot_free", &size);
        group.bench_function(id, |b| b.iter(|| black_box(&mut bench).turn()));
        let mut bench = Bench::new(replicas, adapters, 50);
        let id = BenchmarkId::new("not_loaded", &size);
        group.bench_function(id, |b| b.iter(|| black_box(&mut bench).miss()));
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
