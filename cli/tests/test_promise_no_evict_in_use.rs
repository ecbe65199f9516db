//! An adapter that a request is using is never evicted.

use banyangauge_testutils::prove::Promise;
use rstest::rstest;

use crate::promise::assert_kept;

#[rstest]
#[case::one_fault(1, false)]
#[case::two_faults(2, true)]
#[case::frozen_owner_in_an_outage(5, true)]
fn no_evict_in_use_under_faults(#[case] seed: u64, #[case] pairs: bool) {
    assert_kept(Promise::NoEvictInUse, seed, pairs);
}
