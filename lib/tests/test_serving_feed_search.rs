//! Searches the interleavings of store answers, lists and updates between VMs.
//!
//! A few VMs follow a few objects. An answer is computed when it is requested
//! or later, and delivered later still. Updates between VMs are lost, delayed
//! and reordered. The store drops its history, answers a first list from an old
//! state, and reports removals with the revision of the last content or of the
//! removal. Changes that carry no new content are not shared. After each step,
//! the state that a VM has of each object must be the actual one at its synced
//! revision or later, and must never go back.

use std::collections::BTreeMap;
use std::time::Duration;

use banyangauge::pool::Moment;
use banyangauge::pool::Span;

use banyangauge::serving::Feed;
use banyangauge::serving::FeedAction;
use banyangauge::serving::Item;
use banyangauge::serving::PollPolicy;
use banyangauge::serving::SkippedRange;
use banyangauge::serving::TopicChange;
use banyangauge::serving::TopicUpdate;
use rstest::rstest;
use serde_json::value::RawValue;

const VMS: usize = 3;
const OBJECTS: [&str; 3] = ["a", "b", "c"];
const STEPS: usize = 400;

/// A pseudo-random sequence determined by a seed.
struct Rng(u64);

impl Rng {
    fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % below
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.next(100) < percent
    }
}

/// An object at one revision: its content, or `None` if it is removed.
type State = Option<u64>;

#[derive(Default)]
struct Store {
    /// Revision, object and its state from then on.
    history: Vec<(u64, &'static str, State)>,
    revision: u64,
    /// Changes up to this revision are dropped.
    history_start: u64,
}

impl Store {
    fn change(&mut self, rng: &mut Rng) {
        let name = OBJECTS[rng.next(3) as usize];
        let state = rng.chance(70).then(|| rng.next(2));
        self.revision += 1 + rng.next(3);
        if state.is_some() || self.at(self.revision, name).is_some() {
            self.history.push((self.revision, name, state));
        }
    }

    fn last(&self, revision: u64, name: &str) -> Option<(u64, State)> {
        let of = self
            .history
            .iter()
            .filter(|(r, n, _)| *n == name && *r <= revision);
        of.max_by_key(|(r, ..)| *r)
            .map(|(r, _, state)| (*r, *state))
    }

    fn at(&self, revision: u64, name: &str) -> State {
        self.last(revision, name).and_then(|(_, state)| state)
    }

    /// Returns the states of an object at a revision and after it.
    fn from(&self, revision: u64, name: &str) -> Vec<State> {
        let later = self
            .history
            .iter()
            .filter(|(r, n, _)| *n == name && *r > revision);
        let later = later.map(|(_, _, state)| *state);
        std::iter::once(self.at(revision, name))
            .chain(later)
            .collect()
    }

    fn list(&self, revision: u64) -> Vec<Item> {
        let present = OBJECTS.iter().filter_map(|name| {
            let (changed, state) = self.last(revision, name)?;
            Some(item(name, changed, state?))
        });
        present.collect()
    }

    fn changes(&self, since: u64, rng: &mut Rng) -> Vec<(Item, bool)> {
        let new = self.history.iter().filter(|(r, ..)| *r > since);
        let changes = new.map(|(r, name, state)| match state {
            Some(content) => (item(name, *r, *content), false),
            None => {
                let old = self.last(*r - 1, name).map_or(*r, |(old, _)| old);
                let revision = if rng.chance(50) { old } else { *r };
                (item(name, revision, 0), true)
            }
        });
        changes.collect()
    }
}

fn item(name: &str, revision: u64, content: u64) -> Item {
    Item {
        name: name.to_owned(),
        revision,
        spec: RawValue::from_string(content.to_string()).unwrap(),
    }
}

enum Answer {
    List(u64, Vec<Item>),
    Changes(u64, Vec<(Item, bool)>),
    Expired,
}

struct Request {
    asked: Moment,
    since: u64,
    list: bool,
    answer: Option<Answer>,
}

struct Vm {
    feed: Feed,
    objects: BTreeMap<String, u64>,
    request: Option<Request>,
}

impl Vm {
    fn new() -> Self {
        let feed = Feed::new(PollPolicy {
            max_staleness: Span::from_millis(3_000),
            max_solo_wait: Duration::from_millis(4_500),
            solo_pause: Duration::from_millis(250),
            shared_pause: Duration::from_millis(150),
            has_removals: true,
        });
        Self {
            feed,
            objects: BTreeMap::new(),
            request: None,
        }
    }

    /// Applies a change. Returns whether it carries something new.
    fn take(&mut self, change: &TopicChange) -> bool {
        let name = change.item.name.clone();
        let old = match change.removed {
            true => return self.objects.remove(&name).is_some() || change.removed,
            false => self.objects.insert(name, content(&change.item)),
        };
        old != Some(content(&change.item))
    }

    fn answer(&mut self, now: Moment, asked: Moment, answer: Answer) {
        let changes = match answer {
            Answer::Expired => {
                self.feed.mark_history_expired();
                return;
            }
            Answer::List(revision, items) => {
                if self.feed.revision() == 0 {
                    for i in &items {
                        self.objects.insert(i.name.clone(), content(i));
                    }
                }
                self.feed.apply_list(now, asked, revision, &items)
            }
            Answer::Changes(revision, changes) => {
                self.feed
                    .apply_changes(now, asked, Duration::ZERO, revision, changes)
            }
        };
        for change in changes {
            if self.take(&change) {
                self.feed.share(now, change);
            }
        }
    }

