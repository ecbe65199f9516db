//! What an owner knows of one replica's adapters, and its next order.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::LoadDuration;
use super::OrderOutcome;
use super::ReplicaAction;
use super::ReplicaReport;
use crate::ids::ModelName;
use crate::ids::VmName;
use crate::pool::Demand;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::fleet::Residency;
use crate::serving::decisions::fleet::Versions;
use crate::serving::path::types::ReplicaInfo;
use crate::serving::path::types::Target;

/// Adapters that may be on their way to one replica at a time; the replica
/// takes no more.
const MOST_COMING: usize = 4;

/// Half-life of the demand by which an adapter keeps its place, in
/// microseconds: demand moves on within some ten seconds, and an adapter that
/// comes back soon loads from the replica's own disk.
const DEMAND_HALF: f64 = 8e6;

/// What a run under way counts beside those that begin: it only tells that the
/// adapter is in use.
const RUNNING_WEIGHT: f64 = 0.01;

/// Within how long uses by other VMs are known here, before it is set for the
/// size of the fleet.
const DEFAULT_NEWS: Span = Span::from_millis(900);

/// How long a VM's word on runs under way stands, in times of the news.
const RUNS_KEPT: u64 = 3;

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

/// Orders in a row without an answer after which an owner looks what the
/// replica holds: it is dark, or the orders were carried out.
const MOST_UNANSWERED: u32 = 4;

/// How long an owner waits after an order went wrong before it looks again:
/// a report is some hundred ms old.
const RESYNC_PAUSE: Span = Span::from_millis(250);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Here,
    /// Being loaded or replaced.
    Coming(Coming),
    /// Being unloaded once its runs have ended; when it is looked at next.
    Leaving(Moment),
}

/// A load under way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Coming {
    since: Moment,
    /// When it was last known not to be there yet.
    missed: Moment,
    /// When it is asked about next.
    check: Moment,
}

impl Coming {
    /// It began now and is asked about after `time`.
    fn new(now: Moment, time: Span) -> Self {
        Self {
            since: now,
            missed: now,
            check: now.after(time),
        }
    }

    /// It is there now.
    fn took(&self, now: Moment) -> LoadDuration {
        LoadDuration {
            min: self.missed.since(self.since),
            max: now.since(self.since),
        }
    }
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
pub(super) struct Book {
    pub(super) most: usize,
    /// The start of the replica that this is about.
    pub(super) born: u64,
    /// The start that its entry in the store told last.
    pub(super) listed: u64,
    /// Orders that it has accepted, if known.
    accepted: Option<u64>,
    /// When it may be looked at next.
    look_from: Moment,
    slots: BTreeMap<Target, Slot>,
    uses: BTreeMap<Target, Use>,
    wishes: BTreeMap<Target, (Moment, Moment)>,
    pub(super) busy: bool,
    pub(super) changed: bool,
    /// Orders in a row that were not answered.
    pub(super) unanswered: u32,
    /// Adapters that it had lately, the latest last.
    near: VecDeque<Target>,
    /// Whether weights are in the replica's own memory or on its disk, so that
    /// loading them costs the weight store nothing.
    pub(super) weights_near: bool,
    /// Since when it is ours.
    opened: Moment,
    /// Within how long uses by other VMs are known here.
    pub(super) news: Span,
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
    pub(super) fn new(now: Moment, listing: &ReplicaInfo) -> Self {
        let here = listing.adapters.iter();
        let here = here.map(|(t, v)| (t.clone(), Slot::here(*v)));
        let models = listing.models.iter().map(|m| (m.target(), Slot::here(0)));
        Self {
            most: 0,
            born: listing.started_ms,
            listed: listing.started_ms,
            accepted: None,
            look_from: now,
            slots: here.chain(models).collect(),
            uses: BTreeMap::new(),
            wishes: BTreeMap::new(),
            busy: false,
            changed: true,
            unanswered: 0,
            near: VecDeque::new(),
            weights_near: false,
            opened: now,
            news: DEFAULT_NEWS,
        }
    }

    pub(super) fn wish(&mut self, now: Moment, target: &Target) {
        let wish = self.wishes.entry(target.clone()).or_insert((now, now));
        wish.1 = now;
    }

    pub(super) fn used(&mut self, now: Moment, vm: &VmName, t: &Target, running: u32, begun: u32) {
        let entry = self.use_of(t);
        if begun > 0 || running > 0 {
            let weight = f64::from(begun) + RUNNING_WEIGHT;
            entry.demand.record(now, DEMAND_HALF, weight);
        }
        entry.running.insert(vm.clone(), (now, running));
    }

    pub(super) fn held(&self) -> Residency {
        let here = self.slots.iter().filter(|(_, s)| s.phase == Phase::Here);
        let coming = self.slots.iter();
        let coming = coming.filter(|(_, s)| matches!(s.phase, Phase::Coming(_)));
        Residency {
            loaded: here.map(|(t, s)| (t.clone(), s.version)).collect(),
            loading: coming.map(|(t, _)| t.clone()).collect(),
        }
    }

