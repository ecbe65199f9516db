//! A search over what can delay and reorder the proofs that a configuration is
//! the newest: questions and answers that wait, watches that hear nothing for a
//! second, beacons that are late, VMs that are suspended or started again,
//! clocks that differ.
//!
//! Whatever happens, no VM may hold its configuration for the newest as of a
//! moment at which a newer one was in the store. Each guard is taken out once,
//! and the search must find that.

use std::collections::BTreeMap;

use banyangauge::ids::Incarnation;
use banyangauge::ids::VmName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::Recency;
use banyangauge::serving::Witness;
use banyangauge::serving::WitnessQueue;
use banyangauge::serving::reader_id;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const VMS: usize = 3;

/// One search plays so many milliseconds.
const LENGTH: u64 = 30_000;

/// How long watches hear nothing before the store drops its history.
const DEAF: u64 = 1_000;

/// What is left out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Guard {
    /// Nothing.
    None,
    /// A proof counts from its question, not from its answer.
    AsOfQuestion,
    /// What another VM knows counts from our own beacon, not from the age that
    /// it tells.
    OwnBeacon,
    /// The clock counts suspension.
    Suspension,
    /// A watch may hear nothing for a while.
    DeafWatch,
    /// Another VM's word counts only with all that it knows.
    SameRevision,
    /// It counts for the incarnation alone that sent the beacon.
    SameIncarnation,
}

/// What is under way, with when it comes.
#[derive(Clone, Debug)]
enum Message {
    /// A list is on its way to the store.
    List { asked: Moment },
    /// A question what changed since a revision is on its way to the store, or
    /// waits there until a moment.
    Watch {
        asked: Moment,
        known: u64,
        wait: u64,
        until: Option<u64>,
    },
    /// An answer comes back: the revision that is known then, and how long the
    /// question waited in vain.
    Answer {
        asked: Moment,
        waited: u64,
        list: bool,
        revision: u64,
    },
    /// A beacon: of whom, when it was sent by its clock, what it tells.
    Beacon {
        from: usize,
        incarnation: u64,
        sent: Moment,
        revision: u64,
        age: Option<Span>,
        witnesses: Vec<Witness>,
    },
}

struct Vm {
    name: VmName,
    incarnation: u64,
    /// Its clock less the time of the search.
    offset: u64,
    frozen: u64,
    /// Suspension that its clock did not count, where it does not.
    uncounted: u64,
    /// 0 while it knows none.
    revision: u64,
    recency: Recency,
    witnesses: WitnessQueue,
    heard: BTreeMap<usize, (Incarnation, Moment, Moment)>,
}

struct Search {
    draw: ChaCha8Rng,
    guard: Guard,
    vms: Vec<Vm>,
    /// When each revision after the first came.
    changes: Vec<u64>,
    deaf_from: u64,
    /// When, to which VM (or for which the store is asked), its incarnation as
    /// it was sent, what.
    under_way: Vec<(u64, usize, u64, Message)>,
}

impl Search {
    fn new(seed: u64, guard: Guard) -> Self {
        let mut draw = ChaCha8Rng::seed_from_u64(seed);
        let vm = |i| Vm {
            name: format!("vm-{i}").parse().unwrap(),
            incarnation: 1,
            offset: draw.random_range(0..60_000) + 10_000,
            frozen: 0,
            uncounted: 0,
            revision: 0,
            recency: Recency::default(),
            witnesses: WitnessQueue::default(),
            heard: BTreeMap::new(),
        };
        let vms = (0..VMS).map(vm).collect();
        let deaf_from = draw.random_range(0..LENGTH);
        Self {
            draw,
            guard,
            vms,
            changes: Vec::new(),
            deaf_from,
            under_way: Vec::new(),
        }
    }

    fn clock(&self, vm: usize, at: u64) -> Moment {
        let vm = &self.vms[vm];
        Moment((at + vm.offset - vm.uncounted) * 1_000)
    }

    /// The time of the search at a moment of a VM's clock.
    fn real(&self, vm: usize, at: Moment) -> u64 {
        let vm = &self.vms[vm];
        (at.0 / 1_000 + vm.uncounted).saturating_sub(vm.offset)
    }

    fn is_deaf(&self, at: u64) -> bool {
        (self.deaf_from..self.deaf_from + DEAF).contains(&at)
    }

    /// How long something is on its way; now and then very long.
    fn delay(&mut self) -> u64 {
        match self.draw.random_range(0..10) {
            0 => self.draw.random_range(0..4_000),
            _ => self.draw.random_range(1..30),
        }
    }

    fn send(&mut self, at: u64, to: usize, message: Message) {
        let at = at + self.delay();
        let incarnation = self.vms[to].incarnation;
        self.under_way.push((at, to, incarnation, message));
    }

