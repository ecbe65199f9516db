//! How many requests may be sent again, and which are not sent at all.

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

/// Every request of ten VMs fails for half a minute: in no window do all
/// repeats together exceed what the limits allow.
#[test]
fn budget_holds_over_all_vms() {
    let service: ServiceName = "llm".parse().unwrap();
    let mut vms: Vec<_> = (0..10).map(|_| RetryBudget::new(LIMITS)).collect();
    let mut repeats = Vec::new();
    for ms in (0..30_000).step_by(20) {
        let vm = ms as usize / 20 % 10;
        vms[vm].record_first_send(at(ms), &service);
        for _ in 0..3 {
            if vms[vm].try_retry(at(ms), &service, 10) {
                repeats.push(ms);
            }
        }
    }
    let allowed = 0.2 * 500.0 + 60.0;
    for end in (0..30_000).step_by(500) {
        let window = repeats
            .iter()
            .filter(|ms| **ms <= end && **ms + 10_000 > end);
        let count = window.count() as f64;
        assert!(
            count <= allowed,
            "{count} repeats in the window to {end} ms"
        );
    }
    assert!(repeats.len() > 200);
}

#[rstest]
#[case::not_sent(AttemptFailure::NotSent, 503)]
#[case::broken(AttemptFailure::Broken, 502)]
#[case::overdue(AttemptFailure::TimedOut, 504)]
fn refusal_tells_the_truth(#[case] ended: AttemptFailure, #[case] status: u16) {
    let mut tries = Attempts::default();
    tries.record(ended);
    assert_eq!(Refusal::after(&tries, ended).status, status);
}

/// It may have run in an earlier try, whatever the last one was refused for.
#[test]
fn refusal_after_a_run_promises_nothing() {
    let mut tries = Attempts::default();
    tries.record(AttemptFailure::Broken);
    tries.record(AttemptFailure::NotSent);
    let refusal = Refusal::after(&tries, AttemptFailure::NotSent);
    assert_eq!((refusal.status.as_u16(), refusal.retry_after), (502, None));
}

fn instance(name: &str) -> Instance {
    Instance {
        name: name.parse().unwrap(),
        started_ms: 0,
    }
}

/// One replica that starts again under its name is brought down three times.
#[test]
fn strikes_convict_what_crashes_one_replica_thrice() {
    let mut strikes = CrashTracker::default();
    for born in 1..=3 {
        let name = "i-1".parse().unwrap();
        strikes.record(
            at(0),
            Fingerprint(1),
            &Instance {
                name,
                started_ms: born,
            },
        );
    }
    assert!(strikes.is_poison(at(0), Fingerprint(1), |r| r.started_ms < 4));
    assert!(!strikes.is_poison(at(0), Fingerprint(1), |r| r.started_ms < 3));
}

#[test]
fn strikes_convict_what_crashes_three() {
    let mut strikes = CrashTracker::default();
    let request = Fingerprint(1);
    for name in ["i-1", "i-2"] {
        strikes.record(at(0), request, &instance(name));
    }
    assert!(!strikes.is_poison(at(0), request, |_| true));
    strikes.record(at(0), request, &instance("i-3"));
    assert!(strikes.is_poison(at(0), request, |_| true));
    assert!(!strikes.is_poison(at(0), request, |r| r.name.as_str() != "i-1"));
    strikes.clear(request);
    assert!(!strikes.is_poison(at(0), request, |_| true));
}

/// A crash of many replicas leaves a strike for each request that ran there.
/// Each VM tells its own; what is told on goes around for ever, and grew the
/// beacons until they filled the links.
#[test]
fn strikes_heard_are_not_told_on() {
    let mut strikes = CrashTracker::default();
    let replica = instance("i-1");
    strikes.record_remote(at(0), Fingerprint(1), &replica);
    strikes.record(at(0), Fingerprint(2), &replica);
    let told = |strikes: &CrashTracker| -> Vec<u64> {
        let recent = strikes.recent(at(10), Span::from_millis(5_000));
        recent.iter().map(|(f, _)| f.0).collect()
    };
    assert_eq!(told(&strikes), [2]);
    // Hearing of its own from another VM keeps it its own, and no younger.
    strikes.record_remote(at(9), Fingerprint(2), &replica);
    assert_eq!(told(&strikes), [2]);
    assert!(strikes.recent(at(10), Span::from_millis(5)).is_empty());
}

#[test]
fn strikes_told_fit_a_datagram() {
    let mut strikes = CrashTracker::default();
    let replica = instance("i-1");
    for i in 0..1_000 {
        strikes.record(at(i), Fingerprint(i), &replica);
    }
    let told = strikes.recent(at(1_000), Span::from_millis(5_000));
    assert_eq!(told.len(), 64);
    assert_eq!(told[0].0, Fingerprint(999));
}

/// Strikes that other VMs saw count as much.
#[test]
fn strikes_heard_convict() {
    let mut strikes = CrashTracker::default();
    for name in ["i-1", "i-2", "i-3"] {
        strikes.record_remote(at(0), Fingerprint(1), &instance(name));
    }
    assert!(strikes.is_poison(at(0), Fingerprint(1), |_| true));
}
