//! Answers of the store that come after newer news from another VM.
//!
//! A VM asks the store; while the answer is under way, another VM's beacon
//! tells of something newer. The late answer was taken as if nothing had
//! happened since it was asked for. Its older change took the place of the newer
//! one among those that are told, with the newer revision: who heard that
//! dropped the change as old and believed that it knew all. A late list removed
//! what it could not hold yet. No log line shows it, as nobody misses anything;
//! the two cases were found by reading, and seen to fail.

use std::time::Duration;

use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::Feed;
use banyangauge::serving::Item;
use banyangauge::serving::PollPolicy;
use banyangauge::serving::TopicChange;
use banyangauge::serving::TopicUpdate;

fn at(ms: u64) -> Moment {
    Moment(100_000_000).after(Span::from_millis(ms))
}

fn item(name: &str, revision: u64) -> Item {
    Item {
        revision,
        ..Item::empty(name)
    }
}

fn listed(removes: bool, revision: u64, names: &[&str]) -> Feed {
    let mut feed = Feed::new(PollPolicy {
        max_staleness: Span::from_millis(4_000),
        max_solo_wait: Duration::from_millis(4_500),
        solo_pause: Duration::from_millis(250),
        shared_pause: Duration::from_millis(150),
        has_removals: removes,
    });
    let items: Vec<_> = names.iter().map(|n| item(n, revision)).collect();
    feed.apply_list(at(0), at(0), revision, &items);
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

/// A question asked at revision 1 is answered late, with the change of revision
/// 2, after another VM told of revision 14 of the same object. What this VM
/// tells next must still hold revision 14: whoever knows 2 and hears of 14
/// without its change believes that it knows all.
#[test]
fn tell_after_a_late_answer_holds_the_newest_change() {
    let mut teller = listed(false, 1, &["config"]);
    teller.apply_update(at(100), said(14, 100, 1, &[("config", 14)]));
    let late = vec![(item("config", 2), false)];
    for change in teller.apply_changes(at(200), at(50), Duration::ZERO, 2, late) {
        teller.share(at(200), change);
    }
    let told = teller
        .outgoing_update(at(210), Some(0))
        .expect("it had an answer");
    assert_eq!(told.revision, 14);

    let mut other = listed(false, 1, &["config"]);
    other.apply_update(at(60), said(2, 60, 1, &[("config", 2)]));
    let news = other.apply_update(at(220), told);
    assert_eq!(other.revision(), 14);
    assert!(
        news.iter().any(|c| c.item.revision == 14),
        "the change is lost"
    );
}

/// A list asked for before an object came is answered after another VM told of
/// it: the object is not gone.
#[test]
fn listed_after_newer_news_removes_nothing() {
    let mut feed = listed(true, 1, &["a"]);
    feed.mark_expired();
    feed.apply_update(at(100), said(5, 100, 1, &[("b", 5)]));
    let changes = feed.apply_list(at(200), at(50), 3, &[item("a", 1)]);
    assert!(changes.iter().all(|c| !c.removed), "b was called removed");
}
