//! Detects when long prompts stall the token streams of their replicas.

use crate::pool::Moment;
use crate::pool::Span;

/// Fraction of stalled streams from which on long prompts take turns.
const STALLED_FRACTION: f64 = 0.05;

/// Minimum engine steps per stream event for which turns help: with fewer, steps
/// filled entirely by prefill together take less than the gap that callers
/// allow, and the stall has another cause.
const MIN_STEPS: u32 = 5;

/// Weight of one stream in the moving average of stalled streams.
const STREAM_WEIGHT: f64 = 0.04;

/// How long prompts take turns after stalls were last detected. Turns hide the
/// stalls, so whether they are still needed is tested only after this time.
const ACTIVE_FOR: Span = Span::from_millis(120_000);

/// Decides from the gaps in streams whether long prompts take turns.
///
/// Engines prefill prompts in chunks between the decode steps of other requests.
/// Whether two consecutive prompts stall a stream for longer than its callers
/// allow depends on the engine and on the route, and shows only in the streams
/// themselves.
#[derive(Debug, Default)]
pub struct StallDetector {
    stalled: f64,
    until: Option<Moment>,
}

impl StallDetector {
    /// Records the end of a stream with `steps` engine steps per event; `stalled`
    /// says whether it stalled. Returns whether this activates turns.
    pub fn record_stream(&mut self, now: Moment, steps: u32, stalled: bool) -> bool {
        if steps < MIN_STEPS {
            return false;
        }
        let seen = if stalled { 1.0 } else { 0.0 };
        self.stalled += STREAM_WEIGHT * (seen - self.stalled);
        if self.stalled < STALLED_FRACTION {
            return false;
        }
        let before = self.is_active(now);
        self.stalled = 0.0;
        self.until = Some(now.after(ACTIVE_FOR));
        !before
    }

    /// Applies the remaining time of another VM, which detected stalls.
    pub fn extend(&mut self, now: Moment, left: Span) {
        let until = now.after(left);
        self.until = Some(self.until.map_or(until, |u| u.max(until)));
    }

    /// Returns how long prompts still take turns.
    pub fn remaining(&self, now: Moment) -> Span {
        self.until.map_or(Span(0), |until| until.since(now))
    }

    /// Returns whether prompts take turns now.
    pub fn is_active(&self, now: Moment) -> bool {
        self.remaining(now) > Span(0)
    }
}
