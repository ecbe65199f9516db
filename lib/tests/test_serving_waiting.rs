//! Requests that wait for a replica.

use banyangauge::pool::Span;
use banyangauge::serving::WaitParts;
use banyangauge::serving::WaitReason;
use proptest::prelude::*;

proptest! {
    /// Rounding each part on its own loses up to a millisecond per reason, so that the parts on
    /// a log line do not add up to its `waited_ms`.
    #[test]
    fn parts_sum_to_total(waits in prop::collection::vec((0usize..7, 0u64..2_000_000), 0..40)) {
        let mut parts = WaitParts::default();
        for (reason, us) in waits {
            parts.add(WaitReason::ALL[reason], Span(us));
        }
        let sum: u64 = parts.millis().map(|(_, ms)| ms).sum();
        prop_assert_eq!(sum, parts.total().as_millis());
        for (reason, ms) in parts.millis() {
            let mut alone = WaitParts::default();
            alone.add(reason, Span(ms * 1_000));
            prop_assert!(ms == 0 || alone.longest() == Some(reason));
        }
    }
}
