//! A request that was refused as "not run" was never run.

use banyangauge_testutils::prove::Promise;
use rstest::rstest;

use crate::promise::assert_kept;

#[rstest]
#[case::one_fault(1, false)]
#[case::two_faults(2, true)]
#[case::lost_answers_of_a_service(5, false)]
fn not_run_true_under_faults(#[case] seed: u64, #[case] pairs: bool) {
    assert_kept(Promise::NotRunTrue, seed, pairs);
}
