//! Retry budget and final responses.

use banyangauge::ids::ServiceName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
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
#[case::blocked(AttemptFailure::Blocked, 503)]
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