    pub(super) fn looked(&mut self, now: Moment, report: Option<ReplicaReport>) {
        let Some(report) = report else {
            self.look_from = now.after(RESYNC_PAUSE);
            return;
        };
        if report.started_ms != self.born {
            self.restarted(now, report.started_ms);
        }
        self.accepted = Some(report.accepted);
        self.take_report(now, &report);
    }

    /// The replica started anew: it holds nothing, and its runs are over.
    fn restarted(&mut self, now: Moment, born: u64) {
        self.born = born;
        self.opened = now;
        self.slots.clear();
        self.near.clear();
        self.weights_near = false;
        self.uses.values_mut().for_each(|u| u.running.clear());
    }

    fn use_of(&mut self, target: &Target) -> &mut Use {
        let new = || Use {
            demand: Demand::NONE,
            running: BTreeMap::new(),
        };
        self.uses.entry(target.clone()).or_insert_with(new)
    }

    pub(super) fn coming(&self) -> usize {
        let adapters = self.slots.iter().filter(|(t, _)| t.adapter.is_some());
        let coming = adapters.filter(|(_, s)| matches!(s.phase, Phase::Coming(_)));
        coming.count()
    }

    /// Whether it holds no model, and none is on its way.
    pub(super) fn empty(&self) -> bool {
        self.accepted.is_some() && self.slots.keys().all(|t| t.adapter.is_some())
    }

