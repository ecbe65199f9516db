//! Leases: holders, contenders, lost answers, pauses.

use std::collections::BTreeSet;

use banyangauge::ids::Incarnation;
use banyangauge::ids::PoolName;
use banyangauge::ids::Token;
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

/// One object with versions, as the platform holds it.
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

fn contest(n: u64) -> Elector {
    Elector::new(candidate(n, 1), Timing::default())
}

/// Steps once at `now` with every answer arriving.
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

/// A contest that holds a fresh pool's lease, acquired at time 0.
fn holder(object: &mut Object) -> Elector {
    let mut c = contest(1);
    advance(&mut c, object, ms(0));
    advance(&mut c, object, ms(0));
    assert_eq!(token(&c), Some(1));
    c
}

#[test]
fn acquire_first() {
    let mut object = Object::default();
    let c = holder(&mut object);
    let tenure = c.lease().unwrap();
    assert_eq!(tenure.predecessor, Predecessor::None);
    // 3 s from before the sending, less the margin.
    assert_eq!(tenure.valid_until, ms(2_700));
}

#[test]
fn renew_extends_from_before_the_sending() {
    let mut object = Object::default();
    let mut c = holder(&mut object);
    assert_eq!(c.step(ms(999), || 0, None), Step::Wait);
    let step = c.step(ms(1_000), || 0, None);
    let end = object.apply(&step);
    // The answer takes half a second; it buys nothing.
    c.write_done(ms(1_500), end);
    assert_eq!(c.lease().unwrap().valid_until, ms(3_700));
    assert_eq!(token(&c), Some(1));
}

#[test]
fn takeover_after_the_holder_is_over() {
    let mut object = Object::default();
    let held = holder(&mut object);
    let mut other = contest(2);
    advance(&mut other, &mut object, ms(10));
    for t in 10..3_010 {
        assert_eq!(advance(&mut other, &mut object, ms(t)), Step::Wait);
    }
    advance(&mut other, &mut object, ms(3_010));
    assert_eq!(token(&other), Some(2));
    let tenure = other.lease().unwrap();
    assert!(held.lease().unwrap().valid_until < tenure.acquired_at);
    assert_eq!(
        tenure.predecessor,
        Predecessor::Lapsed(VmName::new("vm-1").unwrap())
    );
}

#[test]
fn takeover_not_of_a_renewed_lease() {
    let mut object = Object::default();
    let mut held = holder(&mut object);
    let mut other = contest(2);
    advance(&mut other, &mut object, ms(10));
    // The other sees nothing of the renewals: its watch hangs.
    advance(&mut held, &mut object, ms(1_000));
    let step = advance(&mut other, &mut object, ms(3_500));
    assert!(matches!(step, Step::Replace(..)));
    assert_eq!((token(&other), token(&held)), (None, Some(1)));
    // It reads, and begins to wait anew.
    advance(&mut other, &mut object, ms(3_500));
    assert_eq!(advance(&mut other, &mut object, ms(6_499)), Step::Wait);
}

#[test]
fn pause_past_the_lease() {
    let mut object = Object::default();
    let mut held = holder(&mut object);
    let mut other = contest(2);
    advance(&mut other, &mut object, ms(10));
    advance(&mut other, &mut object, ms(3_010));
    assert_eq!(token(&other), Some(2));
    // The holder wakes unaware; its clock has run, so it knows at once that its
    // lease is past, and its renewal tells it the rest.
    let now = ms(20_000);
    assert!(held.lease().unwrap().valid_until < now);
    advance(&mut held, &mut object, now);
    advance(&mut held, &mut object, now);
    assert_eq!(token(&held), None);
    assert_eq!(object.record.unwrap().token, Token(2));
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
    let mut other = contest(2);
    advance(&mut other, &mut object, ms(10));
    let first = other.step(ms(3_010), || 0, None);
    other.write_done(ms(3_110), WriteOutcome::Unknown);
    // It is read back as not done, and tried again; then the first arrives.
    advance(&mut other, &mut object, ms(3_310));
    let second = other.step(ms(3_320), || 0, None);
    object.apply(&first);
    let end = object.apply(&second);
    other.write_done(ms(3_330), end);
    advance(&mut other, &mut object, ms(3_340));
    let tenure = other.lease().unwrap();
    assert_eq!(tenure.token, Token(2));
    // Counted from when the write that took effect was sent.
    assert_eq!(tenure.valid_until, ms(3_010 + 2_700));
    assert!(matches!(tenure.predecessor, Predecessor::Lapsed(_)));
}

