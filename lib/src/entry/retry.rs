//! What follows a failed try: another one, or the answer to the caller.
//!
//! Load: upstreams that break, fill up or leave under many requests at once.
//! Harm prevented: a second run of what may run once, retries that multiply an
//! overload, and a "not run" that is not true. Plain functions; the number of
//! tries is bounded here, their share of all requests by the owner of the
//! pool, which sees them all.

use banyangauge_proto as wire;

use super::CallerError;
use super::Code;
use crate::pool::Outcome;
use crate::upstream::RunError;
use crate::upstream::Unready;

/// When to come back after a refusal for which nobody named a time: about the
/// time in which a pool finds a new owner or a replica is replaced.
const COME_BACK_MS: u64 = 1_000;

/// Why a try ended without an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The grant was of no use; nothing was sent.
    InvalidGrant(&'static str),
    /// The upstream failed.
    Run(RunError),
    /// The deadline passed while it ran.
    Deadline,
    /// The grant lapsed while it ran: the owner may evict the adapter.
    GrantExpired,
}

/// What has been tried.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Failed tries so far.
    pub attempt: u32,
    /// Tries after the first at the most.
    pub retries: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether an earlier try may have run.
    pub ran: bool,
    /// Replicas that failed it.
    pub avoid: Vec<String>,
}

/// What follows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Ask the owner for another replica.
    Retry,
    /// Tell the caller.
    GiveUp(CallerError),
}

/// Whether the request may have run in a try that failed so.
pub fn may_have_run(failure: &Failure) -> bool {
    match failure {
        Failure::InvalidGrant(_) => false,
        Failure::Run(e) => !matches!(
            e,
            RunError::NotSent(_) | RunError::Unready(_) | RunError::Rejected(..)
        ),
        Failure::Deadline | Failure::GrantExpired => true,
    }
}

/// What the owner is told of a try that failed so.
pub fn outcome(failure: &Failure) -> Outcome {
    match failure {
        Failure::InvalidGrant(_) => Outcome::NotRun,
        Failure::Deadline | Failure::GrantExpired => Outcome::Cancelled,
        Failure::Run(e) => match e {
            // Never reached is not run, and no sign that the request crashes
            // its upstream.
            RunError::NotSent(_) | RunError::Unready(_) | RunError::Rejected(..) => Outcome::NotRun,
            RunError::BrokenEarly(_) => Outcome::BrokenEarly,
            RunError::BrokenLate(_) => Outcome::BrokenLate,
            RunError::WrongIdentity { .. } => Outcome::WrongIdentity,
        },
    }
}

/// The incarnation that a wrong answer told, for the owner; 0 is none.
pub fn seen_incarnation(failure: &Failure) -> u64 {
    match failure {
        Failure::Run(RunError::WrongIdentity { seen, .. }) => *seen,
        _ => 0,
    }
}

/// What follows a failure before the caller has got a byte; `tries` counts
/// the tries before this one.
///
/// ```
/// use banyangauge::entry::retry::{Failure, RetryDecision, Attempts, after_failure};
/// use banyangauge::upstream::RunError;
/// let broken = Failure::Run(RunError::BrokenEarly("reset".into()));
/// let mut t = Attempts { retries: 3, idempotent: true, ..Attempts::default() };
/// assert_eq!(after_failure(&broken, &t), RetryDecision::Retry);
/// t.idempotent = false;
/// assert!(matches!(after_failure(&broken, &t), RetryDecision::GiveUp(_)));
/// ```
pub fn after_failure(failure: &Failure, tries: &Attempts) -> RetryDecision {
    let ran = may_have_run(failure);
    let allowed = !ran || tries.idempotent;
    let again = match failure {
        Failure::Deadline => false,
        Failure::Run(RunError::Rejected(..)) => false,
        _ => allowed && tries.attempt < tries.retries,
    };
    match again {
        true => RetryDecision::Retry,
        false => RetryDecision::GiveUp(truthful(give_up(failure), ran || tries.ran)),
    }
}

