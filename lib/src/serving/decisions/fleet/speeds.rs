//! Prefill speeds of replicas, inferred from the first events of runs.
//!
//! Load: long prompts at replicas that differ in speed by a factor of more than two
//! and stall at times. With one speed for all, a slow replica gets as many prompts as
//! the others, and its queue grows beyond the objective of the requests in it.
//!
//! A run shows a range of speeds rather than one: how much of a shared prefix was in
//! the engine's cache is unknown, and so is how much of the reported queue was still
//! to be read. The longest possible work gives an upper bound of the speed, the
//! least possible work a lower one. Only a run whose range excludes the present
//! estimate moves it, to the nearer bound. Neither cached prefixes nor old reports of
//! the queue then make a replica seem fast or slow.
//!
//! VMs report the bounds, and the owner of a replica averages those of all VMs, as a
//! single VM among many sends too few runs to a replica for an average of its own.

use super::Fleet;
use super::Replica;
use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::program::experiment::Mechanism;

/// Prompt tokens that an engine prefills per millisecond, approximately, until it was
/// observed.
const DEFAULT_TOKENS_PER_MS: f64 = 40.0;

/// Maximum factor between a speed and the default. Engines differ by a factor of two
/// to three; a larger difference is a stall or an error of the observation.
const MAX_FACTOR: f64 = 4.0;

/// Weight of an observation in the average of the logarithms: a stall counts as one
/// or a few observations and moves the average by some tenths.
const OBSERVATION_WEIGHT: f64 = 0.1;

/// Minimum time between two observations that count. All runs in flight during a stall
/// see the same stall, and without a limit several dozen would count it.
const OBSERVATION_INTERVAL: Span = Span::from_millis(500);

/// Time in which the logarithm of the ratio to the default halves: a replica that got
/// few requests because it was slow is tried again within a minute.
const HALF_LIFE: Span = Span::from_millis(20_000);

/// Logarithms of ratios below this, about 1%, count as the default.
const MIN_LOG_RATIO: f64 = 0.01;

/// Minimum tokens before the first event of a run that counts. Below it the constant
/// time of the engine's steps outweighs the prefill.
const MIN_TOKENS: u64 = 1_500;

/// Time until a first event that is no prefill, in milliseconds: the engine's step that
/// is under way at arrival, and the constant part of the step that ends the prefill.
const STEPS_MS: f64 = 10.0;

/// Prefill speed of an engine in prompt tokens per millisecond, at most a factor of
/// four from the default of 40.
///
/// ```
/// use banyangauge::serving::PrefillSpeed;
/// let half = PrefillSpeed::new(20.0);
/// assert_eq!(half.prefill_ms(8_000), 400.0);
/// assert_eq!(PrefillSpeed::default().prefill_ms(8_000), 200.0);
/// assert_eq!(PrefillSpeed::new(1.0), PrefillSpeed::new(10.0));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct PrefillSpeed(f64);

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self(DEFAULT_TOKENS_PER_MS)
    }
}

impl PrefillSpeed {
    /// Creates a speed from tokens per millisecond, moved into the permitted range.
    pub fn new(tokens_per_ms: f64) -> Self {
        let (min, max) = (
            DEFAULT_TOKENS_PER_MS / MAX_FACTOR,
            DEFAULT_TOKENS_PER_MS * MAX_FACTOR,
        );
        match tokens_per_ms.is_nan() {
            true => Self::default(),
            false => Self(tokens_per_ms.clamp(min, max)),
        }
    }

    /// Returns the time in which the engine prefills `tokens` tokens, in milliseconds.
    pub fn prefill_ms(self, tokens: u64) -> f64 {
        tokens as f64 / self.0
    }

    /// Converts a duration at the default speed to one at this speed. Both are in
    /// milliseconds.
    ///
    /// ```
    /// use banyangauge::serving::PrefillSpeed;
    /// assert_eq!(PrefillSpeed::new(20.0).scale_ms(100.0), 200.0);
    /// ```
    pub fn scale_ms(self, default_ms: f64) -> f64 {
        default_ms * (DEFAULT_TOKENS_PER_MS / self.0)
    }

