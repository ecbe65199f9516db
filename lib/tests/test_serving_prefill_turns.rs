//! Prefill turns for long prompts, and the stall detection that enables them.

use banyangauge::ids::ReplicaName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::MAX_TURN_WAIT;
use banyangauge::serving::PrefillSpeed;
use banyangauge::serving::PrefillTurns;
use banyangauge::serving::Rank;
use banyangauge::serving::StallDetector;
use banyangauge::serving::TurnId;
use proptest::prelude::*;

/// The rank of prompts that differ in arrival only.
const SAME: Rank = Rank {
    organisation: 0,
    route: 0,
};

fn at(ms: u64) -> Moment {
    Moment(10_000_000).after(Span::from_millis(ms))
}

fn id(number: u64) -> TurnId {
    TurnId {
        vm: "vm-1".parse().unwrap(),
        number,
    }
}

/// Returns the numbers of the turns that begin at `ms` milliseconds.
fn granted(turns: &mut PrefillTurns, ms: u64) -> Vec<u64> {
    turns
        .take_grants(at(ms), |_| PrefillSpeed::default())
        .iter()
        .map(|(_, id)| id.number)
        .collect()
}

/// Between two prompts every stream of the replica gets its next event.
#[test]
fn prompts_are_prefilled_one_by_one_with_a_gap() {
    let (mut turns, r): (_, ReplicaName) = (PrefillTurns::default(), "i-1".parse().unwrap());
    turns.request(at(0), &r, id(1), SAME, 9_000);
    turns.request(at(1), &r, id(2), SAME, 9_000);
    assert_eq!(granted(&mut turns, 1), [1]);
    assert!(granted(&mut turns, 150).is_empty());
    turns.finish(at(200), &r, &id(1));
    assert!(granted(&mut turns, 201).is_empty());
    assert_eq!(granted(&mut turns, 230), [2]);
}

#[test]
fn small_prompts_share_a_turn() {
    let (mut turns, r): (_, ReplicaName) = (PrefillTurns::default(), "i-1".parse().unwrap());
    for n in 1..=3 {
        turns.request(at(0), &r, id(n), SAME, 3_000);
    }
    assert_eq!(granted(&mut turns, 0), [1, 2]);
}

/// If a VM died or its end message was lost, the turn times out.
#[test]
fn turn_without_end_message_times_out() {
    let (mut turns, r): (_, ReplicaName) = (PrefillTurns::default(), "i-1".parse().unwrap());
    turns.request(at(0), &r, id(1), SAME, 4_000);
    assert_eq!(granted(&mut turns, 0), [1]);
    turns.request(at(300), &r, id(2), SAME, 4_000);
    assert!(granted(&mut turns, 320).is_empty());
    assert_eq!(turns.next_wake(), Some(at(350)));
    assert_eq!(granted(&mut turns, 350), [2]);
}

/// A prompt whose wait is over was sent without a turn and must not get one.
#[test]
fn expired_wait_is_skipped() {
    let (mut turns, r): (_, ReplicaName) = (PrefillTurns::default(), "i-1".parse().unwrap());
    turns.request(at(0), &r, id(1), SAME, 90_000);
    assert_eq!(granted(&mut turns, 0), [1]);
    turns.request(at(1), &r, id(2), SAME, 9_000);
    turns.request(at(500), &r, id(3), SAME, 9_000);
    turns.finish(at(900), &r, &id(1));
    assert!(MAX_TURN_WAIT < Span::from_millis(900));
    assert_eq!(granted(&mut turns, 930), [3]);
}

