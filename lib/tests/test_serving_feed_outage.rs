//! VMs that the store turns away while it serves the others.

use std::time::Duration;

use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::Feed;
use banyangauge::serving::FeedAction;
use banyangauge::serving::Item;
use banyangauge::serving::PollPolicy;
use banyangauge::serving::TopicChange;
use banyangauge::serving::TopicUpdate;
use rstest::rstest;

/// Within how long a change is to be known.
const BOUND: Span = Span::from_millis(3_000);

/// The longest that a call may take beyond its wait.
const CALL: Span = Span::from_millis(900);

fn at(ms: u64) -> Moment {
    Moment(100_000_000).after(Span::from_millis(ms))
}

fn item(name: &str, revision: u64) -> Item {
    Item {
        revision,
        ..Item::empty(name)
    }
}

fn listed() -> Feed {
    let mut feed = Feed::new(PollPolicy {
        max_staleness: BOUND,
        max_solo_wait: Duration::from_millis(4_500),
        solo_pause: Duration::from_millis(250),
        shared_pause: Duration::from_millis(150),
        has_removals: false,
    });
    feed.apply_list(at(0), at(0), 1, &[item("config", 1)]);
    feed
}

fn said(revision: u64, ms: u64, since: u64, names: &[(&str, u64)]) -> TopicUpdate {
    let told =
        |(name, revision): &(&str, u64)| TopicChange::new(item(name, *revision), false, false);
    TopicUpdate {
        revision,
        as_of: at(ms),
        since,
        changes: names.iter().map(told).collect(),
    }
}

/// When the next question goes out, looked at from a moment on.
fn asks(feed: &Feed, from: Moment, rank: Option<u64>) -> Moment {
    let mut now = from;
    while let FeedAction::Wait(until) = feed.next_action(now, rank) {
        now = until;
    }
    now
}

/// The store turns this VM away for the last time right before it serves it
/// again: with the answer to its next question it must know what changed since,
/// within the bound.
#[rstest]
#[case::alone(None, false)]
#[case::first(Some(0), false)]
#[case::second(Some(1), false)]
#[case::late_in_the_order(Some(67), false)]
#[case::late_with_a_gap(Some(67), true)]
fn turned_away_asks_again_within_its_bound(#[case] rank: Option<u64>, #[case] gap: bool) {
    let mut feed = listed();
    for n in 0..10 {
        let now = at(10_000 + 700 * n);
        feed.record_failure(now, rank);
        if gap {
            feed.apply_update(now, said(14, 10_000 + 700 * n, 9, &[]));
            assert!(feed.has_gap());
        }
        let next = asks(&feed, now, rank);
        let known = next.after(CALL);
        assert!(
            known.since(now) <= BOUND,
            "asks {:?} later",
            next.since(now)
        );
    }
}

/// What a VM missed of an object doesn't matter once it hears of a newer
/// change of it: that is the object as it is now. An older change that the
/// store tells later changes nothing.
#[test]
fn change_behind_a_gap_is_taken() {
    let mut feed = listed();
    let news = feed.apply_update(at(1_000), said(14, 1_000, 9, &[("config", 14)]));
    assert_eq!(news.len(), 1, "the configuration is not taken");
    assert!(feed.has_gap());
    assert_eq!(feed.revision(), 1, "other objects were missed");
    let again = feed.apply_update(at(1_400), said(14, 1_400, 9, &[("config", 14)]));
    assert!(again.is_empty(), "it is no news any more");
    let missed = vec![(item("config", 5), false), (item("other", 6), false)];
    let changes = feed.apply_changes(at(1_500), at(1_450), Duration::ZERO, 7, missed);
    let names: Vec<_> = changes.iter().map(|c| c.item.name.as_str()).collect();
    assert_eq!(names, ["other"]);
}

/// What came behind a gap is told on with what filled it.
#[test]
fn change_behind_a_gap_is_told() {
    let mut feed = listed();
    feed.apply_update(at(1_000), said(14, 1_000, 9, &[("config", 14)]));
    let changes = feed.apply_changes(
        at(1_100),
        at(1_050),
        Duration::ZERO,
        14,
        vec![(item("config", 14), false)],
    );
    assert!(changes.is_empty());
    let mut other = listed();
    let news = other.apply_update(at(1_200), feed.outgoing_update(at(1_200), Some(0)).unwrap());
    assert_eq!(other.revision(), 14);
    assert!(
        news.iter().any(|c| c.item.revision == 14),
        "the change is lost"
    );
}

/// A question of a VM that asks for itself went into a connection that had
/// turned silent: it is given up, and asked again, within the bound.
#[test]
fn silent_question_ends_within_its_bound() {
    let feed = listed();
    let FeedAction::Watch(wait) = feed.next_action(at(100), None) else {
        panic!("it asks");
    };
    let wait = Span(wait.as_micros() as u64);
    assert!(wait.0 + CALL.0 < BOUND.0, "it waits {wait:?}");
}
