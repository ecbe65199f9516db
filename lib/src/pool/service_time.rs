//! How long work takes here, learnt from answers.

use super::queue::Lane;
use super::settings::PoolSettings;
use super::types::Moment;
use super::types::Span;

/// The part that the newest answer has in the means.
const EWMA_WEIGHT: f64 = 0.05;

/// What answers have taught.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    /// Mean tokens of an answer by lane; 0 is not known.
    answer_tokens: [f64; 2],
    /// Mean microseconds a token; 0 is not known.
    token_us: f64,
    /// Mean microseconds of a whole answer by lane; 0 is not known.
    answer_us: [f64; 2],
    /// The moment of the last call, for questions that have no time of their
    /// own.
    pub(super) now: Moment,
}

impl ServiceTimes {
    /// Takes in a whole answer.
    pub(super) fn record(&mut self, lane: Lane, tokens: u32, total: Span) {
        update_mean(&mut self.answer_tokens[lane.index()], f64::from(tokens));
        update_mean(&mut self.answer_us[lane.index()], total.0 as f64);
        if tokens > 0 {
            update_mean(&mut self.token_us, total.0 as f64 / f64::from(tokens));
        }
    }

    /// Mean microseconds a token; 0 while not known.
    pub(super) fn token_us(&self) -> f64 {
        self.token_us
    }

    /// The shortest time in which a request of this lane and at most `output`
    /// tokens is likely to be answered. `output` is only the caller's limit;
    /// answers are mostly shorter, and a refusal must not rest on the limit.
    pub(super) fn min_time(&self, settings: &PoolSettings, lane: Lane, output: u32) -> Span {
        let tokens = match self.answer_tokens[lane.index()] {
            known if known > 0.0 => known.min(f64::from(output)),
            _ => 1.0,
        };
        Span((tokens * settings.step_us as f64) as u64)
    }

    /// The mean time of an answer of this lane.
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
