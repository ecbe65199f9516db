//! Limits of organisations over all VMs: token buckets whose parts are lent.
//!
//! One VM lends for each organisation: the [`Lender`] holds the bucket. The
//! others' [`Borrower`]s ask it for what a request needs, and for a little more
//! where requests come often, so that most need no question. What is lent ends
//! by itself. The sum over all VMs stays within the limit by construction:
//! nothing is used that was not taken out of the bucket before.
//!
//! Load: an organisation that sends several times what it may, while VMs are
//! cut off, frozen or restarted. Harm prevented: the others' places at the
//! engines are taken by what nobody is owed, and an organisation is refused
//! below its limit.

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

/// A token bucket that is filled as time passes.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    at: Moment,
}

impl Bucket {
    /// Lets `part` of the limit's rate flow in.
    fn fill(&mut self, now: Moment, limit: &RateLimit, part: f64) {
        let seconds = now.since(self.at).0 as f64 / 1e6;
        // A limit that was lowered takes effect on what is there as well.
        self.level = self.level.min(limit.burst);
        let most = self.level.max(limit.burst * part);
        self.level = (self.level + limit.rate * part * seconds).min(most);
        self.at = self.at.max(now);
    }

    /// Whether it holds enough for a request of this weight. One that is larger
    /// than the whole bucket may take it below zero, as it would never run.
    fn holds(&self, limit: &RateLimit, weight: f64) -> bool {
        self.level >= weight.min(limit.burst)
    }

    /// How long until it holds that, with `part` of the rate flowing in.
    fn wait(&self, limit: &RateLimit, part: f64, weight: f64) -> Span {
        let lacks = (weight.min(limit.burst) - self.level).max(0.0);
        let seconds = lacks / (limit.rate * part).max(f64::MIN_POSITIVE);
        Span((seconds * 1e6).min(LONGEST_WAIT.0 as f64) as u64)
    }
}

/// The longest time to come back that is told: a limit may be raised meanwhile.
const LONGEST_WAIT: Span = Span::from_millis(10_000);
