//! When a request is refused instead of queued, and when its caller should return.

use std::collections::BTreeMap;

use crate::pool::Moment;
use crate::pool::Span;

/// Time over which departures are counted, and for which the queue must not have been empty
/// before a wait is expected: several times the duration of a load, and longer than most stalls
/// of a replica.
const WINDOW: Span = Span::from_millis(4_000);

/// Width of the intervals by which departures are counted.
const INTERVAL: Span = Span::from_millis(250);

/// Minimum number of departures within the window from which a wait is expected. A lower number
/// may just as well mean that the replicas have failed.
const MIN_DEPARTURES: u32 = 12;

/// How far the rate may lie above the one that was observed, in standard deviations of the
/// number of departures (its square root). A request that is refused wrongly costs its caller
/// more than a wait.
const MARGIN: f64 = 2.0;

/// Minimum `Retry-After`: the interval in which callers can react.
pub(super) const MIN_RETRY: Span = Span::from_millis(50);

/// Divisor of a caller's remaining time that gives the maximum `Retry-After`: callers ignore
/// longer values.
const RETRY_DIVISOR: u64 = 3;

/// Requests that left a queue to be served, by interval.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    /// Since when the queue has not been empty.
    since: Moment,
    counts: BTreeMap<u64, u32>,
}

impl Departures {
    /// Begins a period in which requests wait.
    pub(super) fn begin(&mut self, now: Moment) {
        self.since = now;
    }

    /// Ends the period: the queue is empty, so there is capacity.
    pub(super) fn clear(&mut self) {
        self.counts.clear();
    }

    /// Counts a request that left to be served.
    pub(super) fn record(&mut self, now: Moment) {
        *self.counts.entry(now.0 / INTERVAL.0).or_default() += 1;
        self.counts = self.counts.split_off(&first_interval(now));
    }

    /// Returns the time in which this many requests leave, or `None` if too little was
    /// observed.
    pub(super) fn time_for(&self, now: Moment, requests: usize) -> Option<Span> {
        let departed: u32 = self
            .counts
            .range(first_interval(now)..)
            .map(|(_, n)| n)
            .sum();
        if now.since(self.since) < WINDOW || departed < MIN_DEPARTURES {
            return None;
        }
        let departed = f64::from(departed);
        let most = departed + MARGIN * departed.sqrt();
        Some(Span((requests as f64 * WINDOW.0 as f64 / most) as u64))
    }
}

/// Returns the first interval that lies in the window at `now`.
fn first_interval(now: Moment) -> u64 {
    (now.0.saturating_sub(WINDOW.0)) / INTERVAL.0
}

/// Returns the `Retry-After` for an expected wait until there is capacity.
///
/// Callers that are refused together must not return together. The values therefore lie
/// between half of the expected wait and all of it: in the first half of that range for the
/// most urgent requests (`is_first`), in the second one for the others.
pub(super) fn retry_after(expected: Span, left: Span, is_first: bool, seed: u64) -> Span {
    let max = expected.0.min(left.0 / RETRY_DIVISOR);
    let earliest = match is_first {
        true => max / 2,
        false => max / 4 * 3,
    };
    Span(earliest + seed % (max / 4 + 1)).max(MIN_RETRY)
}

/// Returns a `Retry-After` that callers with this remaining time do not ignore.
///
/// ```
/// use banyangauge::pool::Span;
/// use banyangauge::serving::cap_retry;
/// let after = cap_retry(Span::from_millis(500), Span::from_millis(900));
/// assert_eq!(after, Span::from_millis(300));
/// ```
pub fn cap_retry(after: Span, left: Span) -> Span {
    Span(after.0.min(left.0 / RETRY_DIVISOR)).max(MIN_RETRY)
}
