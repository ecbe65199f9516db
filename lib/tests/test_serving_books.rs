//! Which order a replica gets next: loads on demand, evictions, new versions.

use banyangauge::ids::ModelName;
use banyangauge::ids::ReplicaName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::AdapterPlanner;
use banyangauge::serving::AnnouncedVersion;
use banyangauge::serving::FetchLimiter;
use banyangauge::serving::LoadDuration;
use banyangauge::serving::OrderOutcome;
use banyangauge::serving::ReplicaAction;
use banyangauge::serving::ReplicaInfo;
use banyangauge::serving::ReplicaReport;
use banyangauge::serving::Target;
use banyangauge::serving::Versions;
use rstest::rstest;

use super::test_serving_place::listing;

fn ms(ms: u64) -> Moment {
    Moment(10_000_000).after(Span::from_millis(ms))
}

fn target(text: &str) -> Target {
    Target::parse(text).unwrap()
}

fn took(ms: u64) -> LoadDuration {
    LoadDuration {
        min: Span::from_millis(ms),
        max: Span::from_millis(ms),
    }
}

struct Desk {
    books: AdapterPlanner,
    versions: Versions,
    name: ReplicaName,
    model: ModelName,
}

impl Desk {
    /// The owner of one replica with two slots, which reports `held`.
    fn new(held: &[&str], accepted: u64) -> Self {
        let listing: ReplicaInfo = listing("i-1", "llm", "z-a", held);
        let mut books = AdapterPlanner::default();
        books.track(ms(0), &listing, 2);
        let mut desk = Self {
            books,
            versions: Versions::default(),
            name: listing.name,
            model: ModelName::new("base").unwrap(),
        };
        assert_eq!(desk.next(0), Some(ReplicaAction::Inspect));
        let here = held.iter().map(|t| (target(t), 1)).collect();
        let report = ReplicaReport {
            accepted,
            loaded: here,
            weights_cached: true,
            ..ReplicaReport::default()
        };
        desk.books
            .finish_inspection(ms(0), &desk.name, Some(report));
        desk
    }

    fn next(&mut self, at: u64) -> Option<ReplicaAction> {
        let model = Some(&self.model);
        self.books
            .next_action(ms(at), &self.name, &self.versions, model)
    }

    fn wish(&mut self, at: u64, adapter: &str) {
        self.books
            .request_load(ms(at), &self.name, &target(adapter));
    }

    fn end(&mut self, at: u64, step: &ReplicaAction, end: OrderOutcome) {
        self.books.finish_order(ms(at), &self.name, step, end);
    }

    /// Loads an adapter that is wished for.
    fn load(&mut self, at: u64, adapter: &str) {
        self.wish(at, adapter);
        let step = self.next(at).unwrap();
        self.end(at, &step, OrderOutcome::Accepted);
        self.end(at + 250, &step, OrderOutcome::InEffect);
    }
}

fn load(text: &str, expected: u64) -> Option<ReplicaAction> {
    Some(ReplicaAction::Load {
        target: target(text),
        version: None,
        expected,
    })
}

fn unload(text: &str, expected: u64) -> Option<ReplicaAction> {
    Some(ReplicaAction::Unload {
        target: target(text),
        expected,
    })
}

#[test]
fn wish_for_a_free_slot_loads() {
    let mut desk = Desk::new(&["base"], 3);
    desk.wish(0, "base/a1");
    assert_eq!(desk.next(0), load("base/a1", 3));
}

/// One order at a time: the count that the next one expects depends on it.
#[test]
fn order_under_way_lets_the_next_wait() {
    let mut desk = Desk::new(&["base"], 3);
    desk.wish(0, "base/a1");
    desk.wish(0, "base/a2");
    let first = desk.next(0).unwrap();
    assert_eq!(desk.next(1), None);
    desk.end(2, &first, OrderOutcome::Accepted);
    assert_eq!(desk.next(2), load("base/a2", 4));
}

/// Full slots under many wishes: the least wanted gives way, never one in use
/// or one that has just come.
#[test]
fn wish_for_a_full_replica_unloads_the_least_wanted() {
    let mut desk = Desk::new(&["base", "base/a1", "base/a2"], 0);
    let vm = "vm-2".parse().unwrap();
    let name = desk.name.clone();
    desk.books
        .record_use(ms(0), &name, &vm, &target("base/a1"), 0, 5);
    desk.books
        .record_use(ms(0), &name, &vm, &target("base/a2"), 0, 1);
    desk.wish(500, "base/a3");
    assert_eq!(desk.next(500), None, "both were used just now");
    desk.wish(1_000, "base/a3");
    assert_eq!(desk.next(1_000), unload("base/a2", 0));
}

