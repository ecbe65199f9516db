//! A search over the orders in which answers of the store, lists, and what VMs
//! tell each other can cross.
//!
//! A few VMs follow a few objects. Answers are worked out when they are asked
//! for or later, and come later still; what VMs tell is lost, delayed and
//! reordered; the store forgets its history, gives old first lists, and gives
//! removed objects with the revision of their content or of their end; changes
//! that say nothing new are not told. After each step, what a VM believes of
//! each object must be so at the revision up to which it says it knows all, or
//! later; and no belief goes back.

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

/// A sequence of numbers that follows from a seed.
struct Draw(u64);

impl Draw {
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

/// An object at one revision: its content, or that it is gone.
type State = Option<u64>;

#[derive(Default)]
struct Store {
    /// Revision, object, what it is from then on.
    history: Vec<(u64, &'static str, State)>,
    revision: u64,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
}

impl Store {
    fn change(&mut self, draw: &mut Draw) {
        let name = OBJECTS[draw.next(3) as usize];
        let state = draw.chance(70).then(|| draw.next(2));
        self.revision += 1 + draw.next(3);
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

    /// What an object is at a revision, or after it.
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

    fn changes(&self, since: u64, draw: &mut Draw) -> Vec<(Item, bool)> {
        let new = self.history.iter().filter(|(r, ..)| *r > since);
        let changes = new.map(|(r, name, state)| match state {
            Some(content) => (item(name, *r, *content), false),
            None => {
                let old = self.last(*r - 1, name).map_or(*r, |(old, _)| old);
                let revision = if draw.chance(50) { old } else { *r };
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
    Forgotten,
}

struct Question {
    asked: Moment,
    since: u64,
    list: bool,
    answer: Option<Answer>,
}

struct Vm {
    feed: Feed,
    beliefs: BTreeMap<String, u64>,
    question: Option<Question>,
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
            beliefs: BTreeMap::new(),
            question: None,
        }
    }

    /// Takes a change; gives whether it says something new.
    fn take(&mut self, change: &TopicChange) -> bool {
        let name = change.item.name.clone();
        let old = match change.removed {
            true => return self.beliefs.remove(&name).is_some() || change.removed,
            false => self.beliefs.insert(name, content(&change.item)),
        };
        old != Some(content(&change.item))
    }

    fn answer(&mut self, now: Moment, asked: Moment, answer: Answer) {
        let changes = match answer {
            Answer::Forgotten => {
                self.feed.mark_expired();
                return;
            }
            Answer::List(revision, items) => {
                if self.feed.revision() == 0 {
                    for i in &items {
                        self.beliefs.insert(i.name.clone(), content(i));
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

    fn hear(&mut self, now: Moment, said: TopicUpdate, blind: Option<SkippedRange>) {
        let changes = match blind {
            None => self.feed.apply_update(now, said),
            Some(blind) => self.feed.apply_update_over(now, said, blind),
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
    draw: Draw,
    store: Store,
    vms: Vec<Vm>,
    /// What is under way between VMs.
    said: Vec<(usize, TopicUpdate, Option<SkippedRange>)>,
    now: Moment,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            draw: Draw(seed),
            store: Store {
                revision: 1,
                ..Store::default()
            },
            vms: (0..VMS).map(|_| Vm::new()).collect(),
            said: Vec::new(),
            now: Moment(100_000_000),
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(Span::from_millis(10 + self.draw.next(200)));
        let n = self.draw.next(VMS as u64) as usize;
        match self.draw.next(10) {
            0 | 1 => self.store.change(&mut self.draw),
            2 | 3 => self.ask(n),
            4 => self.work_out(n),
            5 | 6 => self.deliver(n),
            7 => self.tell(n),
            8 => self.pass(),
            _ if self.draw.chance(5) => self.store.forgotten = self.store.revision,
            _ => {}
        }
    }

    fn ask(&mut self, n: usize) {
        let vm = &mut self.vms[n];
        if vm.question.is_some() {
            return;
        }
        vm.question = Some(Question {
            asked: self.now,
            since: vm.feed.revision(),
            list: vm.feed.next_action(self.now, None) == FeedAction::List,
            answer: None,
        });
    }

    /// The store works out the answer of a question.
    fn work_out(&mut self, n: usize) {
        let known = self.vms[n].feed.revision();
        let Some(q) = self.vms[n].question.as_mut() else {
            return;
        };
        let newest = self.store.revision;
        // A first list may be old; a question has its answer once.
        q.answer.get_or_insert_with(|| match q.list {
            true if known == 0 => {
                let revision = newest - self.draw.next(newest.min(5));
                Answer::List(revision, self.store.list(revision))
            }
            true => Answer::List(newest, self.store.list(newest)),
            false if q.since < self.store.forgotten => Answer::Forgotten,
            false => Answer::Changes(newest, self.store.changes(q.since, &mut self.draw)),
        });
    }

    fn deliver(&mut self, n: usize) {
        if self.vms[n]
            .question
            .as_ref()
            .is_some_and(|q| q.answer.is_none())
            && self.draw.chance(50)
        {
            self.work_out(n);
        }
        let vm = &mut self.vms[n];
        if let Some(q) = vm.question.take_if(|q| q.answer.is_some())
            && let Some(answer) = q.answer
        {
            vm.answer(self.now, q.asked, answer);
        }
    }

    fn tell(&mut self, n: usize) {
        if let Some(said) = self.vms[n].feed.outgoing_update(self.now, Some(0)) {
            let blind = self.vms[n].feed.skipped();
            let others = (0..VMS).filter(|other| *other != n);
            self.said
                .extend(others.map(|other| (other, said.clone(), blind)));
        }
    }

    /// Any of what is under way comes, or is lost.
    fn pass(&mut self) {
        if self.said.is_empty() {
            return;
        }
        let index = self.draw.next(self.said.len() as u64) as usize;
        let (n, said, blind) = self.said.swap_remove(index);
        if !self.draw.chance(20) {
            self.vms[n].hear(self.now, said, blind);
        }
    }

    /// A belief that does not hold at the known revision or later.
    fn wrong(&self) -> Option<String> {
        self.vms.iter().enumerate().find_map(|(n, vm)| {
            let known = vm.feed.revision();
            OBJECTS.iter().filter(|_| known > 0).find_map(|name| {
                let belief = vm.beliefs.get(*name).copied();
                let allowed = self.store.from(known, name);
                (!allowed.contains(&belief)).then(|| {
                    format!("VM {n} knows all up to {known}, takes {name} for {belief:?}; it was {allowed:?}")
                })
            })
        })
    }

    /// All VMs ask once more, twice where they have to read all.
    fn settle(&mut self) {
        self.said.clear();
        for n in 0..VMS {
            for _ in 0..4 {
                self.ask(n);
                self.work_out(n);
                self.deliver(n);
            }
        }
    }
}

/// Runs seeds; gives what is wrong in the first that fails.
fn search(seeds: std::ops::Range<u64>) -> Option<String> {
    seeds.into_iter().find_map(|seed| {
        let mut world = World::new(seed);
        for step in 0..STEPS {
            world.step();
            if let Some(wrong) = world.wrong() {
                return Some(format!("seed {seed} step {step}: {wrong}"));
            }
        }
        world.settle();
        let last = world.store.revision;
        let behind = world.vms.iter().any(|vm| vm.feed.revision() < last);
        let wrong = world.wrong();
        wrong
            .or(behind.then(|| "behind".to_owned()))
            .map(|wrong| format!("seed {seed} at the end: {wrong}"))
    })
}

/// Seeds that failed once, each with its cause:
/// 0: a list after a forgotten history stepped over the end of an object that
/// another VM knew of; 1002: of an object that went and came again in one
/// answer only the last change was looked at; 2006: the same.
#[rstest]
#[case::list_steps_over(0..1)]
#[case::came_again(1_002..1_003)]
#[case::came_again_again(2_006..2_007)]
#[case::others(3_000..3_150)]
fn beliefs_hold_at_the_known_revision(#[case] seeds: std::ops::Range<u64>) {
    assert_eq!(search(seeds), None);
}
