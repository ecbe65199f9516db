//! Reservations of replica capacity by the replica's owner.

use banyangauge::ids::ReplicaName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::Load;
use banyangauge::serving::PrefillSpeed;
use banyangauge::serving::Reservations;

fn at(ms: u64) -> Moment {
    Moment(1_000_000).after(Span::from_millis(ms))
}

fn replica() -> ReplicaName {
    "i-a".parse().unwrap()
}

/// A long prompt; an engine prefills it in 0.3 s.
const PROMPT: Load = Load {
    requests: 1,
    tokens: 12_000,
    prefill: 12_000,
};

/// 200 VMs with a report that a replica is idle all choose it at the same time:
/// one gets the reservation, the others must look elsewhere.
#[test]
fn herd_gets_one_reservation() {
    let mut reservations = Reservations::default();
    let grants = (0..200).filter(|_| {
        let idle = Load::default();
        reservations.try_reserve(
            at(0),
            &replica(),
            idle,
            idle.busy_ms(PrefillSpeed::default()),
            PROMPT,
            PrefillSpeed::default(),
        )
    });
    assert_eq!(grants.count(), 1);
}

/// A sender that knows the replica's actual load may send to it: it has no better
/// choice.
#[test]
fn sender_with_current_load_is_granted() {
    let mut reservations = Reservations::default();
    let speed = PrefillSpeed::default();
    let assumed_ms = PROMPT.busy_ms(PrefillSpeed::default());
    assert!(reservations.try_reserve(at(0), &replica(), PROMPT, assumed_ms, PROMPT, speed));
    assert!(!reservations.try_reserve(at(0), &replica(), PROMPT, assumed_ms, PROMPT, speed));
    let assumed_ms = PROMPT.plus(PROMPT).busy_ms(PrefillSpeed::default());
    assert!(reservations.try_reserve(at(0), &replica(), PROMPT, assumed_ms, PROMPT, speed));
}

/// A reservation counts until its VM has reported the request itself.
#[test]
fn reservation_expires() {
    let mut reservations = Reservations::default();
    assert!(reservations.try_reserve(
        at(0),
        &replica(),
        Load::default(),
        0.0,
        PROMPT,
        PrefillSpeed::default()
    ));
    assert_eq!(reservations.load(at(100), &replica()), PROMPT);
    assert_eq!(reservations.load(at(150), &replica()), Load::default());
}
