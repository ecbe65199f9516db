//! Judges which parts of prompts crash replicas, by the evidence of all VMs.
//!
//! A part shares its batches with others, so that crashes alone do not tell the cause. What tells
//! it is that crashes go on in succession, each on a run with the part that began after the crash
//! before: replicas that lose power together are one succession. A part is a candidate once
//!
//! * two different requests with it broke off, and a third of the crashes in its time are its own;
//! * no run with it was complete lately, and three crashes are in succession; or five, if two of
//!   them are in succession and half of the crashes in its time are its own; or five in succession
//!   if what is blocked already explains some of them;
//! * a run with it was complete lately, five crashes are in succession, or two on runs that were let
//!   through while it was half-open (`half_open`), and requests without it are served meanwhile.
//!
//! Of the candidates the one with the most crashes is the cause. Crashes that it explains do not
//! speak against the others, which are judged again by those that are left. Candidates that were
//! in different runs of the same crashes wait for five in succession; then the rarest is the
//! cause.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::CrashTracker;
use super::MEMORY;
use super::evidence::OpenCrash;
use super::evidence::SettledCrash;
use super::evidence::Suspect;
use super::evidence::find_suspects;
use super::evidence::first_crashes;
use super::feature::Feature;
use crate::pool::Moment;
use crate::pool::Span;

/// Successive crashes after which a part is blocked, if no run with it was complete lately.
const MIN_CRASHES: usize = 3;

/// Crashes after which a part is blocked that runs were complete with lately, or that the
/// evidence does not tell from another one.
pub(super) const MANY_CRASHES: usize = 5;

/// Crashes on runs that were let through one by one after which a part is blocked.
const MAX_TRIALS: usize = 2;

/// Complete runs that a VM must have seen to know the common parts.
const MIN_SERVED: usize = 20;

/// Part of the crashes between the first and the last one of a part, one in so many, that
/// must be its own: a rare part is in some of many crashes by chance.
const MIN_COVERAGE: usize = 3;

/// Successive crashes after which a request with a part is not sent again after a broken run,
/// and that many crashes at once must span.
const DOUBTFUL_CRASHES: usize = 2;

/// Different requests that must have crashed replicas before a part of their prompts is
/// suspected rather than the request.
pub(super) const MIN_REQUESTS: usize = 2;

/// What speaks against a feature that is blocked, or suspected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Conviction {
    /// The feature.
    pub feature: Feature,
    /// Crashes of replicas that ran a request with it.
    pub crashes: usize,
    /// How many of them came in succession.
    pub successive: usize,
    /// Crashes of all replicas from the first to the last of these.
    pub spanned: usize,
    /// Whether a run with the feature was complete lately.
    pub known: bool,
    /// Different requests among the broken runs.
    pub requests: usize,
    /// Time between the first and the last of these crashes.
    pub span: Span,
}

impl Conviction {
    fn new(now: Moment, feature: Feature, suspect: &Suspect, known: bool) -> Self {
        let (first, last) = suspect.span.unwrap_or((now, now));
        Self {
            feature,
            crashes: suspect.crashes.len(),
            successive: suspect.successive,
            spanned: suspect.spanned(),
            known,
            requests: suspect.requests.len(),
            span: last.since(first),
        }
    }
}

