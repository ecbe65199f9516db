//! Finds out what requests have in common that crash the replicas that run them.
//!
//! A replica that crashes breaks off all its runs, and any of their requests may be the cause.
//! What speaks against a [`Feature`] of requests is that replicas crash on runs with it while no
//! such run comes to its end. A feature that is found out is blocked: requests that hold it are
//! refused at all VMs.
//!
//! A request that is sent again and a part of many prompts are judged differently, by what a
//! wrong block costs: one request (`requests`), or the traffic of a route (`judge`).

mod blocks;
mod evidence;
mod feature;
mod half_open;
mod judge;
mod requests;
mod watch;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use blocks::Blocks;
use evidence::CLOCK_ERROR;
use evidence::Crash;
use half_open::HalfOpen;
use watch::Watch;

use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::path::types::Instance;

pub use blocks::BLOCK_TTL;
pub use evidence::BrokenRun;
pub use feature::BadFeature;
pub use feature::Feature;
pub use judge::Conviction;
pub use requests::KnownCrashes;
pub use watch::RunEnd;

/// How long crashes and complete runs are remembered.
const MEMORY: Span = Span::from_millis(600_000);

/// How long a crash, a complete run or a request that was refused is repeated in beacons, to
/// make up for lost datagrams.
const REPORT_TTL: Span = Span::from_millis(5_000);

/// Maximum number of crashes that are remembered; the oldest yields.
const MAX_CRASHES: usize = 256;

/// Maximum number of features of which it is remembered that a run was complete.
const MAX_COMPLETED: usize = 8_192;

/// Complete runs of this VM that may show that requests without a feature are served.
const MAX_RECENT: usize = 16;

/// Maximum number of entries of each kind in a report, as a beacon must fit in a datagram.
const MAX_REPORTED: usize = 64;

/// What one VM tells the others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashReport {
    /// Replicas that crashed, when the last run of this VM broke off there, and its runs.
    pub crashes: Vec<(Instance, Moment, Vec<BrokenRun>)>,
    /// Replicas that were taken for crashed and have been heard from since, and when.
    pub alive: Vec<(Instance, Moment)>,
    /// Features of which it matters that a run was complete, and the last one.
    pub completed: Vec<(Feature, Completion)>,
    /// Features of crashed runs with which a later run began its response, and when the last one
    /// was sent.
    pub begun: Vec<(Feature, Moment)>,
    /// Parts of which this VM lets one run at a time through, and when the last replica crashed.
    pub half_open: Vec<(Feature, Moment)>,
    /// Blocked features that other VMs may not know of: since when, and when a request was last
    /// refused for them.
    pub blocks: Vec<(Feature, Moment, Moment)>,
    /// From when on a request with one of these blocked features is let through.
    pub trials: Vec<(Feature, Moment)>,
}

impl CrashReport {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A complete run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Completion {
    /// When it was sent.
    pub sent: Moment,
    /// When it was complete.
    pub end: Moment,
}

impl Completion {
    /// Takes the later send and the later end of two.
    fn max(self, other: Self) -> Self {
        Self {
            sent: self.sent.max(other.sent),
            end: self.end.max(other.end),
        }
    }

    /// Returns until when the run shows that a feature crashed no replica: until its end for a
    /// request, which is the same each time. A part may crash replicas from some moment on, which
    /// runs that were under way by then outlive.
    fn shows_sound(&self, feature: Feature) -> Moment {
        match feature {
            Feature::Request(_) => self.end,
            Feature::PromptPart(_) => self.sent,
        }
    }
}

/// What is known of the last complete runs with a feature.
#[derive(Clone, Copy, Debug)]
struct Completions {
    /// Those of all VMs.
    last: Completion,
    /// Those of this VM. Only they are told to others: with each VM that tells them on, their times
    /// would move by the error of its clock.
    own: Option<Completion>,
}

/// The crashes that speak against a feature since a run with it was complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Accusation {
    /// The feature.
    pub feature: Feature,
    /// How many replicas crashed.
    pub crashes: usize,
    /// The first of these crashes.
    pub first: Moment,
}

