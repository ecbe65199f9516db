//! Results and latencies of requests under load; no sockets, no clock.

use banyangauge::ids::TeamName;
use banyangauge::pool::*;
use rstest::rstest;

use crate::test_pool_rig::RequestState;
use crate::test_pool_rig::Rig;
use crate::test_pool_rig::arrival;
use crate::test_pool_rig::settings;
use crate::test_pool_rig::with_deadline;

fn percentile(sorted: &[Span], percent: usize) -> u64 {
    sorted[(sorted.len() - 1) * percent / 100].as_millis()
}

#[test]
fn load_merged_for_all_waiting() {
    let mut rig = Rig::new(settings(), 2, 2, 16);
    for i in 0..10 {
        rig.offer_in(i * 10, arrival(i, "t", "a@1"));
    }
    rig.run_for(2_000);
    assert_eq!(rig.loads.len(), 1);
    assert_eq!(rig.latencies(|_| true).len(), 10);
}

#[test]
fn load_hot_before_cold() {
    let mut rig = Rig::new(settings(), 2, 4, 16);
    rig.offer_in(0, arrival(0, "t", "first@1"));
    rig.offer_in(10, arrival(1, "t", "cold@1"));
    for i in 0..8 {
        rig.offer_in(20, arrival(10 + i, "t", "hot@1"));
    }
    rig.run_for(5_000);
    let order: Vec<_> = rig.loads.iter().map(|l| l.2.adapter.as_str()).collect();
    assert_eq!(order, ["first", "hot", "cold"]);
}

#[test]
fn burst_spares_other_teams() {
    let mut rig = Rig::new(settings(), 2, 2, 4);
    // The pool answers 16 requests per second. One team sends 60 per second for
    // ten seconds, the other 4 per second.
    for i in 0..600 {
        let a = arrival(i, "burst", "");
        rig.offer_in(i * 1_000 / 60, with_deadline(&rig, 4_000 + i * 17, a));
    }
    for i in 0..40 {
        let a = arrival(1_000 + i, "steady", "");
        rig.offer_in(i * 250, with_deadline(&rig, 4_000 + i * 250, a));
    }
    rig.run_for(30_000);
    let steady: TeamName = "steady".parse().unwrap();
    let times = rig.latencies(|a| a.team == steady);
    assert_eq!(times.len(), 40, "requests of the steady team were refused");
    assert!(percentile(&times, 99) <= 1_200, "{times:?}");
    assert_eq!(rig.waiting(), 0);
}

#[rstest]
#[case::equal(1, 1)]
#[case::three_to_one(3, 1)]
fn shares_of_full_pool(#[case] first: u32, #[case] second: u32) {
    let mut s = settings();
    s.shares = [
        ("one".parse().unwrap(), first),
        ("two".parse().unwrap(), second),
    ]
    .into();
    let mut rig = Rig::new(s, 2, 0, 4);
    for i in 0..400 {
        for (k, team) in ["one", "two"].into_iter().enumerate() {
            let a = arrival(i * 2 + k as u64, team, "");
            rig.offer_in(i * 25, with_deadline(&rig, 5_000, a));
        }
    }
    rig.run_for(10_000);
    let of = |t: &str| {
        let t: TeamName = t.parse().unwrap();
        rig.latencies(|a| a.team == t).len() as f64
    };
    let ratio = of("one") / of("two");
    let want = f64::from(first) / f64::from(second);
    assert!((ratio / want - 1.0).abs() < 0.25, "{ratio} for {want}");
}

#[test]
fn shift_served_within_seconds() {
    let mut rig = Rig::new(settings(), 2, 2, 16);
    // Four adapters are busy for a minute and then get no requests; four others
    // are busy from then on.
    for i in 0..1_200u64 {
        let new = if i < 600 { 0 } else { 4 };
        let a = arrival(i, "t", &format!("a{}@1", new + i % 4));
        rig.offer_in(i * 100, with_deadline(&rig, i * 100 + 10_000, a));
    }
    rig.run_for(66_000);
    let new = |a: &Arrival| a.ticket.0 >= 600;
    let times = rig.latencies(new);
    assert!(times.len() > 40);
    assert!(times.last().unwrap().as_millis() <= 3_500, "{times:?}");
    rig.run_for(60_000);
    // After the shift no further load is needed.
    let late = rig.loads.iter().filter(|l| l.0 > Moment(75_000_000));
    assert_eq!(late.count(), 0, "loads continue after the shift");
}

#[test]
fn slow_upstream_gets_less() {
    let mut rig = Rig::new(settings(), 3, 0, 16);
    rig.slow_down("r1", 1_000);
    for i in 0..1_200 {
        rig.offer_in(i * 50, arrival(i, "t", ""));
    }
    rig.run_for(70_000);
    let times = rig.latencies(|a| a.ticket.0 >= 200);
    assert!(
        percentile(&times, 90) <= 600,
        "{:?}",
        percentile(&times, 90)
    );
    assert_eq!(rig.latencies(|_| true).len(), 1_200);
}

#[test]
fn long_work_leaves_room_for_short() {
    let mut rig = Rig::new(settings(), 2, 2, 8);
    for i in 0..200 {
        let mut a = arrival(i, "archive", "");
        a.class = Class::Long;
        a.max_tokens = 500;
        rig.offer_in(0, with_deadline(&rig, 400_000, a));
    }
    for i in 0..100 {
        rig.offer_in(1_000 + i * 200, arrival(1_000 + i, "counter", ""));
    }
    rig.run_for(300_000);
    let short = rig.latencies(|a| a.class == Class::Interactive);
    assert_eq!(short.len(), 100);
    assert!(percentile(&short, 99) <= 550, "{short:?}");
    assert_eq!(rig.latencies(|a| a.class == Class::Long).len(), 200);
    let capped = rig.peak.values().all(|(_, long)| *long <= 6);
    assert!(capped, "{:?}", rig.peak);
}