#[test]
fn adapter_in_use_does_not_give_way() {
    let mut desk = Desk::new(&["base", "base/a1", "base/a2"], 0);
    let vm = "vm-2".parse().unwrap();
    let name = desk.name.clone();
    for adapter in ["base/a1", "base/a2"] {
        desk.books
            .record_use(ms(0), &name, &vm, &target(adapter), 0, 1);
        desk.books
            .record_use(ms(1_500), &name, &vm, &target(adapter), 1, 0);
    }
    desk.wish(2_500, "base/a3");
    assert_eq!(desk.next(2_500), None);
}

/// An unload that drops its adapter at once is an accepted order.
#[test]
fn unload_at_once_counts_as_an_order() {
    let mut desk = Desk::new(&["base", "base/a1", "base/a2"], 7);
    desk.wish(1_000, "base/a3");
    let step = desk.next(1_000).unwrap();
    assert_eq!(Some(step.clone()), unload("base/a1", 7));
    desk.end(1_001, &step, OrderOutcome::InEffect);
    assert_eq!(desk.next(1_001), load("base/a3", 8));
}

#[test]
fn unload_that_waited_counts_once() {
    let mut desk = Desk::new(&["base", "base/a1", "base/a2"], 7);
    desk.wish(1_000, "base/a3");
    let step = desk.next(1_000).unwrap();
    desk.end(1_001, &step, OrderOutcome::Accepted);
    desk.wish(1_400, "base/a3");
    let again = desk.next(1_400).unwrap();
    assert_eq!(Some(again.clone()), unload("base/a1", 8));
    desk.end(1_400, &again, OrderOutcome::InEffect);
    assert_eq!(desk.next(1_400), load("base/a3", 8));
}

/// An unload that waits for its runs: the replica refuses any other order.
#[test]
fn unload_that_waits_holds_up_the_others() {
    let mut desk = Desk::new(&["base", "base/a1", "base/a2"], 7);
    desk.wish(1_000, "base/a3");
    let step = desk.next(1_000).unwrap();
    desk.end(1_001, &step, OrderOutcome::Accepted);
    desk.wish(1_100, "base/a4");
    assert_eq!(desk.next(1_100), None);
}

/// A new owner does not know yet what the other VMs have under way there.
#[test]
fn new_owner_evicts_nothing_at_first() {
    let mut desk = Desk::new(&["base", "base/a1", "base/a2"], 7);
    desk.wish(0, "base/a3");
    assert_eq!(desk.next(0), None);
    desk.wish(900, "base/a3");
    assert_eq!(desk.next(900), unload("base/a1", 7));
}

/// After a restart replicas are listed before the configuration is read.
#[test]
fn configuration_that_comes_late_opens_the_slots() {
    let listing = listing("i-1", "llm", "z-a", &["base"]);
    let mut books = AdapterPlanner::default();
    books.track(ms(0), &listing, 0);
    let mut desk = Desk::new(&["base"], 0);
    books.track(ms(10), &listing, 2);
    desk.books = books;
    assert_eq!(desk.next(10), Some(ReplicaAction::Inspect));
    let report = ReplicaReport {
        loaded: [(target("base"), 0)].into(),
        ..ReplicaReport::default()
    };
    desk.books
        .finish_inspection(ms(11), &desk.name, Some(report));
    desk.wish(20, "base/a1");
    assert_eq!(desk.next(20), load("base/a1", 0));
}

/// Asking whether a load has come is answered like an order, but is none.
#[test]
fn question_about_a_load_counts_no_order() {
    let mut desk = Desk::new(&["base"], 3);
    desk.wish(0, "base/a1");
    let step = desk.next(0).unwrap();
    desk.end(0, &step, OrderOutcome::Accepted);
    let again = desk.next(300).unwrap();
    assert_eq!(Some(again.clone()), load("base/a1", 4));
    desk.end(300, &again, OrderOutcome::Accepted);
    assert_eq!(desk.next(400), load("base/a1", 4));
}

/// Beyond what the weight store serves at full speed, more fetches at a time
/// only end later.
#[test]
fn fetches_wait_for_the_weight_store() {
    let mut desk = Desk::new(&["base"], 0);
    desk.books.set_fetches(8, 0);
    desk.wish(0, "base/a1");
    assert_eq!(desk.next(0), None);
    desk.books.set_fetches(7, 0);
    assert_eq!(desk.next(1), load("base/a1", 0));
}

