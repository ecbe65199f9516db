//! What an owner knows of its replicas' adapters, and the next order to each.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::fleet::Held;
use super::fleet::Versions;
use super::model::Listing;
use super::model::Target;
use super::pace::Pace;
use crate::ids::ModelName;
use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Demand;
use crate::pool::Moment;
use crate::pool::Span;

/// Adapters that may be on their way to one replica at a time; the replica
/// takes no more.
const MOST_COMING: usize = 4;

/// Half-life of the demand by which an adapter keeps its place, in
/// microseconds: demand moves on within some ten seconds, and an adapter that
/// comes back soon loads from the replica's own disk.
const DEMAND_HALF: f64 = 8e6;

/// How long after its last use an adapter is not unloaded: two beacons, so
/// that requests of other VMs on their way to it are known.
const USED_KEPT: Span = Span::from_millis(900);

/// How long a wish stands without being renewed.
const WISH_KEPT: Span = Span::from_millis(700);

/// When an adapter that the replica had before is first asked about: it comes
/// from the replica's own memory, ten times as fast.
const NEAR_CHECK: Span = Span::from_millis(25);

/// How long after a check that found it still loading the next one follows.
const CHECK_AGAIN: Span = Span::from_millis(40);

/// Adapters that a replica is expected to keep in its own memory after they
/// were unloaded; they cost the weight store nothing.
const MOST_NEAR: usize = 40;

/// After this long a load that was accepted has failed.
const LOAD_LOST: Span = Span::from_millis(20_000);

/// How often it is asked whether a model has come.
const MODEL_CHECK: Span = Span::from_millis(200);

/// How long an unload that waits for runs is let be before it is asked about.
const UNLOAD_CHECK: Span = Span::from_millis(300);

/// How long an owner waits after an order went wrong before it looks again:
/// a report is some hundred ms old.
const RESYNC_PAUSE: Span = Span::from_millis(250);

