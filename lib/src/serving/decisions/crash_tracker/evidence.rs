//! Replicas that crashed, and which runs broke off there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::feature::Feature;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;

/// Difference by which the clocks of two VMs may seem to differ.
pub(super) const CLOCK_ERROR: Span = Span::from_millis(500);

/// Minimum time between two crashes in succession: those of replicas that lose power together seem
/// to differ by the errors of clocks, and a run between them takes some time.
const MIN_SPACING: Span = Span::from_millis(50);

/// Maximum number of broken runs of one VM at one replica; the newest count.
pub(super) const MAX_RUNS: usize = 64;

/// A run that broke off because its replica crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BrokenRun {
    /// When it was sent to the replica.
    pub sent: Moment,
    /// What its request may have in common with others.
    pub features: Vec<Feature>,
}

impl BrokenRun {
    /// Returns the request, by its hash.
    pub(super) fn request(&self) -> Option<Feature> {
        self.features.iter().copied().find(|f| !f.is_part())
    }
}

/// Runs that broke off at a replica since a VM last heard from it.
#[derive(Clone, Debug)]
struct ToldRuns {
    /// When the last of them broke off.
    at: Moment,
    /// When this VM was told.
    learnt: Moment,
    runs: Vec<BrokenRun>,
}

/// What speaks for the crash of one start of a replica. It crashes once at most, and that is the
/// last thing it does: what broke off before a sign of life was no crash, and what breaks off
/// later may be one. So each run keeps its own time, and each VM its own runs.
#[derive(Clone, Debug, Default)]
pub(super) struct Crash {
    /// The runs of this VM, and when each broke off.
    local: Vec<(Moment, BrokenRun)>,
    /// When this VM learnt of the last of them.
    local_learnt: Moment,
    /// Whether some of them did not break: the replica is taken to have crashed on them.
    presumed: bool,
    /// Those of other VMs.
    remote: BTreeMap<VmName, ToldRuns>,
}

impl Crash {
    /// Adds a run of this VM that broke off at `at`. Returns whether it is its first one.
    pub(super) fn add_run(&mut self, at: Moment, run: BrokenRun) -> bool {
        let is_first = self.local.is_empty();
        self.push_run(at, at, run);
        is_first
    }

    /// Adds a run of this VM on which the replica is taken to have crashed by `at`.
    pub(super) fn presume(&mut self, now: Moment, at: Moment, run: BrokenRun) {
        self.push_run(now, at, run);
        self.presumed = true;
    }

    fn push_run(&mut self, now: Moment, at: Moment, run: BrokenRun) {
        if self.local.len() >= MAX_RUNS {
            self.local.remove(0);
        }
        self.local.push((at, run));
        self.local_learnt = now.max(self.local_learnt);
    }

    /// Returns whether data of the replica that arrives now shows that it did not crash.
    pub(super) fn is_presumed(&self) -> bool {
        self.presumed
    }

    /// Records what another VM tells of its runs, the last of which broke off at `at`.
    pub(super) fn set_told(
        &mut self,
        now: Moment,
        vm: &VmName,
        at: Moment,
        mut runs: Vec<BrokenRun>,
    ) {
        runs.truncate(MAX_RUNS);
        // The same runs, told again: their time is not known exactly, and the earliest is the
        // closest.
        let known = self.remote.get(vm);
        let known = known.filter(|told| at < told.at.after(CLOCK_ERROR));
        let (at, learnt) = known.map_or((at, now), |told| (at.min(told.at), told.learnt));
        let told = ToldRuns { at, learnt, runs };
        self.remote.insert(vm.clone(), told);
    }

    /// Drops the runs of this VM that broke off before `heard`, at which it found the replica
    /// alive.
    pub(super) fn refute_local(&mut self, heard: Moment) {
        self.local.retain(|(at, _)| *at >= heard);
        self.presumed &= !self.local.is_empty();
    }

    /// Drops the runs of another VM that broke off before `heard`, at which that VM found the
    /// replica alive.
    pub(super) fn refute_told(&mut self, vm: &VmName, heard: Moment) {
        // Both times are by the same clock, which needs no allowance.
        self.remote
            .retain(|from, told| from != vm || told.at >= heard);
    }

