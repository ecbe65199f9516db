//! Errors for callers: a code, whether the request ran, and when to retry.

use bytes::Bytes;
use hyper::StatusCode;
use serde::Serialize;

/// Whether a request that was refused or failed has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It has not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Code of an error; `docs/design/0001-wire.md` lists them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The body does not match the published format.
    BadRequest,
    /// A header has a value that is not allowed.
    BadHeader,
    /// The bearer key is missing or unknown.
    BadKey,
    /// The team may not use the adapter.
    WrongTeam,
    /// The adapter does not exist.
    UnknownAdapter,
    /// The adapter has no such version.
    UnknownVersion,
    /// No service has a prefix of the path.
    UnknownPath,
    /// A call with the same idempotency key is running.
    ClaimRunning,
    /// A call with the same idempotency key was answered.
    ClaimAnswered,
    /// The outcome of a call with the same idempotency key is unknown.
    ClaimUnknown,
    /// The body is too large.
    TooLarge,
    /// The request is blocked because it crashes its upstream.
    Convicted,
    /// The queue of the pool is full.
    QueueFull,
    /// The retry budget of the pool is exhausted.
    RetryBudget,
    /// Too many requests or connections.
    TooMany,
    /// The request may have run.
    OutcomeUnknown,
    /// The request may have run: the deadline passed after its dispatch.
    #[serde(rename = "outcome_unknown")]
    Overdue,
    /// No replica of the pool accepts requests.
    NoReplica,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The owner of the pool is stopping.
    Draining,
    /// The pool has no reachable owner, or the entry has no catalog yet.
    NoOwner,
    /// The platform, which calls with an idempotency key need, is unavailable.
    PlatformDown,
    /// The deadline cannot be met, or passed before dispatch.
    Deadline,
}

impl Code {
    /// Returns the HTTP status.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::BadHeader => StatusCode::BAD_REQUEST,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::WrongTeam => StatusCode::FORBIDDEN,
            Self::UnknownAdapter | Self::UnknownVersion | Self::UnknownPath => {
                StatusCode::NOT_FOUND
            }
            Self::ClaimRunning | Self::ClaimAnswered | Self::ClaimUnknown => StatusCode::CONFLICT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Convicted => StatusCode::UNPROCESSABLE_ENTITY,
            Self::QueueFull | Self::RetryBudget | Self::TooMany => StatusCode::TOO_MANY_REQUESTS,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::NoReplica
            | Self::LoadFailed
            | Self::Draining
            | Self::NoOwner
            | Self::PlatformDown => StatusCode::SERVICE_UNAVAILABLE,
            Self::Deadline | Self::Overdue => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether a request that ends with this code has run.
    pub const fn ran(self) -> Ran {
        match self {
            Self::OutcomeUnknown | Self::Overdue => Ran::Unknown,
            _ => Ran::NotRun,
        }
    }

    /// Returns the name of the code in responses and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BadHeader => "bad_header",
            Self::BadKey => "bad_key",
            Self::WrongTeam => "wrong_team",
            Self::UnknownAdapter => "unknown_adapter",
            Self::UnknownVersion => "unknown_version",
            Self::UnknownPath => "unknown_path",
            Self::ClaimRunning => "claim_running",
            Self::ClaimAnswered => "claim_answered",
            Self::ClaimUnknown => "claim_unknown",
            Self::TooLarge => "too_large",
            Self::Convicted => "convicted",
            Self::QueueFull => "queue_full",
            Self::RetryBudget => "retry_budget",
            Self::TooMany => "too_many",
            Self::OutcomeUnknown | Self::Overdue => "outcome_unknown",
            Self::NoReplica => "no_replica",
            Self::LoadFailed => "load_failed",
            Self::Draining => "draining",
            Self::NoOwner => "no_owner",
            Self::PlatformDown => "platform_down",
            Self::Deadline => "deadline",
        }
    }
}

/// An error that is returned to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerError {
    /// Code of the error.
    pub code: Code,
    /// Description for people.
    pub message: String,
    /// Delay after which a retry may succeed, in milliseconds; `None` if a retry would
    /// fail again.
    pub retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    code: &'static str,
    message: &'a str,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

impl CallerError {
    /// Returns an error without a retry delay.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the delay after which a retry may succeed, in milliseconds.
    pub fn with_retry_after(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Returns the JSON body of the response.
    ///
    /// ```
    /// use banyangauge::entry::{CallerError, Code};
    /// let e = CallerError::new(Code::NoOwner, "no owner").with_retry_after(200);
    /// let text = String::from_utf8(e.body().to_vec()).unwrap();
    /// assert_eq!(
    ///     text,
    ///     r#"{"error":{"code":"no_owner","message":"no owner","ran":"not_run","retry_after_ms":200}}"#
    /// );
    /// ```
    pub fn body(&self) -> Bytes {
        let body = ErrorBody {
            error: ErrorFields {
                code: self.code.as_str(),
                message: &self.message,
                ran: self.code.ran(),
                retry_after_ms: self.retry_after_ms,
            },
        };
        // These fields always serialize; an empty body is better than a panic.
        serde_json::to_vec(&body)
            .map(Bytes::from)
            .unwrap_or_default()
    }

    /// Returns the value of `Retry-After`, in seconds, rounded up.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1_000).max(1))
    }
}
