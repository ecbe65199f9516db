//! Searches for delays and reorderings that break the proof that a
//! configuration is the newest: delayed requests and answers, watches that miss
//! changes for a second, late beacons, VMs that are suspended or restarted, and
//! clocks that differ.
//!
//! No VM may consider its configuration the newest as of a moment at which the
//! store had a newer one. Each guard is removed once, and the search must then
//! find a violation.

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

/// The duration of one search, in milliseconds.
const DURATION: u64 = 30_000;

/// How long watches miss changes before the store drops its history, in
/// milliseconds.
const WATCH_LAG: u64 = 1_000;

/// The guard that is removed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Guard {
    /// No guard is removed.
    None,
    /// A proof counts from the request and not from its answer.
    AsOfRequest,
    /// A proof from another VM counts from our own beacon and not from the age
    /// that the other VM sends.
    OwnBeacon,
    /// The clock counts the time of suspension.
    Suspension,
    /// A watch may miss changes for a while.
    LaggingWatch,
    /// A proof from another VM counts only if this VM knows the same revision.
    SameRevision,
    /// A proof counts only for the incarnation that sent the beacon.
    SameIncarnation,
}

/// A message in transit.
#[derive(Clone, Debug)]
enum Message {
    /// A list on its way to the store.
    List { asked: Moment },
    /// A watch on its way to the store, or waiting there until a moment.
    Watch {
        asked: Moment,
        known: u64,
        wait: u64,
        until: Option<u64>,
    },
    /// An answer of the store: the revision known with it, and how long the
    /// watch waited without a change.
    Answer {
        asked: Moment,
        waited: u64,
        list: bool,
        revision: u64,
    },
    /// A beacon with its sender, the sender's clock and its contents.
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
    /// Its clock minus the time of the search.
    offset: u64,
    frozen: u64,
    /// The suspension that its clock did not count, if that guard is removed.
    uncounted: u64,
    /// 0 before the first answer.
    revision: u64,
    recency: Recency,
    witnesses: WitnessQueue,
    beacons: BTreeMap<usize, (Incarnation, Moment, Moment)>,
}

struct Search {
    rng: ChaCha8Rng,
    guard: Guard,
    vms: Vec<Vm>,
    /// When each revision after the first was created.
    changes: Vec<u64>,
    lag_from: u64,
    /// The time of arrival, the receiving VM (or the one that calls the store),
    /// its incarnation at the time of sending, and the message.
    in_transit: Vec<(u64, usize, u64, Message)>,
}

