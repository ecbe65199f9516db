//! Parts of prompts of which a single run at a time is let through.
//!
//! Replicas that crash at one moment do not tell a part that crashes them, in requests that came
//! together, from one that was under way when they lost power together. As in the half-open state
//! of a circuit breaker, a few runs tell: a part that as many crashes speak against as a block
//! needs, in succession or not, is tried by one VM at a time. A run that begins its response ends
//! that, at all VMs; two that crash are enough for a block. Parts in wide use are seldom limited:
//! they begin runs elsewhere before the crashes are judged, unless all replicas were lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::CrashTracker;
use super::MEMORY;
use super::REPORT_TTL;
use super::evidence::BrokenRun;
use super::evidence::Crash;
use super::evidence::OpenCrash;
use super::evidence::SettledCrash;
use super::evidence::Suspect;
use super::evidence::find_suspects;
use super::feature::Feature;
use super::judge::MANY_CRASHES;
use super::judge::MIN_REQUESTS;
use crate::pool::Moment;
use crate::pool::Span;

/// Time after which a run that came to no end is followed by another: by then its crash is
/// judged, also if it was noticed only by the silence of the replica.
const TRIAL_TIMEOUT: Span = Span::from_millis(5_000);

/// The evidence against one part.
#[derive(Clone, Debug, Default)]
struct Doubt {
    /// Since when it is half-open.
    since: Moment,
    /// When replicas crashed on it.
    crashes: Vec<Moment>,
    /// What another VM that limits the part tells: when the last replica crashed on it, and when
    /// this VM learnt of that.
    told: Option<(Moment, Moment)>,
    /// From when on a run is let through.
    trial_at: Moment,
    /// The same for a request that has no other half-open part: what requests share with a part
    /// that crashes replicas is tried without it.
    alone_at: Moment,
}

impl Doubt {
    /// Returns whether another VM has told lately that it limits the part.
    fn is_told(&self, now: Moment) -> bool {
        self.told
            .is_some_and(|(_, learnt)| now.since(learnt) < REPORT_TTL)
    }

    /// Returns from when on a request is let through, given whether this is its only half-open
    /// part.
    fn due_at(&self, is_alone: bool) -> Moment {
        if is_alone {
            self.alone_at
        } else {
            self.trial_at
        }
    }

    /// Puts the next run off until `at`.
    fn delay(&mut self, at: Moment, is_alone: bool) {
        self.trial_at = at;
        if is_alone {
            self.alone_at = at;
        }
    }
}

/// The parts that are half-open.
#[derive(Clone, Debug, Default)]
pub(super) struct HalfOpen {
    doubts: BTreeMap<Feature, Doubt>,
    /// The last run that began its response.
    begun: BTreeMap<Feature, Begun>,
}

/// A run that began its response, at any VM.
#[derive(Clone, Copy, Debug)]
struct Begun {
    sent: Moment,
    /// When this VM saw it; `None` if it was told, and does not tell others.
    seen: Option<Moment>,
}

impl HalfOpen {
    /// Replaces the evidence, and keeps when runs are let through.
    fn replace(&mut self, now: Moment, mut found: BTreeMap<Feature, Vec<Moment>>) {
        for (feature, doubt) in &mut self.doubts {
            doubt.crashes = found.remove(feature).unwrap_or_default();
        }
        self.doubts
            .retain(|_, doubt| !doubt.crashes.is_empty() || doubt.is_told(now));
        for (feature, crashes) in found {
            self.begin(now, feature).crashes = crashes;
        }
    }

    /// Returns the evidence against a part, which is half-open from now on if it was not.
    fn begin(&mut self, now: Moment, feature: Feature) -> &mut Doubt {
        self.doubts.entry(feature).or_insert_with(|| Doubt {
            since: now,
            ..Doubt::default()
        })
    }

    /// Records that a run began its response; the one that was sent last counts.
    fn add_begun(&mut self, now: Moment, feature: Feature, run: Begun) {
        self.begun.retain(|_, last| now.since(last.sent) < MEMORY);
        let last = self.begun.entry(feature).or_insert(run);
        if last.sent < run.sent {
            *last = run;
        }
    }
}

