//! Places at a replica that its owner grants.

use banyangauge::ids::ReplicaName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::Load;
use banyangauge::serving::Reservations;

fn at(ms: u64) -> Moment {
    Moment(1_000_000).after(Span::from_millis(ms))
}

fn replica() -> ReplicaName {
    "i-a".parse().unwrap()
}

/// A long prompt; an engine reads it in 0.3 s.
const PROMPT: Load = Load {
    requests: 1,
    tokens: 12_000,
    prefill: 12_000,
};

/// Two hundred VMs that all heard that a replica is idle send it a prompt each,
/// in the same moment: one gets the place, and the others look elsewhere.
#[test]
fn herd_is_stopped_at_the_first() {
    let mut reserved = Reservations::default();
    let grants = (0..200).filter(|_| {
        let idle = Load::default();
        reserved.try_reserve(at(0), &replica(), idle, idle.busy_ms(), PROMPT)
    });
    assert_eq!(grants.count(), 1);
}

/// Who knows that it is as busy as it is may send all the same: it is the best
/// place that it knows.
#[test]
fn informed_choice_stands() {
    let mut reserved = Reservations::default();
    let believed = PROMPT.busy_ms();
    assert!(reserved.try_reserve(at(0), &replica(), PROMPT, believed, PROMPT));
    assert!(!reserved.try_reserve(at(0), &replica(), PROMPT, believed, PROMPT));
    let believed = PROMPT.plus(PROMPT).busy_ms();
    assert!(reserved.try_reserve(at(0), &replica(), PROMPT, believed, PROMPT));
}

/// A granted place counts until its VM has reported the request itself.
#[test]
fn grant_lapses() {
    let mut reserved = Reservations::default();
    assert!(reserved.try_reserve(at(0), &replica(), Load::default(), 0.0, PROMPT));
    assert_eq!(reserved.load(at(100), &replica()), PROMPT);
    assert_eq!(reserved.load(at(150), &replica()), Load::default());
}