impl CrashTracker {
    /// Returns what was known of crashes at `until`, in the order of their times.
    pub(super) fn settled_crashes(&self, now: Moment, until: Moment) -> Vec<SettledCrash<'_>> {
        let settled = self.crashes.values().filter_map(|c| c.settled(until));
        let mut crashes: Vec<_> = settled.filter(|c| now.since(c.at) < MEMORY).collect();
        crashes.sort_by_key(|crash| crash.at);
        crashes
    }

    /// Returns what speaks against each feature, given the crashes that what is blocked does not
    /// explain.
    fn suspects(&self, crashes: &[OpenCrash<'_>]) -> BTreeMap<Feature, Suspect> {
        let first = first_crashes(crashes);
        find_suspects(crashes, |feature, at| {
            !self.is_cleared(feature, at) && !self.outlived(&first, feature, at)
        })
    }

    /// Returns whether a run with a feature was sent after the first of its crashes, was under way
    /// at `at` and complete later: the feature had not turned bad by then.
    fn outlived(&self, first: &BTreeMap<Feature, Moment>, feature: Feature, at: Moment) -> bool {
        let run = self.completed.get(&feature).map(|known| known.last);
        run.is_some_and(|run| run.end >= at && first.get(&feature).is_some_and(|f| *f <= run.sent))
    }

    /// Blocks the features that crash replicas, and returns them. A crash counts once it has
    /// been known for `settle`: by then the other VMs have told of their runs, and which
    /// features are cleared.
    pub fn convict(&mut self, now: Moment, settle: Span) -> Vec<Conviction> {
        let until = Moment(now.0.saturating_sub(settle.0));
        let requests = self.find_bad_requests(&self.settled_crashes(now, until));
        let mut convictions = self.block(now, requests);
        loop {
            self.update_half_open(now, until);
            let parts = self.find_bad_parts(now, until);
            if parts.is_empty() {
                return convictions;
            }
            convictions.extend(self.block(now, parts));
        }
    }

    /// Blocks features that were found out.
    fn block(&mut self, now: Moment, found: Vec<(Feature, Suspect)>) -> Vec<Conviction> {
        let convictions = found.into_iter().map(|(feature, suspect)| {
            self.blocks.convict(now, feature);
            Conviction::new(now, feature, &suspect, self.is_known(now, feature))
        });
        convictions.collect()
    }

    /// Returns the feature that most crashes speak against and that is not blocked, if there are
    /// enough of them for a block. `settle` is that of [`Self::convict`].
    pub fn leading_suspect(&self, now: Moment, settle: Span) -> Option<Conviction> {
        let until = Moment(now.0.saturating_sub(settle.0));
        let settled = self.settled_crashes(now, until);
        let is_blocked = |feature| self.blocks.contains(feature);
        let open = settled.iter().filter_map(|c| OpenCrash::new(c, is_blocked));
        let suspects = self.suspects(&open.collect::<Vec<_>>()).into_iter();
        let suspects = suspects.filter(|(f, s)| s.crashes.len() >= MIN_CRASHES && !is_blocked(*f));
        let (feature, suspect) = suspects.max_by_key(|(_, s)| (s.crashes.len(), s.successive))?;
        let known = self.is_known(now, feature);
        Some(Conviction::new(now, feature, &suspect, known))
    }

    /// Returns the parts that are most likely the cause of crashes that nothing explains yet; none
    /// if none is certain enough.
    fn find_bad_parts(&self, now: Moment, until: Moment) -> Vec<(Feature, Suspect)> {
        let settled = self.settled_crashes(now, until);
        // Had nothing been blocked, some crashes would speak against other features as well.
        let all = settled.iter().filter_map(|c| OpenCrash::new(c, |_| false));
        let all = self.suspects(&all.collect::<Vec<_>>());
        let successive = |feature| all.get(&feature).map_or(0, |s| s.successive);
        // A request that is blocked for crashes at one moment may be sound.
        let explains = |feature: Feature| {
            let certain = feature.is_part() || successive(feature) >= MIN_CRASHES;
            certain && self.blocks.contains(feature)
        };
        let open = settled.iter().filter_map(|c| OpenCrash::new(c, explains));
        let open: Vec<_> = open.collect();
        let mut suspects = self.suspects(&open);
        for (feature, suspect) in &mut suspects {
            suspect.trials = self.failed_trials(*feature, suspect, &open);
        }
        let half_open: Vec<_> = self.half_open(now).collect();
        // The runs that are let through tell whether another part is the cause.
        let may_be_explained = |feature: Feature, suspect: &Suspect| {
            let is_new = !self.is_known(now, feature);
            let mut others = half_open.iter().filter(|other| **other != feature);
            others.any(|other| {
                // What is in wide use is hardly the cause of crashes that a new part has as well.
                let in_use = is_new && self.is_known(now, *other);
                let found = suspects.get(other).filter(|o| o.covers(suspect));
                found.is_some_and(|o| !in_use || !o.is_wider(suspect))
            })
        };
        let is_candidate = |(feature, s): &(&Feature, &Suspect)| {
            feature.is_part()
                && !self.blocks.contains(**feature)
                && self.is_certain(now, **feature, s, successive(**feature))
                && (s.trials >= MAX_TRIALS || !may_be_explained(**feature, s))
        };
        let candidates = suspects.iter().filter(is_candidate);
        let candidates = candidates.map(|(feature, s)| (*feature, s.clone()));
        self.most_likely(now, candidates.collect())
    }

    /// Returns the candidates that most crashes speak against; none if they are rivals of which
    /// the evidence does not say enough.
    fn most_likely(
        &self,
        now: Moment,
        mut candidates: Vec<(Feature, Suspect)>,
    ) -> Vec<(Feature, Suspect)> {
        let key = |(feature, s): &(Feature, Suspect)| {
            (!self.is_known(now, *feature), s.crashes.len(), s.successive)
        };
        let Some(best) = candidates.iter().map(&key).max() else {
            return Vec::new();
        };
        candidates.retain(|candidate| key(candidate) == best);
        if self.served < MIN_SERVED {
            // A common part that no run has cleared yet is in all runs with the cause, and others.
            let all = candidates.clone();
            candidates.retain(|(_, s)| !all.iter().any(|(_, other)| s.is_wider(other)));
        }
        let tied = candidates.clone();
        let has_rival = |(_, s): &(Feature, Suspect)| tied.iter().any(|(_, o)| s.is_rival(o));
        if best.2 >= MANY_CRASHES && tied.iter().any(&has_rival) {
            // The part with the fewest runs is the least likely to be in all batches by chance.
            let fewest = tied.iter().map(|(_, s)| s.runs.len()).min();
            candidates.retain(|(_, s)| Some(s.runs.len()) == fewest);
        } else {
            candidates.retain(|candidate| !has_rival(candidate));
        }
        candidates
    }

    /// Returns whether a run with a feature was complete lately.
    fn is_known(&self, now: Moment, feature: Feature) -> bool {
        let last = self.completed.get(&feature);
        last.is_some_and(|known| now.since(known.last.end) < MEMORY)
    }

    /// Returns whether there is enough to block a part. `total` is the number of successive
    /// crashes that would speak against it if nothing were blocked.
    fn is_certain(&self, now: Moment, part: Feature, suspect: &Suspect, total: usize) -> bool {
        let (successive, crashes) = (suspect.successive, suspect.crashes.len());
        if suspect.requests.len() < MIN_REQUESTS || crashes * MIN_COVERAGE < suspect.spanned() {
            return false;
        }
        if self.is_known(now, part) {
            // Where no request is served at all, the fault is not that of a part.
            let first = suspect.span.map_or(now, |(first, _)| first);
            let enough = successive >= MANY_CRASHES || suspect.trials >= MAX_TRIALS;
            return enough && self.serves_without(part, first);
        }
        // Requests that come at the same time crash replicas together.
        let many_at_once = successive >= DOUBTFUL_CRASHES
            && crashes >= MANY_CRASHES
            && crashes * 2 >= suspect.spanned();
        successive >= MIN_CRASHES || many_at_once || total >= MANY_CRASHES
    }

    /// Returns whether a request without a part was served by this VM since `first`.
    fn serves_without(&self, part: Feature, first: Moment) -> bool {
        let mut recent = self.recent.iter().filter(|(at, _)| *at >= first);
        recent.any(|(_, features)| !features.contains(&part))
    }

    /// Returns whether a request is suspected enough not to be sent again after a broken run:
    /// each attempt may cost another replica and all that it runs.
    pub fn is_doubtful(&self, now: Moment, features: &[Feature]) -> bool {
        self.is_doubtful_request(now, features)
            || self.is_doubtful_part(now, features)
            || self.is_half_open(now, features)
    }

    fn is_doubtful_part(&self, now: Moment, features: &[Feature]) -> bool {
        let parts = features.iter().copied().filter(|f| f.is_part());
        let doubted: BTreeSet<_> = parts.filter(|part| !self.is_known(now, *part)).collect();
        let settled = self.settled_crashes(now, now);
        let is_blocked = |feature| self.blocks.contains(feature);
        let open = settled.iter().filter_map(|c| OpenCrash::new(c, is_blocked));
        let open: Vec<_> = open.collect();
        let may_count = |feature, at| doubted.contains(&feature) && !self.is_cleared(feature, at);
        let suspects = find_suspects(&open, may_count);
        let mut suspects = suspects.values();
        suspects.any(|suspect| suspect.successive >= DOUBTFUL_CRASHES)
    }
}
