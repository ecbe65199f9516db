//! The features that are blocked: requests that hold one are refused.

use std::collections::BTreeMap;

use super::feature::Feature;
use crate::pool::Moment;
use crate::pool::Span;

/// How long a feature that no request holds stays blocked.
pub const BLOCK_TTL: Span = Span::from_millis(3_600_000);

/// When requests with a blocked feature are let through to see whether replicas still crash.
struct TrialPolicy {
    /// Time from the block to the first trial.
    first: Span,
    /// Factor by which the time to the next trial grows with each that fails.
    growth: u64,
    /// Time over which the first trials of features are spread that were blocked together: the
    /// trial of one that crashes replicas would break those of the others.
    spread: Span,
}

/// A part that does crash replicas costs three of them in the first two hours.
const PART_TRIALS: TrialPolicy = TrialPolicy {
    first: Span::from_millis(60_000),
    growth: 10,
    spread: Span::from_millis(0),
};

/// A request that does crash replicas costs three of them in the first seven hours. The first
/// trial comes soon, as a sound request that many callers send runs at several replicas that lose
/// power together.
const REQUEST_TRIALS: TrialPolicy = TrialPolicy {
    first: Span::from_millis(3_000),
    growth: 20,
    spread: Span::from_millis(6_000),
};

/// Times at which first trials that are spread may begin.
const TRIAL_SLOTS: u64 = 8;

/// Time after which a trial that came to no end is followed by another.
const TRIAL_TIMEOUT: Span = Span::from_millis(30_000);

/// Maximum number of blocks; the one that was needed least recently yields.
const MAX_BLOCKS: usize = 1_024;

/// A blocked feature.
#[derive(Clone, Copy, Debug)]
pub(super) struct Block {
    /// When it was blocked.
    pub(super) since: Moment,
    /// When a request was last refused for it, at any VM.
    pub(super) last_hit: Moment,
    /// The last crash that counts against it.
    last_crash: Moment,
    /// Trials that failed.
    trials: u32,
    /// From when on a request is let through; `None` if this VM learnt of the block from the
    /// store, and no VM has told when.
    trial_at: Option<Moment>,
    /// Whether the store has it.
    pub(super) stored: bool,
}

/// The blocked features.
#[derive(Debug, Default)]
pub(super) struct Blocks(BTreeMap<Feature, Block>);

impl Blocks {
    /// Blocks a feature that this VM found out.
    pub(super) fn convict(&mut self, now: Moment, feature: Feature) {
        self.add(now, now, feature);
        let policy = trial_policy(feature);
        let spread = policy.spread.0 / TRIAL_SLOTS * (feature.number() % TRIAL_SLOTS);
        if let Some(block) = self.0.get_mut(&feature) {
            block.delay_trial(now.after(policy.first).after(Span(spread)));
        }
    }

    /// Blocks a feature. Returns whether it was not blocked before.
    pub(super) fn add(&mut self, since: Moment, last_hit: Moment, feature: Feature) -> bool {
        if let Some(block) = self.0.get_mut(&feature) {
            block.last_hit = block.last_hit.max(last_hit);
            return false;
        }
        if self.0.len() >= MAX_BLOCKS {
            let oldest = self.0.iter().min_by_key(|(_, b)| b.last_hit);
            if let Some(oldest) = oldest.map(|(f, _)| *f) {
                self.0.remove(&oldest);
            }
        }
        let block = Block {
            since,
            last_hit,
            last_crash: since,
            trials: 0,
            trial_at: None,
            stored: false,
        };
        self.0.insert(feature, block);
        true
    }

    pub(super) fn remove(&mut self, feature: Feature) -> Option<Block> {
        self.0.remove(&feature)
    }

    pub(super) fn get(&self, feature: Feature) -> Option<&Block> {
        self.0.get(&feature)
    }

    pub(super) fn get_mut(&mut self, feature: Feature) -> Option<&mut Block> {
        self.0.get_mut(&feature)
    }

    pub(super) fn contains(&self, feature: Feature) -> bool {
        self.0.contains_key(&feature)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Feature, &Block)> {
        self.0.iter().map(|(feature, block)| (*feature, block))
    }

    /// Removes the blocks that no request has needed for long, and returns them.
    pub(super) fn expire(&mut self, now: Moment) -> Vec<Feature> {
        let is_old = |b: &Block| now.since(b.last_hit) >= BLOCK_TTL;
        let old = self.0.iter().filter(|(_, b)| is_old(b));
        let old: Vec<_> = old.map(|(f, _)| *f).collect();
        old.iter().for_each(|f| {
            self.0.remove(f);
        });
        old
    }
}

impl Block {
    /// Returns from when on a request is let through.
    pub(super) fn trial_at(&self) -> Moment {
        self.trial_at.unwrap_or(self.since.after(PART_TRIALS.first))
    }

    /// Returns whether a request may be let through now.
    pub(super) fn is_trial_due(&self, now: Moment) -> bool {
        now >= self.trial_at()
    }

    /// Puts the next trial off until `at`, if it is not later already.
    pub(super) fn delay_trial(&mut self, at: Moment) {
        self.trial_at = self.trial_at.max(Some(at));
    }

    /// Records that a request is let through.
    pub(super) fn begin_trial(&mut self, now: Moment) {
        self.trial_at = Some(now.after(TRIAL_TIMEOUT));
    }

    /// Records that a replica crashed at `at` on a request that holds the feature. A run that
    /// was under way when the feature was blocked is no trial.
    pub(super) fn record_crash(&mut self, feature: Feature, sent: Moment, at: Moment) {
        if sent <= self.last_crash || at <= self.last_crash {
            return;
        }
        self.last_crash = at;
        self.trials += 1;
        let policy = trial_policy(feature);
        let factor = policy.growth.saturating_pow(self.trials);
        let pause = Span(policy.first.0.saturating_mul(factor));
        self.trial_at = Some(at.after(pause));
    }
}

fn trial_policy(feature: Feature) -> TrialPolicy {
    match feature {
        Feature::Request(_) => REQUEST_TRIALS,
        Feature::PromptPart(_) => PART_TRIALS,
    }
}
