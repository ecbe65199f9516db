//! A non-idempotent request runs at most once.

use banyangauge_testutils::prove::Promise;
use rstest::rstest;

use crate::promise::assert_kept;

#[rstest]
#[case::one_fault(1, false)]
#[case::two_faults(2, true)]
fn at_most_once_under_faults(#[case] seed: u64, #[case] pairs: bool) {
    assert_kept(Promise::AtMostOnce, seed, pairs);
}
