//! Requests that wait for a replica: their order, and which are refused instead.

use std::collections::BTreeMap;
use std::time::Duration;

use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::Arrival;
use banyangauge::serving::LoadNeed;
use banyangauge::serving::Placement;
use banyangauge::serving::Rank;
use banyangauge::serving::Target;
use banyangauge::serving::WaitBounds;
use banyangauge::serving::WaitEntry;
use banyangauge::serving::WaitId;
use banyangauge::serving::WaitLimits;
use banyangauge::serving::WaitParts;
use banyangauge::serving::WaitQueue;
use banyangauge::serving::WaitReason;
use banyangauge::serving::WaitStep;
use proptest::prelude::*;
use rstest::rstest;

fn at(ms: u64) -> Moment {
    Moment(10_000_000).after(Span::from_millis(ms))
}

fn rank(route: u32) -> Rank {
    Rank {
        organisation: 0,
        route,
    }
}

/// A request that arrives at `ms` milliseconds with an objective of a minute.
fn entry(ms: u64, route: u32, organisation: &str) -> WaitEntry {
    WaitEntry {
        rank: rank(route),
        organisation: organisation.parse().ok(),
        target: None,
        arrival: at(ms),
        objective: at(ms + 60_000),
        deadline: at(ms + 90_000),
        tokens: 1_000,
        bytes: 100,
        sent: false,
        avoids: false,
    }
}

fn queue_of(entries: Vec<WaitEntry>) -> WaitQueue {
    let mut queue = WaitQueue::new(WaitBounds::default());
    for (id, entry) in (0..).zip(entries) {
        assert!(queue.push(at(0), WaitId(id), entry).is_empty());
    }
    queue
}

/// Serves the first request in order; returns its ID.
fn serve_first(queue: &mut WaitQueue, ms: u64) -> u64 {
    let first = queue.order(at(ms))[0];
    queue.leave(at(ms), first, true);
    first.0
}

/// Without the order, an urgent request that arrives last is tried last, and requests that have
/// missed their objective take the capacity of those that can still meet theirs.
#[test]
fn order_is_by_objective_rank_and_arrival() {
    let mut late = entry(0, 0, "a");
    late.objective = at(50);
    let queue = queue_of(vec![
        late,
        entry(2, 1, "a"),
        entry(1, 1, "a"),
        entry(3, 0, "a"),
    ]);
    let order: Vec<_> = queue.order(at(100)).iter().map(|id| id.0).collect();
    assert_eq!(order, [3, 2, 1, 0]);
}

/// In order of arrival, 60 requests of one organisation go before the first of another, and
/// its long requests take more than its short ones would.
#[test]
fn order_shares_between_organisations_by_tokens() {
    let mut entries: Vec<_> = (0..60).map(|n| entry(n, 0, "many")).collect();
    entries.extend((60..70).map(|n| WaitEntry {
        tokens: 2_000,
        ..entry(n, 0, "few")
    }));
    let mut queue = queue_of(entries);
    let served: Vec<_> = (0..30).map(|_| serve_first(&mut queue, 100)).collect();
    let few = served.iter().filter(|id| **id >= 60).count();
    // A third of the requests, but for every fourth, which is the oldest.
    assert!((6..=10).contains(&few), "{few} of 30");
}

/// An organisation that sent nothing for a while must not be served alone until it has caught
/// up with the others.
#[test]
fn order_gives_no_credit_for_idle_time() {
    let mut queue = queue_of((0..200).map(|n| entry(n, 0, "steady")).collect());
    for _ in 0..100 {
        serve_first(&mut queue, 300);
    }
    for n in 200..300 {
        queue.push(at(301), WaitId(n), entry(n, 0, "idle"));
    }
    let served: Vec<_> = (0..40).map(|_| serve_first(&mut queue, 302)).collect();
    let steady = served.iter().filter(|id| **id < 200).count();
    assert!(steady >= 20, "{steady} of 40");
}

/// Of five requests for an adapter that is being loaded, each would scan all replicas at each
/// change; after the load each must still be tried.
#[test]
fn pass_leaves_out_followers_of_a_request_that_waits() {
    let adapter = |ms, name: &str| WaitEntry {
        target: Target::parse(name),
        ..entry(ms, 0, "a")
    };
    let mut entries: Vec<_> = (0..5).map(|n| adapter(n, "base/x")).collect();
    entries.push(adapter(5, "base/y"));
    // It may wait for another reason than the others, so that they do not follow it.
    entries[0].avoids = true;
    let mut queue = queue_of(entries);
    let mut pass = queue.begin_pass(at(10));
    let tried: Vec<_> = std::iter::from_fn(|| pass.next(&queue)).collect();
    assert_eq!(tried, [WaitId(0), WaitId(1), WaitId(5)]);
    let mut pass = queue.begin_pass(at(20));
    let mut served = 0;
    while let Some(id) = pass.next(&queue) {
        queue.leave(at(20), id, true);
        served += 1;
    }
    assert_eq!((served, queue.len()), (6, 0));
}

