//! Decides what follows a failed attempt: a retry, or the error for the caller.
//!
//! Upstreams may break, fill up or shut down under many requests at once. A
//! request that is not idempotent must not run twice, retries must not amplify
//! an overload, and an error must not claim "not run" if the request may have
//! run. These functions bound the attempts of one request; the owner of the
//! pool, which sees all requests, bounds the share of retries among them.

use banyangauge_proto as wire;

use super::CallerError;
use super::Code;
use crate::pool::Outcome;
use crate::upstream::RunError;
use crate::upstream::Unready;

/// Default `Retry-After` of a refusal without one: about the time in which a
/// pool gets a new owner or a replica is replaced.
const RETRY_DELAY_MS: u64 = 1_000;

/// Why an attempt failed, before its response or in the middle of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The grant was invalid; nothing was sent.
    InvalidGrant(&'static str),
    /// The dispatch to the upstream failed.
    Run(RunError),
    /// The deadline passed while the request ran.
    Deadline,
    /// The grant expired while the request ran; the owner may evict the adapter.
    GrantExpired,
}

/// Attempts of one request so far.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Failed attempts.
    pub failed: u32,
    /// Maximum attempts after the first.
    pub max_retries: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request may have run in one of the failed attempts.
    pub may_have_run: bool,
    /// Replicas on which an attempt failed.
    pub failed_replicas: Vec<String>,
}

/// What follows a failed attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Request a grant for another replica.
    Retry,
    /// Return this error to the caller.
    GiveUp(CallerError),
}

/// Returns whether the request may have run in an attempt with this failure.
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

/// Returns the outcome that the owner is sent for this failure.
pub fn outcome(failure: &Failure) -> Outcome {
    match failure {
        Failure::InvalidGrant(_) => Outcome::NotRun,
        Failure::Deadline | Failure::GrantExpired => Outcome::Cancelled,
        Failure::Run(e) => match e {
            // The request was not run, so it is not counted as a possible crash
            // of its upstream either.
            RunError::NotSent(_) | RunError::Unready(_) | RunError::Rejected(..) => Outcome::NotRun,
            RunError::BrokenEarly(_) => Outcome::BrokenEarly,
            RunError::BrokenLate(_) => Outcome::BrokenLate,
            RunError::WrongIdentity { .. } => Outcome::WrongIdentity,
        },
    }
}

/// Returns the incarnation named by a response of wrong identity; 0 if none.
pub fn seen_incarnation(failure: &Failure) -> u64 {
    match failure {
        Failure::Run(RunError::WrongIdentity { incarnation, .. }) => *incarnation,
        _ => 0,
    }
}

/// Decides what follows a failure before the first byte of a response was sent
/// to the caller; `attempts` covers the attempts before this one.
///
/// ```
/// use banyangauge::entry::retry::{Attempts, Failure, RetryDecision, after_failure};
/// use banyangauge::upstream::RunError;
/// let broken = Failure::Run(RunError::BrokenEarly("reset".into()));
/// let mut t = Attempts { max_retries: 3, idempotent: true, ..Attempts::default() };
/// assert_eq!(after_failure(&broken, &t), RetryDecision::Retry);
/// t.idempotent = false;
/// assert!(matches!(after_failure(&broken, &t), RetryDecision::GiveUp(_)));
/// ```
pub fn after_failure(failure: &Failure, attempts: &Attempts) -> RetryDecision {
    let ran = may_have_run(failure);
    let allowed = !ran || attempts.idempotent;
    let retry = match failure {
        Failure::Deadline => false,
        Failure::Run(RunError::Rejected(..)) => false,
        _ => allowed && attempts.failed < attempts.max_retries,
    };
    match retry {
        true => RetryDecision::Retry,
        false => RetryDecision::GiveUp(account_for_earlier_run(
            error_for(failure),
            ran || attempts.may_have_run,
        )),
    }
}

