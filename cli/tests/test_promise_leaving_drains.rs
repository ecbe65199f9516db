//! A draining upstream receives no new requests after a few seconds.

use banyangauge_testutils::prove::Promise;
use rstest::rstest;

use crate::promise::assert_kept;

#[rstest]
#[case::one_fault(1, false)]
#[case::two_faults(2, true)]
#[case::leaving_by_the_list_only(14, false)]
fn leaving_drains_under_faults(#[case] seed: u64, #[case] pairs: bool) {
    assert_kept(Promise::LeavingDrains, seed, pairs);
}
