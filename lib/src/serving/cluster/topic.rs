//! The kinds of objects in the store that VMs follow, and when each is asked about.

use std::time::Duration;

use crate::pool::Span;

/// A kind of objects that every VM follows.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The replicas' entries.
    Replicas,
    /// Announced adapter versions.
    Versions,
    /// Our own objects: VMs and the owner table.
    Cluster,
}

impl Topic {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Config, Self::Replicas, Self::Versions, Self::Cluster];

    /// Its number between VMs, and the seed of the order in which they ask.
    pub fn number(self) -> u32 {
        self as u32 + 1
    }

    /// The topic of a number.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|t| t.number() == number)
    }
}

/// How a topic is asked about.
#[derive(Clone, Copy, Debug)]
pub struct PollPolicy {
    /// Within how long a change is to be known everywhere.
    pub max_staleness: Span,
    /// The longest that a question of a VM that asks for itself alone waits for
    /// a change; less where the bound asks for it.
    pub max_solo_wait: Duration,
    /// The pause after an answer with changes, of such a VM: changes in quick
    /// succession cost one call.
    pub solo_pause: Duration,
    /// The same, of a VM that asks for all.
    pub shared_pause: Duration,
    /// Whether objects are ever removed.
    pub has_removals: bool,
}

/// How much longer than it should a call may take; the store answers in
/// milliseconds.
pub(in crate::serving) const CALL_MARGIN: Duration = Duration::from_millis(900);

/// The time for a question that is asked again after one that was given up:
/// the pause before it, and its answer.
const RETRY_RESERVE: Duration = Duration::from_millis(200);

/// The part of the bound that a question waits for a change. The one who asks
/// for all tells with each answer that nothing else changed; with a beacon's
/// pause and a lost one on top that is known everywhere before others ask.
const WATCH_FRACTION: f64 = 0.2;

/// The part of the bound after which a VM that hears no news asks the store
/// itself: the rest is for its call, and for one that has to be repeated.
const MAX_AGE_FRACTION: f64 = 0.6;

/// The part of the bound over which the questions of VMs that hear nothing are
/// spread: the first ones' answers spare the others theirs.
const STAGGER_FRACTION: f64 = 0.2;

/// VMs in the order of asking after which the spread grows no more.
const MAX_STAGGER_RANK: u64 = 16;

/// The pause after a call that failed; it doubles up to the longest.
const MIN_BACKOFF: Span = Span::from_millis(100);

/// Doublings after which that pause is the longest anyway.
const MAX_DOUBLINGS: u32 = 8;

/// The longest pause of the first VMs in the order of asking: the store's
/// return is noticed within it, and told to the others.
const MAX_BACKOFF: Span = Span::from_millis(800);

/// VMs that look for the store's return so often: any of them may be cut off.
const FAST_RETRY_VMS: u64 = 3;

/// The part of the bound that the others pause, who mostly hear of its return:
/// all of a large fleet asking in vain at the pace of the first ones would be
/// most of what its calls cost. With the spread and the time that a call may
/// take, a VM that the store turned away, and that hears nothing of use, still
/// knows a change within its bound.
const SLOW_RETRY_FRACTION: f64 = 0.3;

impl PollPolicy {
    /// How long a question of the VM that asks for all waits for a change.
    pub(super) fn shared_wait(&self) -> Duration {
        Duration::from_micros(self.fraction(WATCH_FRACTION).0)
    }

    /// How long a question of a VM that asks for itself waits: one that went
    /// into a silent connection is given up and asked again within the bound.
    pub(super) fn solo_wait(&self) -> Duration {
        let reserve = CALL_MARGIN + RETRY_RESERVE;
        let most = Duration::from_micros(self.max_staleness.0).saturating_sub(reserve);
        self.max_solo_wait.min(most.max(self.shared_wait()))
    }

    /// How old its knowledge is when the VM at this place in the order asks.
    pub(super) fn max_age(&self, rank: u64) -> Span {
        Span(self.fraction(MAX_AGE_FRACTION).0 + self.stagger(rank).0)
    }

    /// How much later than the first ones a VM asks.
    pub(super) fn stagger(&self, rank: u64) -> Span {
        Span(self.fraction(STAGGER_FRACTION).0 * rank.min(MAX_STAGGER_RANK) / MAX_STAGGER_RANK)
    }

    /// The pause after the last of so many failed calls in a row.
    pub(super) fn retry_backoff(&self, rank: Option<u64>, failures: u32) -> Span {
        match rank {
            Some(rank) if rank >= FAST_RETRY_VMS => {
                Span(self.fraction(SLOW_RETRY_FRACTION).0 + self.stagger(rank).0)
            }
            _ => Span((MIN_BACKOFF.0 << failures.min(MAX_DOUBLINGS)).min(MAX_BACKOFF.0)),
        }
    }

    fn fraction(&self, part: f64) -> Span {
        Span((self.max_staleness.0 as f64 * part) as u64)
    }
}