    pub(super) fn load_model(&self, model: &ModelName) -> Option<ReplicaAction> {
        let expected = self.accepted?;
        Some(ReplicaAction::Load {
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
    pub(super) fn is_near(&self, target: &Target) -> Option<bool> {
        target.adapter.as_ref()?;
        Some(self.near.contains(target))
    }

    /// Whether a load that is not under way yet takes from the weight store.
    pub(super) fn is_fetch(&self, target: &Target) -> bool {
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
    pub(super) fn next(
        &mut self,
        now: Moment,
        versions: &Versions,
        fetch: bool,
    ) -> Option<ReplicaAction> {
        let Some(expected) = self.accepted else {
            return (now >= self.look_from).then_some(ReplicaAction::Inspect);
        };
        self.wishes
            .retain(|_, (_, renewed)| now.since(*renewed) < WISH_KEPT);
        if self.lost(now) {
            self.accepted = None;
            return Some(ReplicaAction::Inspect);
        }
        let load = |target: Target| {
            let version = versions.newest(&target);
            ReplicaAction::Load {
                target,
                version,
                expected,
            }
        };
        if let Some((target, loading)) = self.overdue(now) {
            return Some(match loading {
                true => load(target),
                false => ReplicaAction::Unload { target, expected },
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
        Some(ReplicaAction::Unload { target, expected })
    }

    /// Whether a load was accepted so long ago that it has failed.
    fn lost(&self, now: Moment) -> bool {
        let over = |s: &Slot| matches!(s.phase, Phase::Coming(c) if now.since(c.since) > LOAD_LOST);
        self.slots.values().any(over)
    }

    /// What should have happened by now, and whether it is a load.
    fn overdue(&self, now: Moment) -> Option<(Target, bool)> {
        self.slots.iter().find_map(|(t, s)| match s.phase {
            Phase::Coming(c) if c.check <= now => Some((t.clone(), true)),
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
        if now.since(self.opened) < self.news {
            return None;
        }
        let here = self.adapters_here();
        let idle = here.filter(|(t, _)| !self.wishes.contains_key(*t) && self.idle(now, t));
        let least = idle.min_by_key(|(t, _)| {
            self.uses
                .get(*t)
                .map_or(i64::MIN, |u| u.demand.order_key(1))
        });
        least.map(|(t, _)| t.clone())
    }

    fn idle(&self, now: Moment, target: &Target) -> bool {
        let Some(uses) = self.uses.get(target) else {
            return true;
        };
        let kept = Span(self.news.0 * RUNS_KEPT);
        let running = uses.running.values();
        let mut running = running.filter(|(heard, n)| *n > 0 && now.since(*heard) < kept);
        running.next().is_none() && now.since(uses.demand.last_request) >= self.news
    }

    pub(super) fn next_wake(&self, now: Moment) -> Option<Moment> {
        if self.accepted.is_none() {
            return Some(self.look_from);
        }
        let slots = self.slots.values().filter_map(|s| match s.phase {
            Phase::Coming(c) => Some(c.check),
            Phase::Leaving(at) => Some(at),
            Phase::Here => None,
        });
        let wished = (!self.wishes.is_empty()).then(|| now.after(CHECK_AGAIN));
        slots.chain(wished).min()
    }

    fn take_report(&mut self, now: Moment, report: &ReplicaReport) {
        let slots = &mut self.slots;
        slots.retain(|t, s| {
            let told = report.loaded.contains_key(t) || report.loading.contains(t);
            // What was ordered just now is not in the report yet.
            let new = matches!(s.phase, Phase::Coming(c) if now.since(c.since) < RESYNC_PAUSE);
            told || new
        });
        for (t, version) in &report.loaded {
            let slot = slots.entry(t.clone()).or_insert(Slot::here(*version));
            if slot.phase == Phase::Here {
                slot.version = *version;
            }
        }
        for t in &report.loading {
            let slot = slots.entry(t.clone()).or_insert(Slot::here(0));
            if slot.phase == Phase::Here {
                slot.phase = Phase::Coming(Coming::new(now, CHECK_AGAIN));
            }
        }
        self.weights_near = report.weights_cached;
        self.changed = true;
    }

    pub(super) fn ended(
        &mut self,
        now: Moment,
        step: &ReplicaAction,
        end: OrderOutcome,
        time: Span,
    ) -> Option<LoadDuration> {
        if end != OrderOutcome::Unknown {
            self.unanswered = 0;
        }
        match end {
            OrderOutcome::Accepted => {
                // A question about an order under way is no new order.
                let under_way = self.is_under_way(step);
                self.accepted = self.accepted.map(|n| n + u64::from(!under_way));
                self.accepted_order(now, step, time);
                None
            }
            OrderOutcome::InEffect => self.holds(now, step),
            // Whether it was carried out or not, or will be: the next order
            // expects the same count, so no more than one of them is.
            OrderOutcome::Unknown if self.unanswered < MOST_UNANSWERED => {
                self.unanswered += 1;
                None
            }
            OrderOutcome::Conflict | OrderOutcome::Unknown | OrderOutcome::Refused => {
                self.accepted = None;
                self.look_from = now.after(RESYNC_PAUSE);
                None
            }
            OrderOutcome::Fenced | OrderOutcome::Gone => {
                self.look_from = now.after(Span(RESYNC_PAUSE.0 * 4));
                self.accepted = None;
                None
            }
        }
    }

    fn is_under_way(&self, step: &ReplicaAction) -> bool {
        let target = match step {
            ReplicaAction::Load { target, .. } | ReplicaAction::Unload { target, .. } => target,
            ReplicaAction::Inspect => return false,
        };
        let slot = self.slots.get(target);
        matches!(
            (slot.map(|s| s.phase), step),
            (Some(Phase::Coming(_)), ReplicaAction::Load { .. })
                | (Some(Phase::Leaving(_)), ReplicaAction::Unload { .. })
        )
    }

    fn accepted_order(&mut self, now: Moment, step: &ReplicaAction, time: Span) {
        self.changed = true;
        match step {
            ReplicaAction::Load { target, .. } => {
                // A model takes seconds, and is worth a question less often.
                let (time, again) = match self.is_near(target) {
                    Some(true) => (NEAR_CHECK, CHECK_AGAIN),
                    Some(false) => (time, CHECK_AGAIN),
                    None => (MODEL_CHECK, MODEL_CHECK),
                };
                let slot = self.slots.entry(target.clone());
                let slot = slot.or_insert(Slot::here(0));
                slot.phase = Phase::Coming(match slot.phase {
                    Phase::Coming(c) => Coming {
                        missed: now,
                        check: now.after(again),
                        ..c
                    },
                    _ => Coming::new(now, time),
                });
            }
            ReplicaAction::Unload { target, .. } => {
                if let Some(slot) = self.slots.get_mut(target) {
                    slot.phase = Phase::Leaving(now.after(UNLOAD_CHECK));
                }
            }
            ReplicaAction::Inspect => {}
        }
    }

    fn holds(&mut self, now: Moment, step: &ReplicaAction) -> Option<LoadDuration> {
        self.changed = true;
        match step {
            ReplicaAction::Load {
                target, version, ..
            } => {
                self.wishes.remove(target);
                let slot = self.slots.entry(target.clone()).or_insert(Slot::here(0));
                let took = match slot.phase {
                    Phase::Coming(c) => Some(c.took(now)),
                    _ => None,
                };
                slot.phase = Phase::Here;
                slot.version = version.unwrap_or(slot.version);
                self.use_of(target).demand.record(now, DEMAND_HALF, 1.0);
                if target.adapter.is_some() {
                    self.note_near(target);
                }
                took
            }
            ReplicaAction::Unload { target, .. } => {
                let slot = self.slots.remove(target);
                // Dropped at once, which counts as an order; one that had to
                // wait for its runs was counted when it was accepted.
                if slot.is_some_and(|s| s.phase == Phase::Here) {
                    self.accepted = self.accepted.map(|n| n + 1);
                }
                None
            }
            ReplicaAction::Inspect => None,
        }
    }
}
