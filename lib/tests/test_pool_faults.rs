//! Results of requests when replicas, loads or requests fail; no sockets, no
//! clock.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use banyangauge::ids::Fingerprint;
use banyangauge::ids::Incarnation;
use banyangauge::pool::*;
use rstest::rstest;

use crate::test_pool_rig::RequestState;
use crate::test_pool_rig::Rig;
use crate::test_pool_rig::arrival;
use crate::test_pool_rig::settings;
use crate::test_pool_rig::with_deadline;

#[test]
fn load_failing_blocks_no_other() {
    let mut rig = Rig::new(settings(), 2, 2, 16);
    rig.failing_loads.insert("bad@1".parse().unwrap());
    for i in 0..40 {
        let a = arrival(i, "t", if i % 2 == 0 { "bad@1" } else { "good@1" });
        rig.offer_in(i * 100, with_deadline(&rig, 30_000, a));
    }
    rig.run_for(60_000);
    let good = |a: &Arrival| a.adapter == Some("good@1".parse().unwrap());
    assert_eq!(rig.latencies(good).len(), 20);
    assert!(rig.refused(Reason::LoadFailed) > 0);
    assert_eq!(rig.waiting(), 0);
    let tries = rig.loads.iter().filter(|l| l.2.adapter.as_str() == "bad");
    assert!(tries.count() < 12, "failed loads retried without backoff");
}

#[test]
fn load_failed_recovers() {
    let mut rig = Rig::new(settings(), 1, 2, 16);
    rig.failing_loads.insert("a@1".parse().unwrap());
    rig.offer_in(0, with_deadline(&rig, 20_000, arrival(0, "t", "a@1")));
    rig.run_for(700);
    rig.failing_loads.clear();
    rig.run_for(3_000);
    assert_eq!(rig.latencies(|_| true).len(), 1);
}

#[test]
fn restart_empty_served_again() {
    let mut rig = Rig::new(settings(), 2, 2, 8);
    rig.retries = 1;
    for i in 0..100 {
        let a = arrival(i, "t", &format!("a{}@1", i % 3));
        rig.offer_in(i * 100, with_deadline(&rig, i * 100 + 8_000, a));
    }
    rig.crash_in(5_000, "r1");
    rig.run_for(30_000);
    assert_eq!(rig.crashes, 1);
    assert_eq!(rig.latencies(|_| true).len(), 100);
    assert!(rig.blocked.is_empty());
}

#[rstest]
#[case::with_adapter("a@1", 1)]
#[case::plain("", 1)]
#[case::with_adapter_after_two("a@1", 2)]
#[case::plain_after_two("", 2)]
fn only_crashing_request_blocked(#[case] adapter: &str, #[case] strikes: u32) {
    let mut s = settings();
    s.strikes = strikes;
    let mut rig = Rig::new(s, 4, 2, 8);
    rig.retries = 3;
    for i in 0..200 {
        let a = arrival(i, "t", adapter);
        rig.offer_in(i * 50, with_deadline(&rig, i * 50 + 20_000, a));
    }
    let mut bad = arrival(500, "t", adapter);
    bad.fingerprint = Fingerprint(77_777);
    rig.poison.insert(bad.fingerprint);
    rig.offer_in(3_000, with_deadline(&rig, 20_000, bad.clone()));
    // The caller sends it again later.
    bad.ticket = Ticket(501);
    rig.offer_in(8_000, with_deadline(&rig, 20_000, bad));
    rig.run_for(60_000);
    assert!(rig.blocked.contains(&Fingerprint(77_777)));
    assert_eq!(rig.blocked.len(), 1);
    assert_eq!(
        rig.crashes,
        strikes + 1,
        "one crash per strike and one in isolation"
    );
    assert!(rig.refused(Reason::Convicted) >= 1);
    assert_eq!(rig.latencies(|_| true).len(), 200);
    assert_eq!(rig.waiting(), 0);
}

#[test]
fn block_expires() {
    let mut rig = Rig::new(settings(), 1, 0, 8);
    let duration = Span::from_millis(1_000);
    rig.pool.block(rig.now, Fingerprint(0), duration);
    rig.offer_in(0, arrival(0, "t", ""));
    rig.run_for(1_500);
    let mut again = arrival(1, "t", "");
    again.fingerprint = Fingerprint(0);
    rig.offer_in(0, again);
    rig.run_for(1_000);
    assert_eq!(rig.refused(Reason::Convicted), 1);
    assert_eq!(rig.latencies(|_| true).len(), 1);
}

