//! When an owner may issue grants, send orders and change slots.

use std::collections::BTreeSet;

use banyangauge::control::owner::ExternalState;
use banyangauge::control::owner::SafetyRules;
use banyangauge::ids::FencingToken;
use banyangauge::ids::Incarnation;
use banyangauge::ids::ReplicaName;
use banyangauge::ids::VmName;
use banyangauge::lease::HeldLease;
use banyangauge::lease::Predecessor;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use rstest::rstest;

const ONE: Incarnation = Incarnation(1);

fn ms(t: u64) -> Moment {
    Moment(t * 1_000)
}

fn replica() -> ReplicaName {
    ReplicaName::new("r-1").unwrap()
}

fn lapsed() -> Predecessor {
    Predecessor::Lapsed(VmName::new("vm-1").unwrap())
}

/// Rules for a lease that is acquired at 1,000 ms and valid until 3,700 ms.
fn safety(honours: bool, predecessor: Predecessor) -> SafetyRules {
    let lease = HeldLease {
        token: FencingToken(2),
        valid_until: ms(3_700),
        acquired_at: ms(1_000),
        predecessor,
        predecessor_ttl: Span::from_millis(10_000),
    };
    let margin = Span::from_millis(2_000);
    SafetyRules::new(honours, lease, margin, Span::from_millis(30_000))
}

fn external(majority: u64) -> ExternalState {
    ExternalState {
        majority_contact: ms(majority),
        ..ExternalState::default()
    }
}

fn unfrozen_at(s: &mut SafetyRules, f: &ExternalState) -> Option<u64> {
    let all = BTreeSet::from([replica()]);
    (1_000..60_000)
        .step_by(100)
        .find(|t| !s.is_frozen(ms(*t), &all, f))
}

#[test]
fn honoured_grants_wait_for_the_fence() {
    let mut s = safety(true, lapsed());
    let f = external(0);
    assert!(!s.may_grant(ms(1_100), &replica(), &f));
    s.confirm(ms(1_100), &replica(), ONE);
    assert!(s.may_grant(ms(1_200), &replica(), &f));
    // While the lease is valid the engine is not asked again.
    assert!(s.may_grant(ms(3_600), &replica(), &f));
    assert!(!s.needs_fence(ms(3_600), &replica(), ONE));
    assert!(s.needs_fence(ms(3_600), &replica(), Incarnation(2)));
}

#[test]
fn expired_lease_where_tokens_are_honoured() {
    let mut s = safety(true, lapsed());
    let f = external(0);
    s.confirm(ms(1_100), &replica(), ONE);
    assert!(s.needs_fence(ms(3_700), &replica(), ONE));
    assert!(!s.may_grant(ms(3_700), &replica(), &f));
    s.confirm(ms(3_700), &replica(), ONE);
    assert!(s.may_grant(ms(4_700), &replica(), &f));
    assert!(!s.may_grant(ms(4_701), &replica(), &f));
    // The engine refuses its orders if there is a successor.
    assert!(s.may_order(ms(99_000)));
}

#[rstest]
#[case::recent_majority(9_000, 10_900, true)]
#[case::old_majority(8_000, 10_100, false)]
fn expired_lease_where_tokens_are_ignored(
    #[case] majority: u64,
    #[case] now: u64,
    #[case] grants: bool,
) {
    let s = safety(false, lapsed());
    assert_eq!(
        s.may_grant(ms(now), &replica(), &external(majority)),
        grants
    );
    assert!(s.may_order(ms(3_699)));
    assert!(!s.may_order(ms(3_700)));
}

#[test]
fn frozen_never_for_a_first_owner() {
    let mut s = safety(true, Predecessor::None);
    assert_eq!(unfrozen_at(&mut s, &external(0)), Some(1_000));
}

#[test]
fn frozen_until_the_former_grants_lapsed() {
    // The previous owner may have granted with an expired lease until one second
    // after the engine's last confirmation, which precedes the fence at 1.5 s; its
    // grants expire 12 s later.
    let mut s = safety(true, lapsed());
    assert_eq!(unfrozen_at(&mut s, &external(0)), None);
    s.confirm(ms(1_500), &replica(), ONE);
    s.confirm(ms(9_000), &replica(), ONE);
    assert_eq!(
        unfrozen_at(&mut s, &external(0)),
        Some(1_500 + 1_000 + 12_000)
    );
}

#[test]
fn frozen_after_a_release_until_all_entries_reported() {
    let entries = BTreeSet::from(["vm-1/1".to_owned(), "vm-2/1".to_owned()]);
    let mut s = safety(true, Predecessor::Released(Some(entries.clone())));
    let mut f = external(0);
    f.synced = BTreeSet::from(["vm-1/1".to_owned(), "vm-9/9".to_owned()]);
    let all = BTreeSet::from([replica()]);
    assert!(s.is_frozen(ms(1_100), &all, &f));
    f.synced.extend(entries);
    assert!(!s.is_frozen(ms(1_200), &all, &f));
}

#[rstest]
#[case::unknown_entries(Predecessor::Released(None), 13_000)]
#[case::entry_never_connects(
    Predecessor::Released(Some(BTreeSet::from(["vm-1/1".to_owned()]))),
    13_000
)]
#[case::restarted(Predecessor::Ended, 13_000)]
fn frozen_at_most_for_the_grant_ttl(#[case] predecessor: Predecessor, #[case] unfrozen: u64) {
    let mut s = safety(false, predecessor);
    assert_eq!(unfrozen_at(&mut s, &external(0)), Some(unfrozen));
}

#[test]
fn quarantine_where_tokens_are_ignored() {
    let mut s = safety(false, lapsed());
    // It counts from when a majority of the peers knows the new owner.
    let all = BTreeSet::from([replica()]);
    assert!(s.is_frozen(ms(40_000), &all, &external(1_050)));
    assert!(s.is_frozen(ms(41_000), &all, &external(40_500)));
    assert!(s.is_frozen(ms(70_999), &all, &external(40_500)));
    assert!(!s.is_frozen(ms(71_000), &all, &external(40_500)));
}

#[test]
fn quarantine_ends_with_the_former_vm() {
    let mut s = safety(false, lapsed());
    let mut f = external(0);
    f.predecessor_left = true;
    assert_eq!(unfrozen_at(&mut s, &f), Some(13_000));
}

#[test]
fn eviction_waits_on_an_engine_that_forgot_the_fence() {
    let mut s = safety(true, lapsed());
    s.confirm(ms(1_500), &replica(), ONE);
    assert!(s.may_evict(ms(20_000), &replica()));
    s.confirm(ms(30_000), &replica(), Incarnation(2));
    assert!(!s.may_evict(ms(42_999), &replica()));
    assert!(s.may_evict(ms(43_000), &replica()));
}