/// What one VM knows of crashed replicas, and which features are blocked.
///
/// ```
/// use banyangauge::ids::Fingerprint;
/// use banyangauge::pool::{Moment, Span};
/// use banyangauge::serving::{BrokenRun, CrashTracker, Feature, Instance};
/// let mut tracker = CrashTracker::default();
/// let part = Feature::PromptPart(0xbad);
/// for n in 0..20_u64 {
///     tracker.complete(Moment(n), Moment(n), &Feature::of_request(Fingerprint(n), &[0x5]));
/// }
/// for n in 1..4_u64 {
///     let name = format!("i-{n}").parse().unwrap();
///     let replica = Instance { name, started_ms: 0 };
///     let sent = Moment(n * 1_000_000);
///     let features = Feature::of_request(Fingerprint(n), &[0xbad]);
///     tracker.accuse(sent.after(Span::from_millis(70)), &replica, BrokenRun { sent, features });
/// }
/// let now = Moment(5_000_000);
/// assert_eq!(tracker.convict(now, Span::from_millis(1_000))[0].feature, part);
/// let request = Feature::of_request(Fingerprint(9), &[0xbad]);
/// assert_eq!(tracker.find_block(now, &request, |_| false), Some(part));
/// ```
#[derive(Debug, Default)]
pub struct CrashTracker {
    crashes: BTreeMap<Instance, Crash>,
    /// The runs of this VM on which their replicas may still crash.
    watch: Watch,
    /// Replicas that are being asked for a sign of life.
    asked: BTreeSet<Instance>,
    /// Replicas that were taken for crashed and have been heard from since, and when.
    alive: BTreeMap<Instance, Moment>,
    /// The same by what other VMs tell.
    told_alive: BTreeMap<Instance, Moment>,
    /// The last complete runs with a feature.
    completed: BTreeMap<Feature, Completions>,
    /// The last complete runs of this VM that have parts in their prompts, and when they were sent.
    recent: VecDeque<(Moment, Vec<Feature>)>,
    /// How many there were.
    served: usize,
    blocks: Blocks,
    half_open: HalfOpen,
    /// Features whose blocks ended, to be removed from the store.
    lifted: BTreeSet<Feature>,
    /// Features whose blocks ended because a run was complete, for the other VMs.
    refuted: BTreeMap<Feature, Completion>,
}

impl CrashTracker {
    /// Records that a run broke off, and that its replica may have crashed. Returns whether this
    /// VM had no broken run there since it last heard from the replica.
    pub fn accuse(&mut self, now: Moment, replica: &Instance, run: BrokenRun) -> bool {
        self.record_trial(&run, now);
        self.crash(now, replica).add_run(now, run)
    }

    /// Records that a run is sent to a replica now.
    pub fn begin_run(&mut self, replica: &Instance, id: u64, run: BrokenRun) {
        self.watch.begin(replica, id, run);
    }

    /// Records how a run ended, unless its connection broke; the first end counts.
    pub fn end_run(&mut self, now: Moment, replica: &Instance, id: u64, end: RunEnd) {
        self.watch.end(now, replica, id, end);
    }

    /// Records that the connection of a run broke, and that its replica may have crashed. Returns
    /// whether this VM had no broken run there since it last heard from the replica.
    pub fn break_run(&mut self, now: Moment, replica: &Instance, id: u64, run: BrokenRun) -> bool {
        let known = self.watch.take(replica, id) && self.is_accused(replica);
        !known && self.accuse(now, replica, run)
    }

    /// Records that data of a replica arrived, which was not sent before a crash that was taken
    /// to have happened earlier. Returns the blocked features of runs that this shows to be
    /// complete.
    pub fn hear(&mut self, now: Moment, replica: &Instance) -> Vec<Feature> {
        let presumed = self.crashes.get(replica).is_some_and(Crash::is_presumed);
        if presumed {
            self.record_alive(replica, now);
        }
        self.confirm_runs(now, replica)
    }

