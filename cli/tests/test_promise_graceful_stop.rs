//! A planned stop does not interrupt any request in flight.

use banyangauge_testutils::prove::Promise;
use rstest::rstest;

use crate::promise::assert_kept;

#[rstest]
#[case::one_fault(1, false)]
#[case::two_faults(2, true)]
#[case::leaving_beside_a_stop(6, true)]
#[case::leaving_beside_a_stop_of_control(3, true)]
fn graceful_stop_under_faults(#[case] seed: u64, #[case] pairs: bool) {
    assert_kept(Promise::GracefulStop, seed, pairs);
}
