//! Retry budget, final responses, and detection of poison requests.

use banyangauge::ids::Fingerprint;
use banyangauge::ids::ServiceName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::CrashTracker;
use banyangauge::serving::Instance;
use banyangauge::serving::RetryBudget;
use banyangauge::serving::RetryLimits;
use banyangauge::serving::retry::AttemptFailure;
use banyangauge::serving::retry::Attempts;
use banyangauge::serving::retry::Refusal;
use rstest::rstest;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    window_us: 10_000_000,
    slack: 60.0,
};

fn at(ms: u64) -> Moment {
    Moment(100_000_000).after(Span::from_millis(ms))
}

/// Every request of ten VMs fails for half a minute: the retries of all VMs stay
/// within the limits in every window.
#[test]
fn retries_stay_within_budget_over_all_vms() {
    let service: ServiceName = "llm".parse().unwrap();
    let mut vms: Vec<_> = (0..10).map(|_| RetryBudget::new(LIMITS, at(0))).collect();
    for vm in &mut vms {
        vm.set_vm_count(at(0), 10);
        vm.mark_first_start();
    }
    let mut retries = Vec::new();
    for ms in (0..30_000).step_by(20) {
        let vm = ms as usize / 20 % 10;
        vms[vm].record_first_send(at(ms), &service);
        for _ in 0..3 {
            if vms[vm].try_retry(at(ms), &service) {
                retries.push(ms);
            }
        }
    }
    let allowed = 0.2 * 500.0 + 60.0;
    for end in (0..30_000).step_by(500) {
        let window = retries
            .iter()
            .filter(|ms| **ms <= end && **ms + 10_000 > end);
        let count = window.count() as f64;
        assert!(
            count <= allowed,
            "{count} retries in the window to {end} ms"
        );
    }
    assert!(retries.len() > 200);
}

#[rstest]
#[case::not_sent(AttemptFailure::NotSent, 503)]
#[case::broken(AttemptFailure::Broken, 502)]
#[case::timed_out(AttemptFailure::TimedOut, 504)]
fn refusal_status_by_failure(#[case] failure: AttemptFailure, #[case] status: u16) {
    let mut attempts = Attempts::default();
    attempts.record_failure(failure);
    assert_eq!(Refusal::after(&attempts, failure).status, status);
}

/// The request may have run in an earlier attempt, whatever the last one was
/// refused for.
#[test]
fn refusal_after_a_possible_run_is_not_retryable() {
    let mut attempts = Attempts::default();
    attempts.record_failure(AttemptFailure::Broken);
    attempts.record_failure(AttemptFailure::NotSent);
    let refusal = Refusal::after(&attempts, AttemptFailure::NotSent);
    assert_eq!((refusal.status.as_u16(), refusal.retry_after), (502, None));
}

fn instance(name: &str) -> Instance {
    Instance {
        name: name.parse().unwrap(),
        started_ms: 0,
    }
}

/// Three crashes of one replica, which restarts under the same name, count as three.
#[test]
fn poison_after_three_crashes_of_one_replica() {
    let mut tracker = CrashTracker::default();
    for started_ms in 1..=3 {
        let name = "i-1".parse().unwrap();
        tracker.record(at(0), Fingerprint(1), &Instance { name, started_ms });
    }
    assert!(tracker.is_poison(at(0), Fingerprint(1), |r| r.started_ms < 4));
    assert!(!tracker.is_poison(at(0), Fingerprint(1), |r| r.started_ms < 3));
}

#[test]
fn poison_after_three_crashed_replicas() {
    let mut tracker = CrashTracker::default();
    let request = Fingerprint(1);
    for name in ["i-1", "i-2"] {
        tracker.record(at(0), request, &instance(name));
    }
    assert!(!tracker.is_poison(at(0), request, |_| true));
    tracker.record(at(0), request, &instance("i-3"));
    assert!(tracker.is_poison(at(0), request, |_| true));
    assert!(!tracker.is_poison(at(0), request, |r| r.name.as_str() != "i-1"));
    tracker.clear(request);
    assert!(!tracker.is_poison(at(0), request, |_| true));
}

/// A crash of many replicas leaves a record for each request that ran there. Each
/// VM reports only its own: forwarded records circulated for ever and grew the
/// beacons until they saturated the links.
#[test]
fn remote_crashes_are_not_forwarded() {
    let mut tracker = CrashTracker::default();
    let replica = instance("i-1");
    tracker.record_remote(at(0), Fingerprint(1), &replica);
    tracker.record(at(0), Fingerprint(2), &replica);
    let reported = |tracker: &CrashTracker| -> Vec<u64> {
        let recent = tracker.recent(at(10), Span::from_millis(5_000));
        recent.iter().map(|(f, _)| f.0).collect()
    };
    assert_eq!(reported(&tracker), [2]);
    // A report by another VM of a crash that this VM saw does not change its record.
    tracker.record_remote(at(9), Fingerprint(2), &replica);
    assert_eq!(reported(&tracker), [2]);
    assert!(tracker.recent(at(10), Span::from_millis(5)).is_empty());
}

#[test]
fn reported_crashes_fit_a_datagram() {
    let mut tracker = CrashTracker::default();
    let replica = instance("i-1");
    for i in 0..1_000 {
        tracker.record(at(i), Fingerprint(i), &replica);
    }
    let reported = tracker.recent(at(1_000), Span::from_millis(5_000));
    assert_eq!(reported.len(), 64);
    assert_eq!(reported[0].0, Fingerprint(999));
}

/// Crashes that other VMs saw count like those that this VM saw.
#[test]
fn remote_crashes_count() {
    let mut tracker = CrashTracker::default();
    for name in ["i-1", "i-2", "i-3"] {
        tracker.record_remote(at(0), Fingerprint(1), &instance(name));
    }
    assert!(tracker.is_poison(at(0), Fingerprint(1), |_| true));
}