impl CrashTracker {
    /// Finds the parts that are half-open now, given what was known of crashes at `until`.
    pub(super) fn update_half_open(&mut self, now: Moment, until: Moment) {
        let settled = self.settled_crashes(now, until);
        let is_blocked = |feature: Feature| feature.is_part() && self.blocks.contains(feature);
        // What is blocked may explain crashes that made a part half-open. It stays so until a run
        // shows that it is sound.
        let is_explained = |crash: &SettledCrash<'_>| OpenCrash::new(crash, is_blocked).is_none();
        let explained: BTreeSet<_> = settled
            .iter()
            .filter(|c| is_explained(c))
            .map(|c| c.at)
            .collect();
        let all = settled.iter().filter_map(|c| OpenCrash::new(c, |_| false));
        let open: Vec<_> = all.collect();
        let may_count = |feature: Feature, at| {
            let is_open = self.half_open.doubts.contains_key(&feature) || !explained.contains(&at);
            feature.is_part() && is_open && !is_blocked(feature) && !self.survives(feature, at)
        };
        let mut suspects = find_suspects(&open, may_count);
        suspects.retain(|_, s| s.crashes.len() >= MANY_CRASHES && s.requests.len() >= MIN_REQUESTS);
        let found = suspects.iter().map(|(feature, suspect)| {
            let crashes = suspect
                .crashes
                .iter()
                .map(|position| open[*position].crash.at);
            (*feature, crashes.collect())
        });
        let found = found.collect();
        self.half_open.replace(now, found);
    }

