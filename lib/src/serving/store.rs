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

/// A part of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects, in the order of their names.
    pub items: Vec<Item>,
    /// Whether more follow the last name.
    pub more: bool,
    /// The revision of the list, to watch from.
    pub revision: u64,
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
    /// The revision to watch from next.
    pub revision: u64,
}

/// The calls of the store, each a single try without a time limit of its own.
pub struct Store {
    /// The objects of a kind after a name.
    pub list: Box<dyn Fn(&str, Option<&str>) -> Pending<Page>>,
    /// The changes of a kind after a revision, waiting for one so long.
    pub changes: Box<dyn Fn(&str, u64, Duration) -> Pending<Changes>>,
    /// Creates an object (kind, name, content); gives its revision.
    pub create: Box<dyn Fn(&str, &str, &RawValue) -> Pending<u64>>,
    /// Replaces an object if it has this revision; gives the new one.
    pub replace: Box<dyn Fn(&str, &str, u64, &RawValue) -> Pending<u64>>,
    /// Deletes an object.
    pub delete: Box<dyn Fn(&str, &str) -> Pending<()>>,
}