    /// Records that a replica answered what it was asked at `asked`. Returns the blocked features
    /// of runs that this shows to be complete.
    pub fn record_answer(&mut self, asked: Moment, replica: &Instance) -> Vec<Feature> {
        if self.crashes.contains_key(replica) {
            self.record_alive(replica, asked);
        }
        self.confirm_runs(asked, replica)
    }

    fn confirm_runs(&mut self, at: Moment, replica: &Instance) -> Vec<Feature> {
        let complete = self.watch.hear(replica, at);
        let complete = complete.into_iter();
        complete
            .flat_map(|run| self.complete(at, run.sent, &run.features))
            .collect()
    }

    /// Records that a replica has crashed by `at`, though not all connections to it broke. All
    /// runs are accused that were under way there, or had ended shortly before. Returns how
    /// many there are.
    ///
    /// ```
    /// use banyangauge::ids::Fingerprint;
    /// use banyangauge::pool::Moment;
    /// use banyangauge::serving::{BrokenRun, CrashTracker, Feature, Instance, RunEnd};
    /// let mut tracker = CrashTracker::default();
    /// let replica = Instance { name: "i-1".parse().unwrap(), started_ms: 0 };
    /// let features = Feature::of_request(Fingerprint(7), &[]);
    /// let run = BrokenRun { sent: Moment(0), features: features.clone() };
    /// tracker.begin_run(&replica, 1, run);
    /// // The caller leaves before the replica crashes.
    /// tracker.end_run(Moment(50_000), &replica, 1, RunEnd::Open);
    /// assert_eq!(tracker.record_dead(Moment(600_000), &replica, Moment(600_000)), 1);
    /// assert_eq!(tracker.request_crashes(Moment(600_000), &features), 1);
    /// ```
    pub fn record_dead(&mut self, now: Moment, replica: &Instance, at: Moment) -> usize {
        let runs = self.watch.accuse(replica, at);
        let count = runs.len();
        for (earliest, run) in runs {
            self.record_trial(&run, earliest);
            self.crash(now, replica).presume(now, earliest, run);
        }
        count
    }

    /// Returns whether a replica is taken for crashed on a run of this VM that did not break.
    pub fn is_accused_run(&self, replica: &Instance, id: u64) -> bool {
        self.watch.is_accused(replica, id)
    }

    /// Returns the replicas that must be asked for a sign of life: they ran something and have
    /// given none since.
    pub fn due_replicas(&mut self, now: Moment) -> Vec<Instance> {
        self.watch.due(now)
    }

    /// Returns whether a replica must be asked for a sign of life, or is accused.
    pub fn is_suspected(&self, now: Moment, replica: &Instance) -> bool {
        self.is_accused(replica) || self.watch.is_due(now, replica)
    }

    /// Returns whether this VM has heard nothing from a replica since `since`, though it is in
    /// touch: it hears from another replica, or `hears_peers`. Those would refute a crash that is
    /// none; a VM that hears from nobody may be cut off itself.
    pub fn is_silent(&self, replica: &Instance, since: Moment, hears_peers: bool) -> bool {
        let in_touch = hears_peers || self.watch.hears_any(since);
        in_touch && self.watch.is_silent(replica, since)
    }

    /// Records that a replica is asked for a sign of life. Returns whether it was not before.
    pub fn begin_check(&mut self, replica: &Instance) -> bool {
        self.asked.insert(replica.clone())
    }

    /// Records that a replica is no longer asked for a sign of life.
    pub fn end_check(&mut self, replica: &Instance) {
        self.asked.remove(replica);
    }

    /// Forgets the runs that ended at a replica that leaves as planned.
    pub fn excuse(&mut self, replica: &Instance) {
        self.watch.forget_ended(replica);
    }