    fn receive(&mut self, now: Moment, update: TopicUpdate, skipped: Option<SkippedRange>) {
        let changes = match skipped {
            None => self.feed.apply_update(now, update),
            Some(skipped) => self.feed.apply_update_over(now, update, skipped),
        };
        for change in changes {
            self.take(&change);
        }
    }
}

fn content(item: &Item) -> u64 {
    item.spec.get().parse().unwrap()
}

struct World {
    rng: Rng,
    store: Store,
    vms: Vec<Vm>,
    /// Updates in transit between VMs.
    update: Vec<(usize, TopicUpdate, Option<SkippedRange>)>,
    now: Moment,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: Rng(seed),
            store: Store {
                revision: 1,
                ..Store::default()
            },
            vms: (0..VMS).map(|_| Vm::new()).collect(),
            update: Vec::new(),
            now: Moment(100_000_000),
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(Span::from_millis(10 + self.rng.next(200)));
        let n = self.rng.next(VMS as u64) as usize;
        match self.rng.next(10) {
            0 | 1 => self.store.change(&mut self.rng),
            2 | 3 => self.poll(n),
            4 => self.compute_answer(n),
            5 | 6 => self.deliver(n),
            7 => self.send_update(n),
            8 => self.deliver_update(),
            _ if self.rng.chance(5) => self.store.history_start = self.store.revision,
            _ => {}
        }
    }

    fn poll(&mut self, n: usize) {
        let vm = &mut self.vms[n];
        if vm.request.is_some() {
            return;
        }
        vm.request = Some(Request {
            asked: self.now,
            since: vm.feed.revision(),
            list: vm.feed.next_action(self.now, None) == FeedAction::List,
            answer: None,
        });
    }

    /// The store computes the answer to a request.
    fn compute_answer(&mut self, n: usize) {
        let known = self.vms[n].feed.revision();
        let Some(q) = self.vms[n].request.as_mut() else {
            return;
        };
        let newest = self.store.revision;
        // A first list may be stale. Each request gets one answer.
        q.answer.get_or_insert_with(|| match q.list {
            true if known == 0 => {
                let revision = newest - self.rng.next(newest.min(5));
                Answer::List(revision, self.store.list(revision))
            }
            true => Answer::List(newest, self.store.list(newest)),
            false if q.since < self.store.history_start => Answer::Expired,
            false => Answer::Changes(newest, self.store.changes(q.since, &mut self.rng)),
        });
    }

    fn deliver(&mut self, n: usize) {
        if self.vms[n]
            .request
            .as_ref()
            .is_some_and(|q| q.answer.is_none())
            && self.rng.chance(50)
        {
            self.compute_answer(n);
        }
        let vm = &mut self.vms[n];
        if let Some(q) = vm.request.take_if(|q| q.answer.is_some())
            && let Some(answer) = q.answer
        {
            vm.answer(self.now, q.asked, answer);
        }
    }

    fn send_update(&mut self, n: usize) {
        if let Some(update) = self.vms[n].feed.outgoing_update(self.now, Some(0)) {
            let skipped = self.vms[n].feed.skipped();
            let others = (0..VMS).filter(|other| *other != n);
            self.update
                .extend(others.map(|other| (other, update.clone(), skipped)));
        }
    }

    /// Delivers or loses any update in transit.
    fn deliver_update(&mut self) {
        if self.update.is_empty() {
            return;
        }
        let index = self.rng.next(self.update.len() as u64) as usize;
        let (n, update, skipped) = self.update.swap_remove(index);
        if !self.rng.chance(20) {
            self.vms[n].receive(self.now, update, skipped);
        }
    }

    /// Returns a state that was not the actual one at the synced revision or
    /// later.
    fn violation(&self) -> Option<String> {
        self.vms.iter().enumerate().find_map(|(n, vm)| {
            let known = vm.feed.revision();
            OBJECTS.iter().filter(|_| known > 0).find_map(|name| {
                let state = vm.objects.get(*name).copied();
                let allowed = self.store.from(known, name);
                (!allowed.contains(&state)).then(|| {
                    format!("VM {n} knows all up to {known}, has {name} as {state:?}; expected one of {allowed:?}")
                })
            })
        })
    }

    /// Lets all VMs poll again, more than once where they have to list.
    fn settle(&mut self) {
        self.update.clear();
        for n in 0..VMS {
            for _ in 0..4 {
                self.poll(n);
                self.compute_answer(n);
                self.deliver(n);
            }
        }
    }
}

/// Runs the seeds and describes the first failure.
fn search(seeds: std::ops::Range<u64>) -> Option<String> {
    seeds.into_iter().find_map(|seed| {
        let mut world = World::new(seed);
        for step in 0..STEPS {
            world.step();
            if let Some(violation) = world.violation() {
                return Some(format!("seed {seed} step {step}: {violation}"));
            }
        }
        world.settle();
        let last = world.store.revision;
        let behind = world.vms.iter().any(|vm| vm.feed.revision() < last);
        let violation = world.violation();
        violation
            .or(behind.then(|| "behind".to_owned()))
            .map(|violation| format!("seed {seed} at the end: {violation}"))
    })
}

/// Seeds that failed, with the cause: 0: after the history was dropped, a list
/// skipped the removal of an object that another VM knew; 1002 and 2006: of an
/// object that was removed and created again in one answer, only the last
/// change was considered.
#[rstest]
#[case::list_steps_over(0..1)]
#[case::came_again(1_002..1_003)]
#[case::came_again_again(2_006..2_007)]
#[case::others(3_000..3_150)]
fn state_matches_synced_revision(#[case] seeds: std::ops::Range<u64>) {
    assert_eq!(search(seeds), None);
}