    /// Drops the runs that broke off clearly before `heard`, by the clock of another VM.
    pub(super) fn refute_earlier(&mut self, heard: Moment) {
        self.local.retain(|(at, _)| !is_refuted(*at, heard));
        self.presumed &= !self.local.is_empty();
        self.remote.retain(|_, told| !is_refuted(told.at, heard));
    }

    /// Returns whether a sign of life at `heard` by this VM's clock refutes anything.
    pub(super) fn is_refuted_by(&self, heard: Moment) -> bool {
        let mut told = self.remote.values();
        self.local.iter().any(|(at, _)| *at < heard) || told.any(|t| is_refuted(t.at, heard))
    }

    /// Returns whether no VM accuses the replica's runs any more.
    pub(super) fn is_unfounded(&self) -> bool {
        self.local.is_empty() && self.remote.is_empty()
    }

    /// Returns when the last run of this VM broke off; `None` if it has none there.
    pub(super) fn own_at(&self) -> Option<Moment> {
        self.local.iter().map(|(at, _)| *at).max()
    }

    /// Returns when this VM learnt of the last of its own runs.
    pub(super) fn own_learnt(&self) -> Moment {
        self.local_learnt
    }

    /// Returns the runs of this VM, and when each broke off.
    pub(super) fn own_runs(&self) -> impl Iterator<Item = (Moment, &BrokenRun)> {
        self.local.iter().map(|(at, run)| (*at, run))
    }

    /// Returns when this VM learnt the last of it.
    pub(super) fn learnt(&self) -> Moment {
        let told = self.remote.values().map(|told| told.learnt);
        let own = self.own_at().map(|_| self.local_learnt);
        told.chain(own).max().unwrap_or(Moment(0))
    }

    /// Returns all runs, and when each broke off.
    pub(super) fn runs(&self) -> impl Iterator<Item = (Moment, &BrokenRun)> {
        let told = self.remote.values();
        let told = told.flat_map(|t| t.runs.iter().map(|run| (t.at, run)));
        self.own_runs().chain(told)
    }

    /// Returns the crash if this VM knew of it at `until`: then the others have told of their runs.
    pub(super) fn settled(&self, until: Moment) -> Option<SettledCrash<'_>> {
        // When the last run of each VM broke off, and when this VM learnt of that.
        let told = self.remote.values().map(|t| (t.at, t.learnt));
        let ends = || {
            told.clone()
                .chain(self.own_at().map(|at| (at, self.local_learnt)))
        };
        let last = ends().map(|(at, _)| at).max()?;
        let latest = ends().filter(|(at, _)| !is_refuted(*at, last));
        let learnt = latest.map(|(_, learnt)| learnt).min()?;
        // Each VM sees the crash, or later; its earlier runs may have broken off without one.
        let at = ends().map(|(at, _)| at).min()?;
        let runs = self.runs().collect();
        (learnt <= until).then_some(SettledCrash { at, runs })
    }
}

fn is_refuted(at: Moment, heard: Moment) -> bool {
    heard >= at.after(CLOCK_ERROR)
}

/// A crash that may be judged.
#[derive(Clone, Debug)]
pub(super) struct SettledCrash<'a> {
    pub(super) at: Moment,
    /// The broken runs, and when each broke off.
    pub(super) runs: Vec<(Moment, &'a BrokenRun)>,
}

/// What speaks against one feature.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// Crashes of replicas that ran a request with it, by their position in the evidence.
    pub(super) crashes: BTreeSet<usize>,
    /// The most of these crashes of which each run began after the crash before. Replicas that
    /// are stopped together count once.
    pub(super) successive: usize,
    /// The first and the last crash.
    pub(super) span: Option<(Moment, Moment)>,
    /// The broken runs with it, by their position in the evidence.
    pub(super) runs: BTreeSet<usize>,
    /// The requests among them.
    pub(super) requests: BTreeSet<Feature>,
    /// Crashes on runs that were let through while the feature was half-open.
    pub(super) trials: usize,
    /// The last crash that counts in `successive`.
    counted: Option<Moment>,
}

impl Suspect {
    /// Returns whether the evidence does not tell which of two features is the cause: they were
    /// in different runs at the same replicas.
    pub(super) fn is_rival(&self, other: &Self) -> bool {
        let nested = self.runs.is_subset(&other.runs) || other.runs.is_subset(&self.runs);
        !nested && !self.crashes.is_disjoint(&other.crashes)
    }

