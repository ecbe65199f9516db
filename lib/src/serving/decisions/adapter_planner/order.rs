//! Orders to a replica, their ends, and its reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::pool::Span;
use crate::serving::path::types::Target;

/// What to do at a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaAction {
    /// Read its report.
    Inspect,
    /// Load an adapter, or replace it by a newer version.
    Load {
        /// Which.
        target: Target,
        /// The version; the newest where none was announced.
        version: Option<u32>,
        /// Orders that the replica is expected to have accepted.
        expected: u64,
    },
    /// Unload an adapter that nothing uses.
    Unload {
        /// Which.
        target: Target,
        /// Orders that the replica is expected to have accepted.
        expected: u64,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already.
    InEffect,
    /// Another order is under way, or others came in between.
    Conflict,
    /// The replica has seen a higher fencing token.
    Fenced,
    /// Another replica has the address.
    Gone,
    /// It was not taken.
    Refused,
    /// No answer: it may be carried out later.
    Unknown,
}

impl OrderOutcome {
    /// A word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::InEffect => "holds",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Gone => "gone",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// A replica's report of itself; it lags some hundred ms.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicaReport {
    /// When the replica started, in Unix milliseconds; 0 where it does not say.
    pub started_ms: u64,
    /// Orders that it has accepted.
    pub accepted: u64,
    /// Adapters that it holds.
    pub loaded: BTreeMap<Target, u32>,
    /// Adapters on their way to it.
    pub loading: BTreeSet<Target>,
    /// Whether it has weights in its own memory or on its disk.
    pub weights_cached: bool,
}

/// How long a load took: its end is seen when it is asked about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadDuration {
    /// After so long it was not there yet.
    pub min: Span,
    /// After so long it was.
    pub max: Span,
}