/// What to do at a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Read its report.
    Look,
    /// Load an adapter, or replace it by a newer version.
    Load {
        /// Which.
        target: Target,
        /// The version; the newest where none was announced.
        version: Option<u32>,
        /// Orders that the replica is expected to have accepted.
        expected: u64,
    },
    /// Unload an adapter that nothing uses.
    Unload {
        /// Which.
        target: Target,
        /// Orders that the replica is expected to have accepted.
        expected: u64,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderEnd {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already.
    Holds,
    /// Another order is under way, or others came in between.
    Conflict,
    /// The replica has seen a higher fencing token.
    Fenced,
    /// Another replica has the address.
    Gone,
    /// It was not taken.
    Refused,
    /// No answer: it may be carried out later.
    Unknown,
}

impl OrderEnd {
    /// A word for logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Holds => "holds",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Gone => "gone",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// A replica's report of itself; it lags some hundred ms.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Orders that it has accepted.
    pub accepted: u64,
    /// Adapters that it holds.
    pub here: BTreeMap<Target, u32>,
    /// Adapters on their way to it.
    pub coming: BTreeSet<Target>,
    /// Whether it has weights in its own memory or on its disk.
    pub weights_near: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Here,
    /// Being loaded or replaced: since when, and when it is looked at next.
    Coming(Moment, Moment),
    /// Being unloaded once its runs have ended; when it is looked at next.
    Leaving(Moment),
}

#[derive(Debug)]
struct Slot {
    version: u32,
    phase: Phase,
}

#[derive(Debug)]
struct Use {
    demand: Demand,
    running: BTreeMap<VmName, (Moment, u32)>,
}

/// One owned replica.
#[derive(Debug)]
struct Book {
    most: usize,
    /// Orders that it has accepted, if known.
    accepted: Option<u64>,
    /// When it may be looked at next.
    look_from: Moment,
    slots: BTreeMap<Target, Slot>,
    uses: BTreeMap<Target, Use>,
    wishes: BTreeMap<Target, (Moment, Moment)>,
    busy: bool,
    changed: bool,
    /// Adapters that it had lately, the latest last.
    near: VecDeque<Target>,
    /// Whether weights are in the replica's own memory or on its disk, so that
    /// loading them costs the weight store nothing.
    weights_near: bool,
    /// Since when it is ours.
    opened: Moment,
}

/// The books of the replicas that this VM owns.
#[derive(Debug, Default)]
pub struct Books {
    books: BTreeMap<ReplicaName, Book>,
    pace: Pace,
    ceiling: Ceiling,
    /// Fetches under way at all replicas, as far as known.
    under_way: usize,
}

/// How often weights are loaded from the weight store, which all VMs share.
#[derive(Clone, Copy, Debug, Default)]
struct Ceiling {
    pause: Span,
    last: Option<Moment>,
}

impl Ceiling {
    fn allows(&self, now: Moment) -> bool {
        self.last.is_none_or(|at| now.since(at) >= self.pause)
    }
}

impl Books {
    /// Opens a book for a replica that we came to own; what its entry in the
    /// store says is a start, its report decides.
    pub fn open(&mut self, now: Moment, listing: &Listing, most: u32) {
        let book = self.books.entry(listing.name.clone());
        let book = book.or_insert_with(|| {
            let here = listing.adapters.iter();
            let here = here.map(|(t, v)| (t.clone(), Slot::here(*v)));
            let models = listing.models.iter().map(|m| (m.target(), Slot::here(0)));
            let slots = here.chain(models);
            Book {
                most: most as usize,
                accepted: None,
                look_from: now,
                slots: slots.collect(),
                uses: BTreeMap::new(),
                wishes: BTreeMap::new(),
                busy: false,
                changed: true,
                near: VecDeque::new(),
                weights_near: false,
                opened: now,
            }
        });
        // The configuration may come after the replica.
        book.most = most as usize;
    }

    /// Closes the books of replicas that are not ours any more.
    pub fn keep(&mut self, ours: &BTreeSet<ReplicaName>) {
        self.books.retain(|name, _| ours.contains(name));
    }

    /// The replicas with a book.
    pub fn names(&self) -> impl Iterator<Item = &ReplicaName> {
        self.books.keys()
    }

    /// Somebody wants an adapter loaded there; the wish lapses unless renewed.
    pub fn wish(&mut self, now: Moment, name: &ReplicaName, target: &Target) -> bool {
        let Some(book) = self.books.get_mut(name) else {
            return false;
        };
        let wish = book.wishes.entry(target.clone()).or_insert((now, now));
        wish.1 = now;
        true
    }

    /// A VM has begun `begun` runs of an adapter and has `running` under way.
    pub fn used(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        vm: &VmName,
        target: &Target,
        running: u32,
        begun: u32,
    ) {
        let Some(book) = self.books.get_mut(name) else {
            return;
        };
        let entry = book.use_of(target);
        if begun > 0 || running > 0 {
            entry
                .demand
                .count(now, DEMAND_HALF, f64::from(begun) + 0.01);
        }
        entry.running.insert(vm.clone(), (now, running));
    }

    /// What a replica holds, for the other VMs.
    pub fn held(&self, name: &ReplicaName) -> Option<Held> {
        let book = self.books.get(name)?;
        let here = book.slots.iter().filter(|(_, s)| s.phase == Phase::Here);
        let coming = book.slots.iter();
        let coming = coming.filter(|(_, s)| matches!(s.phase, Phase::Coming(..)));
        Some(Held {
            here: here.map(|(t, s)| (t.clone(), s.version)).collect(),
            coming: coming.map(|(t, _)| t.clone()).collect(),
        })
    }

    /// The replicas whose books changed since the last call.
    pub fn take_changed(&mut self) -> Vec<ReplicaName> {
        let changed = self.books.iter_mut().filter(|(_, b)| b.changed);
        let changed = changed.map(|(name, b)| {
            b.changed = false;
            name.clone()
        });
        changed.collect()
    }

    /// Adapters on their way to our replicas.
    pub fn coming(&self) -> usize {
        self.books.values().map(Book::coming).sum()
    }

    /// The next thing to do at a replica, if any; its end is told by
    /// [`Books::ended`] or [`Books::looked`] before the next is asked for.
    ///
    /// Made for many requests for adapters that are nowhere, at full slots.
    /// Wishes are served in the order in which they came, so none starves;
    /// what gives way is the adapter with the least demand that nothing uses,
    /// and an adapter that is wished for never gives way to another wish.
    ///
    /// A replica that restarted holds nothing: `model` is what it loads then.
    pub fn next(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        versions: &Versions,
        model: Option<&ModelName>,
    ) -> Option<Step> {
        let ceiling = self.ceiling;
        let fetch = self.under_way < self.pace.capacity();
        let book = self.books.get_mut(name)?;
        if book.busy {
            return None;
        }
        let step = book.next(now, versions, fetch);
        if let Some(Step::Load { target, .. }) = &step
            && book.is_fetch(target)
        {
            self.under_way += 1;
        }
        let step = match (step, model, book.empty()) {
            (Some(step), ..) => Some(step),
            (None, Some(model), true) if book.weights_near || ceiling.allows(now) => {
                if !book.weights_near {
                    self.ceiling.last = Some(now);
                }
                book.load_model(model)
            }
            _ => None,
        };
        book.busy = step.is_some();
        step
    }

    /// Sets how many fetches are under way at all replicas.
    pub fn set_under_way(&mut self, under_way: usize) {
        self.under_way = under_way;
    }

    /// Sets how often this VM may have weights loaded from the weight store.
    pub fn set_pause(&mut self, pause: Span) {
        self.ceiling.pause = pause;
    }

    /// When [`Books::next`] is worth asking again, at the latest.
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        let books = self.books.values().filter(|b| !b.busy);
        books.filter_map(|b| b.next_wake(now)).min()
    }

    /// A report was read, or could not be.
    pub fn looked(&mut self, now: Moment, name: &ReplicaName, report: Option<Report>) {
        let Some(book) = self.books.get_mut(name) else {
            return;
        };
        book.busy = false;
        let Some(report) = report else {
            book.look_from = now.after(RESYNC_PAUSE);
            return;
        };
        book.accepted = Some(report.accepted);
        book.take_report(now, &report);
    }

    /// An order ended; gives how long an adapter took to load, if one came.
    pub fn ended(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        step: &Step,
        end: OrderEnd,
    ) -> Option<Span> {
        let time = self.pace.expected();
        let book = self.books.get_mut(name)?;
        book.busy = false;
        let fetched =
            matches!(step, Step::Load { target, .. } if book.is_near(target) == Some(false));
        let took = book.ended(now, step, end, time);
        if let Some(took) = took.filter(|_| fetched) {
            self.pace.learn(took, self.under_way);
        }
        took
    }
}