#[test]
fn leaving_replica_finishes_running() {
    let mut rig = Rig::new(settings(), 2, 0, 8);
    for i in 0..4 {
        rig.offer_in(0, arrival(i, "t", ""));
    }
    rig.run_for(10);
    rig.set_health("r1", Health::Leaving);
    rig.configure(&["r1"]);
    let held = rig.pool.view().outstanding["r1"];
    assert_eq!(held, 2, "running dispatches not counted");
    for i in 10..14 {
        rig.offer_in(0, arrival(i, "t", ""));
    }
    rig.run_for(10);
    let on = |g: &&RequestState| matches!(g, RequestState::Granted(n) if n.as_str() == "r1");
    assert_eq!(rig.states.values().filter(on).count(), 2);
    rig.run_for(1_000);
    assert_eq!(rig.latencies(|_| true).len(), 8);
    assert_eq!(rig.pool.view().outstanding["r1"], 0);
    rig.run_for(60_000);
    assert!(!rig.pool.view().outstanding.contains_key("r1"));
}

#[test]
fn drain_refuses_all_waiting() {
    let mut rig = Rig::new(settings(), 1, 0, 2);
    for i in 0..6 {
        rig.offer_in(0, arrival(i, "t", ""));
    }
    rig.run_for(10);
    rig.drain();
    assert_eq!(rig.refused(Reason::Draining), 4);
    rig.run_for(1_000);
    assert_eq!(rig.latencies(|_| true).len(), 2);
}

#[test]
fn freeze_slots_delays_loads() {
    let mut rig = Rig::new(settings(), 1, 2, 8);
    rig.freeze_slots(rig.now.after(Span::from_millis(3_000)));
    rig.offer_in(0, with_deadline(&rig, 10_000, arrival(0, "t", "a@1")));
    rig.run_for(2_900);
    assert!(rig.loads.is_empty());
    rig.run_for(2_000);
    assert_eq!(rig.latencies(|_| true).len(), 1);
}

/// Creates a pool with one replica of two slots that has reported `a@1`.
fn reported_pool() -> Pool {
    let mut pool = Pool::new(settings());
    let name: banyangauge::ids::ReplicaName = "r1".parse().unwrap();
    let spec = ReplicaSpec {
        name: name.clone(),
        slots: 2,
        batch: 8,
    };
    pool.set_replicas(Moment(0), &[spec]);
    pool.report(Moment(10_000_000), report(1, 0, &["a@1"]));
    pool
}

fn report(incarnation: u64, age_ms: u64, loaded: &[&str]) -> LoadReport {
    LoadReport {
        replica: "r1".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        age: Span::from_millis(age_ms),
        running: 0,
        waiting: 0,
        loaded: loaded.iter().map(|a| a.parse().unwrap()).collect(),
    }
}

fn is_loaded(pool: &Pool, adapter: &str) -> bool {
    pool.view().loaded["r1"].contains(&adapter.parse().unwrap())
}

#[rstest]
#[case::older_than_the_load(2_000, true)]
#[case::newer(500, false)]
fn report_after_load(#[case] age_ms: u64, #[case] kept: bool) {
    let mut pool = reported_pool();
    pool.offer(Moment(20_000_000), arrival(1, "t", "b@1"));
    let commands = pool.take_commands();
    let Some(Command::Load { order, .. }) = commands.first() else {
        panic!("{commands:?}");
    };
    pool.order_end(Moment(21_000_000), *order, OrderEnd::Done);
    assert!(is_loaded(&pool, "b@1"));
    pool.report(Moment(22_000_000), report(1, age_ms, &["a@1"]));
    assert_eq!(is_loaded(&pool, "b@1"), kept);
}

#[test]
fn wrong_identity_not_granted_until_reported() {
    let mut pool = reported_pool();
    pool.offer(Moment(20_000_000), arrival(1, "t", "a@1"));
    let finish = DispatchEnd {
        ticket: Ticket(1),
        outcome: Outcome::WrongIdentity,
        tokens: 0,
        first_byte: Span(0),
        total: Span(0),
    };
    pool.finish(Moment(20_100_000), finish);
    assert!(!is_loaded(&pool, "a@1"));
    pool.report(Moment(21_000_000), report(1, 100, &["a@1"]));
    assert!(is_loaded(&pool, "a@1"));
}