#[test]
fn race_has_one_winner() {
    let mut object = Object::default();
    let (mut a, mut b) = (contest(1), contest(2));
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
    let mut other = contest(2);
    advance(&mut other, &mut object, ms(10));
    let entries = Some(BTreeSet::from(["vm-1/1".to_owned()]));
    let step = held.step(ms(100), || 0, Some(&entries));
    let end = object.apply(&step);
    held.write_done(ms(101), end);
    assert_eq!(token(&held), None);
    assert_eq!(held.step(ms(5_000), || 0, Some(&entries)), Step::Wait);
    other.observe(ms(102), object.read());
    advance(&mut other, &mut object, ms(102));
    let tenure = other.lease().unwrap();
    assert_eq!(tenure.token, Token(2));
    assert_eq!(tenure.predecessor, Predecessor::Released(entries));
}

#[test]
fn restart_takes_its_own_lease() {
    let mut object = Object::default();
    holder(&mut object);
    let mut again = Elector::new(candidate(1, 2), Timing::default());
    advance(&mut again, &mut object, ms(50));
    advance(&mut again, &mut object, ms(50));
    let tenure = again.lease().unwrap();
    assert_eq!(
        (tenure.token, &tenure.predecessor),
        (Token(2), &Predecessor::Ended)
    );
}

#[test]
fn watch_lags_behind_an_answer() {
    let mut object = Object::default();
    holder(&mut object);
    let before = object.read();
    let mut other = contest(2);
    advance(&mut other, &mut object, ms(10));
    advance(&mut other, &mut object, ms(3_010));
    other.observe(ms(3_020), before);
    assert_eq!(token(&other), Some(2));
}

#[test]
fn watch_before_the_answer() {
    let mut object = Object::default();
    holder(&mut object);
    let mut other = contest(2);
    advance(&mut other, &mut object, ms(10));
    let step = other.step(ms(3_010), || 0, None);
    let end = object.apply(&step);
    other.observe(ms(3_011), object.read());
    let tenure = other.lease().unwrap().clone();
    assert!(matches!(tenure.predecessor, Predecessor::Lapsed(_)));
    other.write_done(ms(3_012), end);
    assert_eq!(other.lease(), Some(&tenure));
}

#[rstest]
#[case::before_it_settled(false, Predecessor::Unsettled)]
#[case::after(true, Predecessor::Released(Some(BTreeSet::new())))]
fn release_of_a_successor(#[case] settled: bool, #[case] predecessor: Predecessor) {
    let mut object = Object::default();
    holder(&mut object);
    let mut second = contest(2);
    advance(&mut second, &mut object, ms(10));
    advance(&mut second, &mut object, ms(3_010));
    // The first may be paused and unaware; the second gives up at once.
    if settled {
        second.set_settled(Token(2));
    }
    let stop = Some(BTreeSet::new());
    let step = second.step(ms(3_100), || 0, Some(&stop));
    let end = object.apply(&step);
    second.write_done(ms(3_101), end);
    let mut third = contest(3);
    advance(&mut third, &mut object, ms(3_200));
    advance(&mut third, &mut object, ms(3_200));
    assert_eq!(third.lease().unwrap().predecessor, predecessor);
}

#[test]
fn resigned_lease_lapses() {
    let mut object = Object::default();
    let mut c = holder(&mut object);
    c.resign(Token(1));
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
    let mut other = contest(2);
    advance(&mut other, &mut object, ms(10));
    object.record = None;
    other.observe(ms(20), None);
    advance(&mut other, &mut object, ms(20));
    let tenure = other.lease().unwrap();
    assert_eq!(tenure.token, Token(2));
    assert!(matches!(tenure.predecessor, Predecessor::Lapsed(_)));
}

#[test]
fn outage_keeps_the_tenure() {
    let mut object = Object::default();
    let mut c = holder(&mut object);
    for t in 1..100 {
        if c.step(ms(t * 1_000), || 0, None) != Step::Wait {
            c.write_done(ms(t * 1_000), WriteOutcome::NotApplied);
        }
    }
    let tenure = c.lease().unwrap();
    assert_eq!((tenure.token, tenure.valid_until), (Token(1), ms(2_700)));
}

#[test]
fn outage_over_holder_renews_first() {
    let mut object = Object::default();
    let mut held = holder(&mut object);
    let mut other = contest(2);
    advance(&mut other, &mut object, ms(10));
    // An hour without the platform; then both find it at the same time.
    let back = ms(3_600_000);
    other.restart_ttl(back);
    assert_eq!(advance(&mut other, &mut object, back), Step::Wait);
    advance(&mut held, &mut object, back);
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