    /// Records what another VM tells of a replica: the runs that have broken off since it last
    /// heard from it, the last one at `at`.
    pub fn learn(
        &mut self,
        now: Moment,
        vm: &VmName,
        replica: &Instance,
        at: Moment,
        runs: Vec<BrokenRun>,
    ) {
        let heard = [&self.alive, &self.told_alive].map(|heard| heard.get(replica));
        let heard = heard.into_iter().flatten().max();
        if heard.is_some_and(|heard| *heard >= at.after(CLOCK_ERROR)) {
            return;
        }
        runs.iter().for_each(|run| self.record_trial(run, at));
        self.crash(now, replica).set_told(now, vm, at, runs);
    }

    /// Returns the record of a replica, which is made if there is none.
    fn crash(&mut self, now: Moment, replica: &Instance) -> &mut Crash {
        if !self.crashes.contains_key(replica) {
            self.crashes.retain(|_, c| now.since(c.learnt()) < MEMORY);
            if self.crashes.len() >= MAX_CRASHES {
                let oldest = self.crashes.iter().min_by_key(|(_, c)| c.learnt());
                if let Some(oldest) = oldest.map(|(replica, _)| replica.clone()) {
                    self.crashes.remove(&oldest);
                }
            }
        }
        self.crashes.entry(replica.clone()).or_default()
    }

    /// Counts a crash against the blocked features of a run.
    fn record_trial(&mut self, run: &BrokenRun, at: Moment) {
        for feature in &run.features {
            if let Some(block) = self.blocks.get_mut(*feature) {
                block.record_crash(*feature, run.sent, at);
            }
        }
    }

    /// Records that a replica was heard from, by a run that was sent at `sent`. What broke off
    /// before shows no crash. Returns whether it was taken for crashed.
    pub fn record_heard(&mut self, now: Moment, replica: &Instance, sent: Moment) -> bool {
        let crash = self.crashes.get(replica);
        let refuted = crash.is_some_and(|crash| crash.is_refuted_by(sent));
        if refuted {
            self.alive.retain(|_, heard| now.since(*heard) < MEMORY);
            self.record_alive(replica, sent);
        }
        refuted
    }

    /// Returns whether runs of this VM broke off at a replica since it last heard from it.
    pub fn is_accused(&self, replica: &Instance) -> bool {
        let crash = self.crashes.get(replica);
        crash.is_some_and(|crash| crash.own_at().is_some())
    }

    /// Records that this VM found a replica alive at `at`.
    pub fn record_alive(&mut self, replica: &Instance, at: Moment) {
        if let Some(crash) = self.crashes.get_mut(replica) {
            crash.refute_local(at);
            crash.refute_earlier(at);
        }
        self.remove_unfounded(replica);
        if !self.is_accused(replica) {
            self.watch.acquit(replica);
        }
        note_heard(&mut self.alive, replica, at);
    }

    /// Records that another VM found a replica alive at `at`. Its runs that broke off there later
    /// may show a crash.
    pub fn learn_alive(&mut self, vm: &VmName, replica: &Instance, at: Moment) {
        if let Some(crash) = self.crashes.get_mut(replica) {
            crash.refute_told(vm, at);
            crash.refute_earlier(at);
        }
        self.remove_unfounded(replica);
        note_heard(&mut self.told_alive, replica, at);
    }

    fn remove_unfounded(&mut self, replica: &Instance) {
        if self.crashes.get(replica).is_some_and(Crash::is_unfounded) {
            self.crashes.remove(replica);
        }
    }

    /// Records that a run with these features that was sent at `sent` was complete. Returns those
    /// that were blocked.
    pub fn complete(&mut self, now: Moment, sent: Moment, features: &[Feature]) -> Vec<Feature> {
        let has_parts = features.iter().any(|f| f.is_part());
        if has_parts {
            self.served = self.served.saturating_add(1);
            self.recent.push_back((sent, features.to_vec()));
            if self.recent.len() > MAX_RECENT {
                self.recent.pop_front();
            }
        }
        let mut lifted = Vec::new();
        for feature in features {
            // A request that is not sent again would only take up room.
            if feature.is_part() || self.concerns(*feature) {
                let run = Completion { sent, end: now };
                lifted.extend(self.record_own(*feature, run).then_some(*feature));
            }
        }
        lifted
    }