/// Prompts arrive faster than they are prefilled: one every 150 ms, at 200 ms
/// each. Their order is kept, each is sent after a bounded wait, and streams get a
/// gap between prompts.
#[test]
fn saturation_keeps_the_order_and_the_gap() {
    let (mut turns, r): (_, ReplicaName) = (PrefillTurns::default(), "i-1".parse().unwrap());
    let (mut active, mut order, mut next) = (None, Vec::new(), 0);
    for ms in 0..6_000 {
        if ms % 150 == 0 {
            next += 1;
            turns.request(at(ms), &r, id(next), SAME, 9_000);
        }
        if active.is_some_and(|(_, end)| end <= ms) {
            let (number, _) = active.take().unwrap();
            turns.finish(at(ms), &r, &id(number));
        }
        for number in granted(&mut turns, ms) {
            assert!(active.is_none(), "two prompts at a time");
            active = Some((number, ms + 200));
            order.push(number);
        }
    }
    assert!(order.windows(2).all(|w| w[0] < w[1]));
    assert!(order.len() >= 25, "{} prompts in 6 s", order.len());
}

fn rank(route: u32) -> Rank {
    Rank {
        organisation: 0,
        route,
    }
}

/// Returns the turns that prompts (arrival in milliseconds, rank) get at a replica that takes
/// 200 ms for each: their numbers and waits in milliseconds, in order.
fn replay(prompts: &[(u64, Rank)]) -> Vec<(u64, u64)> {
    let (mut turns, r): (_, ReplicaName) = (PrefillTurns::default(), "i-1".parse().unwrap());
    let (mut active, mut order, mut arrivals) = (None, Vec::new(), prompts.iter().enumerate());
    let mut next = arrivals.next();
    for ms in 0..20_000 {
        while let Some((number, (arrival, rank))) = next.filter(|(_, (at, _))| *at <= ms) {
            turns.request(at(*arrival), &r, id(number as u64), *rank, 9_000);
            next = arrivals.next();
        }
        if let Some((number, _)) = active.take_if(|(_, end)| *end <= ms) {
            turns.finish(at(ms), &r, &id(number));
        }
        for number in granted(&mut turns, ms) {
            assert!(active.is_none(), "two prompts at a time");
            active = Some((number, ms + 200));
            order.push((number, ms - prompts[number as usize].0));
        }
    }
    order
}

/// Three long prompts of the last rank arrive for each of the first, in all 1.5 times as many
/// as the replica prefills. By arrival, all would wait until just before they are sent without
/// a turn; by rank, those of the first rank wait for at most two turns, and those of the last
/// still get some.
#[test]
fn saturation_serves_the_first_rank_in_time() {
    let urgent = |n: u64| n % 4 == 3;
    let route = |n| if urgent(n) { 0 } else { 1 };
    let prompts: Vec<_> = (0..80).map(|n| (n * 150, rank(route(n)))).collect();
    let order = replay(&prompts);
    let (first, last): (Vec<_>, Vec<_>) = order.into_iter().partition(|(n, _)| urgent(*n));
    assert_eq!(first.len(), 20, "each prompt of the first rank got a turn");
    let longest = first.iter().map(|(_, wait)| *wait).max().unwrap();
    assert!(longest <= 460, "{longest} ms");
    assert!(last.len() >= 15, "{} of the last rank", last.len());
}

/// Prompts of the first rank alone fill the replica, and as many of the last rank arrive. One
/// turn in four is theirs, as they are the oldest; by rank alone they would get none.
#[test]
fn saturation_does_not_starve_the_last_rank() {
    let prompts: Vec<_> = (0..100).map(|n| (n * 115, rank(n as u32 % 2))).collect();
    let order = replay(&prompts);
    let last = order.iter().filter(|(n, _)| n % 2 == 1).count();
    assert!(last >= 10, "{last} of {}", order.len());
}

