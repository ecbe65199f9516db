//! Messages by which VMs share changes of stored objects.

use crate::pool::Moment;
use crate::serving::store::port::Item;

/// A change of a stored object, as VMs share it.
#[derive(Clone, Debug)]
pub struct TopicChange {
    /// The object, or its last state if it was removed.
    pub item: Item,
    /// Whether the object was removed.
    pub removed: bool,
    /// Whether the object vanished during an outage of the store, so that it may
    /// come back.
    pub missing_after_outage: bool,
    /// The compressed content, set once the change is shared.
    pub compressed: Vec<u8>,
}

impl TopicChange {
    /// Creates a change that is not shared yet. `missing_after_outage` is set for
    /// an object that vanished during an outage of the store.
    pub fn new(item: Item, removed: bool, missing_after_outage: bool) -> Self {
        Self {
            item,
            removed,
            missing_after_outage,
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

/// The revisions between two known ones that a list skipped, both ends
/// excluded. Objects that existed only within the range are unknown, so a VM
/// whose state is inside it cannot continue from the shared changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SkippedRange {
    /// The last revision known before the range.
    pub last_before: u64,
    /// The first revision known after the range.
    pub first_after: u64,
}

impl SkippedRange {
    /// Whether a revision was skipped. Both ends are known and thus excluded.
    pub(super) fn contains(self, revision: u64) -> bool {
        self.last_before < revision && revision < self.first_after
    }

    /// Joins two skipped ranges. Revisions between them count as skipped, too.
    pub(super) fn merge(self, other: Self) -> Self {
        Self {
            last_before: self.last_before.min(other.last_before),
            first_after: self.first_after.max(other.first_after),
        }
    }
}
