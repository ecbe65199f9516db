//! Switching off mechanisms to measure their effect.

use banyangauge::pool::Span;
use banyangauge::serving::Experiment;
use banyangauge::serving::FetchLimiter;
use banyangauge::serving::LoadDuration;
use banyangauge::serving::Mechanism;
use rstest::rstest;

/// A mechanism is enabled unless it is listed, and listing it switches off no
/// other.
#[rstest]
#[case(Mechanism::CopyWaits, "copy_waits")]
#[case(Mechanism::SecondCopies, "second_copies")]
#[case(Mechanism::Homes, "homes")]
#[case(Mechanism::KeptPrompts, "kept_prompts")]
#[case(Mechanism::NearZone, "near_zone")]
#[case(Mechanism::FailureWeight, "failure_weight")]
#[case(Mechanism::FetchPace, "fetch_pace")]
#[case(Mechanism::FetchWidth, "fetch_width")]
#[case(Mechanism::LoadNews, "load_news")]
#[case(Mechanism::EarlyReports, "early_reports")]
#[case(Mechanism::PromptTurns, "prompt_turns")]
#[case(Mechanism::OrderRepeats, "order_repeats")]
#[case(Mechanism::StoreNews, "store_news")]
#[case(Mechanism::PlaceAsks, "place_asks")]
#[case(Mechanism::ZoneRelays, "zone_relays")]
fn switch_is_off_by_name(#[case] mechanism: Mechanism, #[case] word: &str) {
    assert!(Experiment::default().is_enabled(mechanism));
    let text = format!("[experiment]\noff = [\"{word}\"]");
    let experiment = Experiment::parse(&text).unwrap();
    assert!(!experiment.is_enabled(mechanism));
    assert_eq!(experiment.off.len(), 1);
}

#[rstest]
#[case::unknown("[experiment]\noff = [\"luck\"]")]
#[case::other_table("[experiment]\noff = []\n[more]\n")]
#[case::other_field("[experiment]\non = []")]
fn parse_rejects(#[case] text: &str) {
    assert!(Experiment::parse(text).is_err());
}

#[rstest]
#[case::whole(&[], 1)]
#[case::no_pace(&[Mechanism::FetchPace], usize::MAX)]
#[case::no_width(&[Mechanism::FetchWidth], 8)]
fn fetch_capacity_without(#[case] off: &[Mechanism], #[case] capacity: usize) {
    let mut limiter = FetchLimiter::default();
    limiter.set_experiment(&Experiment {
        off: off.iter().copied().collect(),
    });
    let load_duration = |ms| LoadDuration {
        min: Span::from_millis(ms),
        max: Span::from_millis(ms),
    };
    // The weight store serves one load at a time, so eight loads share its speed.
    limiter.observe(load_duration(2_000), 8);
    assert_eq!(limiter.capacity(), capacity);
}
