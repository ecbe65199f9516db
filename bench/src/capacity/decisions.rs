//! The cost of one decision of a pool.

use std::collections::BTreeSet;
use std::time::Instant;

use banyangauge::ids::AdapterVersion;
use banyangauge::ids::Fingerprint;
use banyangauge::ids::Incarnation;
use banyangauge::ids::ReplicaName;
use banyangauge::ids::TeamName;
use banyangauge::pool::Arrival;
use banyangauge::pool::Class;
use banyangauge::pool::Command;
use banyangauge::pool::DispatchEnd;
use banyangauge::pool::LoadReport;
use banyangauge::pool::Moment;
use banyangauge::pool::Outcome;
use banyangauge::pool::Pool;
use banyangauge::pool::ReplicaSpec;
use banyangauge::pool::Span;
use banyangauge::pool::Ticket;

/// Slots and batch of each replica; Tavuki's engines are of this size.
const SLOTS: usize = 8;
const BATCH: u32 = 16;

/// Requests that run at once while decisions are timed.
const RUNNING: usize = 64;

/// Decisions that are timed.
const DECISIONS: u64 = 20_000;

fn replica_name(i: usize) -> Option<ReplicaName> {
    format!("replica-{i}").parse().ok()
}

fn adapter(i: usize) -> Option<AdapterVersion> {
    format!("adapter-{i}@1").parse().ok()
}

fn arrival(number: u64, now: Moment, adapter: &AdapterVersion, team: &TeamName) -> Arrival {
    Arrival {
        ticket: Ticket(number),
        team: team.clone(),
        adapter: Some(adapter.clone()),
        class: Class::Interactive,
        deadline: now.after(Span::from_millis(30_000)),
        prompt_tokens: 20,
        max_tokens: 100,
        prefix: number % 50,
        idempotent: true,
        fingerprint: Fingerprint(number),
        attempt: 0,
        avoid: BTreeSet::new(),
    }
}

/// Microseconds of a request's decisions, from its arrival to its end, in a
/// pool of `replicas` that knows `adapters`.
pub(super) fn decision_us(replicas: usize, adapters: usize) -> f64 {
    let mut pool = Pool::default();
    let mut now = Moment(1_000_000);
    let names: Vec<_> = (0..replicas).filter_map(replica_name).collect();
    let specs: Vec<_> = names
        .iter()
        .map(|name| ReplicaSpec {
            name: name.clone(),
            slots: SLOTS as u32,
            batch: BATCH,
        })
        .collect();
    pool.set_replicas(now, &specs);
    let known: Vec<_> = (0..adapters).filter_map(adapter).collect();
    for (i, name) in names.iter().enumerate() {
        let loaded = known.iter().skip(i * SLOTS).take(SLOTS).cloned().collect();
        pool.report(
            now,
            LoadReport {
                replica: name.clone(),
                incarnation: Incarnation(1),
                age: Span(0),
                running: 0,
                waiting: 0,
                loaded,
            },
        );
    }
    let Ok(team) = TeamName::new("team") else {
        return 0.0;
    };
    // Every adapter has been asked for once.
    pool.freeze_slots(Moment(u64::MAX / 2));
    for (i, a) in known.iter().enumerate() {
        now = now.after(Span(100));
        pool.offer(now, arrival(i as u64, now, a, &team));
        pool.abandon(now, Ticket(i as u64));
    }
    pool.take_commands();
    let hot = replicas * SLOTS;
    let mut running = std::collections::VecDeque::new();
    let mut serial = adapters as u64;
    let start = Instant::now();
    for _ in 0..DECISIONS {
        now = now.after(Span(200));
        serial += 1;
        let a = &known[(serial as usize * 7) % hot.min(known.len())];
        pool.offer(now, arrival(serial, now, a, &team));
        for command in pool.take_commands() {
            if let Command::Grant { ticket, .. } = command {
                running.push_back(ticket);
            }
        }
        if running.len() > RUNNING
            && let Some(ticket) = running.pop_front()
        {
            let total = Span::from_millis(500);
            pool.finish(
                now,
                DispatchEnd {
                    ticket,
                    outcome: Outcome::Answered,
                    tokens: 100,
                    first_byte: Span::from_millis(20),
                    total,
                },
            );
        }
    }
    start.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}
