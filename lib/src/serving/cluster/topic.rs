//! The kinds of stored objects that VMs follow, and how each is polled.

use std::time::Duration;

use crate::pool::Span;

/// A kind of stored objects that every VM follows.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The replicas' entries.
    Replicas,
    /// Announced adapter versions.
    Versions,
    /// The fleet's own objects: VM entries and the owner table.
    Cluster,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 4] = [Self::Config, Self::Replicas, Self::Versions, Self::Cluster];

    /// Returns the number of the topic in messages, which also seeds its
    /// polling order.
    pub fn number(self) -> u32 {
        self as u32 + 1
    }

    /// Returns the topic with this number.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|t| t.number() == number)
    }
}

/// How a topic is polled.
#[derive(Clone, Copy, Debug)]
pub struct PollPolicy {
    /// The time within which all VMs must know a change.
    pub max_staleness: Span,
    /// The longest watch of a VM that polls for itself; it is shorter if
    /// `max_staleness` requires it.
    pub max_solo_wait: Duration,
    /// The pause of such a VM after an answer with changes, so that changes in
    /// quick succession cost one call.
    pub solo_pause: Duration,
    /// The same pause for a VM that polls for all.
    pub shared_pause: Duration,
    /// Whether objects are ever removed.
    pub has_removals: bool,
    /// The least time without the store after which the entry of a replica that lives can
    /// have lapsed.
    pub lapse_time: Span,
}

/// The timeout of a call beyond its wait; the store usually answers in
/// milliseconds.
pub(in crate::serving) const CALL_MARGIN: Duration = Duration::from_millis(900);

/// The time reserved to repeat a watch that was given up: the pause before it
/// and its answer.
const RETRY_RESERVE: Duration = Duration::from_millis(200);

/// The fraction of `max_staleness` that a shared watch waits. Each answer also
/// proves that nothing else changed, and with a beacon interval and one lost
/// beacon on top all VMs know it before they would poll.
const WATCH_FRACTION: f64 = 0.2;

/// The fraction of `max_staleness` after which a VM without updates polls the
/// store itself. The rest is for its call and one repetition of it.
const MAX_AGE_FRACTION: f64 = 0.6;

/// The fraction of `max_staleness` over which these polls are staggered: the
/// answers to the first ones make the others unnecessary.
const STAGGER_FRACTION: f64 = 0.2;

/// The position in polling order after which the stagger stops growing.
const MAX_STAGGER_RANK: u64 = 16;

/// The pause after the first failed call; it doubles up to `MAX_BACKOFF`.
const MIN_BACKOFF: Span = Span::from_millis(100);

/// The number of doublings after which the pause exceeds `MAX_BACKOFF` in any
/// case.
const MAX_DOUBLINGS: u32 = 8;

/// The longest pause of the first VMs in polling order. They notice the return
/// of the store within this time and inform the others.
const MAX_BACKOFF: Span = Span::from_millis(800);

/// How many of the first VMs in polling order retry with pauses of at most
/// `MAX_BACKOFF`: more than one, as any of them may be partitioned.
const FAST_RETRY_VMS: u64 = 3;

/// The fraction of `max_staleness` that the other VMs pause, which mostly learn
/// of the store's return from the first ones. If all VMs of a large fleet
/// retried at the same pace, failing calls would be most of the cost of
/// polling. With the stagger and the call timeout, a VM that the store rejected
/// and that gets no useful updates still learns of a change in time.
const SLOW_RETRY_FRACTION: f64 = 0.3;

impl PollPolicy {
    /// Returns the wait of a watch on behalf of all VMs. It is shorter than that
    /// of a VM that polls for itself, because the other VMs depend on the
    /// answers: each one shows, also without changes, that their state is not
    /// out of date, and must reach them before they would poll themselves.
    pub(super) fn shared_wait(&self) -> Duration {
        Duration::from_micros(self.fraction(WATCH_FRACTION).0)
    }

    /// Returns the wait of a watch by a VM that polls for itself. A watch on a
    /// dead connection is given up and repeated within `max_staleness`.
    pub(super) fn solo_wait(&self) -> Duration {
        let reserve = CALL_MARGIN + RETRY_RESERVE;
        let max_wait = Duration::from_micros(self.max_staleness.0).saturating_sub(reserve);
        self.max_solo_wait.min(max_wait.max(self.shared_wait()))
    }

    /// Returns the age of the state at which the VM at this position polls.
    pub(super) fn max_age(&self, rank: u64) -> Span {
        Span(self.fraction(MAX_AGE_FRACTION).0 + self.stagger(rank).0)
    }

    /// Returns how long the VMs after the first in polling order wait for its list
    /// when the store came back from an earlier copy, before they list themselves.
    pub(super) fn news_wait(&self) -> Span {
        self.fraction(WATCH_FRACTION)
    }

    /// Returns how much later than the first VM in polling order the VM at this
    /// position polls.
    pub(super) fn stagger(&self, rank: u64) -> Span {
        Span(self.fraction(STAGGER_FRACTION).0 * rank.min(MAX_STAGGER_RANK) / MAX_STAGGER_RANK)
    }

    /// Returns the pause after a failed call that followed `failures` others.
    pub(super) fn retry_backoff(&self, rank: Option<u64>, failures: u32) -> Span {
        match rank {
            Some(rank) if rank >= FAST_RETRY_VMS => {
                Span(self.fraction(SLOW_RETRY_FRACTION).0 + self.stagger(rank).0)
            }
            _ => Span((MIN_BACKOFF.0 << failures.min(MAX_DOUBLINGS)).min(MAX_BACKOFF.0)),
        }
    }

    /// Returns this fraction of `max_staleness`.
    fn fraction(&self, of: f64) -> Span {
        Span((self.max_staleness.0 as f64 * of) as u64)
    }
}
