//! Usage is attributed to the team that caused it.

use banyangauge_testutils::prove::Promise;
use rstest::rstest;

use crate::promise::assert_kept;

#[rstest]
#[case::one_fault(1, false)]
#[case::two_faults(2, true)]
#[case::foreign_control(6, true)]
fn usage_attributed_under_faults(#[case] seed: u64, #[case] pairs: bool) {
    assert_kept(Promise::UsageAttributed, seed, pairs);
}