    /// Returns the speed in tokens per second, for messages to other VMs; 0 stands for
    /// the default.
    ///
    /// ```
    /// use banyangauge::serving::PrefillSpeed;
    /// assert_eq!(PrefillSpeed::new(20.0).to_wire(), 20_000);
    /// assert_eq!(PrefillSpeed::default().to_wire(), 0);
    /// ```
    pub fn to_wire(self) -> u64 {
        match self == Self::default() {
            true => 0,
            false => (self.0 * 1e3).round() as u64,
        }
    }

    /// Returns the speed that [`PrefillSpeed::to_wire`] encoded; `None` if none is
    /// stated.
    ///
    /// ```
    /// use banyangauge::serving::PrefillSpeed;
    /// assert_eq!(PrefillSpeed::from_wire(20_000), Some(PrefillSpeed::new(20.0)));
    /// assert_eq!(PrefillSpeed::from_wire(0), None);
    /// ```
    pub fn from_wire(tokens_per_s: u64) -> Option<Self> {
        (tokens_per_s > 0).then(|| Self::new(tokens_per_s as f64 / 1e3))
    }

    fn log_ratio(self) -> f64 {
        (self.0 / DEFAULT_TOKENS_PER_MS).ln()
    }
}

/// Prompt tokens before the first event of a run, as counted when it was sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PromptQueue {
    /// Tokens of the run's own prompt.
    pub own: u64,
    /// Those of them that other requests share, which may be in the engine's cache.
    pub shared: u64,
    /// Tokens of other prompts that the engine had not prefilled.
    pub queued: u64,
}

impl PromptQueue {
    /// Returns the slowest and the fastest speed with which an engine sends the first
    /// event `took` after the send. `None` if there were too few tokens to tell.
    ///
    /// ```
    /// use banyangauge::pool::Span;
    /// use banyangauge::serving::{PrefillSpeed, PromptQueue};
    /// let queue = PromptQueue { own: 9_000, shared: 6_000, queued: 0 };
    /// let (min, max) = queue.speeds(Span::from_millis(100)).unwrap();
    /// assert_eq!((min, max), (PrefillSpeed::new(30.0), PrefillSpeed::new(100.0)));
    /// assert!(PromptQueue { own: 800, ..queue }.speeds(Span::from_millis(100)).is_none());
    /// ```
    pub fn speeds(&self, took: Span) -> Option<(PrefillSpeed, PrefillSpeed)> {
        let most = self.own.saturating_add(self.queued);
        if most < MIN_TOKENS {
            return None;
        }
        let least = self.own.saturating_sub(self.shared);
        let took_ms = took.0 as f64 / 1e3;
        // Both divisors may be zero, which stands for an unlimited speed.
        let min = match took_ms > 0.0 {
            true => least as f64 / took_ms,
            false => 0.0,
        };
        let max = match took_ms > STEPS_MS {
            true => most as f64 / (took_ms - STEPS_MS),
            false => f64::INFINITY,
        };
        Some((PrefillSpeed::new(min), PrefillSpeed::new(max)))
    }
}

/// Estimate of one replica's prefill speed.
///
/// ```
/// use banyangauge::pool::{Moment, Span};
/// use banyangauge::serving::{PrefillSpeed, SpeedEstimate};
/// let mut estimate = SpeedEstimate::default();
/// estimate.set(Moment(0), PrefillSpeed::new(10.0));
/// assert_eq!(estimate.speed(Moment(0)), PrefillSpeed::new(10.0));
/// let half_life = Moment(0).after(Span::from_millis(20_000));
/// assert_eq!(estimate.speed(half_life), PrefillSpeed::new(20.0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedEstimate {
    /// Logarithm of the ratio to the default, at `updated_at`.
    log_ratio: f64,
    updated_at: Moment,
    /// When the last observation counted.
    observed_at: Option<Moment>,
}

impl SpeedEstimate {
    /// Returns the estimated speed.
    pub fn speed(&self, now: Moment) -> PrefillSpeed {
        let log_ratio = self.log_ratio(now);
        match log_ratio == 0.0 {
            true => PrefillSpeed::default(),
            false => PrefillSpeed::new(DEFAULT_TOKENS_PER_MS * log_ratio.exp()),
        }
    }