fn error_for(failure: &Failure) -> CallerError {
    let text = describe(failure);
    match failure {
        Failure::InvalidGrant(_) => {
            CallerError::new(Code::NoReplica, text).with_retry_after(RETRY_DELAY_MS)
        }
        Failure::Deadline => CallerError::new(Code::Overdue, text),
        Failure::GrantExpired => CallerError::new(Code::OutcomeUnknown, text),
        Failure::Run(e) => match e {
            RunError::Rejected(..) => CallerError::new(Code::BadRequest, text),
            RunError::Unready(Unready::Full) => {
                CallerError::new(Code::QueueFull, text).with_retry_after(RETRY_DELAY_MS)
            }
            RunError::Unready(_) | RunError::NotSent(_) => {
                CallerError::new(Code::NoReplica, text).with_retry_after(RETRY_DELAY_MS)
            }
            _ => CallerError::new(Code::OutcomeUnknown, text),
        },
    }
}

/// Describes a failure for the caller and the timeline.
pub fn describe(failure: &Failure) -> String {
    match failure {
        Failure::InvalidGrant(m) => format!("invalid grant: {m}"),
        Failure::Run(e) => e.to_string(),
        Failure::Deadline => "the deadline passed while the request ran".to_owned(),
        Failure::GrantExpired => "the grant expired while the request ran".to_owned(),
    }
}

/// Turns "not run" into "outcome unknown" if the request may have run in an
/// earlier attempt.
pub fn account_for_earlier_run(error: CallerError, ran: bool) -> CallerError {
    match ran && error.code.ran() == super::Ran::NotRun {
        true => CallerError {
            code: Code::OutcomeUnknown,
            message: format!(
                "the request may have run in an earlier attempt; the last one failed: {}",
                error.message
            ),
            retry_after_ms: None,
        },
        false => error,
    }
}

/// Returns the error for a request that the owner refused.
pub fn refusal_error(refusal: &wire::Refusal) -> CallerError {
    let claim = match refusal.claim_state.as_str() {
        "running" => Some((
            Code::ClaimRunning,
            "the call with this idempotency key is still running",
        )),
        "answered" => Some((
            Code::ClaimAnswered,
            "the call with this idempotency key was already answered",
        )),
        "unknown" => Some((
            Code::ClaimUnknown,
            "the outcome of the call with this idempotency key is unknown",
        )),
        _ => None,
    };
    if let Some((code, text)) = claim {
        return CallerError::new(code, text);
    }
    let (code, text) = match refusal.reason.as_str() {
        "deadline" => (Code::Deadline, "the deadline cannot be met"),
        "queue_full" => (Code::QueueFull, "the pool's queue is full"),
        "no_replica" => (Code::NoReplica, "no replica of the pool accepts requests"),
        "load_failed" => (Code::LoadFailed, "the adapter could not be loaded"),
        "convicted" => (
            Code::Convicted,
            "the request is blocked because it crashes its upstream",
        ),
        "retry_budget" => (Code::RetryBudget, "the pool's retry budget is exhausted"),
        "platform_down" => (Code::PlatformDown, "the platform is unavailable"),
        // Reasons added by a later version count as a refusal that may be retried.
        _ => (Code::Draining, "the owner of the pool is stopping"),
    };
    let ms = match refusal.retry_after_ms {
        0 => RETRY_DELAY_MS,
        ms => ms,
    };
    match code {
        // A retry of a blocked request would be refused again.
        Code::Convicted if refusal.retry_after_ms == 0 => CallerError::new(code, text),
        _ => CallerError::new(code, text).with_retry_after(ms),
    }
}

/// Returns the error for a deadline that passed before a grant came.
pub fn deadline_error() -> CallerError {
    CallerError::new(Code::Deadline, "the deadline passed before dispatch")
        .with_retry_after(RETRY_DELAY_MS)
}

/// Returns the error for a pool without a reachable owner.
pub fn no_owner_error() -> CallerError {
    CallerError::new(Code::NoOwner, "the pool has no reachable owner")
        .with_retry_after(RETRY_DELAY_MS)
}