    /// Plays to the end; gives the first wrong belief.
    fn play(mut self) -> Result<(), String> {
        for at in 0..LENGTH {
            self.disturb(at);
            for vm in 0..VMS {
                if self.vms[vm].frozen <= at {
                    self.act(at, vm);
                }
            }
            let vms = &self.vms;
            let due = self.under_way.extract_if(.., |(when, to, _, message)| {
                let at_store = matches!(message, Message::List { .. } | Message::Watch { .. });
                *when <= at && (at_store || vms[*to].frozen <= at)
            });
            let due: Vec<_> = due.collect();
            for (_, to, incarnation, message) in due {
                // A datagram finds whoever has the address; a connection is one
                // incarnation's.
                let datagram = matches!(message, Message::Beacon { .. });
                if datagram || incarnation == self.vms[to].incarnation {
                    self.take(at, to, message);
                    self.check(at, to)?;
                }
            }
        }
        Ok(())
    }

    fn disturb(&mut self, at: u64) {
        let newest = self.changes.len() as u64 + 1;
        // Some changes fall into the time in which watches hear nothing.
        let likely = if self.is_deaf(at) { 400 } else { 4_000 };
        if newest < 30 && self.draw.random_range(0..likely) == 0 {
            self.changes.push(at);
        }
        for vm in &mut self.vms {
            match self.draw.random_range(0..12_000) {
                0 if vm.frozen <= at => {
                    let span = self.draw.random_range(500..6_000);
                    vm.frozen = at + span;
                    if self.guard == Guard::Suspension {
                        vm.uncounted += span;
                    }
                }
                1 => {
                    vm.incarnation += 1;
                    // Another machine's clock, at its address, mostly a little
                    // behind: what was sent by the old one seems to lie ahead.
                    vm.offset = match self.draw.random_bool(0.2) {
                        true => self.draw.random_range(0..60_000) + 10_000,
                        false => vm.offset.saturating_sub(self.draw.random_range(0..3_000)),
                    };
                    vm.uncounted = 0;
                    vm.revision = 0;
                    vm.recency = Recency::default();
                    vm.heard.clear();
                }
                _ => {}
            }
        }
    }

    fn act(&mut self, at: u64, vm: usize) {
        if self.draw.random_range(0..900) == 0 {
            let asked = self.clock(vm, at);
            let known = self.vms[vm].revision;
            let question = match known == 0 || self.draw.random_bool(0.3) {
                true => Message::List { asked },
                false => Message::Watch {
                    asked,
                    known,
                    wait: self.draw.random_range(1..800),
                    until: None,
                },
            };
            self.send(at, vm, question);
        }
        if self.draw.random_range(0..400) == 0 {
            let now = self.clock(vm, at);
            let me = &mut self.vms[vm];
            let heard: Vec<_> = me.heard.clone().into_iter().collect();
            let names: Vec<VmName> = (0..VMS)
                .map(|i| format!("vm-{i}").parse().unwrap())
                .collect();
            let heard = heard
                .iter()
                .map(|(i, (incarnation, sent, at))| (&names[*i], *incarnation, *sent, *at));
            let witnesses = me.witnesses.next_batch(&me.recency, heard);
            let beacon = Message::Beacon {
                from: vm,
                incarnation: me.incarnation,
                sent: now,
                revision: me.revision,
                age: me.recency.age(now),
                witnesses,
            };
            for to in (0..VMS).filter(|to| *to != vm) {
                if self.draw.random_bool(0.9) {
                    self.send(at, to, beacon.clone());
                }
            }
        }
    }

    fn take(&mut self, at: u64, to: usize, message: Message) {
        match message {
            Message::List { asked } => {
                let answer = Message::Answer {
                    asked,
                    waited: 0,
                    list: true,
                    revision: self.changes.len() as u64 + 1,
                };
                self.send(at, to, answer);
            }
            Message::Watch {
                asked,
                known,
                wait,
                until,
            } => self.watch(at, to, asked, known, wait, until.unwrap_or(at + wait)),
            Message::Answer {
                asked,
                waited,
                list,
                revision,
            } => self.take_answer(at, to, asked, waited, list, revision),
            Message::Beacon {
                from,
                incarnation,
                sent,
                revision,
                age,
                witnesses,
            } => {
                let now = self.clock(to, at);
                let guard = self.guard;
                let me = &mut self.vms[to];
                let old = me.heard.get(&from);
                if old.is_none_or(|(i, s, _)| (i.0, s.0) < (incarnation, sent.0)) {
                    let heard = (Incarnation(incarnation), sent, now);
                    me.heard.insert(from, heard);
                }
                if me.revision == 0 {
                    return;
                }
                if guard != Guard::SameRevision {
                    me.revision = me.revision.max(revision);
                }
                if guard == Guard::OwnBeacon {
                    if let Some(age) = age {
                        me.recency.confirm_list(Moment(now.0 - age.0));
                    }
                    return;
                }
                let own = reader_id(&me.name, Incarnation(me.incarnation));
                let mine = |w: &Witness| {
                    let any = guard == Guard::SameIncarnation;
                    let all = 1..=me.incarnation;
                    let former = |i| reader_id(&me.name, Incarnation(i)) == w.reader;
                    w.sent <= now && (w.reader == own || any && all.clone().any(former))
                };
                for w in witnesses.iter().filter(|w| mine(w)) {
                    me.recency.confirm_witness(now, w.sent, w.after_us);
                }
            }
        }
    }

