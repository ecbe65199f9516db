//! What VMs tell each other of the store.

use crate::pool::Moment;
use crate::serving::store::port::Item;

/// A change that VMs tell each other.
#[derive(Clone, Debug)]
pub struct TopicChange {
    /// The object, as it is or as it last was.
    pub item: Item,
    /// Whether it was removed.
    pub removed: bool,
    /// Whether that may be so because the store was away: it may come back.
    pub lapsed: bool,
    /// Its content as it is told, once it is kept to be told.
    pub compressed: Vec<u8>,
}

impl TopicChange {
    /// A change that is not told yet.
    pub fn new(item: Item, removed: bool, lapsed: bool) -> Self {
        Self {
            item,
            removed,
            lapsed,
            compressed: Vec::new(),
        }
    }
}

/// What one VM tells of a topic.
#[derive(Clone, Debug)]
pub struct TopicUpdate {
    /// The store's revision up to which it knows all.
    pub revision: u64,
    /// When that was so, on our clock.
    pub as_of: Moment,
    /// The changes follow on from this revision.
    pub since: u64,
    /// The changes.
    pub changes: Vec<TopicChange>,
}

/// A span of the store's history that a list stepped over. What was there only
/// within it is not known: who knows a revision within it cannot follow on by
/// what is told of the changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SkippedRange {
    /// All was known up to this revision.
    pub from: u64,
    /// And again from this one on.
    pub to: u64,
}

impl SkippedRange {
    /// Whether a revision lies within it.
    pub(super) fn contains(self, revision: u64) -> bool {
        self.from < revision && revision < self.to
    }

    /// Both, and what lies between them.
    pub(super) fn merge(self, other: Self) -> Self {
        Self {
            from: self.from.min(other.from),
            to: self.to.max(other.to),
        }
    }
}
