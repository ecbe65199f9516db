//! Who asks the store, and that all know what changed within the bound.

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

/// Within how long a change is to be known, in milliseconds.
const BOUND: u64 = 4_000;

/// The pause between two beacons of a VM.
const BEAT: u64 = 400;

fn rhythm() -> PollPolicy {
    PollPolicy {
        max_staleness: Span::from_millis(BOUND),
        max_solo_wait: Duration::from_millis(4_500),
        solo_pause: Duration::from_millis(250),
        shared_pause: Duration::from_millis(150),
        has_removals: true,
    }
}

fn at(ms: u64) -> Moment {
    Moment(100_000_000).after(Span::from_millis(ms))
}

fn item(name: &str, revision: u64) -> Item {
    Item {
        revision,
        ..Item::empty(name)
    }
}

fn told(name: &str, revision: u64) -> TopicChange {
    TopicChange::new(item(name, revision), false, false)
}

/// A feed that listed everything at the start.
fn listed(ms: u64, revision: u64, names: &[&str]) -> Feed {
    let mut feed = Feed::new(rhythm());
    let items: Vec<_> = names.iter().map(|n| item(n, revision)).collect();
    feed.apply_list(at(ms), at(ms), revision, &items);
    feed
}

/// The store's changes: when, which revision.
#[derive(Default)]
struct Log(Vec<(u64, u64)>);

impl Log {
    fn revision(&self, ms: u64) -> u64 {
        let past = self.0.iter().filter(|(when, _)| *when <= ms);
        past.map(|(_, revision)| *revision).max().unwrap_or(1)
    }
}

struct Vm {
    feed: Feed,
    /// A question under way: when it was asked, how long it waits.
    asked: Option<(u64, u64)>,
    quiet_until: u64,
    frozen: bool,
}

/// Hundreds of VMs that hear each other's beacons, and a store.
struct World {
    vms: Vec<Vm>,
    log: Log,
    down: bool,
    calls: usize,
}

impl World {
    fn new(count: usize) -> Self {
        let vm = |_| Vm {
            feed: listed(0, 1, &[]),
            asked: None,
            quiet_until: 0,
            frozen: false,
        };
        Self {
            vms: (0..count).map(vm).collect(),
            log: Log::default(),
            down: false,
            calls: 0,
        }
    }

    /// Lets time pass, ten milliseconds a step; `shared` says whether VMs tell
    /// each other.
    fn run(&mut self, from: u64, to: u64, shared: bool) {
        for ms in (from..to).step_by(10) {
            self.ask(ms, shared);
            if shared && ms % BEAT == 0 {
                self.tell(ms);
            }
        }
    }

    fn ask(&mut self, ms: u64, shared: bool) {
        let live: Vec<_> = (0..self.vms.len())
            .filter(|n| !self.vms[*n].frozen)
            .collect();
        for (rank, n) in live.into_iter().enumerate() {
            let rank = shared.then_some(rank as u64);
            let revision = self.log.revision(ms);
            let vm = &mut self.vms[n];
            let Some((asked, wait)) = vm.asked else {
                if vm.quiet_until > ms {
                    continue;
                }
                if let FeedAction::Watch(wait) = vm.feed.next_action(at(ms), rank) {
                    vm.asked = Some((ms, wait.as_millis() as u64));
                    self.calls += 1;
                }
                continue;
            };
            if self.down {
                vm.asked = None;
                vm.feed.record_failure(at(ms), rank);
                continue;
            }
            let known = vm.feed.revision();
            if revision <= known && ms < asked + wait {
                continue;
            }
            vm.asked = None;
            let new: Vec<_> = ((known + 1)..=revision)
                .map(|r| (item(&format!("o{r}"), r), false))
                .collect();
            let some = !new.is_empty();
            let waited = Duration::from_millis(wait);
            for change in vm
                .feed
                .apply_changes(at(ms), at(asked), waited, revision, new)
            {
                vm.feed.share(at(ms), change);
            }
            if some {
                vm.quiet_until = ms + vm.feed.pause(rank).as_millis() as u64;
            }
        }
    }

    fn tell(&mut self, ms: u64) {
        let said: Vec<TopicUpdate> = self
            .vms
            .iter_mut()
            .filter(|vm| !vm.frozen)
            .enumerate()
            .filter_map(|(rank, vm)| vm.feed.outgoing_update(at(ms), Some(rank as u64)))
            .collect();
        for vm in self.vms.iter_mut().filter(|vm| !vm.frozen) {
            for s in &said {
                vm.feed.apply_update(at(ms), s.clone());
            }
        }
    }

