//! Lease election: renewal, takeover, lost answers, paused holders.

use std::collections::BTreeSet;

use banyangauge::ids::FencingToken;
use banyangauge::ids::Incarnation;
use banyangauge::ids::PoolName;
use banyangauge::ids::VmName;
use banyangauge::lease::Candidate;
use banyangauge::lease::Elector;
use banyangauge::lease::Predecessor;
use banyangauge::lease::Record;
use banyangauge::lease::Step;
use banyangauge::lease::Timing;
use banyangauge::lease::WriteOutcome;
use banyangauge::lease::rank;
use banyangauge::pool::Moment;
use rstest::rstest;

fn ms(t: u64) -> Moment {
    Moment(t * 1_000)
}

fn candidate(n: u64, incarnation: u64) -> Candidate {
    Candidate {
        vm: VmName::new(&format!("vm-{n}")).unwrap(),
        address: ([127, 0, 0, 1], 7_000 + n as u16).into(),
        incarnation: Incarnation(incarnation),
    }
}

/// A versioned lease object, as the platform stores it.
#[derive(Default)]
struct Object {
    version: u64,
    record: Option<Record>,
}

impl Object {
    fn read(&self) -> Option<(Record, String)> {
        Some((self.record.clone()?, self.version.to_string()))
    }

