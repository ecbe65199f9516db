//! The claim journal: at-most-once execution with lost and late writes.

use banyangauge::claims::ClaimKey;
use banyangauge::claims::ClaimResult;
use banyangauge::claims::Claimant;
use banyangauge::claims::Journal;
use banyangauge::claims::Limits;
use banyangauge::claims::RecordResult;
use banyangauge::claims::Segment;
use banyangauge::claims::State;
use banyangauge::claims::Write;
use banyangauge::claims::WriteOutcome;
use banyangauge::ids::FencingToken;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use rstest::rstest;

fn ms(t: u64) -> Moment {
    Moment(t * 1_000)
}

fn key(n: u64) -> ClaimKey {
    ClaimKey::new(&format!("team/{n}"))
}

fn claimant(n: u64) -> Claimant {
    Claimant {
        entry: "vm-1/1".to_owned(),
        request: n,
    }
}

/// The journal objects of one pool, as the platform stores them.
#[derive(Default)]
struct Store {
    version: u64,
    segments: Vec<(Segment, String)>,
}

impl Store {
    fn apply(&mut self, write: &Write) -> Option<String> {
        let found = self
            .segments
            .iter_mut()
            .find(|(s, _)| s.number == write.segment.number);
        self.version += 1;
        let version = self.version.to_string();
        match (found, &write.version) {
            (None, None) => self.segments.push((write.segment.clone(), version.clone())),
            (Some(old), Some(v)) if old.1 == *v => *old = (write.segment.clone(), version.clone()),
            _ => return None,
        }
        Some(version)
    }

    /// The outcome that a writer finds by reading back.
    fn read_back(&self, write: &Write) -> WriteOutcome {
        let found = self
            .segments
            .iter()
            .find(|(s, _)| s.number == write.segment.number);
        match found {
            Some((s, v)) if s.operation == write.segment.operation => WriteOutcome::Done(v.clone()),
            other => WriteOutcome::Unconfirmed(other.cloned()),
        }
    }

    fn commit(&mut self, write: &Write) -> WriteOutcome {
        match self.apply(write) {
            Some(version) => WriteOutcome::Done(version),
            None => self.read_back(write),
        }
    }

    fn open(&mut self, now: Moment, token: u64, limits: Limits) -> Option<Journal> {
        let mut journal = Journal::new(FencingToken(token), limits);
        journal.recover(now, &self.segments);
        let writes = journal.seal();
        let versions: Option<Vec<_>> = writes.iter().map(|w| self.apply(w)).collect();
        journal.seal_done(&versions?);
        Some(journal)
    }
}

fn claim(journal: &mut Journal, now: Moment, n: u64) {
    assert_eq!(
        journal.claim(now, &key(n), &claimant(n)),
        ClaimResult::Claimed
    );
    assert_eq!(journal.record(&key(n)), RecordResult::Pending);
}

#[test]
fn claim_seen_twice() {
    let mut store = Store::default();
    let mut j = store.open(ms(0), 1, Limits::default()).unwrap();
    claim(&mut j, ms(200), 1);
    assert_eq!(
        j.claim(ms(200), &key(1), &claimant(2)),
        ClaimResult::Duplicate(State::Running)
    );
    let write = j.next_write(ms(200)).unwrap();
    let (keys, done) = j.write_done(ms(201), store.commit(&write));
    assert_eq!((keys, done), (vec![key(1)], true));
    j.set_outcome(ms(300), &key(1), State::Answered);
    assert_eq!(
        j.claim(ms(400), &key(1), &claimant(3)),
        ClaimResult::Duplicate(State::Answered)
    );
}

#[test]
fn commit_batches_pending_claims() {
    let mut store = Store::default();
    let mut j = store.open(ms(0), 1, Limits::default()).unwrap();
    claim(&mut j, ms(200), 0);
    let first = j.next_write(ms(200)).unwrap();
    // Fifty claims arrive while the first commit is in flight: one more commit
    // writes them all.
    for n in 1..=50 {
        claim(&mut j, ms(201), n);
    }
    assert_eq!(j.next_write(ms(210)), None);
    j.write_done(ms(210), store.commit(&first));
    assert_eq!(j.next_write(ms(299)), None);
    let second = j.next_write(ms(300)).unwrap();
    let (keys, done) = j.write_done(ms(301), store.commit(&second));
    assert_eq!(
        (keys.len(), done, store.segments[0].0.claims.len()),
        (50, true, 51)
    );
}

#[test]
fn lost_answer_read_back() {
    let mut store = Store::default();
    let mut j = store.open(ms(0), 1, Limits::default()).unwrap();
    claim(&mut j, ms(200), 1);
    let write = j.next_write(ms(200)).unwrap();
    store.apply(&write);
    let end = store.read_back(&write);
    let (_, done) = j.write_done(ms(300), end);
    assert!(done);
}

#[test]
fn lost_write_arrives_late() {
    let mut store = Store::default();
    let mut j = store.open(ms(0), 1, Limits::default()).unwrap();
    claim(&mut j, ms(200), 1);
    let lost = j.next_write(ms(200)).unwrap();
    let (_, done) = j.write_done(ms(300), store.read_back(&lost));
    // The caller was told that the call did not run, and may retry.
    assert!(!done);
    store.apply(&lost).unwrap();
    claim(&mut j, ms(400), 1);
    let again = j.next_write(ms(400)).unwrap();
    let (_, done) = j.write_done(ms(401), store.commit(&again));
    assert!(!done);
    claim(&mut j, ms(600), 1);
    let again = j.next_write(ms(600)).unwrap();
    let (keys, done) = j.write_done(ms(601), store.commit(&again));
    assert_eq!((keys, done), (vec![key(1)], true));
}

