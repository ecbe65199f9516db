//! Replicas that crashed, and which runs broke off there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::feature::Feature;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;

/// Difference by which the clocks of two VMs may seem to differ.
pub(super) const CLOCK_ERROR: Span = Span::from_millis(500);

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

/// A replica that seems to have crashed.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// When the first run there broke off.
    pub(super) at: Moment,
    /// When this VM learnt of it.
    pub(super) learnt: Moment,
    /// The runs of this VM that broke off.
    pub(super) local: Vec<BrokenRun>,
    /// Those of other VMs.
    pub(super) remote: BTreeMap<VmName, Vec<BrokenRun>>,
}

impl Crash {
    pub(super) fn new(at: Moment, learnt: Moment) -> Self {
        Self {
            at,
            learnt,
            local: Vec::new(),
            remote: BTreeMap::new(),
        }
    }

    /// Returns whether no VM accuses the replica's runs any more.
    pub(super) fn is_unfounded(&self) -> bool {
        self.local.is_empty() && self.remote.is_empty()
    }

    /// Returns the runs that were under way when the replica crashed.
    pub(super) fn runs(&self) -> impl Iterator<Item = &BrokenRun> {
        let all = self.local.iter().chain(self.remote.values().flatten());
        all.filter(|run| run.sent <= self.at.after(CLOCK_ERROR))
    }
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
        if self.counted.is_none_or(|counted| sent >= counted) {
            self.successive += 1;
            self.counted = Some(at);
        }
    }
}

/// A crash that no blocked part of a prompt explains.
pub(super) struct OpenCrash<'a> {
    pub(super) crash: &'a Crash,
    /// Runs of blocked requests there. Such a request explains the crash, but not for the parts
    /// of its own prompt: one of them may be the cause.
    pub(super) blocked: Vec<&'a BrokenRun>,
}

impl<'a> OpenCrash<'a> {
    /// Returns the crash, or `None` if a blocked part explains it.
    pub(super) fn new(crash: &'a Crash, is_blocked: impl Fn(Feature) -> bool) -> Option<Self> {
        let mut blocked = Vec::new();
        for run in crash.runs() {
            let mut found = run.features.iter().filter(|f| is_blocked(**f)).peekable();
            if found.peek().is_some() {
                blocked.push(run);
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

/// Sums up what speaks against each feature, given the crashes in the order of their times.
/// `may_count` says whether a crash at that time may speak against a feature.
pub(super) fn find_suspects(
    crashes: &[OpenCrash<'_>],
    may_count: impl Fn(Feature, Moment) -> bool,
) -> BTreeMap<Feature, Suspect> {
    let mut suspects: BTreeMap<Feature, Suspect> = BTreeMap::new();
    let mut run_position = 0;
    for (position, open) in crashes.iter().enumerate() {
        let at = open.crash.at;
        let mut last_sent: BTreeMap<Feature, Moment> = BTreeMap::new();
        for run in open.crash.runs() {
            run_position += 1;
            for feature in &run.features {
                if !may_count(*feature, at) || !open.concerns(*feature) {
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
                suspect.add_crash(position, at, sent);
            }
        }
    }
    suspects
}
