//! A confirmed configuration becomes active everywhere within seconds and never
//! reverts.

use banyangauge_testutils::prove::Promise;
use rstest::rstest;

use crate::promise::assert_kept;

#[rstest]
#[case::one_fault(1, false)]
#[case::two_faults(2, true)]
fn config_in_force_under_faults(#[case] seed: u64, #[case] pairs: bool) {
    assert_kept(Promise::ConfigInForce, seed, pairs);
}