#[test]
fn adopted_in_use_not_evicted() {
    let mut pool = reported_pool();
    for (ticket, adapter) in [(1, "a@1"), (2, "x@1")] {
        pool.adopt(
            Moment(11_000_000),
            InheritedDispatch {
                ticket: Ticket(ticket),
                replica: "r1".parse().unwrap(),
                incarnation: Incarnation(1),
                adapter: Some(adapter.parse().unwrap()),
                team: "t".parse().unwrap(),
                class: Class::Interactive,
                max_tokens: 10,
                fingerprint: Fingerprint(ticket),
            },
        );
    }
    pool.offer(Moment(12_000_000), arrival(3, "t", "b@1"));
    assert!(pool.take_commands().is_empty(), "evicted an adapter in use");
}

#[test]
fn retries_bounded_by_budget() {
    let mut rig = Rig::new(settings(), 2, 0, 16);
    for i in 0..200 {
        let mut a = arrival(i, "t", "");
        a.attempt = 1;
        rig.offer_in(i * 10, a);
    }
    rig.run_for(20_000);
    // The reserve of one batch, and a tenth of the answers.
    assert!(rig.refused(Reason::RetryBudget) > 150);
    assert!(rig.latencies(|_| true).len() >= 32);
}

#[test]
fn refusing_replica_gets_no_work() {
    let mut rig = Rig::new(settings(), 2, 0, 8);
    rig.crash_in(0, "r1");
    rig.run_for(10);
    for i in 0..100 {
        rig.offer_in(i * 10, arrival(i, "t", ""));
    }
    rig.run_for(5_000);
    let broken = rig
        .states
        .values()
        .filter(|g| matches!(g, RequestState::Broken(_)));
    assert!(broken.count() <= 2, "more than one refusal per report");
}

#[test]
fn freeze_evictions_allows_vacant_slots() {
    let mut rig = Rig::new(settings(), 1, 2, 8);
    rig.freeze_evictions(rig.now.after(Span::from_millis(6_000)));
    for (i, adapter) in ["a@1", "b@1", "c@1"].iter().enumerate() {
        rig.offer_in(
            0,
            with_deadline(&rig, 20_000, arrival(i as u64, "t", adapter)),
        );
    }
    rig.run_for(5_900);
    assert_eq!(rig.loads.len(), 2);
    assert_eq!(rig.latencies(|_| true).len(), 2);
    rig.run_for(2_000);
    assert_eq!(rig.latencies(|_| true).len(), 3);
}

#[rstest]
#[case::answered(Outcome::Answered, 0)]
#[case::broken(Outcome::BrokenLate, 6)]
#[case::cancelled(Outcome::Cancelled, 6)]
#[case::wrong_identity(Outcome::WrongIdentity, 6)]
fn slot_retained_after(#[case] outcome: Outcome, #[case] seconds: u64) {
    let mut pool = Pool::new(settings());
    let spec = ReplicaSpec {
        name: "r1".parse().unwrap(),
        slots: 1,
        batch: 8,
    };
    pool.set_replicas(Moment(0), &[spec]);
    pool.report(Moment(1_000_000), report(1, 0, &["a@1"]));
    pool.offer(Moment(2_000_000), arrival(1, "t", "a@1"));
    pool.take_commands();
    let finish = DispatchEnd {
        ticket: Ticket(1),
        outcome,
        tokens: 0,
        first_byte: Span(0),
        total: Span(0),
    };
    pool.finish(Moment(3_000_000), finish);
    pool.offer(Moment(3_000_000), arrival(2, "t", "b@1"));
    let evicted = |pool: &mut Pool, at: u64| {
        pool.report(Moment(at), report(1, 10, &["a@1"]));
        pool.tick(Moment(at));
        let orders = pool.take_commands();
        orders.iter().any(|c| matches!(c, Command::Load { .. }))
    };
    let end = 3_000_000 + seconds * 1_000_000;
    assert!(seconds == 0 || !evicted(&mut pool, end - 100_000));
    assert!(evicted(&mut pool, end + 100_000));
}