#[test]
fn takeover_fences_off_the_previous_owner() {
    let mut store = Store::default();
    let mut old = store.open(ms(0), 1, Limits::default()).unwrap();
    claim(&mut old, ms(200), 1);
    let write = old.next_write(ms(200)).unwrap();
    old.write_done(ms(201), store.commit(&write));
    claim(&mut old, ms(400), 2);
    let late = old.next_write(ms(400)).unwrap();
    // The old owner is paused before the write is sent.
    let mut new = store.open(ms(9_000), 2, Limits::default()).unwrap();
    assert_eq!(
        new.claim(ms(9_100), &key(1), &claimant(7)),
        ClaimResult::Duplicate(State::Unknown)
    );
    claim(&mut new, ms(9_100), 2);
    let (_, done) = old.write_done(ms(9_200), store.commit(&late));
    assert!(!done && old.is_deposed() && !old.is_ready());
    assert_eq!(old.next_write(ms(9_999)), None);
}

#[test]
fn takeover_races_a_rotation() {
    let limits = Limits {
        segment_size: 1,
        ..Limits::default()
    };
    let mut store = Store::default();
    let mut old = store.open(ms(0), 1, limits).unwrap();
    claim(&mut old, ms(200), 1);
    let write = old.next_write(ms(200)).unwrap();
    old.write_done(ms(201), store.commit(&write));
    claim(&mut old, ms(400), 2);
    let rotation = old.next_write(ms(400)).unwrap();
    // The new owner reads before the new segment is created.
    let mut new = Journal::new(FencingToken(2), limits);
    new.recover(ms(9_000), &store.segments.clone());
    let seal = new.seal();
    let (_, done) = old.write_done(ms(9_001), store.commit(&rotation));
    assert!(done);
    let versions: Option<Vec<_>> = seal.iter().map(|w| store.apply(w)).collect();
    assert_eq!(versions, None);
    // It reads again and finds the claim.
    let mut new = store.open(ms(9_100), 2, limits).unwrap();
    assert_eq!(
        new.claim(ms(9_200), &key(2), &claimant(7)),
        ClaimResult::Duplicate(State::Unknown)
    );
}

#[rstest]
#[case::refused_before_dispatch(false, ClaimResult::Claimed)]
#[case::refused_after_a_broken_dispatch(true, ClaimResult::Duplicate(State::Unknown))]
fn free_after(#[case] started: bool, #[case] result: ClaimResult) {
    let mut store = Store::default();
    let mut j = store.open(ms(0), 1, Limits::default()).unwrap();
    claim(&mut j, ms(200), 1);
    let write = j.next_write(ms(200)).unwrap();
    j.write_done(ms(201), store.commit(&write));
    if started {
        j.mark_started(&key(1));
    }
    j.free(ms(300), &key(1));
    assert_eq!(j.claim(ms(400), &key(1), &claimant(9)), result);
}

#[test]
fn freed_in_flight_and_claimed_again() {
    let mut store = Store::default();
    let mut j = store.open(ms(0), 1, Limits::default()).unwrap();
    claim(&mut j, ms(200), 1);
    j.next_write(ms(200)).unwrap();
    j.free(ms(201), &key(1));
    assert_eq!(
        j.claim(ms(202), &key(1), &claimant(2)),
        ClaimResult::Claimed
    );
    j.write_done(ms(203), WriteOutcome::Unconfirmed(None));
    // The commit of the first request failed; the second keeps the key.
    assert_eq!(j.record(&key(1)), RecordResult::Pending);
    let write = j.next_write(ms(400)).unwrap();
    let (keys, done) = j.write_done(ms(401), store.commit(&write));
    assert_eq!((keys, done), (vec![key(1)], true));
}

#[test]
fn outcome_is_written_lazily() {
    let mut store = Store::default();
    let mut j = store.open(ms(0), 1, Limits::default()).unwrap();
    claim(&mut j, ms(200), 1);
    let write = j.next_write(ms(200)).unwrap();
    j.write_done(ms(201), store.commit(&write));
    j.set_outcome(ms(300), &key(1), State::Answered);
    assert_eq!(j.next_write(ms(1_299)), None);
    assert_eq!(j.next_wake(), Some(ms(1_300)));
    let write = j.next_write(ms(1_300)).unwrap();
    j.write_done(ms(1_301), store.commit(&write));
    let mut new = store.open(ms(5_000), 2, Limits::default()).unwrap();
    assert_eq!(
        new.claim(ms(5_001), &key(1), &claimant(4)),
        ClaimResult::Duplicate(State::Answered)
    );
}

#[test]
fn full_refuses_and_retention_frees() {
    let limits = Limits {
        segment_size: 2,
        max_segments: 2,
        retention: Span::from_millis(10_000),
        ..Limits::default()
    };
    let mut store = Store::default();
    let mut j = store.open(ms(0), 1, limits).unwrap();
    for n in 0..4 {
        claim(&mut j, ms(200 * (n + 1)), n);
        let write = j.next_write(ms(200 * (n + 1))).unwrap();
        j.write_done(ms(200 * (n + 1)), store.commit(&write));
        j.set_outcome(ms(1_000), &key(n), State::Answered);
    }
    assert_eq!(j.claim(ms(1_000), &key(9), &claimant(9)), ClaimResult::Full);
    assert!(j.expire(ms(10_999)).is_empty());
    // The segment for new claims is kept.
    assert_eq!(j.expire(ms(11_000)), vec![1]);
    assert_eq!(
        j.claim(ms(11_000), &key(9), &claimant(9)),
        ClaimResult::Claimed
    );
}
