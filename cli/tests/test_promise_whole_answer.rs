//! A caller gets the whole answer to its own request, and no one else's.

use banyangauge_testutils::prove::Promise;
use rstest::rstest;

use crate::promise::assert_kept;

#[rstest]
#[case::crossed_answers(1, false)]
#[case::two_faults(2, true)]
fn whole_answer_under(#[case] seed: u64, #[case] pairs: bool) {
    assert_kept(Promise::WholeAnswer, seed, pairs);
}
