//! What a process that stops as planned may still send.

use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::RunTimes;
use banyangauge::serving::StopPlan;
use rstest::rstest;

const START: Moment = Moment(100_000_000);

fn at(ms: u64) -> Moment {
    START.after(Span::from_millis(ms))
}

/// The load balancer goes on to send requests for some time, and the process has to exit before it
/// is killed.
#[rstest]
#[case::usual(8_000, 3_000, 7_500)]
#[case::long(60_000, 3_000, 59_500)]
#[case::short(2_000, 750, 1_750)]
#[case::none(0, 0, 0)]
fn stop_plan_fits_grace(#[case] grace: u64, #[case] drain: u64, #[case] end: u64) {
    let plan = StopPlan::new(START, Span::from_millis(grace));
    assert_eq!((plan.drain, plan.end), (at(drain), at(end)));
}

/// A run that would end after the process was sent all the same.
#[test]
fn last_send_is_before_the_stop_for_long_runs() {
    let plan = StopPlan::new(START, Span::from_millis(8_000));
    assert!(plan.last_send(Span::from_millis(7_600)) < START);
    assert_eq!(plan.last_send(Span::from_millis(7_500)), START);
}

/// One slow run of long ago must not keep a stopping process from serving short ones.
#[test]
fn longest_run_is_of_late() {
    let mut times = RunTimes::default();
    let left = Span::from_millis(20_000);
    times.record(at(0), "x", Span::from_millis(5_000));
    for ms in (0..90_000).step_by(1_000) {
        times.record(at(ms), "x", Span::from_millis(100));
        let longest = times.longest(at(ms), "x", left);
        let expected = if ms < 60_000 { 6_000 } else { 120 };
        assert_eq!(longest, Span::from_millis(expected), "{ms} ms");
    }
    // Nothing is known of a route without runs, nor of another one.
    assert_eq!(times.longest(at(200_000), "x", left), left);
    assert_eq!(times.longest(at(90_000), "y", left), left);
}

#[test]
fn longest_run_ends_at_the_deadline() {
    let mut times = RunTimes::default();
    times.record(at(0), "x", Span::from_millis(5_000));
    let left = Span::from_millis(300);
    assert_eq!(times.longest(at(0), "x", left), left);
}

/// Routes that a configuration dropped are forgotten.
#[test]
fn run_times_keep_routes_in_use() {
    let mut times = RunTimes::default();
    for n in 0..1_000 {
        times.record(at(n * 1_000), &format!("r{n}"), Span::from_millis(10));
    }
    let left = Span::from_millis(300);
    assert_eq!(times.longest(at(999_000), "r0", left), left);
}
