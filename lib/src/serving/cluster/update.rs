//! Messages by which VMs share changes of stored objects.

use crate::pool::Moment;
use crate::serving::store::port::Item;

/// A change of a stored object, as VMs share it.
#[derive(Clone, Debug)]
pub struct TopicChange {
    /// The object, or its last state if it was removed.
    pub item: Item,
    /// Whether it was removed.
    pub removed: bool,
    /// Whether the removal may be due to an outage of the store, so that the
    /// object may come back.
    pub expired: bool,
    /// The compressed content, set once the change is shared.
    pub compressed: Vec<u8>,
}

impl TopicChange {
    /// Creates a change that is not shared yet.
    pub fn new(item: Item, removed: bool, expired: bool) -> Self {
        Self {
            item,
            removed,
            expired,
            compressed: Vec::new(),
        }
    }
}

/// An update on a topic from one VM.
#[derive(Clone, Debug)]
pub struct TopicUpdate {
    /// The store revision up to which the sender knows all changes.
    pub revision: u64,
    /// When that was the newest revision, by our clock.
    pub as_of: Moment,
    /// `changes` has all changes after this revision.
    pub since: u64,
    /// The changes.
    pub changes: Vec<TopicChange>,
}

/// A range of revisions that a list skipped. Objects that existed only within
/// it are unknown, so a VM whose state is inside the range cannot continue from
/// the changes shared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SkippedRange {
    /// The last revision known before the range.
    pub last_before: u64,
    /// The first revision known after it.
    pub first_after: u64,
}

impl SkippedRange {
    /// Whether a revision lies within the range.
    pub(super) fn contains(self, revision: u64) -> bool {
        self.last_before < revision && revision < self.first_after
    }

    /// Returns the range that covers both and everything between them.
    pub(super) fn merge(self, other: Self) -> Self {
        Self {
            last_before: self.last_before.min(other.last_before),
            first_after: self.first_after.max(other.first_after),
        }
    }
}