#[test]
fn demand_tells_who_waits_for_an_adapter() {
    let target = Target::parse("base/x").unwrap();
    let wants = |route, objective| WaitEntry {
        target: Some(target.clone()),
        objective: at(objective),
        ..entry(0, route, "a")
    };
    let queue = queue_of(vec![wants(3, 900), wants(1, 400), entry(0, 0, "a")]);
    let demand = |left| LoadNeed {
        waiting: 2,
        rank: rank(1),
        left: Some(Span::from_millis(left)),
    };
    assert_eq!(queue.load_need(at(100), &target), Some(demand(800)));
    assert_eq!(queue.load_need(at(1_000), &target), Some(demand(0)));
    assert_eq!(
        queue.load_need(at(0), &Target::parse("base/y").unwrap()),
        None
    );
}

/// A queue without bounds takes the memory of the VM. The urgent request that arrives when it
/// is full must not be the one that is refused, nor one that was already sent.
#[test]
fn full_queue_refuses_the_last_in_order() {
    let bounds = WaitBounds {
        requests: 3,
        bytes: 350,
    };
    let mut queue = WaitQueue::new(bounds);
    let sent = WaitEntry {
        sent: true,
        ..entry(0, 9, "a")
    };
    queue.push(at(0), WaitId(0), sent);
    queue.push(at(1), WaitId(1), entry(1, 1, "a"));
    queue.push(at(2), WaitId(2), entry(2, 2, "a"));
    assert_eq!(queue.push(at(3), WaitId(3), entry(3, 0, "a")), [WaitId(2)]);
    assert_eq!(queue.push(at(4), WaitId(4), entry(4, 5, "a")), [WaitId(4)]);
    let large = WaitEntry {
        bytes: 200,
        ..entry(5, 0, "a")
    };
    assert_eq!(queue.push(at(5), WaitId(5), large), [WaitId(1), WaitId(5)]);
    assert_eq!((queue.len(), queue.bytes()), (2, 200));
}

/// A body that exceeds the bound by itself could otherwise never be served.
#[test]
fn request_alone_is_never_too_large() {
    let mut queue = WaitQueue::new(WaitBounds {
        requests: 1,
        bytes: 10,
    });
    assert!(queue.push(at(0), WaitId(0), entry(0, 0, "a")).is_empty());
}

/// A queue of 200 requests of rank 1 that served `rate` requests a second for `ms` milliseconds.
fn observed_queue(rate: u64, ms: u64) -> WaitQueue {
    let count = 200 + rate * ms / 1_000;
    let mut queue = queue_of((0..count).map(|_| entry(0, 1, "a")).collect());
    for n in 0..count - 200 {
        queue.leave(at((n + 1) * 1_000 / rate), WaitId(n), true);
    }
    queue
}

/// Callers were held for 1.5 s and then refused, although the queue could not empty in time.
/// Without evidence of seconds, or if the wait fits, a refusal would cost a caller more than a
/// wait.
#[rstest]
#[case::clear(20, 6_000, 1, false, 3_000, false, true)]
#[case::has_capacity(20, 6_000, 1, false, 3_000, true, false)]
#[case::fits(20, 6_000, 1, false, 12_000, false, false)]
#[case::more_urgent_than_all(20, 6_000, 0, false, 3_000, false, false)]
#[case::already_sent(20, 6_000, 1, true, 3_000, false, false)]
#[case::short_observation(20, 3_000, 1, false, 100, false, false)]
#[case::too_few_departures(2, 6_000, 1, false, 100, false, false)]
fn arrival_is_refused_on_clear_evidence_only(
    #[case] rate: u64,
    #[case] observed: u64,
    #[case] route: u32,
    #[case] sent: bool,
    #[case] may_wait: u64,
    #[case] has_capacity: bool,
    #[case] refused: bool,
) {
    let queue = observed_queue(rate, observed);
    let arrival = Arrival {
        rank: rank(route),
        sent,
        objective: at(60_000),
        until: at(observed + may_wait),
        has_capacity,
        bytes: 100,
    };
    assert_eq!(queue.is_too_late(at(observed), &arrival), refused);
}

