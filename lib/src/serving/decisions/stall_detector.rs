//! Detects when long prompts stall the token streams of their replicas.

use crate::pool::Moment;
use crate::pool::Span;

/// Fraction of stalled streams from which on long prompts take turns.
const STALLED_FRACTION: f64 = 0.05;

/// Minimum engine steps per stream event for which turns help. With fewer steps,
/// even if prefill fills all of them, they take less than the gap that callers
/// allow, so a stall has another cause.
const MIN_STEPS: u32 = 5;

/// Weight of one stream in the moving average of stalled streams.
const STREAM_WEIGHT: f64 = 0.04;

/// How long prompts take turns after stalls were last detected. Turns prevent the
/// stalls that would show that they are needed, so they end after this time and
/// begin again with the next stalls.
const ACTIVE_FOR: Span = Span::from_millis(120_000);

/// Decides from the gaps in streams whether long prompts take turns.
///
/// Engines prefill prompts in chunks between the decode steps of other requests.
/// Whether two consecutive prompts stall a stream for longer than its callers
/// allow depends on the engine and on the route, and shows only in the streams
/// themselves.
#[derive(Debug, Default)]
pub struct StallDetector {
    /// Moving average of the fraction of streams that stalled.
    stalled_fraction: f64,
    /// Until when long prompts take turns.
    active_until: Option<Moment>,
}

impl StallDetector {
    /// Records the end of a stream with `steps` engine steps per event; `stalled`
    /// says whether it stalled. Returns whether this activates turns.
    pub fn record_stream(&mut self, now: Moment, steps: u32, stalled: bool) -> bool {
        if steps < MIN_STEPS {
            return false;
        }
        let sample = if stalled { 1.0 } else { 0.0 };
        self.stalled_fraction += STREAM_WEIGHT * (sample - self.stalled_fraction);
        if self.stalled_fraction < STALLED_FRACTION {
            return false;
        }
        let was_active = self.is_active(now);
        self.stalled_fraction = 0.0;
        self.active_until = Some(now.after(ACTIVE_FOR));
        !was_active
    }

    /// Extends the turns to the remaining time that another VM reported.
    pub fn extend(&mut self, now: Moment, remaining: Span) {
        let until = now.after(remaining);
        self.active_until = Some(self.active_until.map_or(until, |u| u.max(until)));
    }

    /// Returns how long prompts still take turns.
    pub fn remaining(&self, now: Moment) -> Span {
        self.active_until.map_or(Span(0), |until| until.since(now))
    }

    /// Returns whether prompts take turns now.
    pub fn is_active(&self, now: Moment) -> bool {
        self.remaining(now) > Span(0)
    }
}