impl Slot {
    fn here(version: u32) -> Self {
        Self {
            version,
            phase: Phase::Here,
        }
    }
}

impl Book {
    fn use_of(&mut self, target: &Target) -> &mut Use {
        let new = || Use {
            demand: Demand::NONE,
            running: BTreeMap::new(),
        };
        self.uses.entry(target.clone()).or_insert_with(new)
    }

    fn coming(&self) -> usize {
        let adapters = self.slots.iter().filter(|(t, _)| t.adapter.is_some());
        let coming = adapters.filter(|(_, s)| matches!(s.phase, Phase::Coming(..)));
        coming.count()
    }

    /// Whether it holds no model, and none is on its way.
    fn empty(&self) -> bool {
        self.accepted.is_some() && self.slots.keys().all(|t| t.adapter.is_some())
    }

    fn load_model(&self, model: &ModelName) -> Option<Step> {
        let expected = self.accepted?;
        Some(Step::Load {
            target: model.target(),
            version: None,
            expected,
        })
    }

    /// Whether adapters of a model can be loaded.
    fn has_model(&self, model: &ModelName) -> bool {
        let slot = self.slots.get(&model.target());
        slot.is_some_and(|s| s.phase == Phase::Here)
    }

    /// Adapters that it holds or waits for.
    fn adapters(&self) -> usize {
        self.slots.keys().filter(|t| t.adapter.is_some()).count()
    }

    /// Whether an adapter's load would be, or is, from the replica's own
    /// memory; `None` for a model.
    fn is_near(&self, target: &Target) -> Option<bool> {
        target.adapter.as_ref()?;
        Some(self.near.contains(target))
    }

    /// Whether a load that is not under way yet takes from the weight store.
    fn is_fetch(&self, target: &Target) -> bool {
        let new = self
            .slots
            .get(target)
            .is_none_or(|s| s.phase == Phase::Here);
        new && self.is_near(target) == Some(false)
    }

    /// It was held there, and stays near for a while after it is unloaded.
    fn note_near(&mut self, target: &Target) {
        self.near.retain(|t| t != target);
        self.near.push_back(target.clone());
        if self.near.len() > MOST_NEAR {
            self.near.pop_front();
        }
    }

