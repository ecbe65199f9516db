//! Runs that ended before their replicas crashed, and crashes that broke no connection.

use banyangauge::ids::Fingerprint;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::BrokenRun;
use banyangauge::serving::CrashTracker;
use banyangauge::serving::Feature;
use banyangauge::serving::Instance;
use banyangauge::serving::RunEnd;
use rstest::rstest;

const SETTLE: Span = Span::from_millis(1_000);

fn at(ms: u64) -> Moment {
    Moment(100_000_000).after(Span::from_millis(ms))
}

fn replica(number: u64) -> Instance {
    Instance {
        name: format!("i-{number}").parse().unwrap(),
        started_ms: 0,
    }
}

fn run(sent: u64) -> BrokenRun {
    BrokenRun {
        sent: at(sent),
        features: Feature::of_request(Fingerprint(7), &[0xbad]),
    }
}

/// A tracker of a VM with one run at a replica, sent at 0 ms.
fn watched() -> (CrashTracker, Instance, Vec<Feature>) {
    let mut tracker = CrashTracker::default();
    let run = run(0);
    let features = run.features.clone();
    tracker.begin_run(&replica(1), 1, run);
    (tracker, replica(1), features)
}

/// A run whose caller left, or whose deadline passed, accused nothing.
#[test]
fn run_that_ended_before_its_replica_crashed_is_accused() {
    let (mut tracker, replica, features) = watched();
    tracker.end_run(at(50), &replica, 1, RunEnd::Open);
    assert!(tracker.due_replicas(at(400)).is_empty());
    assert_eq!(
        tracker.due_replicas(at(560)),
        std::slice::from_ref(&replica)
    );
    assert_eq!(tracker.record_dead(at(570), &replica, at(560)), 1);
    assert_eq!(tracker.request_crashes(at(570), &features), 1);
}

/// What a replica outlived by more than the time in which it cancels a run is not its crash.
#[rstest]
#[case::data_too_early(400, 1)]
#[case::data_later(560, 0)]
fn run_that_ended_is_outlived_by_data(#[case] heard: u64, #[case] accused: usize) {
    let (mut tracker, replica, _) = watched();
    tracker.end_run(at(50), &replica, 1, RunEnd::Open);
    tracker.hear(at(heard), &replica);
    assert_eq!(tracker.record_dead(at(700), &replica, at(700)), accused);
}

#[rstest]
#[case::served(RunEnd::Closed, 0)]
#[case::left(RunEnd::Open, 1)]
#[case::ended_with_its_connection(RunEnd::Unframed, 1)]
fn run_is_accused_by_how_it_ended(#[case] end: RunEnd, #[case] accused: usize) {
    let (mut tracker, replica, _) = watched();
    tracker.end_run(at(50), &replica, 1, end);
    // The first end counts.
    tracker.end_run(at(60), &replica, 1, RunEnd::Open);
    assert_eq!(tracker.record_dead(at(100), &replica, at(100)), accused);
}

/// A response that ends with its connection cleared its request, though its replica had crashed.
#[test]
fn unframed_response_clears_once_its_replica_is_heard_from() {
    let (mut tracker, replica, features) = watched();
    tracker.accuse(at(40), &self::replica(2), run(0));
    tracker.end_run(at(50), &replica, 1, RunEnd::Unframed);
    assert_eq!(tracker.request_crashes(at(60), &features), 1);
    tracker.hear(at(600), &replica);
    assert_eq!(tracker.request_crashes(at(600), &features), 0);
}

/// A replica that fell silent for a while and went on was none that crashed.
#[test]
fn data_refutes_presumed_crash() {
    let (mut tracker, replica, features) = watched();
    tracker.record_dead(at(1_700), &replica, at(600));
    assert_eq!(tracker.request_crashes(at(1_700), &features), 1);
    tracker.hear(at(1_900), &replica);
    assert_eq!(tracker.request_crashes(at(1_900), &features), 0);
    // The run goes on, and its replica may crash on it yet.
    assert_eq!(tracker.record_dead(at(4_000), &replica, at(3_000)), 1);
}

/// A connection that hung and was reset counted one run twice.
#[test]
fn run_that_breaks_after_its_replica_was_taken_for_crashed_counts_once() {
    let (mut tracker, replica, features) = watched();
    tracker.record_dead(at(1_300), &replica, at(600));
    assert!(!tracker.break_run(at(2_000), &replica, 1, run(0)));
    let known = tracker.known_crashes(at(2_000), SETTLE, &features);
    assert_eq!(known.map(|k| (k.crashes, k.runs)), Some((1, 1)));
}

/// A VM that hears from nobody may be cut off itself.
#[rstest]
#[case::only_replica(None, false)]
#[case::other_silent(Some(500), false)]
#[case::other_heard(Some(700), true)]
fn silence_counts_if_another_replica_is_heard(#[case] other: Option<u64>, #[case] silent: bool) {
    let (mut tracker, replica, _) = watched();
    if let Some(heard) = other {
        tracker.begin_run(&self::replica(2), 2, run(0));
        tracker.hear(at(heard), &self::replica(2));
    }
    assert_eq!(tracker.is_silent(&replica, at(600), false), silent);
    assert!(tracker.is_silent(&replica, at(600), true));
    tracker.hear(at(650), &replica);
    assert!(!tracker.is_silent(&replica, at(600), true));
}

/// Replicas that run something and say nothing are asked, at most once a second.
#[test]
fn quiet_replica_is_due_within_a_second() {
    let (mut tracker, replica, _) = watched();
    assert!(tracker.due_replicas(at(499)).is_empty());
    assert_eq!(
        tracker.due_replicas(at(500)),
        std::slice::from_ref(&replica)
    );
    for second in 0..5 {
        let answered = 700 + 1_000 * second;
        tracker.record_answer(at(answered), &replica);
        assert!(tracker.due_replicas(at(answered + 499)).is_empty());
        assert_eq!(
            tracker.due_replicas(at(answered + 1_000)),
            std::slice::from_ref(&replica)
        );
    }
}

/// What is kept of runs that ended has a bound.
#[test]
fn ended_runs_are_bounded() {
    let mut tracker = CrashTracker::default();
    for id in 0..1_000 {
        let replica = replica(id % 2);
        tracker.begin_run(&replica, id, run(id));
        tracker.end_run(at(id), &replica, id, RunEnd::Open);
    }
    assert!(tracker.record_dead(at(1_000), &replica(0), at(1_000)) <= 64);
    tracker.due_replicas(at(20_000));
    assert_eq!(tracker.record_dead(at(20_000), &replica(1), at(20_000)), 0);
}
