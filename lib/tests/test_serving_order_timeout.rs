//! The learned timeout for the responses to orders.

use banyangauge::pool::Span;
use banyangauge::serving::OrderTimeout;
use proptest::prelude::*;

fn after(responses: &[u64]) -> OrderTimeout {
    let mut timeout = OrderTimeout::default();
    for ms in responses {
        timeout.record_response(Span::from_millis(*ms));
    }
    timeout
}

/// A timeout that stays below the response time of a slowed replica would leave all its
/// orders unanswered.
#[test]
fn timeout_exceeds_any_response_after_doublings() {
    let mut timeout = after(&[4; 50]);
    assert_eq!(timeout.current(), Span::from_millis(20));
    for _ in 0..6 {
        timeout.record_unanswered();
    }
    assert_eq!(timeout.current(), Span::from_millis(800));
    timeout.reset_doublings();
    assert_eq!(timeout.current(), Span::from_millis(20));
}

proptest! {
    /// Bounds, and no repeat of the orders that a steady replica answers.
    #[test]
    fn timeout_is_bounded(
        responses in prop::collection::vec(0_u64..3_000, 0..40),
        unanswered in 0_u32..200,
        steady in 0_u64..800,
    ) {
        let mut timeout = after(&responses);
        let before = timeout.current();
        for _ in 0..unanswered {
            timeout.record_unanswered();
        }
        let doubled = timeout.current();
        prop_assert!(before <= doubled);
        prop_assert!((Span::from_millis(20)..=Span::from_millis(800)).contains(&doubled));
        prop_assert!(after(&vec![steady; 30]).current() >= Span::from_millis(steady));
    }
}