    fn apply(&mut self, step: &Step) -> WriteOutcome {
        let (expected, record) = match step {
            Step::Create(record) if self.record.is_none() => (self.version, record),
            Step::Replace(version, record) => (version.parse().unwrap(), record),
            _ => return WriteOutcome::Conflict,
        };
        if expected != self.version {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        self.record = Some(record.clone());
        WriteOutcome::Done(self.version.to_string())
    }
}

fn elector(n: u64) -> Elector {
    Elector::new(candidate(n, 1), Timing::default())
}

/// Makes one step at `now`; its call is answered at once.
fn advance(c: &mut Elector, object: &mut Object, now: Moment) -> Step {
    let step = c.step(now, || 0, None);
    match &step {
        Step::Wait => {}
        Step::Read => {
            c.read_done();
            c.observe(now, object.read());
        }
        write => {
            let end = object.apply(write);
            c.write_done(now, end);
        }
    }
    step
}

fn token(c: &Elector) -> Option<u64> {
    c.lease().map(|t| t.token.0)
}

/// An elector that acquired the lease of a new pool at time 0.
fn holder(object: &mut Object) -> Elector {
    let mut c = elector(1);
    advance(&mut c, object, ms(0));
    advance(&mut c, object, ms(0));
    assert_eq!(token(&c), Some(1));
    c
}

#[test]
fn acquire_first() {
    let mut object = Object::default();
    let c = holder(&mut object);
    let lease = c.lease().unwrap();
    assert_eq!(lease.predecessor, Predecessor::None);
    // 3 s from the sending of the write, less the margin.
    assert_eq!(lease.valid_until, ms(2_700));
}

#[test]
fn renewal_counts_from_its_sending() {
    let mut object = Object::default();
    let mut c = holder(&mut object);
    assert_eq!(c.step(ms(999), || 0, None), Step::Wait);
    let step = c.step(ms(1_000), || 0, None);
    let end = object.apply(&step);
    // The answer takes half a second; the lease counts from the sending.
    c.write_done(ms(1_500), end);
    assert_eq!(c.lease().unwrap().valid_until, ms(3_700));
    assert_eq!(token(&c), Some(1));
}

#[test]
fn takeover_after_the_holder_expired() {
    let mut object = Object::default();
    let held = holder(&mut object);
    let mut other = elector(2);
    advance(&mut other, &mut object, ms(10));
    for t in 10..3_010 {
        assert_eq!(advance(&mut other, &mut object, ms(t)), Step::Wait);
    }
    advance(&mut other, &mut object, ms(3_010));
    assert_eq!(token(&other), Some(2));
    let lease = other.lease().unwrap();
    assert!(held.lease().unwrap().valid_until < lease.acquired_at);
    assert_eq!(
        lease.predecessor,
        Predecessor::Lapsed(VmName::new("vm-1").unwrap())
    );
}

#[test]
fn takeover_fails_on_a_renewed_lease() {
    let mut object = Object::default();
    let mut held = holder(&mut object);
    let mut other = elector(2);
    advance(&mut other, &mut object, ms(10));
    // The contender's watch stalls, so it does not see the renewals.
    advance(&mut held, &mut object, ms(1_000));
    let step = advance(&mut other, &mut object, ms(3_500));
    assert!(matches!(step, Step::Replace(..)));
    assert_eq!((token(&other), token(&held)), (None, Some(1)));
    // It reads the lease and waits a whole TTL again.
    advance(&mut other, &mut object, ms(3_500));
    assert_eq!(advance(&mut other, &mut object, ms(6_499)), Step::Wait);
}

#[test]
fn pause_past_the_lease() {
    let mut object = Object::default();
    let mut held = holder(&mut object);
    let mut other = elector(2);
    advance(&mut other, &mut object, ms(10));
    advance(&mut other, &mut object, ms(3_010));
    assert_eq!(token(&other), Some(2));
    // The holder resumes without knowing of the takeover. Its clock has run, so it
    // sees that its lease has expired; its renewal then conflicts.
    let now = ms(20_000);
    assert!(held.lease().unwrap().valid_until < now);
    advance(&mut held, &mut object, now);
    advance(&mut held, &mut object, now);
    assert_eq!(token(&held), None);
    assert_eq!(object.record.unwrap().token, FencingToken(2));
}

#[rstest]
#[case::took_effect(true, 3_700)]
#[case::did_not(false, 2_700)]
fn renewal_answer_lost(#[case] applied: bool, #[case] until: u64) {
    let mut object = Object::default();
    let mut c = holder(&mut object);
    let step = c.step(ms(1_000), || 0, None);
    if applied {
        object.apply(&step);
    }
    c.write_done(ms(1_100), WriteOutcome::Unknown);
    assert_eq!(c.step(ms(1_100), || 0, None), Step::Wait);
    assert_eq!(advance(&mut c, &mut object, ms(1_300)), Step::Read);
    assert_eq!(c.lease().unwrap().valid_until, ms(until));
    advance(&mut c, &mut object, ms(2_300));
    assert_eq!(c.lease().unwrap().valid_until, ms(5_000));
}

#[test]
fn takeover_answer_lost_and_late() {
    let mut object = Object::default();
    holder(&mut object);
    let mut other = elector(2);
    advance(&mut other, &mut object, ms(10));
    let first = other.step(ms(3_010), || 0, None);
    other.write_done(ms(3_110), WriteOutcome::Unknown);
    // The read finds no effect, so the takeover is sent again; then the first
    // write arrives.
    advance(&mut other, &mut object, ms(3_310));
    let second = other.step(ms(3_320), || 0, None);
    object.apply(&first);
    let end = object.apply(&second);
    other.write_done(ms(3_330), end);
    advance(&mut other, &mut object, ms(3_340));
    let lease = other.lease().unwrap();
    assert_eq!(lease.token, FencingToken(2));
    // Counted from the sending of the write that took effect.
    assert_eq!(lease.valid_until, ms(3_010 + 2_700));
    assert!(matches!(lease.predecessor, Predecessor::Lapsed(_)));
}

#[test]
fn race_has_one_winner() {
    let mut object = Object::default();
    let (mut a, mut b) = (elector(1), elector(2));
    advance(&mut a, &mut object, ms(0));
    advance(&mut b, &mut object, ms(0));
    let (first, second) = (a.step(ms(1), || 0, None), b.step(ms(1), || 0, None));
    let end = object.apply(&second);
    b.write_done(ms(2), end);
    let end = object.apply(&first);
    a.write_done(ms(2), end);
    advance(&mut a, &mut object, ms(3));
    assert_eq!((token(&a), token(&b)), (None, Some(1)));
}

#[test]
fn release_hands_over_at_once() {
    let mut object = Object::default();
    let mut held = holder(&mut object);
    let mut other = elector(2);
    advance(&mut other, &mut object, ms(10));
    let entries = Some(BTreeSet::from(["vm-1/1".to_owned()]));
    let step = held.step(ms(100), || 0, Some(&entries));
    let end = object.apply(&step);
    held.write_done(ms(101), end);
    assert_eq!(token(&held), None);
    assert_eq!(held.step(ms(5_000), || 0, Some(&entries)), Step::Wait);
    other.observe(ms(102), object.read());
    advance(&mut other, &mut object, ms(102));
    let lease = other.lease().unwrap();
    assert_eq!(lease.token, FencingToken(2));
    assert_eq!(lease.predecessor, Predecessor::Released(entries));
}

#[test]
fn restarted_process_takes_over_at_once() {
    let mut object = Object::default();
    holder(&mut object);
    let mut again = Elector::new(candidate(1, 2), Timing::default());
    advance(&mut again, &mut object, ms(50));
    advance(&mut again, &mut object, ms(50));
    let lease = again.lease().unwrap();
    assert_eq!(
        (lease.token, &lease.predecessor),
        (FencingToken(2), &Predecessor::Ended)
    );
}

#[test]
fn watch_lags_behind_an_answer() {
    let mut object = Object::default();
    holder(&mut object);
    let before = object.read();
    let mut other = elector(2);
    advance(&mut other, &mut object, ms(10));
    advance(&mut other, &mut object, ms(3_010));
    other.observe(ms(3_020), before);
    assert_eq!(token(&other), Some(2));
}

#[test]
fn watch_before_the_answer() {
    let mut object = Object::default();
    holder(&mut object);
    let mut other = elector(2);
    advance(&mut other, &mut object, ms(10));
    let step = other.step(ms(3_010), || 0, None);
    let end = object.apply(&step);
    other.observe(ms(3_011), object.read());
    let lease = other.lease().unwrap().clone();
    assert!(matches!(lease.predecessor, Predecessor::Lapsed(_)));
    other.write_done(ms(3_012), end);
    assert_eq!(other.lease(), Some(&lease));
}

#[rstest]
#[case::before_settling(false, Predecessor::Unsettled)]
#[case::after_settling(true, Predecessor::Released(Some(BTreeSet::new())))]
fn release_of_a_successor(#[case] settled: bool, #[case] predecessor: Predecessor) {
    let mut object = Object::default();
    holder(&mut object);
    let mut second = elector(2);
    advance(&mut second, &mut object, ms(10));
    advance(&mut second, &mut object, ms(3_010));
    // The first holder may be paused; the second releases the lease at once.
    if settled {
        second.set_settled(FencingToken(2));
    }
    let stop = Some(BTreeSet::new());
    let step = second.step(ms(3_100), || 0, Some(&stop));
    let end = object.apply(&step);
    second.write_done(ms(3_101), end);
    let mut third = elector(3);
    advance(&mut third, &mut object, ms(3_200));
    advance(&mut third, &mut object, ms(3_200));
    assert_eq!(third.lease().unwrap().predecessor, predecessor);
}

#[test]
fn resigned_lease_expires() {
    let mut object = Object::default();
    let mut c = holder(&mut object);
    c.resign(FencingToken(1));
    c.observe(ms(100), object.read());
    assert_eq!(token(&c), None);
    assert_eq!(advance(&mut c, &mut object, ms(2_999)), Step::Wait);
    advance(&mut c, &mut object, ms(3_000));
    assert_eq!(token(&c), Some(2));
}

#[test]
fn deleted_object_keeps_tokens_rising() {
    let mut object = Object::default();
    holder(&mut object);
    let mut other = elector(2);
    advance(&mut other, &mut object, ms(10));
    object.record = None;
    other.observe(ms(20), None);
    advance(&mut other, &mut object, ms(20));
    let lease = other.lease().unwrap();
    assert_eq!(lease.token, FencingToken(2));
    assert!(matches!(lease.predecessor, Predecessor::Lapsed(_)));
}

#[test]
fn outage_keeps_the_lease() {
    let mut object = Object::default();
    let mut c = holder(&mut object);
    for t in 1..100 {
        if c.step(ms(t * 1_000), || 0, None) != Step::Wait {
            c.write_done(ms(t * 1_000), WriteOutcome::NotApplied);
        }
    }
    let lease = c.lease().unwrap();
    assert_eq!(
        (lease.token, lease.valid_until),
        (FencingToken(1), ms(2_700))
    );
}

#[test]
fn holder_renews_first_after_an_outage() {
    let mut object = Object::default();
    let mut held = holder(&mut object);
    let mut other = elector(2);
    advance(&mut other, &mut object, ms(10));
    // After an outage of an hour both reach the platform at the same time.
    let end = ms(3_600_000);
    other.restart_ttl(end);
    assert_eq!(advance(&mut other, &mut object, end), Step::Wait);
    advance(&mut held, &mut object, end);
    assert_eq!(held.lease().unwrap().valid_until, ms(3_602_700));
    assert_eq!(token(&other), None);
}

#[test]
fn rank_spreads_pools() {
    let vms: Vec<VmName> = (0..9)
        .map(|n| VmName::new(&format!("vm-{n}")).unwrap())
        .collect();
    let mut first = [0; 9];
    for n in 0..180 {
        let pool = PoolName::new(&format!("pool-{n}")).unwrap();
        let ranks: BTreeSet<u64> = vms.iter().map(|v| rank(&pool, v, &vms)).collect();
        assert_eq!(ranks.len(), 9);
        let winner = vms.iter().position(|v| rank(&pool, v, &vms) == 0).unwrap();
        first[winner] += 1;
    }
    assert!(first.iter().all(|n| (8..=40).contains(n)), "{first:?}");
}
