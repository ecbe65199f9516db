//! Spreads the datagrams of a beacon interval over time.

use crate::pool::Moment;
use crate::pool::Span;

/// The fraction of the link that datagrams use while they are sent.
const LINK_FRACTION: f64 = 0.5;

/// The fraction of the interval within which all datagrams are sent, whatever the link.
const SEND_FRACTION: f64 = 0.8;

/// How far ahead of its time a datagram may be sent, so that a few are sent at a time.
const MAX_AHEAD: Span = Span::from_millis(10);

/// Decides when each datagram of a beacon interval may be sent.
///
/// A link queues only so many bytes. If a beacon for each VM is sent at once, the queue of a
/// small VM overflows, and it is the beacons of the last VMs that are lost.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    started: Moment,
    /// Bytes per microsecond; `None` to send all at once.
    rate: Option<f64>,
    sent: u64,
}

impl Pacer {
    /// Creates the pacer of an interval that begins at `now`, for datagrams of `bytes` in
    /// total and a link of so many bytes per second, if its rate is known.
    ///
    /// ```
    /// use banyangauge::pool::{Moment, Span};
    /// use banyangauge::serving::Pacer;
    /// let (now, interval) = (Moment(0), Span::from_millis(400));
    /// let mut pacer = Pacer::new(now, interval, Some(1_250_000), 200_000);
    /// assert!(pacer.is_due(now));
    /// pacer.record(100_000);
    /// assert!(!pacer.is_due(now));
    /// assert_eq!(pacer.due(), now.after(Span::from_millis(150)));
    /// ```
    pub fn new(now: Moment, interval: Span, link_rate: Option<u64>, bytes: usize) -> Self {
        let needed = bytes as f64 / (interval.0 as f64 * SEND_FRACTION);
        Self {
            started: now,
            rate: link_rate.map(|rate| (rate as f64 / 1e6 * LINK_FRACTION).max(needed)),
            sent: 0,
        }
    }

    /// Returns when the next datagram may be sent.
    pub fn due(&self) -> Moment {
        let planned = self.rate.map_or(0.0, |rate| self.sent as f64 / rate) as u64;
        self.started
            .after(Span(planned.saturating_sub(MAX_AHEAD.0)))
    }

    /// Whether the next datagram may be sent now.
    pub fn is_due(&self, now: Moment) -> bool {
        self.due() <= now
    }

    /// Records a datagram of so many bytes that was sent.
    pub fn record(&mut self, bytes: usize) {
        self.sent += bytes as u64;
    }
}
