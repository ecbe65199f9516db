//! What goes into a contest and what comes out.

use std::collections::BTreeSet;

use crate::ids::Token;
use crate::ids::VmName;
use crate::lease::Record;
use crate::pool::Moment;
use crate::pool::Span;

/// The lease's times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// How long a lease holds from its last write. Longer survives longer
    /// hiccups of the platform; shorter shortens the takeover after a kill.
    pub ttl: Span,
    /// How long after the last write the next is sent: a third of `ttl`, so
    /// that two may fail before the lease is lost.
    pub renew_interval: Span,
    /// What the holder subtracts from its own count.
    pub margin: Span,
    /// How much later each further candidate tries, so that they do not all
    /// write at once; the conditional update decides in any case.
    pub stagger: Span,
    /// How long after a failed call the next is made.
    pub retry_delay: Span,
    /// How long a grant lives unrenewed; told to successors.
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

/// What is known of the holder before this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Predecessor {
    /// There never was one.
    None,
    /// It gave the lease up after its last grant and order. The entries that
    /// may hold its grants, when it knew them.
    Released(Option<BTreeSet<String>>),
    /// It was an earlier process at this VM and address, which has ended.
    Ended,
    /// It stopped renewing; it may be paused and unaware.
    Lapsed(VmName),
    /// However it ended, one before it may be paused and unaware.
    Unsettled,
}

/// A lease that this process holds, or held when it last heard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The fencing token.
    pub token: Token,
    /// Until when it holds for certain, margin subtracted. After that it may
    /// have a successor; without the platform there can be none.
    pub valid_until: Moment,
    /// When it was acquired, as far as this process knows.
    pub acquired_at: Moment,
    /// Who held it before.
    pub predecessor: Predecessor,
    /// The longest that a grant of the former holder lives unrenewed.
    pub predecessor_ttl: Span,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Read the object and pass it to [`observe`](crate::lease::Elector::observe).
    Read,
    /// Create the object, then call [`write_done`](crate::lease::Elector::write_done).
    Create(Record),
    /// Replace the object at this version, then call [`write_done`](crate::lease::Elector::write_done).
    Replace(String, Record),
}

/// How a write ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// Done; the new version.
    Done(String),
    /// It surely did nothing.
    NotApplied,
    /// The object has another version: done by somebody, perhaps by an own
    /// write whose answer was lost.
    Conflict,
    /// It may have taken effect.
    Unknown,
}
