//! Inputs and outputs of a [`Journal`](crate::claims::Journal).

use crate::claims::Segment;
use crate::claims::State;
use crate::pool::Span;

/// Limits of the journal's size and of its rate of writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// How long a claim is kept after it ended or was recovered by a new owner.
    pub retention: Span,
    /// Claims in one segment. Each commit rewrites one segment, with about 40
    /// bytes a claim: 1,000 claims keep a commit near 40 KB, far below the limit
    /// of 1 MB.
    pub segment_size: usize,
    /// The number of segments; with `segment_size` this bounds memory and the
    /// amount read on a takeover. 64,000 claims kept for 10 minutes allow 106
    /// keyed calls a second.
    pub max_segments: usize,
    /// The shortest time between two writes: at most ten writes a second at any
    /// rate of keyed calls.
    pub write_interval: Span,
    /// How long an outcome may wait to be written together with new claims.
    pub outcome_delay: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retention: Span::from_millis(600_000),
            segment_size: 1_000,
            max_segments: 64,
            write_interval: Span::from_millis(100),
            outcome_delay: Span::from_millis(1_000),
        }
    }
}

/// The request that claims a key.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Claimant {
    /// The entry process, as `name/incarnation`.
    pub entry: String,
    /// The number that the entry gave the request.
    pub request: u64,
}

/// The result of claiming a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The request has the key; it may be granted once the claim is durable.
    Claimed,
    /// The key was used before; contains the state of that claim.
    Duplicate(State),
    /// The journal is full.
    Full,
}

/// The result of recording a claim: durable, awaiting a commit, or not in the
/// journal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordResult {
    /// The claim is durable.
    Durable,
    /// A later commit makes it durable.
    Pending,
    /// The journal does not contain the claim; the request must not be granted.
    Missing,
}

/// A write to the platform that the caller must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The version to replace; `None` creates the segment.
    pub version: Option<String>,
    /// The new content.
    pub segment: Segment,
}

/// The outcome of a write, after reading back where that was needed. It may still be
/// unknown then.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect; contains the new version.
    Done(String),
    /// The write had no effect, or its effect is not known. Contains the segment and
    /// its version as read back, if that succeeded.
    Unconfirmed(Option<(Segment, String)>),
}
