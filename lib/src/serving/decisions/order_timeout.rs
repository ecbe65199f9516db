//! Learns how long to wait for a replica's response to an order.

use crate::pool::Span;

/// Timeout until a response time was observed: replicas accept an order at once and are a
/// few milliseconds away.
const INITIAL: Span = Span::from_millis(80);

/// Minimum timeout: a pause of the process of some milliseconds must not repeat the orders
/// under way. A repeat of an accepted order is refused, and the replica's report is read.
const MIN: Span = Span::from_millis(20);

/// Maximum timeout: a replica that needs longer is unresponsive.
const MAX: Span = Span::from_millis(800);

/// Number of doublings after which any timeout has reached `MAX`.
const MAX_DOUBLINGS: u32 = 6;

/// Weight of one response time in the smoothed response time, as for TCP retransmission.
const SMOOTHING: f64 = 1.0 / 8.0;

/// Weight of one deviation in the mean deviation, as for TCP retransmission.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// Mean deviations by which the timeout exceeds the smoothed response time.
const DEVIATIONS: f64 = 4.0;

/// Smoothed response time and its mean deviation, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Smoothed {
    mean_us: f64,
    deviation_us: f64,
}

/// The timeout for the responses of one replica to orders.
///
/// The load that it answers: an adapter is requested at a replica that leaves some orders
/// unanswered, but answers the others within milliseconds. Each wait for a missing response
/// delays all loads there, as orders are sent one at a time, and the requests that wait for them.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderTimeout {
    smoothed: Option<Smoothed>,
    /// Orders without a response since the last response.
    doublings: u32,
}

impl OrderTimeout {
    /// Records the time from an order to its response. Each order is answered on an exchange
    /// of its own, so responses to repeated orders count as well.
    pub fn record_response(&mut self, time: Span) {
        let us = time.0 as f64;
        self.smoothed = Some(match self.smoothed {
            None => Smoothed {
                mean_us: us,
                deviation_us: us / 2.0,
            },
            Some(s) => Smoothed {
                mean_us: s.mean_us + SMOOTHING * (us - s.mean_us),
                deviation_us: s.deviation_us
                    + DEVIATION_WEIGHT * ((us - s.mean_us).abs() - s.deviation_us),
            },
        });
    }

    /// Records that an order had no response.
    pub fn record_unanswered(&mut self) {
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
    }

    /// Records that the replica answered, so that the timeout is no longer doubled.
    pub fn reset_doublings(&mut self) {
        self.doublings = 0;
    }

    /// Returns the timeout of the next order: the smoothed response time plus four mean
    /// deviations, doubled with each order without a response since the last one. It lies
    /// between 20 and 800 ms, and starts at 80 ms.
    ///
    /// ```
    /// use banyangauge::pool::Span;
    /// use banyangauge::serving::OrderTimeout;
    /// let mut timeout = OrderTimeout::default();
    /// assert_eq!(timeout.current(), Span::from_millis(80));
    /// timeout.record_response(Span::from_millis(10));
    /// assert_eq!(timeout.current(), Span::from_millis(30));
    /// timeout.record_unanswered();
    /// assert_eq!(timeout.current(), Span::from_millis(60));
    /// ```
    pub fn current(&self) -> Span {
        let base = self.smoothed.map_or(INITIAL, |s| {
            Span((s.mean_us + DEVIATIONS * s.deviation_us) as u64)
        });
        let base = base.clamp(MIN, MAX);
        Span(base.0 << self.doublings).min(MAX)
    }
}