    /// Returns how many crashes there were on runs with a feature that were sent while it was
    /// half-open.
    pub(super) fn failed_trials(
        &self,
        feature: Feature,
        suspect: &Suspect,
        crashes: &[OpenCrash<'_>],
    ) -> usize {
        let Some(doubt) = self.half_open.doubts.get(&feature) else {
            return 0;
        };
        let is_trial = |run: &BrokenRun| run.sent >= doubt.since && run.features.contains(&feature);
        let own = suspect
            .crashes
            .iter()
            .map(|position| crashes[*position].crash);
        own.filter(|crash| crash.runs.iter().any(|(_, run)| is_trial(run)))
            .count()
    }

    /// Returns whether a run with a feature that was sent after `at` was complete, or began its
    /// response.
    fn survives(&self, feature: Feature, at: Moment) -> bool {
        let begun = self.half_open.begun.get(&feature);
        begun.is_some_and(|run| run.sent >= at) || self.is_cleared(feature, at)
    }

    /// Returns the evidence against a feature that is half-open now.
    fn doubt(&self, now: Moment, feature: Feature) -> Option<&Doubt> {
        let doubt = self.half_open.doubts.get(&feature)?;
        let told = doubt.told.filter(|_| doubt.is_told(now));
        let is_told = told.is_some_and(|(last, _)| !self.survives(feature, last));
        (is_told || self.is_founded(now, feature, doubt)).then_some(doubt)
    }

    /// Returns whether this VM knows of enough crashes itself.
    fn is_founded(&self, now: Moment, feature: Feature, doubt: &Doubt) -> bool {
        let counts = |at: &&Moment| now.since(**at) < MEMORY && !self.survives(feature, **at);
        doubt.crashes.iter().filter(counts).count() >= MANY_CRASHES
    }

    /// Records that another VM limits a part on which the last replica crashed at `last`.
    pub fn learn_half_open(&mut self, now: Moment, last: Moment, feature: Feature) {
        if !self.blocks.contains(feature) && !self.survives(feature, last) {
            self.half_open.begin(now, feature).told = Some((last, now));
        }
    }

    /// Returns the parts that this VM limits by what it knows itself, and when the last replica
    /// crashed on each.
    pub(super) fn reported_half_open(&self, now: Moment) -> Vec<(Feature, Moment)> {
        let doubts = self.half_open.doubts.iter();
        let founded = doubts.filter(|(feature, doubt)| self.is_founded(now, **feature, doubt));
        let told = founded.filter_map(|(f, doubt)| Some((*f, *doubt.crashes.iter().max()?)));
        told.collect()
    }

    /// Returns the parts that are half-open.
    pub fn half_open(&self, now: Moment) -> impl Iterator<Item = Feature> {
        let parts = self.half_open.doubts.keys().copied();
        parts.filter(move |feature| self.doubt(now, *feature).is_some())
    }

    /// Returns whether one of these features is half-open.
    pub(super) fn is_half_open(&self, now: Moment, features: &[Feature]) -> bool {
        features.iter().any(|f| self.doubt(now, *f).is_some())
    }

    /// Returns the half-open feature for which a request is refused now. The VM for which
    /// `may_try` holds of the feature with the most crashes lets one request through.
    pub(super) fn find_half_open(
        &self,
        now: Moment,
        features: &[Feature],
        may_try: impl Fn(Feature) -> bool,
    ) -> Option<Feature> {
        let doubts = features
            .iter()
            .filter_map(|f| Some((*f, self.doubt(now, *f)?)));
        // One order for all features of a request, so that there is a VM that may try it.
        let worst = doubts
            .clone()
            .max_by_key(|(f, doubt)| (doubt.crashes.len(), *f));
        let (worst, _) = worst?;
        let is_alone = doubts.clone().count() == 1;
        let mut waiting = doubts.filter(|(_, doubt)| now < doubt.due_at(is_alone));
        let waiting = waiting.next().map(|(feature, _)| feature);
        waiting.or((!may_try(worst)).then_some(worst))
    }

    /// Records that a request is let through.
    pub(super) fn begin_half_open(&mut self, now: Moment, features: &[Feature]) {
        self.delay_half_open(now, features, now.after(TRIAL_TIMEOUT));
    }

    /// Records that a request that was let through did not reach a replica, or was refused there.
    /// Another one may follow at once.
    pub fn cancel_send(&mut self, now: Moment, features: &[Feature]) {
        self.delay_half_open(now, features, now);
    }

    fn delay_half_open(&mut self, now: Moment, features: &[Feature], at: Moment) {
        let doubted = features.iter().filter(|f| self.doubt(now, **f).is_some());
        let doubted: Vec<_> = doubted.copied().collect();
        for feature in &doubted {
            if let Some(doubt) = self.half_open.doubts.get_mut(feature) {
                doubt.delay(at, doubted.len() == 1);
            }
        }
    }

    /// Returns how long requests with these features are refused at least, as they are half-open.
    pub(super) fn time_to_half_open(&self, now: Moment, features: &[Feature]) -> Span {
        let doubts = features.iter().filter_map(|f| self.doubt(now, *f));
        let is_alone = doubts.clone().count() == 1;
        let left = doubts.map(|doubt| doubt.due_at(is_alone).since(now)).max();
        left.unwrap_or_default()
    }

    /// Records that a run sent at `sent` began its response: replicas do not crash on its features
    /// before that.
    ///
    /// ```
    /// use banyangauge::pool::Moment;
    /// use banyangauge::serving::{CrashTracker, Feature};
    /// let mut tracker = CrashTracker::default();
    /// tracker.begin_response(Moment(90_000), Moment(50_000), &[Feature::PromptPart(7)]);
    /// // No replica has crashed on it, so that there is nothing to tell.
    /// assert!(tracker.report(Moment(90_000)).is_empty());
    /// ```
    pub fn begin_response(&mut self, now: Moment, sent: Moment, features: &[Feature]) {
        for feature in features {
            let is_accused =
                |crash: &Crash| crash.runs().any(|(_, r)| r.features.contains(feature));
            if feature.is_part() && self.crashes.values().any(is_accused) {
                let seen = Some(now);
                self.half_open
                    .add_begun(now, *feature, Begun { sent, seen });
            }
        }
    }

    /// Records that another VM tells of such a run.
    pub fn learn_begun(&mut self, now: Moment, sent: Moment, feature: Feature) {
        self.half_open
            .add_begun(now, feature, Begun { sent, seen: None });
    }

    /// Returns the features with which a run of this VM began its response lately, and when it was
    /// sent.
    pub(super) fn reported_begun(&self, now: Moment) -> Vec<(Feature, Moment)> {
        let begun = self.half_open.begun.iter();
        let is_recent = |run: &Begun| run.seen.is_some_and(|seen| now.since(seen) < REPORT_TTL);
        let recent = begun.filter(|(_, run)| is_recent(run));
        recent.map(|(feature, run)| (*feature, run.sent)).collect()
    }
}
