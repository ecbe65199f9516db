//! Runs one fault schedule on the real programs and asserts that a promise holds.

use banyangauge_testutils::prove;
use banyangauge_testutils::prove::Promise;
use banyangauge_testutils::prove::Schedule;

/// Runs the schedule of a seed. On a violation the panic message contains the
/// command that reproduces it and the timeline.
pub(crate) fn assert_kept(promise: Promise, seed: u64, pairs: bool) {
    let schedule = Schedule::new(promise, seed, pairs);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("building the runtime failed");
    let report = runtime
        .block_on(prove::run(&schedule))
        .expect("starting the programs failed");
    assert!(
        report.violations.is_empty() && report.unfinished.is_empty(),
        "{:?}\n{:?}\n{}\n{}",
        report.violations,
        report.unfinished,
        schedule.command(),
        report.timeline
    );
    assert!(report.answered > 0, "no request was answered");
}