proptest! {
    /// Three turns of four go to the first waiting prompt by rank and arrival, the fourth to
    /// the oldest; each prompt gets one turn. Eighteen are granted before their wait ends.
    #[test]
    fn turns_go_by_rank_and_the_fourth_by_age(
        ranks in prop::collection::vec((0..3_u32, 0..3_u32), 1..18),
    ) {
        let (mut turns, r): (_, ReplicaName) = (PrefillTurns::default(), "i-1".parse().unwrap());
        let mut waiting = Vec::new();
        for (number, (organisation, route)) in (0..).zip(ranks) {
            turns.request(at(0), &r, id(number), Rank { organisation, route }, 9_000);
            waiting.push((organisation, route, number));
        }
        for turn in 0..waiting.len() as u64 {
            let next = match turn % 4 {
                3 => waiting.iter().min_by_key(|(_, _, number)| *number),
                _ => waiting.iter().min(),
            };
            let (_, _, expected) = *next.unwrap();
            // The gap between two prompts is 30 ms.
            prop_assert_eq!(granted(&mut turns, turn * 30), [expected]);
            turns.finish(at(turn * 30), &r, &id(expected));
            waiting.retain(|(_, _, number)| *number != expected);
        }
    }
}

#[test]
fn stalled_streams_activate_turns() {
    let mut detector = StallDetector::default();
    for n in 0..200 {
        // One stalled stream in fifty does not activate turns.
        assert!(!detector.record_stream(at(n), 8, n % 50 == 0));
    }
    let activated = (0..20).any(|n| detector.record_stream(at(300 + n), 8, true));
    assert!(activated && detector.is_active(at(400)));
    assert!(!detector.is_active(at(300_000)));
}

/// Returns the longest gap between stream events, in milliseconds, on an engine
/// that gets six prompts of 9,200 tokens at once. A step prefills up to 4,096
/// pending tokens at 35 per millisecond, plus 6 ms; an event takes `steps` steps.
fn longest_event_ms(steps: usize, turns: bool) -> u64 {
    let (mut turns_queue, r): (_, ReplicaName) = (PrefillTurns::default(), "i-1".parse().unwrap());
    let mut queue: Vec<(u64, u64)> = Vec::new();
    for number in 0..6 {
        match turns {
            true => turns_queue.request(at(0), &r, id(number), SAME, 9_200),
            false => queue.push((number, 9_200)),
        }
    }
    let (mut now, mut step_times) = (0, Vec::new());
    while now < 6_000 {
        queue.extend(
            granted(&mut turns_queue, now)
                .into_iter()
                .map(|n| (n, 9_200)),
        );
        let mut budget = 4_096;
        while let Some((number, remaining)) = queue.first_mut().filter(|_| budget > 0) {
            let chunk = (*remaining).min(budget);
            (*remaining, budget) = (*remaining - chunk, budget - chunk);
            if *remaining == 0 {
                turns_queue.finish(at(now), &r, &id(*number));
                queue.remove(0);
            }
        }
        let step = 6 + (4_096 - budget) / 35;
        step_times.push(step);
        now += step;
    }
    step_times
        .windows(steps)
        .map(|w| w.iter().sum())
        .max()
        .unwrap()
}

/// Without turns a burst of long prompts fills all steps of a stream event. Events
/// of five steps then exceed the 600 ms that callers allow; events of four steps
/// do not.
#[test]
fn burst_of_prompts_stalls_streams() {
    assert!(
        longest_event_ms(5, false) > 600,
        "{}",
        longest_event_ms(5, false)
    );
    assert!(
        longest_event_ms(5, true) <= 600,
        "{}",
        longest_event_ms(5, true)
    );
    assert!(
        longest_event_ms(4, false) <= 600,
        "{}",
        longest_event_ms(4, false)
    );
}

/// Stalled streams with events of five steps activate turns.
#[test]
fn events_of_five_steps_activate_turns() {
    let mut detector = StallDetector::default();
    assert!((0..20).any(|n| detector.record_stream(at(n), 5, true)));
}

/// Events of fewer than five steps are within the gap that callers allow whatever
/// is prefilled, so turns cannot help and are not activated.
#[test]
fn short_events_do_not_activate_turns() {
    let mut detector = StallDetector::default();
    assert!(!(0..100).any(|n| detector.record_stream(at(n), 4, true)));
}
