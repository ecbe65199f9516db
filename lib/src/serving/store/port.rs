//! The interface of the store for durable state, as the serving path uses it.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use serde_json::value::RawValue;

use crate::platform::PlatformError;

/// A pending call.
pub type Pending<T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>>>>;

/// A stored object.
#[derive(Clone, Debug)]
pub struct Item {
    /// The name, unique within the kind.
    pub name: String,
    /// The revision of the last change.
    pub revision: u64,
    /// The content, as JSON.
    pub spec: Box<RawValue>,
}

impl Item {
    /// Creates an object without content, such as one that was removed.
    pub fn empty(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            revision: 0,
            spec: RawValue::NULL.to_owned(),
        }
    }
}

/// A page of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects in name order.
    pub items: Vec<Item>,
    /// The number of objects that could not be decoded.
    pub unreadable: usize,
    /// Whether there are further pages.
    pub more: bool,
    /// The revision of the list, from which to watch.
    pub revision: u64,
}

impl Page {
    /// Appends the next page. Pages of a stale list may differ in age, so the
    /// list has the oldest revision: a watch from there misses no changes
    /// between the pages.
    pub fn append(&mut self, next: Self) {
        self.items.extend(next.items);
        self.unreadable += next.unreadable;
        self.more = next.more;
        self.revision = self.revision.min(next.revision);
    }
}

/// A change of an object.
#[derive(Clone, Debug)]
pub struct Change {
    /// The object, or its last state if it was removed.
    pub item: Item,
    /// Whether it was removed.
    pub removed: bool,
}

/// The answer to a watch.
#[derive(Clone, Debug)]
pub struct Changes {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// The number of changes that could not be decoded.
    pub unreadable: usize,
    /// The revision from which to watch next.
    pub revision: u64,
}

/// How current a read must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Consistency {
    /// The newest state of the store.
    Latest,
    /// At most seconds old, and cheaper; for reads that a watch continues.
    BoundedStale,
}

/// Lists the objects of a kind after a name.
pub type List = Box<dyn Fn(&str, Option<&str>, Consistency) -> Pending<Page>>;

/// Watches a kind after a revision, for at most the given time.
pub type Watch = Box<dyn Fn(&str, u64, Duration) -> Pending<Changes>>;

/// Creates an object (kind, name, content) and returns its revision.
pub type Create = Box<dyn Fn(&str, &str, &RawValue) -> Pending<u64>>;

/// Replaces an object (kind, name, content) if it has this revision, and
/// returns the new one.
pub type Replace = Box<dyn Fn(&str, &str, u64, &RawValue) -> Pending<u64>>;

/// Deletes an object (kind, name).
pub type Delete = Box<dyn Fn(&str, &str) -> Pending<()>>;

/// The calls of the store. Each is a single attempt without a timeout of its
/// own.
pub struct Store {
    /// Lists objects.
    pub list: List,
    /// Watches for changes.
    pub watch: Watch,
    /// Creates an object.
    pub create: Create,
    /// Replaces an object.
    pub replace: Replace,
    /// Deletes an object.
    pub delete: Delete,
}
