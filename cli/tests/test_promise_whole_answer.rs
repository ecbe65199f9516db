//! A caller receives the complete response to its own request, and never one to
//! another request.

use banyangauge_testutils::prove::Promise;
use rstest::rstest;

use crate::promise::assert_kept;

#[rstest]
#[case::crossed_answers(1, false)]
#[case::two_faults(2, true)]
fn whole_answer_under_faults(#[case] seed: u64, #[case] pairs: bool) {
    assert_kept(Promise::WholeAnswer, seed, pairs);
}