/// After the queue was empty there was capacity, whatever was observed before.
#[test]
fn arrival_is_not_refused_after_an_empty_queue() {
    let mut queue = observed_queue(20, 6_000);
    let arrival = Arrival {
        rank: rank(1),
        sent: false,
        objective: at(60_000),
        until: at(6_001),
        has_capacity: false,
        bytes: 100,
    };
    for id in queue.order(at(6_000)) {
        queue.leave(at(6_000), id, true);
    }
    assert!(!queue.is_too_late(at(6_000), &arrival));
    for n in 1_000..1_200 {
        queue.push(at(6_000), WaitId(n), entry(6_000, 1, "a"));
    }
    assert!(!queue.is_too_late(at(6_000), &arrival));
}

/// Callers that return at once took each free slot before a waiting request tried. A request
/// that goes before all that wait for its adapter has no reason to wait.
#[rstest]
#[case::same_rank("base/x", 1, true)]
#[case::more_urgent("base/x", 0, false)]
#[case::less_urgent("base/x", 2, true)]
#[case::other_adapter("base/y", 1, false)]
#[case::one_that_avoids_replicas("base/z", 1, false)]
fn arrival_gives_way_to_those_before_it(
    #[case] target: &str,
    #[case] route: u32,
    #[case] expected: bool,
) {
    let wants = |name, avoids| WaitEntry {
        target: Target::parse(name),
        avoids,
        ..entry(0, 1, "a")
    };
    let queue = queue_of(vec![wants("base/x", false), wants("base/z", true)]);
    let arrival = Arrival {
        rank: rank(route),
        sent: false,
        objective: at(60_000),
        until: at(30_000),
        has_capacity: true,
        bytes: 100,
    };
    let target = Target::parse(target);
    let gives_way = queue.has_before(at(10), target.as_ref(), &arrival);
    assert_eq!(gives_way, expected);
    // Beyond the bounds it would be refused while there is capacity.
    let bytes = 16 << 20;
    let large = Arrival { bytes, ..arrival };
    assert!(!queue.has_before(at(10), target.as_ref(), &large));
}

/// Callers that are refused together and told the same time return together.
#[test]
fn retry_after_spreads_callers_and_lets_urgent_ones_return_first() {
    let queue = observed_queue(100, 5_000);
    let left = Span::from_millis(60_000);
    let after = |route, seed| {
        queue
            .retry_after(at(5_000), rank(route), left, seed)
            .unwrap()
    };
    let expected = queue.expected_wait(at(5_000), rank(2)).unwrap();
    assert!(expected > Span::from_millis(1_500), "{expected:?}");
    let seeds = || (0..1_000).map(|seed| seed * 1_234_567);
    let times: Vec<_> = seeds().map(|seed| after(2, seed)).collect();
    let (first, last) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    assert!(last.0 - first.0 > expected.0 / 5 && *last <= expected);
    assert!(seeds().all(|seed| after(1, seed) <= *first));
}

/// A process that stops must answer within its grace, and a wait never exceeds a third of the
/// time until the deadline.
#[rstest]
#[case::may_wait(Placement::Unavailable, 100, None, false)]
#[case::no_capacity_in_time(Placement::Full, 250, None, true)]
#[case::load_may_take_longer(Placement::Loading { replica: "i".parse().unwrap() }, 2_900, None, false)]
#[case::no_load_in_time(Placement::Load { replica: "i".parse().unwrap() }, 3_000, None, true)]
#[case::stop_begins(Placement::Load { replica: "i".parse().unwrap() }, 500, Some(100), false)]
#[case::stop_ends(Placement::Load { replica: "i".parse().unwrap() }, 600, Some(100), true)]
fn wait_ends_in_time(
    #[case] placement: Placement,
    #[case] ms: u64,
    #[case] stopped: Option<u64>,
    #[case] refused: bool,
) {
    let mut limits = WaitLimits::new(at(0), at(9_000), Span::from_millis(1_000));
    if let Some(stopped) = stopped {
        limits.begin_stop(at(stopped));
        limits.begin_stop(at(stopped + 50));
    }
    let step = limits.step(at(ms), placement);
    assert_eq!(matches!(step, WaitStep::Refuse { .. }), refused, "{step:?}");
    if let WaitStep::Refuse { refusal, .. } = step {
        assert!(refusal.retry_after > Some(Duration::ZERO));
    }
}

