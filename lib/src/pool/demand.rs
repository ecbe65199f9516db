//! Exponentially decaying request rates.

use super::types::Moment;
use super::types::Span;

/// Steps of the order key per doubling of the rate.
const KEY_STEPS_PER_DOUBLING: f64 = 4_096.0;

/// Number of mean request intervals after the last request at which the next
/// one is overdue.
const OVERDUE_INTERVALS: f64 = 6.0;

/// A request count that halves every half-life. It is stored as a logarithm
/// relative to time zero, which grows with each request instead of decaying
/// with time. The order of two counts therefore changes only when a request is
/// recorded, and an index sorted by [`Demand::order_key`] stays valid in
/// between.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    log2_count: f64,
    /// Time of the last request.
    pub(crate) last_request: Moment,
}

impl Demand {
    /// No request so far.
    pub(crate) const NONE: Self = Self {
        log2_count: f64::NEG_INFINITY,
        last_request: Moment(0),
    };

    /// Adds `weight` requests at `now`. `half_life` is the half-life in
    /// microseconds.
    pub(crate) fn record(&mut self, now: Moment, half_life: f64, weight: f64) {
        let scale = now.0 as f64 / half_life;
        let old = (self.log2_count - scale).exp2();
        self.log2_count = scale + (old + weight).log2();
        self.last_request = now;
    }

    /// Returns the decayed rate in requests per second.
    pub(crate) fn rate(&self, now: Moment, half_life: f64) -> f64 {
        let count = (self.log2_count - now.0 as f64 / half_life).exp2();
        count * std::f64::consts::LN_2 * 1e6 / half_life
    }

    /// Returns the decayed rate, but at most `intervals` divided by the
    /// seconds since the last request. The decayed count alone ranks a formerly
    /// busy adapter first for many half-lives. An adapter with one request per
    /// second that has had none for `intervals` seconds has most likely
    /// lost its callers.
    pub(crate) fn expected_rate(&self, now: Moment, half_life: f64, intervals: f64) -> f64 {
        let silence = now.since(self.last_request).0 as f64 / 1e6;
        self.rate(now, half_life).min(intervals / silence.max(1e-3))
    }

    /// Returns the time from which the next request is overdue, a sign that the
    /// callers have gone. Requests that arrive at random at this rate leave so
    /// long a gap once in four hundred times.
    pub(crate) fn overdue_at(&self, half_life: f64) -> Moment {
        let rate = self.rate(self.last_request, half_life).max(1e-6);
        self.last_request
            .after(Span((OVERDUE_INTERVALS / rate * 1e6) as u64))
    }

    /// Returns a key that sorts like the rate divided by `copies`, independent
    /// of the time of the call.
    pub(crate) fn order_key(&self, copies: usize) -> i64 {
        let log = self.log2_count - (copies.max(1) as f64).log2();
        (log.max(-1e12) * KEY_STEPS_PER_DOUBLING) as i64
    }
}
