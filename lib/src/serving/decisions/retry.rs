//! What follows a failed try: another one, or the final answer.
//!
//! Load: replicas that crash, refuse or fail under many requests at once. Harm
//! prevented: a second run of what may run once, and a "not run" that is not
//! true.

use std::time::Duration;

use hyper::StatusCode;

use crate::serving::decisions::access::Denial;
use crate::serving::path::codec::NotRun;

/// Sends of one request that were refused or did not arrive, at the most: the
/// picture of the replicas is wrong in at most a few places at a time.
const MOST_SENDS: u32 = 4;

/// When to come back while there is no configuration or no replica: about the
/// time in which a watch is renewed or a replica is listed.
pub const RETRY_DELAY: Duration = Duration::from_millis(500);

/// How a try ended without an answer to pass on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// Not a byte was sent.
    NotSent,
    /// The replica refused it.
    NotRun(NotRun),
    /// The connection broke before an answer.
    Broken,
    /// What came is not this request's answer.
    InvalidReply(&'static str),
    /// The replica answered with a failure of its own.
    Failed,
    /// No answer came in time.
    TimedOut,
    /// It was not sent: its key was taken away, or may have been.
    Denied(Denial),
}

impl AttemptFailure {
    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotSent | Self::NotRun(_) | Self::Denied(_))
    }

    /// Whether the replica got it, so that another send is a repeat.
    pub fn reached_replica(self) -> bool {
        !matches!(self, Self::NotSent | Self::Denied(_))
    }

    /// A word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun(NotRun::Gone) => "replica_gone",
            Self::NotRun(NotRun::NotLoaded) => "not_loaded",
            Self::NotRun(NotRun::Full) => "replica_full",
            Self::Broken => "broken",
            Self::InvalidReply(_) => "spoilt",
            Self::Failed => "failed",
            Self::TimedOut => "overdue",
            Self::Denied(denial) => denial.as_str(),
        }
    }
}

/// What has been tried of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    /// Sends so far.
    pub sends: u32,
    /// Those in which it may have run.
    pub runs: u32,
    /// Replicas that may run it.
    pub max_runs: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether the caller has the head of an answer already.
    pub answered: bool,
}

impl Attempts {
    /// Notes how a send ended.
    pub fn record(&mut self, ended: AttemptFailure) {
        self.sends += 1;
        self.runs += u32::from(ended.may_have_run());
    }

    /// Whether another replica may be tried after this end, which is noted
    /// already. The retry budget has its own word.
    ///
    /// ```
    /// use banyangauge::serving::retry::{AttemptFailure, Attempts};
    /// let mut t = Attempts { most_runs: 2, ..Attempts::default() };
    /// t.record(AttemptFailure::NotSent);
    /// assert!(t.may_retry(AttemptFailure::NotSent));
    /// t.record(AttemptFailure::Broken);
    /// assert!(!t.may_retry(AttemptFailure::Broken)); // it may have run, and runs once
    /// ```
    pub fn may_retry(&self, ended: AttemptFailure) -> bool {
        let allowed = self.idempotent || self.runs == 0;
        allowed
            && ended != AttemptFailure::TimedOut
            && !matches!(ended, AttemptFailure::Denied(_))
            && self.sends < MOST_SENDS
            && self.runs < self.max_runs.max(1)
    }
}

/// The final answer to a request that was not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Its status; 429 and 503 promise that it did not run.
    pub status: StatusCode,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// Why, in a word.
    pub reason: &'static str,
}

impl Refusal {
    /// It did not run; come back after `after`.
    pub fn not_run(reason: &'static str, after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(after),
            reason,
        }
    }

    /// What the caller sent is not allowed.
    pub fn denied(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            reason,
        }
    }

    /// A key is not known, or may not hold any more.
    pub fn of_denial(denial: Denial) -> Self {
        match denial {
            Denial::UnknownKey => Self::denied(StatusCode::UNAUTHORIZED, denial.as_str()),
            Denial::StaleConfig => Self::not_run(denial.as_str(), RETRY_DELAY),
        }
    }

    /// The organisation's limit is used up until then.
    pub fn over_limit(after: Duration) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            retry_after: Some(after),
            reason: "over_limit",
        }
    }

    /// The final answer after tries of which the last ended so.
    pub fn after(tries: &Attempts, ended: AttemptFailure) -> Self {
        let reason = ended.as_str();
        if let (0, AttemptFailure::Denied(denial)) = (tries.runs, ended) {
            return Self::of_denial(denial);
        }
        if tries.runs == 0 && !ended.may_have_run() {
            return Self::not_run(reason, RETRY_DELAY);
        }
        let status = match ended {
            AttemptFailure::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        Self {
            status,
            retry_after: None,
            reason,
        }
    }
}
