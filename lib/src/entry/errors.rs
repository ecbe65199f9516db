//! Error answers to callers: code, whether the request ran, when to come back.

use bytes::Bytes;
use hyper::StatusCode;
use serde::Serialize;

/// Whether a refused or failed request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not.
    NotRun,
    /// Nobody can say.
    Unknown,
}

/// What went wrong; `docs/design/0001-wire.md` has the table.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The body is not of the published form.
    BadRequest,
    /// A header has a value that is not allowed.
    BadHeader,
    /// The bearer key is missing or not known.
    BadKey,
    /// The team may not use the adapter.
    WrongTeam,
    /// No such adapter.
    UnknownAdapter,
    /// No such version of it.
    UnknownVersion,
    /// No such path.
    UnknownPath,
    /// A call with the same idempotency key runs.
    ClaimRunning,
    /// A call with the same idempotency key was answered.
    ClaimAnswered,
    /// The outcome of a call with the same idempotency key is unknown.
    ClaimUnknown,
    /// The body or head is too long.
    TooLarge,
    /// The request crashes its upstream.
    Convicted,
    /// The queue is full.
    QueueFull,
    /// The retry budget is spent.
    RetryBudget,
    /// Too many requests or connections.
    TooMany,
    /// Nobody knows whether it ran.
    OutcomeUnknown,
    /// The same, because the deadline passed while it ran.
    #[serde(rename = "outcome_unknown")]
    Overdue,
    /// No replica takes work.
    NoReplica,
    /// The adapter could not be loaded.
    LoadFailed,
    /// This process or the owner is stopping, or has no catalog yet.
    Draining,
    /// The pool has no owner now.
    NoOwner,
    /// The platform, which keyed calls need, is down.
    PlatformDown,
    /// The deadline cannot be met, or passed before dispatch.
    Deadline,
}

impl Code {
    /// The HTTP status.
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

    /// Whether a request that ends so ran.
    pub const fn ran(self) -> Ran {
        match self {
            Self::OutcomeUnknown | Self::Overdue => Ran::Unknown,
            _ => Ran::NotRun,
        }
    }

    /// The word for it in metrics.
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

/// An error answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerError {
    /// What went wrong.
    pub code: Code,
    /// For a person.
    pub message: String,
    /// When to come back, where time can mend it.
    pub retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct Inner<'a> {
    code: &'static str,
    message: &'a str,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct Outer<'a> {
    error: Inner<'a>,
}

impl CallerError {
    /// An error that time does not mend.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Adds when to come back.
    pub fn with_retry_after(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// The JSON body.
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
        let outer = Outer {
            error: Inner {
                code: self.code.as_str(),
                message: &self.message,
                ran: self.code.ran(),
                retry_after_ms: self.retry_after_ms,
            },
        };
        // Plain fields always serialise; an empty body is better than a panic.
        serde_json::to_vec(&outer)
            .map(Bytes::from)
            .unwrap_or_default()
    }

    /// The value of `Retry-After`, in whole seconds, rounded up.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1_000).max(1))
    }
}