    /// Returns the parts of prompts among these features that several crashes speak against.
    pub fn accusations(&self, now: Moment, features: &[Feature]) -> Vec<Accusation> {
        let parts = features.iter().copied().filter(|f| f.is_part());
        let accused = parts.filter_map(|feature| {
            let speaks = |(at, run): (Moment, &BrokenRun)| {
                let counts = now.since(at) < MEMORY && run.features.contains(&feature);
                (counts && !self.is_cleared(feature, at)).then_some(at)
            };
            let crashes = self.crashes.values();
            let crashes = crashes.filter_map(|c| c.runs().filter_map(speaks).min());
            let first = crashes.clone().min()?;
            Some(Accusation {
                feature,
                crashes: crashes.count(),
                first,
            })
        });
        accused.filter(|a| a.crashes > 1).collect()
    }

    /// Returns whether anything speaks against a feature.
    fn concerns(&self, feature: Feature) -> bool {
        let mut runs = self.crashes.values().flat_map(Crash::runs);
        self.blocks.contains(feature) || runs.any(|(_, run)| run.features.contains(&feature))
    }

    /// Records that a run of this VM with a feature was complete. Returns whether the feature was
    /// blocked.
    fn record_own(&mut self, feature: Feature, run: Completion) -> bool {
        let lifted = self.learn_completion(feature, run);
        if let Some(completed) = self.completed.get_mut(&feature) {
            completed.own = Some(completed.own.map_or(run, |own| own.max(run)));
        }
        if lifted {
            let is_recent = |old: &Completion| run.end.since(old.end) < REPORT_TTL;
            self.refuted.retain(|_, old| is_recent(old));
            self.refuted.insert(feature, run);
        }
        lifted
    }

    /// Records that a run of another VM with a feature was complete. Returns whether the feature
    /// was blocked.
    pub fn learn_completion(&mut self, feature: Feature, run: Completion) -> bool {
        let mut keep = MEMORY;
        while self.completed.len() >= MAX_COMPLETED {
            let is_recent = |known: &Completions| run.end.since(known.last.end) < keep;
            self.completed.retain(|_, known| is_recent(known));
            keep = Span(keep.0 / 2);
        }
        let new = Completions {
            last: run,
            own: None,
        };
        let known = self.completed.entry(feature).or_insert(new);
        known.last = known.last.max(run);
        let shown = run.shows_sound(feature);
        self.blocks.get(feature).is_some_and(|b| b.since <= shown) && self.end_block(feature)
    }

    /// Ends the block of a feature because an operator says so.
    pub fn lift(&mut self, now: Moment, feature: Feature) -> bool {
        let run = Completion {
            sent: now,
            end: now,
        };
        let lifted = self.record_own(feature, run);
        self.lifted.remove(&feature);
        lifted
    }

    fn end_block(&mut self, feature: Feature) -> bool {
        let block = self.blocks.remove(feature);
        if block.is_some_and(|b| b.stored) {
            self.lifted.insert(feature);
        }
        block.is_some()
    }

    /// Returns whether complete runs show that a crash at `at` was not that of a feature.
    fn is_cleared(&self, feature: Feature, at: Moment) -> bool {
        let run = self.completed.get(&feature);
        run.is_some_and(|run| run.last.shows_sound(feature) >= at)
    }

    /// Returns the blocked feature for which a request is refused now. Once a trial is due, one
    /// request is let through by the VM for which `may_try` holds.
    pub fn find_block(
        &mut self,
        now: Moment,
        features: &[Feature],
        may_try: impl Fn(Feature) -> bool,
    ) -> Option<Feature> {
        let mut found = None;
        for feature in features {
            let Some(block) = self.blocks.get_mut(*feature) else {
                continue;
            };
            block.last_hit = now;
            if !block.is_trial_due(now) || !may_try(*feature) {
                found = Some(*feature);
            }
        }
        found.or_else(|| self.find_half_open(now, features, may_try))
    }

