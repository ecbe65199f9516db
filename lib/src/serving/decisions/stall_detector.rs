//! Whether long prompts hold up the streams of their replicas.

use crate::pool::Moment;
use crate::pool::Span;

/// The part of streams that paused too long from which prompts take turns.
const LATE_PART: f64 = 0.05;

/// Engine steps in one event of a stream from which turns help: with fewer,
/// steps that are all filled by prompts take less together than callers allow a
/// pause, and what pauses streams is something else.
const LEAST_STEPS: u32 = 5;

/// Weight of one stream in that part.
const LATE_WEIGHT: f64 = 0.04;

/// How long prompts take turns after a VM last saw a reason. While they do,
/// the reason cannot be seen, so it is looked for again only after a while.
const KEPT: Span = Span::from_millis(120_000);

/// What the pauses of streams say.
///
/// Made for engines that read prompts in pieces between the steps of others:
/// whether two prompts behind each other pause a stream for longer than its
/// callers allow depends on the engine and on the route, and shows only in the
/// streams themselves.
#[derive(Debug, Default)]
pub struct StallDetector {
    late: f64,
    until: Option<Moment>,
}

impl StallDetector {
    /// A stream with events of `steps` engine steps ended; `late` says whether
    /// it paused too long. Gives whether this is the reason to let prompts take
    /// turns from now on.
    pub fn record_stream(&mut self, now: Moment, steps: u32, late: bool) -> bool {
        if steps < LEAST_STEPS {
            return false;
        }
        let seen = if late { 1.0 } else { 0.0 };
        self.late += LATE_WEIGHT * (seen - self.late);
        if self.late < LATE_PART {
            return false;
        }
        let before = self.is_active(now);
        self.late = 0.0;
        self.until = Some(now.after(KEPT));
        !before
    }

    /// Another VM has seen a reason.
    pub fn extend(&mut self, now: Moment, left: Span) {
        let until = now.after(left);
        self.until = Some(self.until.map_or(until, |u| u.max(until)));
    }

    /// How long prompts still take turns.
    pub fn remaining(&self, now: Moment) -> Span {
        self.until.map_or(Span(0), |until| until.since(now))
    }

    /// Whether prompts take turns now.
    pub fn is_active(&self, now: Moment) -> bool {
        self.remaining(now) > Span(0)
    }
}
