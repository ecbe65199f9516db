//! Runs one schedule on the real programs and asserts that nothing was broken.

use banyangauge_testutils::prove;
use banyangauge_testutils::prove::Promise;
use banyangauge_testutils::prove::Schedule;

/// Runs the schedule of a seed; on a violation the message holds the command
/// that runs it again and its time line.
pub(crate) fn assert_kept(promise: Promise, seed: u64, pairs: bool) {
    let schedule = Schedule::new(promise, seed, pairs);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let report = runtime
        .block_on(prove::run(&schedule))
        .expect("the programs start");
    assert!(
        report.violations.is_empty() && report.unfinished.is_empty(),
        "{:?}\n{:?}\n{}\n{}",
        report.violations,
        report.unfinished,
        schedule.command(),
        report.timeline
    );
    assert!(report.answered > 0, "nothing was answered");
}
