//! What can go wrong with a dispatch, by what it says about "did it run".

use std::fmt;

/// Why an upstream does not run a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unready {
    /// The adapter version is not loaded.
    NotLoaded,
    /// The engine is full.
    Full,
    /// The upstream is leaving.
    Leaving,
}

/// Why there is no answer to pass on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunError {
    /// Not a byte of the request was sent: it did not run.
    NotSent(String),
    /// The upstream refused it before running it.
    Unready(Unready),
    /// The upstream says that the request itself is wrong; it did not run.
    Rejected(u16, String),
    /// The connection broke, or the answer is malformed or a failure, before
    /// anything of it was read: the request may have run.
    BrokenEarly(String),
    /// The same, after a part of the answer was read.
    BrokenLate(String),
    /// The answer is another request's, adapter's, version's or incarnation's.
    WrongIdentity {
        /// What differs.
        what: &'static str,
        /// The incarnation that the answer told; 0 is not known.
        seen: u64,
    },
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(e) => write!(f, "the upstream could not be reached: {e}"),
            Self::Unready(Unready::NotLoaded) => write!(f, "the adapter is not loaded"),
            Self::Unready(Unready::Full) => write!(f, "the upstream is full"),
            Self::Unready(Unready::Leaving) => write!(f, "the upstream is leaving"),
            Self::Rejected(status, e) => write!(f, "the upstream answered {status}: {e}"),
            Self::BrokenEarly(e) => write!(f, "no answer came: {e}"),
            Self::BrokenLate(e) => write!(f, "the answer broke off: {e}"),
            Self::WrongIdentity { what, .. } => write!(f, "the answer has another {what}"),
        }
    }
}

impl std::error::Error for RunError {}
