//! The store that keeps what must last, as the serving path uses it.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use serde_json::value::RawValue;

use crate::platform::PlatformError;

/// A call under way.
pub type Pending<T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>>>>;

/// One object.
#[derive(Clone, Debug)]
pub struct Item {
    /// Its name, unique in its kind.
    pub name: String,
    /// The revision of its last change.
    pub revision: u64,
    /// Its content, as JSON.
    pub spec: Box<RawValue>,
}

impl Item {
    /// An object without content, as one that was removed.
    pub fn empty(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            revision: 0,
            spec: RawValue::NULL.to_owned(),
        }
    }
}

/// A part of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects, in the order of their names.
    pub items: Vec<Item>,
    /// Objects that could not be read.
    pub unreadable: usize,
    /// Whether more follow the last name.
    pub more: bool,
    /// The revision of the list, to watch from.
    pub revision: u64,
}

impl Page {
    /// Adds the next part of the list. Parts that may be old are of different
    /// ages: the list is followed on from the oldest, or what changed between
    /// them in that part would be missed.
    pub fn append(&mut self, next: Self) {
        self.items.extend(next.items);
        self.unreadable += next.unreadable;
        self.more = next.more;
        self.revision = self.revision.min(next.revision);
    }
}

/// One change of a kind.
#[derive(Clone, Debug)]
pub struct Change {
    /// The object, as it is or as it last was.
    pub item: Item,
    /// Whether it was removed.
    pub removed: bool,
}

/// What changed.
#[derive(Clone, Debug)]
pub struct Changes {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Changes that could not be read.
    pub unreadable: usize,
    /// The revision to watch from next.
    pub revision: u64,
}

/// How new what is read must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Consistency {
    /// As new as the store.
    Latest,
    /// Seconds old at most, and cheaper: for what is followed on from there.
    BoundedStale,
}

/// Reads the objects of a kind after a name.
pub type List = Box<dyn Fn(&str, Option<&str>, Consistency) -> Pending<Page>>;

/// Reads the changes of a kind after a revision, waiting for one so long.
pub type Watch = Box<dyn Fn(&str, u64, Duration) -> Pending<Changes>>;

/// Creates an object (kind, name, content); gives its revision.
pub type Create = Box<dyn Fn(&str, &str, &RawValue) -> Pending<u64>>;

/// Replaces an object (kind, name, content) if it has this revision; gives the
/// new one.
pub type Replace = Box<dyn Fn(&str, &str, u64, &RawValue) -> Pending<u64>>;

/// Deletes an object (kind, name).
pub type Delete = Box<dyn Fn(&str, &str) -> Pending<()>>;

/// The calls of the store, each a single try without a time limit of its own.
pub struct Store {
    /// Lists objects.
    pub list: List,
    /// Follows changes.
    pub watch: Watch,
    /// Creates an object.
    pub create: Create,
    /// Replaces an object.
    pub replace: Replace,
    /// Deletes an object.
    pub delete: Delete,
}