    fn all_know(&self, revision: u64) -> bool {
        let live = self.vms.iter().filter(|vm| !vm.frozen);
        live.map(|vm| vm.feed.revision()).all(|r| r >= revision)
    }
}

/// A calm minute with ten changes: what hundreds of VMs ask doesn't grow with
/// their number, and each change is known everywhere within its bound.
#[rstest]
#[case::small(9)]
#[case::grown(90)]
#[case::large(300)]
fn calls_by_the_size_of_the_fleet(#[case] count: usize) {
    let mut world = World::new(count);
    for n in 0..10 {
        let when = n * 6_000 + 1_000;
        world.log.0.push((when, n + 2));
        world.run(n * 6_000, when + BOUND, true);
        assert!(world.all_know(n + 2), "change {n} is known in time");
        world.run(when + BOUND, (n + 1) * 6_000, true);
    }
    assert!(world.calls <= 120, "{} calls a minute", world.calls);
}

/// Alone, each VM pays for itself.
#[test]
fn calls_of_each_alone() {
    let mut world = World::new(300);
    world.run(0, 60_000, false);
    assert!(world.calls > 3_000, "{} calls a minute", world.calls);
}

/// The VM that asks for all is lost or frozen right before a change.
#[test]
fn lost_asker_keeps_nothing_from_the_others() {
    let mut world = World::new(200);
    world.run(0, 2_000, true);
    world.vms[0].frozen = true;
    world.log.0.push((2_010, 2));
    world.run(2_000, 2_010 + BOUND, true);
    assert!(world.all_know(2));
    // Those who asked before they heard of the second one's answer.
    assert!(world.calls < 40, "{} calls", world.calls);
}

/// The store is away for all for five seconds: few look for its return, and
/// all hear of it soon.
#[test]
fn outage_costs_few_calls() {
    let mut world = World::new(200);
    world.run(0, 2_000, true);
    world.down = true;
    world.run(2_000, 7_000, true);
    let calls = world.calls;
    assert!(calls < 500, "{calls} calls");
    world.down = false;
    world.log.0.push((7_000, 2));
    world.run(7_000, 9_000, true);
    assert!(world.all_know(2));
}

/// A VM that missed a beacon with a change sees that it did, and asks.
#[test]
fn missed_change_is_asked_for() {
    let mut feed = listed(0, 1, &[]);
    let mut teller = listed(0, 1, &[]);
    for revision in [2, 3] {
        let ms = revision * 1_000;
        let new = vec![(item("a", revision), false)];
        let changes = teller.apply_changes(at(ms), at(ms), Duration::ZERO, revision, new);
        changes.into_iter().for_each(|c| teller.share(at(ms), c));
    }
    let said = teller.outgoing_update(at(4_000), Some(0)).unwrap();
    assert_eq!(said.changes.len(), 1, "the newest of an object is told");
    assert!(feed.apply_update(at(4_000), said).len() == 1);
    // Later the teller has forgotten it.
    let late = teller.outgoing_update(at(5_000), Some(0)).unwrap();
    assert_eq!((late.since, late.changes.len()), (3, 0));
    let mut other = listed(0, 1, &[]);
    assert!(other.apply_update(at(5_000), late).is_empty());
    assert_eq!(other.revision(), 1);
    assert!(other.has_gap());
    assert_eq!(
        other.next_action(at(6_000), Some(9)),
        FeedAction::Watch(Duration::ZERO)
    );
}

/// What does not fit a datagram is not told, and is seen to be missing.
#[test]
fn large_change_is_asked_for() {
    let mut teller = listed(0, 1, &[]);
    // Digits that don't pack well.
    let digits: String = (0..30_000_u64)
        .map(|n| (n * n * 7_919 % 10_007).to_string())
        .collect();
    let text = format!("\"{digits}\"");
    let mut large = told("a", 2);
    large.item.spec = serde_json::value::RawValue::from_string(text).unwrap();
    let new = vec![(large.item.clone(), false)];
    teller.apply_changes(at(0), at(0), Duration::ZERO, 2, new);
    teller.share(at(0), large);
    let said = teller.outgoing_update(at(10), Some(0)).unwrap();
    assert_eq!((said.since, said.changes.len()), (2, 0));
}