    /// A question waits at the store for changes.
    fn watch(&mut self, at: u64, to: usize, asked: Moment, known: u64, wait: u64, until: u64) {
        let newest = self.changes.len() as u64 + 1;
        let dropped = self.deaf_from + DEAF;
        // The history that holds what watches did not hear is dropped, and those
        // that wait are cut.
        if at == dropped {
            return;
        }
        // Changes of the deaf time are told once they are over, by the answer
        // that the history is gone, which a list follows.
        let hears =
            |(i, c): (usize, &u64)| i as u64 + 1 >= known && (!self.is_deaf(*c) || at > dropped);
        let heard = self.changes.iter().enumerate().any(hears);
        let (waited, revision) = match heard {
            true => (0, newest),
            false if at >= until => (wait, known),
            false => {
                let waiting = Message::Watch {
                    asked,
                    known,
                    wait,
                    until: Some(until),
                };
                let incarnation = self.vms[to].incarnation;
                self.under_way.push((at + 1, to, incarnation, waiting));
                return;
            }
        };
        let answer = Message::Answer {
            asked,
            waited,
            list: false,
            revision,
        };
        self.send(at, to, answer);
    }

    fn take_answer(
        &mut self,
        at: u64,
        to: usize,
        asked: Moment,
        waited: u64,
        list: bool,
        revision: u64,
    ) {
        let now = self.clock(to, at);
        let guard = self.guard;
        let me = &mut self.vms[to];
        me.revision = me.revision.max(revision);
        let from = match guard {
            Guard::AsOfQuestion => now,
            _ => asked,
        };
        match list || guard == Guard::DeafWatch {
            true => me
                .recency
                .confirm_list(from.after(Span::from_millis(waited))),
            false => me.recency.confirm_watch(from, Span::from_millis(waited)),
        }
    }

    /// What this VM believes must be so.
    fn check(&self, at: u64, vm: usize) -> Result<(), String> {
        let now = self.clock(vm, at);
        let me = &self.vms[vm];
        let Some(age) = me.recency.age(now).filter(|_| me.revision > 0) else {
            return Ok(());
        };
        let as_of = self.real(vm, Moment(now.0 - age.0));
        match self.changes.get(me.revision as usize - 1) {
            Some(next) if *next < as_of => Err(format!(
                "vm {vm} at {at}: revision {} as of {as_of}, a newer one came at {next}",
                me.revision
            )),
            _ => Ok(()),
        }
    }
}

/// Seeds of a search; more by hand, as `SEARCH_SEEDS` says.
fn seeds() -> u64 {
    let asked = std::env::var("SEARCH_SEEDS").ok();
    asked.and_then(|n| n.parse().ok()).unwrap_or(60)
}

fn first_wrong(guard: Guard, seeds: u64) -> Option<(u64, String)> {
    (0..seeds).find_map(|seed| Some((seed, Search::new(seed, guard).play().err()?)))
}

#[test]
fn recency_search_finds_nothing() {
    assert_eq!(first_wrong(Guard::None, seeds()), None);
}

#[rstest]
#[case::as_of_the_answer(Guard::AsOfQuestion)]
#[case::age_as_told(Guard::OwnBeacon)]
#[case::clock_without_suspension(Guard::Suspension)]
#[case::watch_taken_at_its_word(Guard::DeafWatch)]
#[case::word_of_one_who_knows_more(Guard::SameRevision)]
#[case::word_for_an_earlier_incarnation(Guard::SameIncarnation)]
fn recency_search_without_guard(#[case] guard: Guard) {
    assert!(first_wrong(guard, 600).is_some(), "{guard:?} is not missed");
}

/// A configuration that cannot be read may take keys away.
#[test]
fn recency_unread_configuration_proves_nothing() {
    let now = Moment(5_000_000);
    let mut recency = Recency::default();
    recency.confirm_list(now);
    recency.set_readable(false);
    assert_eq!(recency.age(now), None);
    recency.set_readable(true);
    assert_eq!(recency.age(now), Some(Span(0)));
}