    /// The same for a request that is sent right after this call; returns the feature for which
    /// it is refused.
    pub fn begin_send(
        &mut self,
        now: Moment,
        features: &[Feature],
        may_try: impl Fn(Feature) -> bool,
    ) -> Option<Feature> {
        let blocked = self.find_block(now, features, may_try);
        if blocked.is_none() {
            self.begin_half_open(now, features);
            for feature in features {
                if let Some(block) = self.blocks.get_mut(*feature) {
                    block.begin_trial(now);
                }
            }
        }
        blocked
    }

    /// Returns whether crashes are known that do not count yet, but will.
    pub fn is_unsettled(&self, now: Moment, settle: Span) -> bool {
        let mut crashes = self.crashes.values();
        crashes.any(|c| now.since(c.learnt()) <= settle)
    }

    /// Records a block that another VM tells of, or the store.
    pub fn learn_block(&mut self, since: Moment, last_hit: Moment, feature: Feature) -> bool {
        !self.is_cleared(feature, since) && self.blocks.add(since, last_hit, feature)
    }

    /// Records from when on another VM would let a request with a blocked feature through. The
    /// latest time counts, so that a VM that starts does not repeat what others have tried.
    pub fn learn_trial(&mut self, feature: Feature, at: Moment) {
        if let Some(block) = self.blocks.get_mut(feature) {
            block.delay_trial(at);
        }
    }

    /// Returns how long a request is refused at least for the features that are blocked now.
    ///
    /// ```
    /// use banyangauge::pool::{Moment, Span};
    /// use banyangauge::serving::{CrashTracker, Feature};
    /// let mut tracker = CrashTracker::default();
    /// let part = Feature::PromptPart(7);
    /// tracker.learn_block(Moment(0), Moment(0), part);
    /// let left = tracker.time_to_trial(Moment(50_000_000), &[part]);
    /// assert_eq!(left, Span::from_millis(10_000));
    /// ```
    pub fn time_to_trial(&self, now: Moment, features: &[Feature]) -> Span {
        let blocks = features.iter().filter_map(|f| self.blocks.get(*f));
        let left = blocks.map(|block| block.trial_at().since(now));
        let half_open = self.time_to_half_open(now, features);
        left.max().unwrap_or_default().min(BLOCK_TTL).max(half_open)
    }

    /// Returns the blocked features that the store is not known to have, and since when they
    /// are blocked.
    pub fn unstored(&self) -> impl Iterator<Item = (Feature, Moment)> {
        let unstored = self.blocks.iter().filter(|(_, b)| !b.stored);
        unstored.map(|(feature, block)| (feature, block.since))
    }

    /// Records whether the store has the block of a feature.
    pub fn set_stored(&mut self, feature: Feature, stored: bool) {
        if let Some(block) = self.blocks.get_mut(feature) {
            block.stored = stored;
        }
    }

    /// Ends the blocks that no request has needed for `BLOCK_TTL`, and takes those that are to
    /// be removed from the store.
    pub fn take_lifted(&mut self, now: Moment) -> Vec<Feature> {
        let expired = self.blocks.expire(now);
        self.lifted.extend(expired);
        std::mem::take(&mut self.lifted).into_iter().collect()
    }

    /// Returns how many features are blocked.
    pub fn block_count(&self) -> usize {
        self.blocks.iter().count()
    }