/// Old news make no knowledge younger, and never bring back what was.
#[test]
fn old_news_change_nothing() {
    let mut feed = listed(1_000, 5, &[]);
    let said = TopicUpdate {
        revision: 4,
        as_of: at(500),
        since: 1,
        changes: vec![told("a", 4)],
    };
    assert!(feed.apply_update(at(2_000), said).is_empty());
    assert_eq!(feed.revision(), 5);
    assert_eq!(feed.age(at(2_000)), Some(Span::from_millis(1_000)));
}

/// What disappears with an outage may come back; what disappears otherwise is
/// gone.
#[rstest]
#[case::calm(false)]
#[case::after_outage(true)]
fn removal_after_an_outage_is_a_lapse(#[case] outage: bool) {
    let mut feed = listed(0, 1, &["a"]);
    if outage {
        feed.record_failure(at(1_000), Some(0));
    }
    let gone = vec![(item("a", 2), true)];
    let changes = feed.apply_changes(at(2_000), at(2_000), Duration::ZERO, 2, gone);
    assert_eq!(changes[0].lapsed, outage);
    let again = vec![(item("b", 3), true)];
    let changes = feed.apply_changes(at(3_000), at(3_000), Duration::ZERO, 3, again);
    assert!(!changes[0].lapsed);
}

/// The store forgot its history: what changed is found by reading all of it,
/// and told as if it had been followed.
#[test]
fn forgotten_history_is_made_good() {
    let mut feed = listed(0, 1, &["a", "b"]);
    feed.mark_expired();
    assert_eq!(feed.next_action(at(100), Some(9)), FeedAction::List);
    let items = [item("b", 1), item("c", 7)];
    let changes = feed.apply_list(at(200), at(150), 9, &items);
    let seen: Vec<_> = changes
        .iter()
        .map(|c| (c.item.name.as_str(), c.removed))
        .collect();
    assert_eq!(seen, [("c", false), ("a", true)]);
    changes.into_iter().for_each(|c| feed.share(at(200), c));
    let mut other = listed(0, 1, &["a", "b"]);
    let heard = other.apply_update(at(300), feed.outgoing_update(at(300), Some(0)).unwrap());
    assert_eq!(heard.len(), 2);
    assert_eq!(other.revision(), 9);
}

/// Hundreds that missed the same change ask, and don't tell all the others.
#[rstest]
#[case::first(0, true)]
#[case::later(9, false)]
fn only_the_first_tell(#[case] rank: u64, #[case] tells: bool) {
    let mut feed = listed(0, 1, &[]);
    feed.apply_changes(at(10), at(10), Duration::ZERO, 1, Vec::new());
    assert_eq!(feed.outgoing_update(at(20), Some(rank)).is_some(), tells);
}

/// The store may give an object that is gone with the revision of its content,
/// which the others know already: they must hear of its end all the same.
#[test]
fn removal_is_told_to_the_others() {
    let mut teller = listed(0, 1, &["a"]);
    let gone = vec![(item("a", 1), true)];
    for change in teller.apply_changes(at(100), at(90), Duration::ZERO, 5, gone) {
        teller.share(at(100), change);
    }
    let mut other = listed(0, 1, &["a"]);
    let news = other.apply_update(at(200), teller.outgoing_update(at(200), Some(0)).unwrap());
    assert!(news.iter().any(|c| c.removed), "the removal is lost");
}

/// In one answer an object goes and comes again: it is there, also for a VM
/// that heard in between that it is gone.
#[test]
fn object_that_came_again_is_there() {
    let mut feed = listed(0, 1, &["a"]);
    let mut other = listed(0, 1, &["a"]);
    other.apply_changes(
        at(50),
        at(40),
        Duration::ZERO,
        3,
        vec![(item("a", 1), true)],
    );
    let events = vec![(item("a", 1), true), (item("a", 4), false)];
    let changes = feed.apply_changes(at(100), at(90), Duration::ZERO, 5, events);
    let seen: Vec<_> = changes.iter().map(|c| c.removed).collect();
    assert_eq!(seen, [true, false]);
    changes.into_iter().for_each(|c| feed.share(at(100), c));
    let news = other.apply_update(at(200), feed.outgoing_update(at(200), Some(0)).unwrap());
    assert!(news.last().is_some_and(|c| !c.removed), "it is not back");
}
