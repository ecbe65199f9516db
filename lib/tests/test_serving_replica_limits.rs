//! Limits that replicas state for all VMs together.

use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::replica_limits::Heard;
use banyangauge::serving::replica_limits::StatedLimit;
use rstest::rstest;

fn at(ms: u64) -> Moment {
    Moment(10_000_000).after(Span::from_millis(ms))
}

/// Two responses; each is sent at the first time and arrives at the second one.
#[rstest]
#[case::in_order((0, 10, Some(1.0)), (20, 30, None), None)]
#[case::end_overtaken_by_limit((0, 10, Some(1.0)), (5, 20, None), Some(1.0))]
#[case::raise_in_order((0, 10, Some(1.0)), (20, 30, Some(2.0)), Some(2.0))]
#[case::raise_overtaken((0, 10, Some(1.0)), (5, 20, Some(2.0)), Some(1.0))]
#[case::lowered_at_once((0, 10, Some(2.0)), (5, 20, Some(1.0)), Some(1.0))]
#[case::limit_overtakes_nothing((5, 20, None), (0, 30, Some(1.0)), Some(1.0))]
fn later_statement_counts(
    #[case] first: (u64, u64, Option<f64>),
    #[case] second: (u64, u64, Option<f64>),
    #[case] rate: Option<f64>,
) {
    let mut limit = StatedLimit::default();
    for (sent, arrived, stated) in [first, second] {
        limit.apply(at(arrived), at(sent), stated);
    }
    assert_eq!(limit.rate(), rate);
}

/// A confirmed limit can only be ended by a request sent after the confirmation.
#[test]
fn end_sent_before_a_confirmation_is_overtaken() {
    let mut limit = StatedLimit::default();
    limit.apply(at(10), at(0), Some(1.0));
    assert_eq!(limit.apply(at(40), at(12), Some(1.0)), Heard::Confirmed);
    assert_eq!(limit.apply(at(50), at(30), None), Heard::Overtaken);
    assert_eq!(limit.apply(at(60), at(41), None), Heard::Changed);
}
