//! Messages by which VMs share changes of stored objects.

use crate::pool::Moment;
use crate::serving::store::port::Item;
use crate::serving::store::port::StoreRevision;

/// A change of a stored object, as VMs share it.
#[derive(Clone, Debug)]
pub struct TopicChange {
    /// The object, or its last state if it was removed.
    pub item: Item,
    /// Whether the object was removed.
    pub removed: bool,
    /// Whether the object vanished during an outage of the store or with a copy that
    /// lacks it, so that it may come back.
    pub missing_after_outage: bool,
    /// Whether the content is from the copy that the store came back from, so that
    /// it may be older than what is known of the object.
    pub copied: bool,
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
            copied: false,
            compressed: Vec::new(),
        }
    }

    /// Returns the size of the change in an update, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.item.name.len() + self.compressed.len()
    }
}

/// An update on a topic from one VM.
#[derive(Clone, Debug)]
pub struct TopicUpdate {
    /// The store revision up to which the sender knows all changes.
    pub revision: StoreRevision,
    /// When that was the newest revision, by our clock.
    pub as_of: Moment,
    /// `changes` has all changes after this revision.
    pub since: StoreRevision,
    /// The changes.
    pub changes: Vec<TopicChange>,
}

/// The revisions between two known ones that a list skipped, both ends
/// excluded. Objects that existed only within the range are unknown, so a VM
/// whose state is inside it cannot continue from the shared changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SkippedRange {
    /// The last revision known before the range.
    pub last_before: StoreRevision,
    /// The first revision known after the range.
    pub first_after: StoreRevision,
}

impl SkippedRange {
    /// Whether a revision was skipped. Both ends are known and thus excluded.
    pub(super) fn contains(self, revision: StoreRevision) -> bool {
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