prop_compose! {
    fn any_entry()(
        ms in 0u64..500,
        route in 0u32..3,
        organisation in 0usize..3,
        objective in 0u64..1_000,
        tokens in 0u64..10_000,
        bytes in 0usize..2_000,
        adapter in 0usize..6,
        sent in prop::bool::weighted(0.1),
    ) -> WaitEntry {
        WaitEntry {
            objective: at(objective),
            tokens,
            bytes,
            target: Target::parse(&format!("base/a{adapter}")),
            sent,
            ..entry(ms, route, ["a", "b", "c"][organisation])
        }
    }
}

proptest! {
    /// Rounding each part on its own loses up to a millisecond per reason, so that the parts on
    /// a log line do not add up to its `waited_ms`.
    #[test]
    fn parts_sum_to_total(waits in prop::collection::vec((0usize..7, 0u64..2_000_000), 0..40)) {
        let mut parts = WaitParts::default();
        for (reason, us) in waits {
            parts.add(WaitReason::ALL[reason], Span(us));
        }
        let sum: u64 = parts.millis().map(|(_, ms)| ms).sum();
        prop_assert_eq!(sum, parts.total().as_millis());
    }

    /// A request left out of the order would wait until its deadline, and one that could meet
    /// its objective or is more urgent would be late behind others.
    #[test]
    fn order_holds_each_request_once(entries in prop::collection::vec(any_entry(), 1..60)) {
        let queue = queue_of(entries);
        let order = queue.order(at(500));
        let mut sorted = order.clone();
        sorted.sort();
        sorted.dedup();
        prop_assert_eq!(sorted.len(), queue.len());
        let class = |id: &WaitId| queue.get(*id).map(|e| (e.objective <= at(500), e.rank));
        // Every fourth position is that of the longest wait.
        let ranked: Vec<_> = order.iter().enumerate().filter(|(n, _)| n % 4 != 3).collect();
        prop_assert!(ranked.windows(2).all(|w| class(w[0].1) <= class(w[1].1)));
    }

    /// Under a constant stream of urgent requests, with one served at a time, a request of the
    /// lowest rank and of any size must still be served.
    #[test]
    fn no_request_starves(old in prop::collection::vec(any_entry(), 1..20), urgent in 1usize..4) {
        let count = old.len();
        let mut queue = queue_of(old);
        let mut next = 1_000;
        let mut left = count;
        for step in 0..4 * count as u64 {
            for _ in 0..urgent {
                queue.push(at(1_000 + step), WaitId(next), entry(1_000 + step, 0, "z"));
                next += 1;
            }
            left -= usize::from(serve_first(&mut queue, 1_000 + step) < 1_000);
        }
        prop_assert_eq!(left, 0);
    }

    /// Whatever arrives and leaves, the memory of the queue stays bounded; no request that was
    /// sent is refused for that, and the sizes are those of the requests in it.
    #[test]
    fn bounds_hold(
        steps in prop::collection::vec((any_entry(), any::<prop::sample::Index>(), 0u8..3), 1..80),
    ) {
        let bounds = WaitBounds { requests: 10, bytes: 8_000 };
        let mut queue = WaitQueue::new(bounds);
        let mut known = BTreeMap::new();
        for (id, (entry, index, action)) in (0..).map(WaitId).zip(steps) {
            if action == 0 && !queue.is_empty() {
                let left = *index.get(&queue.order(at(500)));
                queue.leave(at(500), left, true);
                known.remove(&left);
            }
            known.insert(id, entry.clone());
            for removed in queue.push(at(500), id, entry) {
                prop_assert!(!known.remove(&removed).unwrap().sent);
            }
            let sent = known.values().filter(|e| e.sent).count();
            let within = queue.len() <= bounds.requests && queue.bytes() <= bounds.bytes;
            prop_assert!(within || queue.len() == sent || queue.len() == 1);
            prop_assert_eq!(queue.len(), known.len());
            prop_assert_eq!(queue.bytes(), known.values().map(|e| e.bytes).sum::<usize>());
        }
    }

    /// Callers ignore a `Retry-After` of more than a third of their remaining time.
    #[test]
    fn retry_after_is_bounded(left in 0u64..20_000, route in 0u32..4, seed: u64) {
        let queue = observed_queue(20, 5_000);
        let left = Span::from_millis(left);
        let after = queue.retry_after(at(5_000), rank(route), left, seed).unwrap();
        prop_assert!(after >= Span::from_millis(50));
        prop_assert!(after <= Span(left.0 / 3).max(Span::from_millis(50)));
    }
}
