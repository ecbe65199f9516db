//! How often something is asked for, forgetting with time.

use super::types::Moment;
use super::types::Span;

/// Steps of an ordered key to one doubling of demand.
const KEY_STEPS_PER_DOUBLING: f64 = 4_096.0;

/// Mean intervals between requests after which the next one is overdue.
const OVERDUE_INTERVALS: f64 = 6.0;

/// A count that halves every half-life, kept as a logarithm that grows with
/// time instead of decaying, so that the order of two of them never changes
/// while nothing is asked for and an ordered index of them stays valid.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    log2_count: f64,
    /// When it was last asked for.
    pub(crate) last_request: Moment,
}

impl Demand {
    /// Nothing was asked for so far.
    pub(crate) const NONE: Self = Self {
        log2_count: f64::NEG_INFINITY,
        last_request: Moment(0),
    };

    /// Counts `weight` requests at `now`.
    pub(crate) fn record(&mut self, now: Moment, half_life_us: f64, weight: f64) {
        let scale = now.0 as f64 / half_life_us;
        let old = (self.log2_count - scale).exp2();
        self.log2_count = scale + (old + weight).log2();
        self.last_request = now;
    }

    /// Requests a second, as far as the half-life can tell.
    pub(crate) fn rate(&self, now: Moment, half_life_us: f64) -> f64 {
        let count = (self.log2_count - now.0 as f64 / half_life_us).exp2();
        count * std::f64::consts::LN_2 * 1e6 / half_life_us
    }

    /// The rate, bounded by what the silence since the last request leaves
    /// likely. A count alone keeps yesterday's busiest adapter for many
    /// half-lives; an adapter of one request a second that was silent for
    /// `patience` seconds has most likely lost its callers.
    pub(crate) fn expected_rate(&self, now: Moment, half_life_us: f64, max_intervals: f64) -> f64 {
        let silence = now.since(self.last_request).0 as f64 / 1e6;
        self.rate(now, half_life_us)
            .min(max_intervals / silence.max(1e-3))
    }

    /// When silence since the last request means that the callers have gone:
    /// requests that come as often as these did leave so long a gap once in
    /// four hundred times.
    pub(crate) fn overdue_at(&self, half_life_us: f64) -> Moment {
        let rate = self.rate(self.last_request, half_life_us).max(1e-6);
        self.last_request
            .after(Span((OVERDUE_INTERVALS / rate * 1e6) as u64))
    }

    /// A key that orders as the rate shared by `copies` does, at any time.
    pub(crate) fn order_key(&self, copies: usize) -> i64 {
        let log = self.log2_count - (copies.max(1) as f64).log2();
        (log.max(-1e12) * KEY_STEPS_PER_DOUBLING) as i64
    }
}
