//! Errors of a dispatch. The variants differ in whether the request may have run.

use std::fmt;

/// Reason why an upstream refuses a request for now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unready {
    /// The adapter version is not loaded.
    NotLoaded,
    /// The engine is at capacity.
    Full,
    /// The upstream is shutting down.
    Leaving,
}

/// Why a dispatch has no response to pass on, or only a part of one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunError {
    /// No byte of the request was sent, so it did not run.
    NotSent(String),
    /// The upstream refused the request without running it.
    Unready(Unready),
    /// The upstream rejected the request as invalid, with this status and error code;
    /// it did not run.
    Rejected(u16, String),
    /// The connection broke, or the response is malformed or a failure, before any
    /// part of it was read. The request may have run.
    BrokenEarly(String),
    /// Like [`Self::BrokenEarly`], but after a part of the response was read.
    BrokenLate(String),
    /// The response belongs to another request, adapter, version or incarnation.
    WrongIdentity {
        /// The part of the identity that differs.
        what: &'static str,
        /// Incarnation named by the response; 0 if not known.
        incarnation: u64,
    },
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(e) => write!(f, "the request was not sent to the upstream: {e}"),
            Self::Unready(Unready::NotLoaded) => {
                write!(f, "the adapter is not loaded on the upstream")
            }
            Self::Unready(Unready::Full) => write!(f, "the upstream is at capacity"),
            Self::Unready(Unready::Leaving) => write!(f, "the upstream is shutting down"),
            Self::Rejected(status, e) => write!(
                f,
                "the upstream rejected the request with status {status}: {e}"
            ),
            Self::BrokenEarly(e) => write!(f, "the upstream failed before its response: {e}"),
            Self::BrokenLate(e) => write!(f, "the response is incomplete or malformed: {e}"),
            Self::WrongIdentity { what, .. } => write!(f, "the response has the wrong {what}"),
        }
    }
}

impl std::error::Error for RunError {}
