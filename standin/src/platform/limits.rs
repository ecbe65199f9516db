//! The platform's rates.

use tokio::time::Instant;

/// A token bucket that holds one second's worth.
#[derive(Debug)]
pub(super) struct Bucket {
    rate: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    pub(super) fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            left: rate,
            at: now,
        }
    }

    /// Takes one; false when the rate is exceeded.
    pub(super) fn take(&mut self, now: Instant) -> bool {
        let gained = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.left = (self.left + gained).min(self.rate);
        self.at = now;
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
