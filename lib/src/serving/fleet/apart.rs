//! Whether long prompts are kept apart from streams that they would hold up,
//! and with how many replicas.

use crate::pool::Moment;
use crate::pool::Span;

/// A prompt from this length on is long: reading it takes an engine about as
/// long as twenty of its steps.
const LONG_PROMPT: u64 = 3_000;

/// The part of short streams that paused too long from which prompts are kept
/// apart.
const LATE_PART: f64 = 0.06;

/// Weight of one stream in that part.
const LATE_WEIGHT: f64 = 0.04;

/// How long prompts are kept apart after a VM last saw a reason. Kept apart,
/// nothing is late and the reason cannot be seen, so it is looked for again
/// only after a while.
const KEPT_APART: Span = Span::from_millis(120_000);

/// Milliseconds of an engine that each request costs beside its prompt: its
/// part of the steps and of an adapter's place.
const REQUEST_MS: f64 = 800.0;

/// Prompt tokens that an engine reads in a millisecond, about.
const READ_A_MS: f64 = 40.0;

/// Half-life of the measured demand, in microseconds.
const DEMAND_HALF: f64 = 10e6;

/// Requests that must have been seen before demand says anything.
const LEAST_SEEN: f64 = 20.0;

/// The part of the replicas for short prompts before demand says anything,
/// and its bounds.
const FIRST_PART: f64 = 0.33;
const PART_BOUNDS: (f64, f64) = (0.2, 0.7);

/// Fewer replicas than this are not divided.
const LEAST_REPLICAS: usize = 4;

/// What is known of long prompts and short streams.
///
/// Made for engines that read a prompt in pieces between the steps of others:
/// two long prompts behind each other hold up every stream of their replica
/// for longer than its callers allow. Kept on replicas of their own they hold
/// up only each other.
#[derive(Debug, Default)]
pub struct Apart {
    late: f64,
    until: Option<Moment>,
    at: Moment,
    short: f64,
    long: f64,
    seen: f64,
}

impl Apart {
    /// Whether a prompt counts as long.
    pub fn is_long(tokens: u64) -> bool {
        tokens >= LONG_PROMPT
    }

    /// A request came.
    pub fn arrived(&mut self, now: Moment, tokens: u64) {
        let fade = (-(now.since(self.at).0 as f64) / DEMAND_HALF).exp2();
        self.at = now;
        self.short *= fade;
        self.long *= fade;
        self.seen = self.seen * fade + 1.0;
        let cost = REQUEST_MS + tokens as f64 / READ_A_MS;
        match Self::is_long(tokens) {
            true => self.long += cost,
            false => self.short += cost,
        }
    }

    /// A short stream ended; `late` says whether it paused too long. Gives
    /// whether this is the reason to keep prompts apart from now on.
    pub fn ended(&mut self, now: Moment, late: bool) -> bool {
        let seen = if late { 1.0 } else { 0.0 };
        self.late += LATE_WEIGHT * (seen - self.late);
        if self.late < LATE_PART {
            return false;
        }
        let before = self.active(now);
        self.late = 0.0;
        self.until = Some(now.after(KEPT_APART));
        !before
    }

    /// Another VM has seen a reason.
    pub fn told(&mut self, now: Moment, left: Span) {
        let until = now.after(left);
        self.until = Some(self.until.map_or(until, |u| u.max(until)));
    }

    /// How long prompts are still kept apart.
    pub fn left(&self, now: Moment) -> Span {
        self.until.map_or(Span(0), |until| until.since(now))
    }

    /// Whether prompts are kept apart now.
    pub fn active(&self, now: Moment) -> bool {
        self.left(now) > Span(0)
    }

    /// How many of `replicas` are for short prompts; `None` while they are not
    /// kept apart.
    pub fn short_replicas(&self, now: Moment, replicas: usize) -> Option<usize> {
        if !self.active(now) || replicas < LEAST_REPLICAS || self.long == 0.0 {
            return None;
        }
        let part = match self.seen >= LEAST_SEEN {
            true => self.short / (self.short + self.long),
            false => FIRST_PART,
        };
        let part = part.clamp(PART_BOUNDS.0, PART_BOUNDS.1);
        let count = (part * replicas as f64).round() as usize;
        Some(count.clamp(1, replicas - 1))
    }
}