impl Search {
    fn new(seed: u64, guard: Guard) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vm = |i| Vm {
            name: format!("vm-{i}").parse().unwrap(),
            incarnation: 1,
            offset: rng.random_range(0..60_000) + 10_000,
            frozen: 0,
            uncounted: 0,
            revision: 0,
            recency: Recency::default(),
            witnesses: WitnessQueue::default(),
            beacons: BTreeMap::new(),
        };
        let vms = (0..VMS).map(vm).collect();
        let lag_from = rng.random_range(0..DURATION);
        Self {
            rng,
            guard,
            vms,
            changes: Vec::new(),
            lag_from,
            in_transit: Vec::new(),
        }
    }

    fn clock(&self, vm: usize, at: u64) -> Moment {
        let vm = &self.vms[vm];
        Moment((at + vm.offset - vm.uncounted) * 1_000)
    }

    /// Converts a moment of a VM's clock to the time of the search.
    fn real(&self, vm: usize, at: Moment) -> u64 {
        let vm = &self.vms[vm];
        (at.0 / 1_000 + vm.uncounted).saturating_sub(vm.offset)
    }

    fn is_lagging(&self, at: u64) -> bool {
        (self.lag_from..self.lag_from + WATCH_LAG).contains(&at)
    }

    /// Draws a transit time, occasionally a very long one.
    fn delay(&mut self) -> u64 {
        match self.rng.random_range(0..10) {
            0 => self.rng.random_range(0..4_000),
            _ => self.rng.random_range(1..30),
        }
    }

    fn send(&mut self, at: u64, to: usize, message: Message) {
        let at = at + self.delay();
        let incarnation = self.vms[to].incarnation;
        self.in_transit.push((at, to, incarnation, message));
    }

    /// Runs the search. Returns the first violation.
    fn play(mut self) -> Result<(), String> {
        for at in 0..DURATION {
            self.inject_faults(at);
            for vm in 0..VMS {
                if self.vms[vm].frozen <= at {
                    self.act(at, vm);
                }
            }
            let vms = &self.vms;
            let due = self.in_transit.extract_if(.., |(when, to, _, message)| {
                let at_store = matches!(message, Message::List { .. } | Message::Watch { .. });
                *when <= at && (at_store || vms[*to].frozen <= at)
            });
            let due: Vec<_> = due.collect();
            for (_, to, incarnation, message) in due {
                // A datagram reaches whichever process has the address; a
                // connection belongs to one incarnation.
                let datagram = matches!(message, Message::Beacon { .. });
                if datagram || incarnation == self.vms[to].incarnation {
                    self.take(at, to, message);
                    self.check(at, to)?;
                }
            }
        }
        Ok(())
    }

    fn inject_faults(&mut self, at: u64) {
        let newest = self.changes.len() as u64 + 1;
        // Some changes are made while watches miss them.
        let likely = if self.is_lagging(at) { 400 } else { 4_000 };
        if newest < 30 && self.rng.random_range(0..likely) == 0 {
            self.changes.push(at);
        }
        for vm in &mut self.vms {
            match self.rng.random_range(0..12_000) {
                0 if vm.frozen <= at => {
                    let span = self.rng.random_range(500..6_000);
                    vm.frozen = at + span;
                    if self.guard == Guard::Suspension {
                        vm.uncounted += span;
                    }
                }
                1 => {
                    vm.incarnation += 1;
                    // The address moves to another machine, whose clock is
                    // mostly a little behind: messages to the old one then seem
                    // to come from the future.
                    vm.offset = match self.rng.random_bool(0.2) {
                        true => self.rng.random_range(0..60_000) + 10_000,
                        false => vm.offset.saturating_sub(self.rng.random_range(0..3_000)),
                    };
                    vm.uncounted = 0;
                    vm.revision = 0;
                    vm.recency = Recency::default();
                    vm.beacons.clear();
                }
                _ => {}
            }
        }
    }

    fn act(&mut self, at: u64, vm: usize) {
        if self.rng.random_range(0..900) == 0 {
            let asked = self.clock(vm, at);
            let known = self.vms[vm].revision;
            let request = match known == 0 || self.rng.random_bool(0.3) {
                true => Message::List { asked },
                false => Message::Watch {
                    asked,
                    known,
                    wait: self.rng.random_range(1..800),
                    until: None,
                },
            };
            self.send(at, vm, request);
        }
        if self.rng.random_range(0..400) == 0 {
            let now = self.clock(vm, at);
            let me = &mut self.vms[vm];
            let beacons: Vec<_> = me.beacons.clone().into_iter().collect();
            let names: Vec<VmName> = (0..VMS)
                .map(|i| format!("vm-{i}").parse().unwrap())
                .collect();
            let beacons = beacons
                .iter()
                .map(|(i, (incarnation, sent, at))| (&names[*i], *incarnation, *sent, *at));
            let witnesses = me.witnesses.next_batch(&me.recency, beacons);
            let beacon = Message::Beacon {
                from: vm,
                incarnation: me.incarnation,
                sent: now,
                revision: me.revision,
                age: me.recency.age(now),
                witnesses,
            };
            for to in (0..VMS).filter(|to| *to != vm) {
                if self.rng.random_bool(0.9) {
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
                let old = me.beacons.get(&from);
                if old.is_none_or(|(i, s, _)| (i.0, s.0) < (incarnation, sent.0)) {
                    let beacon = (Incarnation(incarnation), sent, now);
                    me.beacons.insert(from, beacon);
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

    /// A watch waits at the store for changes.
    fn watch(&mut self, at: u64, to: usize, asked: Moment, known: u64, wait: u64, until: u64) {
        let newest = self.changes.len() as u64 + 1;
        let dropped = self.lag_from + WATCH_LAG;
        // The store drops the history with the changes that watches missed, and
        // ends the waiting watches.
        if at == dropped {
            return;
        }
        // Missed changes are reported after the end of this time by the answer
        // that the history has expired, which a list follows.
        let is_visible =
            |(i, c): (usize, &u64)| i as u64 + 1 >= known && (!self.is_lagging(*c) || at > dropped);
        let has_new = self.changes.iter().enumerate().any(is_visible);
        let (waited, revision) = match has_new {
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
                self.in_transit.push((at + 1, to, incarnation, waiting));
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
            Guard::AsOfRequest => now,
            _ => asked,
        };
        match list || guard == Guard::LaggingWatch {
            true => me
                .recency
                .confirm_list(from.after(Span::from_millis(waited))),
            false => me.recency.confirm_watch(from, Span::from_millis(waited)),
        }
    }

    /// Checks that what this VM considers proven is true.
    fn check(&self, at: u64, vm: usize) -> Result<(), String> {
        let now = self.clock(vm, at);
        let me = &self.vms[vm];
        let Some(age) = me.recency.age(now).filter(|_| me.revision > 0) else {
            return Ok(());
        };
        let as_of = self.real(vm, Moment(now.0 - age.0));
        match self.changes.get(me.revision as usize - 1) {
            Some(next) if *next < as_of => Err(format!(
                "vm {vm} at {at}: revision {} as of {as_of}, a newer one existed since {next}",
                me.revision
            )),
            _ => Ok(()),
        }
    }
}

/// The number of seeds of a search; `SEARCH_SEEDS` sets more for manual runs.
fn seeds() -> u64 {
    let asked = std::env::var("SEARCH_SEEDS").ok();
    asked.and_then(|n| n.parse().ok()).unwrap_or(60)
}

fn first_violation(guard: Guard, seeds: u64) -> Option<(u64, String)> {
    (0..seeds).find_map(|seed| Some((seed, Search::new(seed, guard).play().err()?)))
}

#[test]
fn recency_search_finds_no_violation() {
    assert_eq!(first_violation(Guard::None, seeds()), None);
}

#[rstest]
#[case::as_of_the_answer(Guard::AsOfRequest)]
#[case::age_as_sent(Guard::OwnBeacon)]
#[case::clock_without_suspension(Guard::Suspension)]
#[case::watch_without_lag(Guard::LaggingWatch)]
#[case::proof_at_newer_revision(Guard::SameRevision)]
#[case::proof_for_earlier_incarnation(Guard::SameIncarnation)]
fn recency_search_without_guard(#[case] guard: Guard) {
    assert!(
        first_violation(guard, 600).is_some(),
        "no violation without {guard:?}"
    );
}

/// A configuration that cannot be decoded may revoke keys.
#[test]
fn recency_undecoded_configuration_proves_nothing() {
    let now = Moment(5_000_000);
    let mut recency = Recency::default();
    recency.confirm_list(now);
    recency.set_readable(false);
    assert_eq!(recency.age(now), None);
    recency.set_readable(true);
    assert_eq!(recency.age(now), Some(Span(0)));
}