fn give_up(failure: &Failure) -> CallerError {
    let text = describe(failure);
    match failure {
        Failure::InvalidGrant(_) => {
            CallerError::new(Code::NoReplica, text).with_retry_after(COME_BACK_MS)
        }
        Failure::Deadline => CallerError::new(Code::Overdue, text),
        Failure::GrantExpired => CallerError::new(Code::OutcomeUnknown, text),
        Failure::Run(e) => match e {
            RunError::Rejected(..) => CallerError::new(Code::BadRequest, text),
            RunError::Unready(Unready::Full) => {
                CallerError::new(Code::QueueFull, text).with_retry_after(COME_BACK_MS)
            }
            RunError::Unready(_) | RunError::NotSent(_) => {
                CallerError::new(Code::NoReplica, text).with_retry_after(COME_BACK_MS)
            }
            _ => CallerError::new(Code::OutcomeUnknown, text),
        },
    }
}

/// A failure in words for the caller and the time line.
pub fn describe(failure: &Failure) -> String {
    match failure {
        Failure::InvalidGrant(m) => format!("a grant was of no use: {m}"),
        Failure::Run(e) => e.to_string(),
        Failure::Deadline => "the deadline passed while it ran".to_owned(),
        Failure::GrantExpired => "its grant lapsed while it ran".to_owned(),
    }
}

/// "Not run" must be true of all tries, not only of the last.
pub fn truthful(error: CallerError, ran: bool) -> CallerError {
    match ran && error.code.ran() == super::Ran::NotRun {
        true => CallerError {
            code: Code::OutcomeUnknown,
            message: format!("an earlier try may have run; then: {}", error.message),
            retry_after_ms: None,
        },
        false => error,
    }
}

/// The answer to a caller whose request the owner refused.
pub fn refusal_error(refusal: &wire::Refusal) -> CallerError {
    let claim = match refusal.claim_state.as_str() {
        "running" => Some((Code::ClaimRunning, "the call with this key still runs")),
        "answered" => Some((Code::ClaimAnswered, "the call with this key was answered")),
        "unknown" => Some((Code::ClaimUnknown, "nobody knows whether it ran")),
        _ => None,
    };
    if let Some((code, text)) = claim {
        return CallerError::new(code, text);
    }
    let (code, text) = match refusal.reason.as_str() {
        "deadline" => (Code::Deadline, "the deadline cannot be met"),
        "queue_full" => (Code::QueueFull, "the queue is full"),
        "no_replica" => (Code::NoReplica, "no replica takes work"),
        "load_failed" => (Code::LoadFailed, "the adapter could not be loaded"),
        "convicted" => (Code::Convicted, "this request crashes its upstream"),
        "retry_budget" => (Code::RetryBudget, "the retry budget is spent"),
        "platform_down" => (Code::PlatformDown, "the platform is down"),
        // A reason that this version does not know is no less a refusal.
        _ => (Code::Draining, "the owner of the pool is stopping"),
    };
    let ms = match refusal.retry_after_ms {
        0 => COME_BACK_MS,
        ms => ms,
    };
    match code {
        // Coming back soon with the same request mends nothing.
        Code::Convicted if refusal.retry_after_ms == 0 => CallerError::new(code, text),
        _ => CallerError::new(code, text).with_retry_after(ms),
    }
}

/// The answer to a caller whose deadline passed before a grant came.
pub fn deadline_error() -> CallerError {
    CallerError::new(Code::Deadline, "the deadline passed before dispatch")
        .with_retry_after(COME_BACK_MS)
}

/// The answer to a caller whose pool has no owner that can be reached.
pub fn no_owner_error() -> CallerError {
    CallerError::new(Code::NoOwner, "the pool has no owner now").with_retry_after(COME_BACK_MS)
}
