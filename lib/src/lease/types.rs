//! Inputs and outputs of an [`Elector`](crate::lease::Elector).

use std::collections::BTreeSet;

use crate::ids::FencingToken;
use crate::ids::VmName;
use crate::lease::Record;
use crate::pool::Moment;
use crate::pool::Span;

/// Durations that govern a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// How long a lease is valid after its last write. A longer one survives
    /// longer interruptions of the platform; a shorter one makes the takeover
    /// after a crash faster.
    pub ttl: Span,
    /// The time between renewals: a third of `ttl`, so that two may fail before
    /// the lease is lost.
    pub renew_interval: Span,
    /// How much earlier the holder treats its own lease as expired.
    pub margin: Span,
    /// The extra delay for each rank, so that candidates do not all write at
    /// once; the conditional update decides in any case.
    pub stagger: Span,
    /// The delay before the next call after a failed one.
    pub retry_delay: Span,
    /// How long a grant stays valid unless renewed; stored in the record for
    /// successors.
    pub grant_ttl: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            ttl: Span::from_millis(3_000),
            renew_interval: Span::from_millis(1_000),
            margin: Span::from_millis(300),
            stagger: Span::from_millis(100),
            retry_delay: Span::from_millis(200),
            grant_ttl: Span::from_millis(10_000),
        }
    }
}

/// What is known of the previous holder, and whether grants of earlier holders may
/// still be in use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Predecessor {
    /// There was no previous holder.
    None,
    /// It released the lease after its last grant and order. Contains the
    /// entries that may hold its grants, if it knew them.
    Released(Option<BTreeSet<String>>),
    /// It was an earlier process on this VM and address, which has ended.
    Ended,
    /// It stopped renewing; it may be paused and not know that it lost the
    /// lease.
    Lapsed(VmName),
    /// However it gave up the lease, a holder before it may be paused and not
    /// know that it lost the lease.
    Unsettled,
}

/// A lease that this process holds, as of the last answer of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The fencing token.
    pub token: FencingToken,
    /// When the lease expires, with the margin subtracted. After that there may be a
    /// successor, but none can be elected while the platform is unreachable.
    pub valid_until: Moment,
    /// When this process learned that it had acquired the lease.
    pub acquired_at: Moment,
    /// What is known of the previous holder, and whether grants of earlier holders may
    /// still be in use.
    pub predecessor: Predecessor,
    /// The longest time for which a grant of the previous holder stays valid without
    /// a renewal.
    pub predecessor_ttl: Span,
}

/// The next call that the caller must make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// No call.
    Wait,
    /// Read the object, then call [`read_done`](crate::lease::Elector::read_done)
    /// and [`observe`](crate::lease::Elector::observe), or
    /// [`read_failed`](crate::lease::Elector::read_failed).
    Read,
    /// Create the object, then call [`write_done`](crate::lease::Elector::write_done).
    Create(Record),
    /// Replace the object if it has this version, then call
    /// [`write_done`](crate::lease::Elector::write_done).
    Replace(String, Record),
}

/// The outcome of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect; contains the new version.
    Done(String),
    /// The write had no effect.
    NotApplied,
    /// The object has another version, perhaps from an earlier write of this
    /// process whose answer was lost.
    Conflict,
    /// The answer was lost; the write may have taken effect.
    Unknown,
}