    /// The next step; `fetch` says whether the weight store has room.
    fn next(&mut self, now: Moment, versions: &Versions, fetch: bool) -> Option<Step> {
        let Some(expected) = self.accepted else {
            return (now >= self.look_from).then_some(Step::Look);
        };
        self.wishes
            .retain(|_, (_, renewed)| now.since(*renewed) < WISH_KEPT);
        if self.lost(now) {
            self.accepted = None;
            return Some(Step::Look);
        }
        let load = |target: Target| {
            let version = versions.newest(&target);
            Step::Load {
                target,
                version,
                expected,
            }
        };
        if let Some((target, loading)) = self.overdue(now) {
            return Some(match loading {
                true => load(target),
                false => Step::Unload { target, expected },
            });
        }
        // An unload that waits for its runs holds up every other order.
        if self
            .slots
            .values()
            .any(|s| matches!(s.phase, Phase::Leaving(_)))
        {
            return None;
        }
        if let Some(target) = self.outdated(versions) {
            return Some(load(target));
        }
        let target = self.next_wish(versions, fetch)?;
        if self.coming() >= MOST_COMING {
            return None;
        }
        if self.adapters() < self.most {
            return Some(load(target));
        }
        let target = self.victim(now)?;
        Some(Step::Unload { target, expected })
    }

    /// Whether a load was accepted so long ago that it has failed.
    fn lost(&self, now: Moment) -> bool {
        let over =
            |s: &Slot| matches!(s.phase, Phase::Coming(since, _) if now.since(since) > LOAD_LOST);
        self.slots.values().any(over)
    }

    /// What should have happened by now, and whether it is a load.
    fn overdue(&self, now: Moment) -> Option<(Target, bool)> {
        self.slots.iter().find_map(|(t, s)| match s.phase {
            Phase::Coming(_, at) if at <= now => Some((t.clone(), true)),
            Phase::Leaving(at) if at <= now => Some((t.clone(), false)),
            _ => None,
        })
    }

    /// An adapter of which a newer version was announced.
    fn outdated(&self, versions: &Versions) -> Option<Target> {
        let here = self.adapters_here();
        let mut old = here.filter(|(t, s)| versions.newest(t).is_some_and(|v| v > s.version));
        old.next().map(|(t, _)| t.clone())
    }

    fn adapters_here(&self) -> impl Iterator<Item = (&Target, &Slot)> {
        let adapters = self.slots.iter().filter(|(t, _)| t.adapter.is_some());
        adapters.filter(|(_, s)| s.phase == Phase::Here)
    }

    fn next_wish(&mut self, versions: &Versions, fetch: bool) -> Option<Target> {
        let slots = &self.slots;
        let met = |t: &Target| {
            let newest = versions.newest(t).unwrap_or(0);
            let slot = slots.get(t);
            slot.is_some_and(|s| s.phase != Phase::Here || s.version >= newest)
        };
        self.wishes.retain(|t, _| !met(t));
        let possible = |t: &Target| {
            let free = fetch || self.is_near(t) == Some(true);
            free && self.has_model(&t.model)
        };
        let fit = self.wishes.iter().filter(|(t, _)| possible(t));
        let first = fit.min_by_key(|(_, (since, _))| *since);
        first.map(|(t, _)| t.clone())
    }

    /// What gives way: nothing that may be in use, as its unload would wait for
    /// its runs. A new owner learns from the others' beacons what is in use.
    fn victim(&self, now: Moment) -> Option<Target> {
        if now.since(self.opened) < USED_KEPT {
            return None;
        }
        let here = self.adapters_here();
        let idle = here.filter(|(t, _)| !self.wishes.contains_key(*t) && self.idle(now, t));
        let least =
            idle.min_by_key(|(t, _)| self.uses.get(*t).map_or(i64::MIN, |u| u.demand.key(1)));
        least.map(|(t, _)| t.clone())
    }

    fn idle(&self, now: Moment, target: &Target) -> bool {
        let Some(uses) = self.uses.get(target) else {
            return true;
        };
        let running = uses.running.values();
        let mut running =
            running.filter(|(heard, n)| *n > 0 && now.since(*heard) < Span::from_millis(2_000));
        running.next().is_none() && now.since(uses.demand.last) >= USED_KEPT
    }

    fn next_wake(&self, now: Moment) -> Option<Moment> {
        if self.accepted.is_none() {
            return Some(self.look_from);
        }
        let slots = self.slots.values().filter_map(|s| match s.phase {
            Phase::Coming(_, at) | Phase::Leaving(at) => Some(at),
            Phase::Here => None,
        });
        let wished = (!self.wishes.is_empty()).then(|| now.after(CHECK_AGAIN));
        slots.chain(wished).min()
    }

