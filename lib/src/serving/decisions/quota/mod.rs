//! Rate limits over all VMs: token buckets whose tokens are lent for a limited time.
//! Organisations have such limits, and so do replicas in need
//! ([`replica_limits`](super::replica_limits)).
//!
//! One VM lends for each organisation: its [`Lender`] holds the bucket. The
//! [`Borrower`]s of all VMs ask it for the tokens of a request, and for some more if
//! requests are frequent, so that most requests need no remote call. Unused tokens
//! expire. The sum over all VMs stays within the limit by construction: nothing
//! is used that was not taken out of the bucket before.
//!
//! An organisation may send several times its limit while VMs are partitioned,
//! suspended or restarted. It must not take engine capacity from the others, and
//! no organisation may be refused below its limit.

pub(super) mod borrower;
pub(super) mod lender;

use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::path::types::RateLimit;

pub use borrower::Borrower;
pub use borrower::Spend;
pub use lender::LendReply;
pub use lender::LendRequest;
pub use lender::Lender;
pub use lender::Overshoot;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Tokens in the bucket; below zero after a request larger than the burst.
    level: f64,
    /// When it was last refilled.
    updated_at: Moment,
}

impl Bucket {
    /// Refills the bucket at a fraction of the limit's rate.
    fn fill(&mut self, now: Moment, limit: &RateLimit, fraction: f64) {
        let seconds = now.since(self.updated_at).0 as f64 / 1e6;
        // A lowered limit also applies to the tokens already in the bucket.
        self.level = self.level.min(limit.burst);
        let max_level = self.level.max(limit.burst * fraction);
        self.level = (self.level + limit.rate * fraction * seconds).min(max_level);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns whether a request of this weight may run. One larger than the
    /// whole bucket may take the level below zero, as it could never run
    /// otherwise.
    fn holds(&self, limit: &RateLimit, weight: f64) -> bool {
        self.level >= weight.min(limit.burst)
    }

    /// Returns the time until [`Bucket::holds`] returns true for this weight, if the
    /// bucket is refilled at a fraction of the limit's rate.
    fn wait(&self, limit: &RateLimit, fraction: f64, weight: f64) -> Span {
        let missing = (weight.min(limit.burst) - self.level).max(0.0);
        let seconds = missing / (limit.rate * fraction).max(f64::MIN_POSITIVE);
        Span((seconds * 1e6).min(MAX_RETRY_DELAY.0 as f64) as u64)
    }
}

/// Maximum retry delay that is returned: a limit may be raised meanwhile.
const MAX_RETRY_DELAY: Span = Span::from_millis(10_000);