/// What a replica had lately is in its own memory and costs no fetch.
#[test]
fn adapter_had_lately_loads_in_spite_of_fetches() {
    let mut desk = Desk::new(&["base"], 0);
    desk.load(0, "base/a1");
    desk.load(300, "base/a2");
    desk.wish(2_000, "base/a3");
    let step = desk.next(2_000).unwrap();
    assert_eq!(Some(step.clone()), unload("base/a1", 2));
    desk.end(2_000, &step, OrderOutcome::InEffect);
    desk.books.set_fetches(20, 0);
    desk.wish(2_010, "base/a1");
    assert_eq!(desk.next(2_010), load("base/a1", 3));
}

#[test]
fn pace_learns_what_the_store_serves() {
    let mut pace = FetchLimiter::default();
    for _ in 0..60 {
        // Twenty at a time, of which five are served at full speed.
        pace.observe(took(1_000), 20);
        pace.observe(took(250), 3);
    }
    assert!((4..=8).contains(&pace.capacity()), "{}", pace.capacity());
    for n in 1..60 {
        pace.observe(took(250), n);
    }
    assert!(pace.capacity() > 20, "{}", pace.capacity());
}

/// A store that serves 24 at a time, known for one of eight: after the loads of
/// a second and a half it is used in full, and one that serves eight is not
/// overrun.
#[rstest]
#[case::wide(24.0, 22)]
#[case::narrow(8.0, 6)]
fn pace_finds_the_width_at_the_start(#[case] width: f64, #[case] least: usize) {
    let mut pace = FetchLimiter::default();
    let mut most = 0;
    for _ in 0..24 {
        let n = pace.capacity();
        most = most.max(n);
        let slowed = (n as f64 / width).max(1.0);
        pace.observe(took((250.0 * slowed) as u64), n);
    }
    assert!(pace.capacity() >= least, "{}", pace.capacity());
    assert!(most as f64 <= width * 1.5, "{most}");
}

/// A load whose end was seen late may have been fast: it tells nothing.
#[test]
fn pace_learns_nothing_from_what_was_seen_late() {
    let mut pace = FetchLimiter::default();
    for _ in 0..20 {
        pace.observe(took(250), 12);
    }
    let capacity = pace.capacity();
    for _ in 0..20 {
        let late = LoadDuration {
            min: Span::from_millis(240),
            max: Span::from_millis(1_200),
        };
        pace.observe(late, 12);
    }
    assert_eq!(pace.capacity(), capacity);
}

#[test]
fn adapter_that_has_just_come_stays() {
    let mut desk = Desk::new(&["base"], 0);
    desk.load(0, "base/a1");
    desk.load(300, "base/a2");
    desk.wish(600, "base/a3");
    assert_eq!(desk.next(600), None);
}

/// An order without an answer may be carried out later. What follows expects
/// the same count of orders, so that the replica carries out one of them at
/// most; a replica that answers none is looked at first.
#[test]
fn order_without_answer_is_given_again() {
    let mut desk = Desk::new(&["base"], 3);
    desk.wish(0, "base/a1");
    for i in 0..5 {
        let step = desk.next(80 * i).unwrap();
        assert_eq!(Some(step.clone()), load("base/a1", 3));
        desk.end(80 * i + 80, &step, OrderOutcome::Unknown);
    }
    desk.wish(400, "base/a1");
    assert_eq!(desk.next(400), None);
    assert_eq!(desk.next(700), Some(ReplicaAction::Inspect));
}

/// It was carried out after all: the count tells, and the replica is looked at.
#[test]
fn order_that_was_carried_out_unseen_is_looked_after() {
    let mut desk = Desk::new(&["base"], 3);
    desk.wish(0, "base/a1");
    let step = desk.next(0).unwrap();
    desk.end(80, &step, OrderOutcome::Unknown);
    let step = desk.next(80).unwrap();
    desk.end(85, &step, OrderOutcome::Conflict);
    assert_eq!(desk.next(90), None);
    assert_eq!(desk.next(400), Some(ReplicaAction::Inspect));
}