    fn take_report(&mut self, now: Moment, report: &Report) {
        let slots = &mut self.slots;
        slots.retain(|t, s| {
            let told = report.here.contains_key(t) || report.coming.contains(t);
            // What was ordered just now is not in the report yet.
            let new = matches!(s.phase, Phase::Coming(since, _) if now.since(since) < RESYNC_PAUSE);
            told || new
        });
        for (t, version) in &report.here {
            let slot = slots.entry(t.clone()).or_insert(Slot::here(*version));
            if slot.phase == Phase::Here {
                slot.version = *version;
            }
        }
        for t in &report.coming {
            let slot = slots.entry(t.clone()).or_insert(Slot::here(0));
            if slot.phase == Phase::Here {
                slot.phase = Phase::Coming(now, now.after(CHECK_AGAIN));
            }
        }
        self.weights_near = report.weights_near;
        self.changed = true;
    }

    fn ended(&mut self, now: Moment, step: &Step, end: OrderEnd, time: Span) -> Option<Span> {
        match end {
            OrderEnd::Accepted => {
                // A question about an order under way is no new order.
                let under_way = self.is_under_way(step);
                self.accepted = self.accepted.map(|n| n + u64::from(!under_way));
                self.accepted_order(now, step, time);
                None
            }
            OrderEnd::Holds => self.holds(now, step),
            OrderEnd::Conflict | OrderEnd::Unknown | OrderEnd::Refused => {
                self.accepted = None;
                self.look_from = now.after(RESYNC_PAUSE);
                None
            }
            OrderEnd::Fenced | OrderEnd::Gone => {
                self.look_from = now.after(Span(RESYNC_PAUSE.0 * 4));
                self.accepted = None;
                None
            }
        }
    }

    fn is_under_way(&self, step: &Step) -> bool {
        let target = match step {
            Step::Load { target, .. } | Step::Unload { target, .. } => target,
            Step::Look => return false,
        };
        let slot = self.slots.get(target);
        matches!(
            (slot.map(|s| s.phase), step),
            (Some(Phase::Coming(..)), Step::Load { .. })
                | (Some(Phase::Leaving(_)), Step::Unload { .. })
        )
    }

    fn accepted_order(&mut self, now: Moment, step: &Step, time: Span) {
        self.changed = true;
        match step {
            Step::Load { target, .. } => {
                // A model takes seconds, and is worth a question less often.
                let (time, again) = match self.is_near(target) {
                    Some(true) => (NEAR_CHECK, CHECK_AGAIN),
                    Some(false) => (time, CHECK_AGAIN),
                    None => (MODEL_CHECK, MODEL_CHECK),
                };
                let next = now.after(time);
                let slot = self.slots.entry(target.clone()).or_insert(Slot {
                    version: 0,
                    phase: Phase::Coming(now, next),
                });
                slot.phase = match slot.phase {
                    Phase::Coming(since, _) if since != now => {
                        Phase::Coming(since, now.after(again))
                    }
                    _ => Phase::Coming(now, next),
                };
            }
            Step::Unload { target, .. } => {
                if let Some(slot) = self.slots.get_mut(target) {
                    slot.phase = Phase::Leaving(now.after(UNLOAD_CHECK));
                }
            }
            Step::Look => {}
        }
    }

    fn holds(&mut self, now: Moment, step: &Step) -> Option<Span> {
        self.changed = true;
        match step {
            Step::Load {
                target, version, ..
            } => {
                self.wishes.remove(target);
                let slot = self.slots.entry(target.clone()).or_insert(Slot::here(0));
                let took = match slot.phase {
                    Phase::Coming(since, _) => Some(now.since(since)),
                    _ => None,
                };
                slot.phase = Phase::Here;
                slot.version = version.unwrap_or(slot.version);
                self.use_of(target).demand.count(now, DEMAND_HALF, 1.0);
                if target.adapter.is_some() {
                    self.note_near(target);
                }
                took
            }
            Step::Unload { target, .. } => {
                let slot = self.slots.remove(target);
                // Dropped at once, which counts as an order; one that had to
                // wait for its runs was counted when it was accepted.
                if slot.is_some_and(|s| s.phase == Phase::Here) {
                    self.accepted = self.accepted.map(|n| n + 1);
                }
                None
            }
            Step::Look => None,
        }
    }
}
