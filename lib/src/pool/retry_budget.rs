//! How many retries the pool takes.

/// Retries that a pool takes before it has answered anything, and the most
/// that it saves up: the requests of one full batch that broke together.
const MAX_SAVED_RETRIES: f64 = 32.0;

/// A retry budget, earned by answers.
///
/// Made for an upstream failure at full load: when each failed request comes
/// again, the retries would multiply the very overload that failed them.
/// Retries are held to a share of the answers, above a small reserve.
#[derive(Debug)]
pub(super) struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// A request was answered; `share` is in hundredths.
    pub(super) fn earn(&mut self, percent: u32) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry, if there is one left.
    pub(super) fn spend(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