/// Loads in ten seconds at a replica that leaves one in so many orders
/// unanswered, and carries out none of these.
fn loads_with_unanswered(one_in: u64) -> u32 {
    let mut desk = Desk::new(&["base", "base/a1", "base/a2"], 0);
    let (mut now, mut loads, mut orders) = (2_000, 0, 0);
    let mut ready: Option<u64> = None;
    while now < 12_000 {
        desk.wish(now, &format!("base/b{loads}"));
        let Some(step) = desk.next(now) else {
            now += 10;
            continue;
        };
        assert!(step != ReplicaAction::Inspect, "at {now}");
        orders += 1;
        if orders % one_in == 0 {
            now += 80;
            desk.end(now, &step, OrderOutcome::Unknown);
            continue;
        }
        now += 4;
        let done = match (&step, ready) {
            (ReplicaAction::Load { .. }, None) => {
                ready = Some(now + 250);
                false
            }
            (ReplicaAction::Load { .. }, Some(at)) => at <= now,
            _ => true,
        };
        let end = if done {
            OrderOutcome::InEffect
        } else {
            OrderOutcome::Accepted
        };
        if done && matches!(step, ReplicaAction::Load { .. }) {
            ready = None;
            loads += 1;
        }
        desk.end(now, &step, end);
    }
    loads
}

/// Two thirds of the orders are answered: most of these loads come all the same.
#[test]
fn loads_go_on_while_orders_are_left_unanswered() {
    let all = loads_with_unanswered(1_000_000);
    let some = loads_with_unanswered(3);
    assert!(some * 10 >= all * 6, "{some} in place of {all}");
}

/// A restarted replica holds nothing: its model goes before any adapter.
#[test]
fn empty_replica_loads_its_model_first() {
    let mut desk = Desk::new(&[], 0);
    desk.wish(0, "base/a1");
    let step = desk.next(0);
    assert_eq!(step, load("base", 0));
    desk.end(0, &step.unwrap(), OrderOutcome::Accepted);
    desk.wish(100, "base/a1");
    assert_eq!(desk.next(100), None);
    desk.end(900, &load("base", 1).unwrap(), OrderOutcome::InEffect);
    desk.wish(900, "base/a1");
    assert_eq!(desk.next(900), load("base/a1", 1));
}

#[test]
fn new_version_replaces_the_old_one() {
    let mut desk = Desk::new(&["base", "base/a1"], 0);
    let news = AnnouncedVersion {
        target: target("base/a1"),
        version: 2,
    };
    assert!(desk.versions.announce(ms(0), &news));
    let step = desk.next(0).unwrap();
    let ReplicaAction::Load {
        target: t, version, ..
    } = &step
    else {
        panic!("{step:?}");
    };
    assert_eq!((t.to_string().as_str(), *version), ("base/a1", Some(2)));
    desk.end(0, &step, OrderOutcome::Accepted);
    desk.end(250, &step, OrderOutcome::InEffect);
    assert_eq!(desk.next(251), None);
    let held = desk.books.residency(&desk.name).unwrap();
    assert_eq!(held.loaded.get(&target("base/a1")), Some(&2));
}

/// In a large fleet the beacons are further apart, and a use is known later: an
/// adapter that others may be using must not be taken from them meanwhile.
#[test]
fn adapter_in_use_stays_until_news_would_have_come() {
    let mut desk = Desk::new(&["base", "base/a1", "base/a2"], 0);
    desk.books.set_report_delay(Span::from_millis(2_500));
    let vm = "vm-2".parse().unwrap();
    let name = desk.name.clone();
    for adapter in ["base/a1", "base/a2"] {
        let used = target(adapter);
        desk.books.record_use(ms(1_000), &name, &vm, &used, 0, 1);
    }
    desk.wish(2_900, "base/a3");
    assert_eq!(desk.next(2_900), None);
    desk.wish(3_600, "base/a3");
    assert_eq!(desk.next(3_600), unload("base/a1", 0));
}

/// A large fleet that starts empty asks for hundreds of adapters at once: the
/// store that fits it is used from the first moment.
#[rstest]
#[case::small_fleet(9, 9)]
#[case::large_fleet(140, 140)]
fn pace_expects_a_store_that_fits(#[case] engines: usize, #[case] fetches: usize) {
    let mut desk = Desk::new(&["base"], 0);
    desk.wish(0, "base/a1");
    desk.books.set_fetches(fetches, engines);
    assert_eq!(desk.next(0), None);
    desk.books.set_fetches(fetches - 1, engines);
    assert_eq!(desk.next(0), load("base/a1", 0));
}

/// What fetches have shown goes before what the fleet's size lets expect.
#[test]
fn pace_that_has_learned_expects_nothing() {
    let mut pace = FetchLimiter::default();
    pace.set_engine_count(140);
    pace.observe(took(250), 4);
    for _ in 0..40 {
        pace.observe(took(2_500), 80);
    }
    pace.set_engine_count(140);
    assert!(pace.capacity() < 20, "{}", pace.capacity());
}
