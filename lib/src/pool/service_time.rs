//! Service times, estimated from answers.

use super::queue::Lane;
use super::settings::PoolSettings;
use super::types::Moment;
use super::types::Span;

/// Weight of the newest sample in the moving averages.
const EWMA_WEIGHT: f64 = 0.05;

/// Moving averages of answer sizes and durations.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    /// Tokens per answer by lane; 0 until known.
    answer_tokens: [f64; 2],
    /// Microseconds per token; 0 until known.
    token_us: f64,
    /// Microseconds per answer by lane; 0 until known.
    answer_us: [f64; 2],
    /// Time of the last call into the pool, for queries that take no time
    /// argument.
    pub(super) now: Moment,
}

impl ServiceTimes {
    /// Records a complete answer.
    pub(super) fn record(&mut self, lane: Lane, tokens: u32, total: Span) {
        update_mean(&mut self.answer_tokens[lane.index()], f64::from(tokens));
        update_mean(&mut self.answer_us[lane.index()], total.0 as f64);
        if tokens > 0 {
            update_mean(&mut self.token_us, total.0 as f64 / f64::from(tokens));
        }
    }

    /// Returns the mean microseconds per token; 0 until known.
    pub(super) fn token_us(&self) -> f64 {
        self.token_us
    }

    /// Returns the shortest likely duration of a request of a lane that may
    /// generate up to `max_tokens` tokens. This limit is set by the caller and
    /// most answers are shorter, so a refusal must not be based on it alone.
    pub(super) fn min_time(&self, settings: &PoolSettings, lane: Lane, max_tokens: u32) -> Span {
        let tokens = match self.answer_tokens[lane.index()] {
            known if known > 0.0 => known.min(f64::from(max_tokens)),
            _ => 1.0,
        };
        Span((tokens * settings.step_us as f64) as u64)
    }

    /// Returns the mean duration of an answer of a lane.
    pub(super) fn mean_time(&self, lane: Lane) -> Span {
        Span(self.answer_us[lane.index()] as u64)
    }
}

fn update_mean(value: &mut f64, sample: f64) {
    *value = match *value > 0.0 {
        true => *value + EWMA_WEIGHT * (sample - *value),
        false => sample,
    };
}
