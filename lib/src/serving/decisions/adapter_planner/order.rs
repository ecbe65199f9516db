//! Orders to a replica, their outcomes, and the replica's reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::pool::Span;
use crate::serving::path::types::Target;

/// What a replica's owner does next: read its report, or send it an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaAction {
    /// Read the replica's report.
    Inspect,
    /// Load an adapter or model, or replace it with a newer version.
    Load {
        /// What to load.
        target: Target,
        /// The version; `None` for the newest if none was announced.
        version: Option<u32>,
        /// Number of orders that the replica is expected to have accepted.
        expected: u64,
    },
    /// Unload an idle adapter.
    Unload {
        /// What to unload.
        target: Target,
        /// Number of orders that the replica is expected to have accepted.
        expected: u64,
    },
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// The requested state is already in effect.
    InEffect,
    /// Another order is in progress, or the order count does not match.
    Conflict,
    /// The replica has seen a higher fencing token.
    Fenced,
    /// Another replica has the address.
    Gone,
    /// The order was not accepted.
    Refused,
    /// No response: the order may still be carried out later.
    Unknown,
}

impl OrderOutcome {
    /// Returns whether the replica answered. An order may also be refused by its sender, in
    /// no time.
    pub(super) fn is_response(self) -> bool {
        !matches!(self, Self::Unknown | Self::Refused)
    }

    /// Name used in logs and metrics. Operators and metrics read these texts, so they
    /// stay the same when a variant is renamed.
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

/// A replica's report of its state; it lags by some hundred milliseconds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicaReport {
    /// When the replica started, in Unix milliseconds; 0 if it does not say.
    pub started_ms: u64,
    /// Number of orders that it has accepted.
    pub accepted: u64,
    /// Models and adapters that it holds, with their versions.
    pub loaded: BTreeMap<Target, u32>,
    /// Models and adapters that it is loading.
    pub loading: BTreeSet<Target>,
    /// Whether it has the model weights in its own memory or on its disk.
    pub weights_cached: bool,
}

/// Bounds of the duration of a load, whose end is detected by polling.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadDuration {
    /// After this time it was not loaded yet.
    pub min: Span,
    /// After this time it was loaded.
    pub max: Span,
}