    /// Returns what the other VMs are told now.
    pub fn report(&self, now: Moment) -> CrashReport {
        let is_recent = |at: Moment| now.since(at) < REPORT_TTL;
        let mut report = CrashReport::default();
        let own = self.crashes.iter();
        let own = own.filter(|(_, crash)| is_recent(crash.own_learnt()));
        let own = own.filter_map(|(replica, crash)| Some((crash.own_at()?, replica, crash)));
        let mut newest: Vec<_> = own.collect();
        newest.sort_by_key(|(at, ..)| std::cmp::Reverse(*at));
        let mut room = MAX_REPORTED;
        for (at, replica, crash) in newest {
            if room == 0 {
                break;
            }
            let runs = self.accused_runs(now, crash, room);
            room = room.saturating_sub(runs.len().max(1));
            report.crashes.push((replica.clone(), at, runs));
        }
        let alive = self.alive.iter().filter(|(_, at)| is_recent(**at));
        let alive = alive.map(|(replica, at)| (replica.clone(), *at));
        report.alive = alive.take(MAX_REPORTED).collect();
        report.completed = self.wanted_completions(now);
        report.begun = self.reported_begun(now);
        report.begun.truncate(MAX_REPORTED);
        report.half_open = self.reported_half_open(now);
        report.half_open.truncate(MAX_REPORTED);
        let told = self.blocks.iter();
        let told = told.filter(|(_, b)| !b.stored || is_recent(b.last_hit));
        for (feature, block) in told.take(MAX_REPORTED) {
            report.blocks.push((feature, block.since, block.last_hit));
            report.trials.push((feature, block.trial_at()));
        }
        report
    }

    /// Returns the broken runs of this VM at a crashed replica, without the features that have
    /// been cleared; those of requests on which other replicas crashed come first, then those
    /// that hold most parts.
    fn accused_runs(&self, now: Moment, crash: &Crash, most: usize) -> Vec<BrokenRun> {
        let accused = crash.own_runs().map(|(at, run)| {
            let left = run.features.iter().copied();
            let left = left.filter(|f| !self.is_cleared(*f, at));
            BrokenRun {
                sent: run.sent,
                features: left.collect(),
            }
        });
        let mut runs: Vec<_> = accused.filter(|run| !run.features.is_empty()).collect();
        if runs.len() > most {
            let parts = |run: &BrokenRun| run.features.iter().filter(|f| f.is_part()).count();
            let repeats = |run: &BrokenRun| run.request().map_or(0, |r| self.crashes_of(now, r));
            runs.sort_by_cached_key(|run| std::cmp::Reverse((repeats(run), parts(run))));
            runs.truncate(most);
        }
        runs
    }

    /// Returns the features that stand accused of several crashes, or were blocked, of which this
    /// VM knows that a run was complete.
    fn wanted_completions(&self, now: Moment) -> Vec<(Feature, Completion)> {
        let refuted = self.refuted.iter().map(|(feature, run)| (*feature, *run));
        let mut wanted: Vec<_> = refuted
            .filter(|(_, run)| now.since(run.end) < REPORT_TTL)
            .collect();
        let learnt = self.crashes.values().map(Crash::learnt).max();
        if learnt.is_none_or(|learnt| now.since(learnt) >= REPORT_TTL) {
            return wanted;
        }
        let mut accusations: BTreeMap<Feature, usize> = BTreeMap::new();
        for crash in self.crashes.values() {
            let features = crash.runs().flat_map(|(_, run)| &run.features);
            for feature in features.collect::<BTreeSet<_>>() {
                *accusations.entry(*feature).or_default() += 1;
            }
        }
        let accused = accusations.into_iter().filter(|(_, count)| *count > 1);
        let mut known: Vec<_> = accused
            .filter_map(|(feature, count)| {
                Some((count, feature, self.completed.get(&feature)?.own?))
            })
            .filter(|(_, _, run)| now.since(run.end) < MEMORY)
            .collect();
        known.sort_by_key(|(count, ..)| std::cmp::Reverse(*count));
        wanted.extend(known.into_iter().map(|(_, feature, run)| (feature, run)));
        wanted.truncate(MAX_REPORTED);
        wanted
    }
}

/// Records that a replica was heard from at `at`.
fn note_heard(heard: &mut BTreeMap<Instance, Moment>, replica: &Instance, at: Moment) {
    heard.retain(|_, heard| at.since(*heard) < MEMORY);
    if heard.len() < MAX_CRASHES || heard.contains_key(replica) {
        let last = heard.entry(replica.clone()).or_insert(at);
        *last = at.max(*last);
    }
}
