//! What goes into the journal and what comes out.

use crate::claims::Segment;
use crate::claims::State;
use crate::pool::Span;

/// Bounds of the journal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// How long a claim is kept after it ended, or after an owner change.
    pub retention: Span,
    /// Claims in one segment. Each commit rewrites one segment, about 40 bytes
    /// a claim: 1,000 keep a commit near 40 KB, far below the megabyte.
    pub segment_size: usize,
    /// Segments; with `segment_size` this bounds memory and what a takeover reads.
    /// 64,000 claims in 10 minutes are 106 keyed calls a second.
    pub max_segments: usize,
    /// The shortest time between two writes: ten a second at the most, whatever
    /// the rate of keyed calls.
    pub write_interval: Span,
    /// How long an outcome may wait for a commit to travel with.
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

/// The request that claims a key: an entry's own number for it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Claimant {
    /// The entry process, as `name/incarnation`.
    pub entry: String,
    /// Its number for the request.
    pub request: u64,
}

/// What the journal says of a request with a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The key is this request's; it may be granted once it is recorded.
    Claimed,
    /// Another request had the key.
    Duplicate(State),
    /// The journal is full.
    Full,
}

/// Whether a claim is durable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Durability {
    /// It is.
    Durable,
    /// The next commit makes it so.
    Pending,
    /// The journal does not hold it: the request may not be granted.
    Missing,
}

/// A write to the platform that the journal wants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The version to replace; `None` creates the segment.
    pub version: Option<String>,
    /// The new content.
    pub segment: Segment,
}

/// How a write, with its reading back where that was needed, ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// Done; the new version.
    Done(String),
    /// Not done, or not known. What the platform holds now, when it was read.
    Unconfirmed(Option<(Segment, String)>),
}