    /// Returns whether all crashes of another feature are its own as well.
    pub(super) fn covers(&self, other: &Self) -> bool {
        other.crashes.is_subset(&self.crashes)
    }

    /// Returns whether all runs with another feature had this one, and others had it too.
    pub(super) fn is_wider(&self, other: &Self) -> bool {
        other.runs.len() < self.runs.len() && other.runs.is_subset(&self.runs)
    }

    /// Returns how many crashes there were from the first to the last one of the feature.
    pub(super) fn spanned(&self) -> usize {
        match (self.crashes.first(), self.crashes.last()) {
            (Some(first), Some(last)) => last - first + 1,
            _ => 0,
        }
    }

    /// Counts a crash; the last run with the feature there was sent at `sent`.
    pub(super) fn add_crash(&mut self, position: usize, at: Moment, sent: Moment) {
        self.crashes.insert(position);
        let first = self.span.map_or(at, |(first, _)| first);
        self.span = Some((first, at));
        let is_next = |counted: Moment| sent >= counted && at >= counted.after(MIN_SPACING);
        if self.counted.is_none_or(is_next) {
            self.successive += 1;
            self.counted = Some(at);
        }
    }
}

/// A crash that no blocked part of a prompt explains.
pub(super) struct OpenCrash<'a> {
    pub(super) crash: &'a SettledCrash<'a>,
    /// Runs of blocked requests there. Such a request explains the crash, but not for the parts
    /// of its own prompt: one of them may be the cause.
    pub(super) blocked: Vec<&'a BrokenRun>,
}

impl<'a> OpenCrash<'a> {
    /// Returns the crash, or `None` if a blocked part explains it.
    pub(super) fn new(
        crash: &'a SettledCrash<'a>,
        is_blocked: impl Fn(Feature) -> bool,
    ) -> Option<Self> {
        let mut blocked = Vec::new();
        for (_, run) in &crash.runs {
            let mut found = run.features.iter().filter(|f| is_blocked(**f)).peekable();
            if found.peek().is_some() {
                blocked.push(*run);
            }
            if found.any(|f| f.is_part()) {
                return None;
            }
        }
        Some(Self { crash, blocked })
    }

    /// Returns whether the crash may speak against a feature.
    fn concerns(&self, feature: Feature) -> bool {
        self.blocked.iter().all(|r| r.features.contains(&feature))
    }
}

/// Returns the first crash on a run with each feature.
pub(super) fn first_crashes(crashes: &[OpenCrash<'_>]) -> BTreeMap<Feature, Moment> {
    let mut first = BTreeMap::new();
    for open in crashes {
        for (at, run) in &open.crash.runs {
            for feature in &run.features {
                let known = first.entry(*feature).or_insert(*at);
                *known = (*at).min(*known);
            }
        }
    }
    first
}

/// Sums up what speaks against each feature, given the crashes in the order of their times.
/// `may_count` says whether a run that broke off at that time may speak against a feature.
pub(super) fn find_suspects(
    crashes: &[OpenCrash<'_>],
    may_count: impl Fn(Feature, Moment) -> bool,
) -> BTreeMap<Feature, Suspect> {
    let mut suspects: BTreeMap<Feature, Suspect> = BTreeMap::new();
    let mut run_position = 0;
    for (position, open) in crashes.iter().enumerate() {
        let mut last_sent: BTreeMap<Feature, Moment> = BTreeMap::new();
        for (at, run) in &open.crash.runs {
            run_position += 1;
            for feature in &run.features {
                if !may_count(*feature, *at) || !open.concerns(*feature) {
                    continue;
                }
                let last = last_sent.entry(*feature).or_insert(run.sent);
                *last = run.sent.max(*last);
                let suspect = suspects.entry(*feature).or_default();
                suspect.runs.insert(run_position);
                suspect.requests.extend(run.request());
            }
        }
        for (feature, sent) in last_sent {
            if let Some(suspect) = suspects.get_mut(&feature) {
                suspect.add_crash(position, open.crash.at, sent);
            }
        }
    }
    suspects
}
