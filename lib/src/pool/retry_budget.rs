//! Retry budget: limits the retries that a pool accepts.

/// Initial and maximum number of saved retries: the requests of one full batch
/// that fail together.
const MAX_SAVED: f64 = 32.0;

/// Retry budget replenished by answers.
///
/// Handles an upstream failure at full load. If each failed request were
/// retried, the retries would add to the overload that made them fail. Retries
/// are limited to a percentage of the answers plus a small reserve.
#[derive(Debug)]
pub(super) struct RetryBudget {
    /// Retries that may still be spent.
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Adds `percent` hundredths of a retry for one answer.
    pub(super) fn earn(&mut self, percent: u32) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(MAX_SAVED);
    }

    /// Spends one retry. Returns whether one was left.
    pub(super) fn spend(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
