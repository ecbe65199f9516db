//! Turns in which replicas read long prompts.

use banyangauge::ids::ReplicaName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::LONGEST_WAIT;
use banyangauge::serving::Strain;
use banyangauge::serving::TurnId;
use banyangauge::serving::Turns;

fn at(ms: u64) -> Moment {
    Moment(10_000_000).after(Span::from_millis(ms))
}

fn id(number: u64) -> TurnId {
    TurnId {
        vm: "vm-1".parse().unwrap(),
        number,
    }
}

fn numbers(turns: &mut Turns, ms: u64) -> Vec<u64> {
    turns
        .grants(at(ms))
        .iter()
        .map(|(_, id)| id.number)
        .collect()
}

/// Between two prompts every stream of the replica gets its next event.
#[test]
fn prompts_are_read_one_by_one_with_a_pause() {
    let (mut turns, r): (_, ReplicaName) = (Turns::default(), "i-1".parse().unwrap());
    turns.ask(at(0), &r, id(1), 9_000);
    turns.ask(at(1), &r, id(2), 9_000);
    assert_eq!(numbers(&mut turns, 1), [1]);
    assert!(numbers(&mut turns, 150).is_empty());
    turns.end(at(200), &r, &id(1));
    assert!(numbers(&mut turns, 201).is_empty());
    assert_eq!(numbers(&mut turns, 230), [2]);
}

#[test]
fn small_prompts_share_a_turn() {
    let (mut turns, r): (_, ReplicaName) = (Turns::default(), "i-1".parse().unwrap());
    for n in 1..=3 {
        turns.ask(at(0), &r, id(n), 3_000);
    }
    assert_eq!(numbers(&mut turns, 0), [1, 2]);
}

/// A VM died, or its word was lost: the others do not wait for ever.
#[test]
fn turn_whose_end_was_lost_is_over() {
    let (mut turns, r): (_, ReplicaName) = (Turns::default(), "i-1".parse().unwrap());
    turns.ask(at(0), &r, id(1), 4_000);
    assert_eq!(numbers(&mut turns, 0), [1]);
    turns.ask(at(300), &r, id(2), 4_000);
    assert!(numbers(&mut turns, 320).is_empty());
    assert_eq!(turns.next_wake(), Some(at(350)));
    assert_eq!(numbers(&mut turns, 350), [2]);
}

#[test]
fn prompt_that_waits_no_more_is_passed_over() {
    let (mut turns, r): (_, ReplicaName) = (Turns::default(), "i-1".parse().unwrap());
    turns.ask(at(0), &r, id(1), 90_000);
    assert_eq!(numbers(&mut turns, 0), [1]);
    turns.ask(at(1), &r, id(2), 9_000);
    turns.ask(at(500), &r, id(3), 9_000);
    turns.end(at(900), &r, &id(1));
    assert!(LONGEST_WAIT < Span::from_millis(900));
    assert_eq!(numbers(&mut turns, 930), [3]);
}

/// Saturation: prompts come half as fast again as they are read. Each is sent
/// after a bounded wait, and streams get a pause between prompts.
#[test]
fn saturation_keeps_the_order_and_the_pause() {
    let (mut turns, r): (_, ReplicaName) = (Turns::default(), "i-1".parse().unwrap());
    let (mut reading, mut order, mut next) = (None, Vec::new(), 0);
    for ms in 0..6_000 {
        if ms % 150 == 0 {
            next += 1;
            turns.ask(at(ms), &r, id(next), 9_000);
        }
        if reading.is_some_and(|(_, end)| end <= ms) {
            let (number, _) = reading.take().unwrap();
            turns.end(at(ms), &r, &id(number));
        }
        for number in numbers(&mut turns, ms) {
            assert!(reading.is_none(), "two prompts at a time");
            reading = Some((number, ms + 200));
            order.push(number);
        }
    }
    assert!(order.windows(2).all(|w| w[0] < w[1]));
    assert!(order.len() >= 25, "{} prompts in 6 s", order.len());
}

#[test]
fn strain_shows_in_streams_that_pause() {
    let mut strain = Strain::default();
    for n in 0..200 {
        // One in fifty is no reason.
        assert!(!strain.ended(at(n), 8, n % 50 == 0));
    }
    let reason = (0..20).any(|n| strain.ended(at(300 + n), 8, true));
    assert!(reason && strain.active(at(400)));
    assert!(!strain.active(at(300_000)));
}

/// A single prompt fills all steps of such an event: no order mends it.
#[test]
fn short_events_are_no_reason() {
    let mut strain = Strain::default();
    assert!(!(0..100).any(|n| strain.ended(at(n), 4, true)));
}