    /// Adds an observation to the average, unless another one has just counted.
    pub fn observe(&mut self, now: Moment, observed: PrefillSpeed) {
        let last = self.observed_at;
        if last.is_some_and(|at| now.since(at) < OBSERVATION_INTERVAL) {
            return;
        }
        let old = self.log_ratio(now);
        self.log_ratio = old + OBSERVATION_WEIGHT * (observed.log_ratio() - old);
        self.updated_at = now;
        self.observed_at = Some(now);
    }

    /// Replaces the estimate.
    pub fn set(&mut self, now: Moment, speed: PrefillSpeed) {
        self.log_ratio = speed.log_ratio();
        self.updated_at = now;
    }

    fn log_ratio(&self, now: Moment) -> f64 {
        if self.log_ratio == 0.0 {
            return 0.0;
        }
        let half_lives = now.since(self.updated_at).0 as f64 / HALF_LIFE.0 as f64;
        let log_ratio = self.log_ratio * (-half_lives).exp2();
        match log_ratio.abs() < MIN_LOG_RATIO {
            true => 0.0,
            false => log_ratio,
        }
    }
}

/// What a run showed about the speed of its replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// Too few tokens, or speeds are not observed.
    Ignored,
    /// The estimate is possible.
    Consistent,
    /// The replica is slower than estimated.
    Slower,
    /// The replica is faster than estimated.
    Faster,
}

impl Observation {
    /// Returns the name for the metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ignored => "ignored",
            Self::Consistent => "consistent",
            Self::Slower => "slower",
            Self::Faster => "faster",
        }
    }
}

impl Fleet {
    /// Returns the prefill speed of a replica: the default, unless its owner reported
    /// another one.
    pub fn prefill_speed(&self, now: Moment, name: &ReplicaName) -> PrefillSpeed {
        let r = self.replicas.get(name);
        r.map_or(PrefillSpeed::default(), |r| self.speed_of(now, r))
    }

    /// Like [`Fleet::prefill_speed`], without a search for the replica: each placement
    /// needs the speeds of all replicas of a service.
    pub(super) fn speed_of(&self, now: Moment, r: &Replica) -> PrefillSpeed {
        match self.experiment.is_enabled(Mechanism::ReplicaSpeeds) {
            true => r.speed.speed(now),
            false => PrefillSpeed::default(),
        }
    }

    /// Records that the first event of a run arrived `took` after its send. What it
    /// shows is kept for the replica's owner.
    pub fn record_first_event(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        queue: &PromptQueue,
        took: Span,
    ) -> Observation {
        let speed = self.prefill_speed(now, name);
        let enabled = self.experiment.is_enabled(Mechanism::ReplicaSpeeds);
        let r = self.replicas.get_mut(name).filter(|_| enabled);
        let (Some(r), Some((min, max))) = (r, queue.speeds(took)) else {
            return Observation::Ignored;
        };
        let (observed, observation) = match () {
            () if max < speed => (max, Observation::Slower),
            () if min > speed => (min, Observation::Faster),
            () => return Observation::Consistent,
        };
        r.observed_speed = Some(observed);
        observation
    }

    /// Returns the latest speed that was observed here and not yet reported to the
    /// replica's owner, and marks it as reported.
    pub fn take_observed_speed(&mut self, name: &ReplicaName) -> Option<PrefillSpeed> {
        let r = self.replicas.get_mut(name);
        r.and_then(|r| r.observed_speed.take())
    }

    /// Adds a speed that a VM observed to the average of a replica that this VM owns.
    pub fn observe_speed(&mut self, now: Moment, name: &ReplicaName, observed: PrefillSpeed) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.speed.observe(now, observed);
        }
    }

    /// Applies the speed of a replica by its owner's report.
    pub fn apply_owner_speed(&mut self, now: Moment, name: &ReplicaName, speed: PrefillSpeed) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.speed.set(now, speed);
        }
    }
}