#[test]
fn short_work_leaves_long_floor() {
    let mut rig = Rig::new(settings(), 1, 0, 8);
    // Twice the short work that the replica can do, for a minute.
    for i in 0..1_920 {
        let a = arrival(i, "counter", "");
        rig.offer_in(i * 31, with_deadline(&rig, i * 31 + 5_000, a));
    }
    for i in 0..10 {
        let mut a = arrival(5_000 + i, "archive", "");
        a.class = Class::Long;
        a.max_tokens = 500;
        rig.offer_in(500, with_deadline(&rig, 60_000, a));
    }
    rig.run_for(60_000);
    assert_eq!(rig.latencies(|a| a.class == Class::Long).len(), 10);
    assert!(rig.latencies(|a| a.class == Class::Interactive).len() > 500);
}

#[test]
fn saturation_ends_every_request() {
    let mut rig = Rig::new(settings(), 2, 0, 4);
    for i in 0..2_000 {
        let a = arrival(i, &format!("t{}", i % 5), "");
        rig.offer_in(i * 20, with_deadline(&rig, i * 20 + 2_000, a));
    }
    rig.run_for(60_000);
    assert_eq!(rig.waiting(), 0);
    let times = rig.latencies(|_| true);
    // 16 per second for 40 seconds, the full capacity of the replicas.
    assert!(times.len() >= 600, "{}", times.len());
    assert!(
        times.last().unwrap().as_millis() <= 2_000,
        "answers after the deadline"
    );
    let refused: Vec<_> = rig
        .states
        .values()
        .filter_map(|g| match g {
            RequestState::Refused { after, .. } => Some(*after),
            _ => None,
        })
        .collect();
    assert_eq!(refused.len() + times.len(), 2_000);
    assert!(refused.iter().all(|after| after.0 > 0));
}

#[test]
fn deadline_unreachable_refused_at_once() {
    let mut rig = Rig::new(settings(), 1, 2, 4);
    rig.offer_in(0, with_deadline(&rig, 300, arrival(0, "t", "a@1")));
    rig.run_for(0);
    assert_eq!(rig.refused(Reason::Deadline), 1);
}

#[test]
fn second_copy_when_first_is_full() {
    let mut rig = Rig::new(settings(), 2, 2, 4);
    for i in 0..400 {
        let a = arrival(i, "t", "hot@1");
        rig.offer_in(i * 80, with_deadline(&rig, i * 80 + 10_000, a));
    }
    rig.run_for(40_000);
    assert_eq!(rig.loads.len(), 2, "expected one load per copy");
    let times = rig.latencies(|a| a.ticket.0 > 200);
    assert!(percentile(&times, 99) <= 800, "{times:?}");
}

#[test]
fn no_copy_while_first_has_room() {
    let mut rig = Rig::new(settings(), 2, 2, 8);
    for i in 0..100 {
        rig.offer_in(i * 100, arrival(i, "t", "hot@1"));
    }
    rig.run_for(15_000);
    assert_eq!(rig.loads.len(), 1);
}

fn batching_rig() -> Rig {
    let mut s = settings();
    s.objective = Objective::Batch;
    Rig::new(s, 2, 2, 10)
}

fn long_arrival(rig: &Rig, ticket: u64, ms: u64) -> Arrival {
    let mut a = arrival(ticket, "archive", "a@1");
    a.class = Class::Long;
    with_deadline(rig, ms, a)
}

#[rstest]
#[case::no_longer_than_set(600_000, 10_600)]
#[case::a_tenth_of_its_time(30_000, 3_600)]
fn long_work_alone_starts_within_delay(#[case] deadline: u64, #[case] most: u64) {
    let mut rig = batching_rig();
    rig.offer_in(0, arrival(0, "counter", "a@1"));
    rig.run_for(2_000);
    rig.offer_in(0, long_arrival(&rig, 1, deadline));
    rig.run_for(most - 1_000);
    assert_eq!(rig.latencies(|a| a.class == Class::Long).len(), 0);
    rig.run_for(1_000);
    assert_eq!(rig.latencies(|a| a.class == Class::Long).len(), 1);
}

#[test]
fn long_work_filling_batch_starts_at_once() {
    let mut rig = batching_rig();
    rig.offer_in(0, arrival(0, "counter", "a@1"));
    rig.run_for(2_000);
    for i in 1..=6 {
        rig.offer_in(i * 10, long_arrival(&rig, i, 600_000));
    }
    rig.run_for(600);
    assert_eq!(rig.latencies(|a| a.class == Class::Long).len(), 6);
}

#[test]
fn second_copy_when_another_frees() {
    let mut rig = Rig::new(settings(), 2, 1, 2);
    for i in 0..2 {
        let mut a = arrival(i, "t", "b@1");
        a.max_tokens = 300;
        rig.offer_in(0, a);
    }
    rig.run_for(700);
    // All arrive while the other replica is full, none later.
    for i in 10..60 {
        rig.offer_in(0, arrival(i, "t", "a@1"));
    }
    rig.run_for(12_000);
    assert_eq!(rig.loads.len(), 3, "{:?}", rig.loads);
    assert_eq!(rig.latencies(|_| true).len(), 52);
}
