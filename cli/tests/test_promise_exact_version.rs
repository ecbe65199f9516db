//! Each request runs on exactly the adapter and version that it names.

use banyangauge_testutils::prove::Promise;
use rstest::rstest;

use crate::promise::assert_kept;

#[rstest]
#[case::one_fault(1, false)]
#[case::two_faults(2, true)]
fn exact_version_under_faults(#[case] seed: u64, #[case] pairs: bool) {
    assert_kept(Promise::ExactVersion, seed, pairs);
}
