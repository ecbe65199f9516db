//! Limits how many adapters are fetched from the weight store concurrently.

use crate::pool::Span;
use crate::serving::decisions::adapter_planner::LoadDuration;
use crate::serving::program::experiment::Experiment;
use crate::serving::program::experiment::Mechanism;

/// Initial estimate of the duration of a fetch without contention, in
/// microseconds.
const INITIAL_FETCH_US: f64 = 250e3;

/// Initial number of concurrent fetches: what a small store serves.
const INITIAL_CAPACITY: f64 = 8.0;

/// Initial number of concurrent fetches per engine. Known stores serve from 0.5
/// to two per engine; a slower one is detected by its first loads. With 1.0
/// instead of 0.5 per engine the net value (what callers received minus what it
/// cost, as a fraction of what was owed to them) rose from 0.684 to 0.698 (small
/// deployment, 8 days, processor time not counted).
const CAPACITY_PER_ENGINE: f64 = 1.0;

/// Bounds of the learned capacity: the lower one lets every owner fetch, the
/// upper one is the capacity of a large weight store.
const CAPACITY_BOUNDS: (f64, f64) = (4.0, 256.0);

/// Ratio to the uncontended duration from which on a fetch counts as slowed
/// down: the store had more fetches than it serves at full speed.
const SLOW_RATIO: f64 = 1.3;

/// Weight of one observation in the moving average.
const OBSERVATION_WEIGHT: f64 = 0.15;

/// Growth of the uncontended duration with each observation, so that one low
/// outlier does not persist.
const UNCONTENDED_GROWTH: f64 = 1.02;

/// Fraction of the expected duration after which a fetch is first polled.
const FIRST_POLL_FRACTION: f64 = 0.95;

/// Duration of a load from the replica's own memory as a fraction of a fetch.
const CACHED_FRACTION: f64 = 0.1;

/// Expected durations of a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadDurations {
    /// From the weight store.
    pub fetch: Span,
    /// From the replica's own memory.
    pub cached: Span,
}

/// Learns how many concurrent fetches the weight store serves at full speed.
///
/// When many rare adapters are requested at once, the store divides its
/// bandwidth among all fetches in flight, so more of them end later and none
/// sooner. With the concurrency limited, the first adapters are usable while the
/// others still wait: the median load fell from 1,100 to 260 ms on a day of high
/// load. Underestimating the store costs more: with 140 engines that start empty
/// and eight concurrent fetches, 30 loads a second completed where 60 were
/// requested.
#[derive(Clone, Copy, Debug)]
pub struct FetchLimiter {
    /// Duration of a fetch without contention.
    uncontended_us: f64,
    /// Concurrent fetches that the store serves at full speed.
    capacity: f64,
    /// Whether a fetch was observed; until then the capacity is estimated.
    has_observation: bool,
    /// Whether a fetch was ever slowed down by concurrent ones.
    slowed: bool,
    /// Whether the capacity is learned; a switch for experiments.
    learning_enabled: bool,
    /// Whether the capacity is enforced; a switch for experiments.
    enforced: bool,
}

impl Default for FetchLimiter {
    fn default() -> Self {
        Self {
            uncontended_us: INITIAL_FETCH_US,
            capacity: INITIAL_CAPACITY,
            has_observation: false,
            slowed: false,
            learning_enabled: true,
            enforced: true,
        }
    }
}

impl FetchLimiter {
    /// Applies the mechanisms that are switched off.
    pub fn set_experiment(&mut self, experiment: &Experiment) {
        self.learning_enabled = experiment.is_enabled(Mechanism::FetchWidth);
        self.enforced = experiment.is_enabled(Mechanism::FetchPace);
    }

    /// Estimates the capacity from the number of engines that the store serves,
    /// until the first fetch is observed.
    pub fn set_engine_count(&mut self, engines: usize) {
        if !self.has_observation {
            self.capacity = INITIAL_CAPACITY.max(engines as f64 * CAPACITY_PER_ENGINE);
        }
    }

    /// Records the duration of a fetch that ended with `in_flight` fetches in
    /// flight. If the end was detected late, because the replica left orders
    /// unanswered, the fetch may or may not have been slow and is ignored.
    pub fn observe(&mut self, duration: LoadDuration, in_flight: usize) {
        if !self.learning_enabled {
            return;
        }
        let (min_us, max_us) = (duration.min.0 as f64, (duration.max.0 as f64).max(1.0));
        self.uncontended_us = (self.uncontended_us * UNCONTENDED_GROWTH).min(max_us);
        let slow_us = self.uncontended_us * SLOW_RATIO;
        let n = in_flight.max(1) as f64;
        let estimate = match () {
            () if min_us > slow_us => n * self.uncontended_us / min_us,
            // All fetches ran at full speed, so the store may serve a few more.
            () if max_us <= slow_us => self.estimate_at_full_speed(n),
            () => return,
        };
        self.has_observation = true;
        let first_slow = min_us > slow_us && !self.slowed;
        self.slowed |= first_slow;
        if first_slow {
            self.capacity = estimate;
        }
        let (lower, upper) = CAPACITY_BOUNDS;
        self.capacity += OBSERVATION_WEIGHT * (estimate.clamp(lower, upper) - self.capacity);
    }

    /// Estimates the capacity after a fetch at full speed beside `n - 1` others.
    /// Until the first slow fetch, each fetch raises the capacity by one if at least
    /// half of it is in use, so it doubles after at most as many such fetches as its
    /// value.
    fn estimate_at_full_speed(&mut self, n: f64) -> f64 {
        if !self.slowed && n * 2.0 >= self.capacity {
            self.capacity += 1.0;
        }
        self.capacity.max(n + 1.0)
    }

    /// Returns how many fetches may be in flight over all replicas.
    pub fn capacity(&self) -> usize {
        match self.enforced {
            true => self.capacity.round() as usize,
            false => usize::MAX,
        }
    }

    /// Returns the expected durations of a load that begins beside `in_flight` fetches.
    ///
    /// ```
    /// use banyangauge::pool::Span;
    /// use banyangauge::serving::FetchLimiter;
    /// let expected = FetchLimiter::default().expected(0);
    /// assert_eq!(expected.fetch, Span::from_millis(250));
    /// assert_eq!(expected.cached, Span::from_millis(25));
    /// ```
    pub fn expected(&self, in_flight: usize) -> LoadDurations {
        let slowdown = ((in_flight + 1) as f64 / self.capacity.max(1.0)).max(1.0);
        LoadDurations {
            fetch: Span((self.uncontended_us * slowdown) as u64),
            cached: Span((self.uncontended_us * CACHED_FRACTION) as u64),
        }
    }

    /// Returns the time after which a fetch is first polled.
    pub fn first_check_delay(&self) -> Span {
        Span((self.uncontended_us * FIRST_POLL_FRACTION) as u64)
    }
}
