//! The interface of the store for durable state, as the serving path uses it.

use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use tokio::time::Instant;

use crate::platform::PlatformError;
use crate::serving::path::codec::BadRecord;

/// A period in which the revisions of the store form one history.
///
/// The store may come back from an earlier copy of itself. Its revisions then go
/// back and are given out again, and its era rises by one. A store that states no
/// era has one era, 0.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Era(pub u64);

/// A point in the history of the store. A point of a later era is the greater one,
/// but does not continue the history of an earlier era.
///
/// ```
/// use banyangauge::serving::{Era, StoreRevision};
/// let (old, new) = (StoreRevision::new(Era(1), 90), StoreRevision::new(Era(2), 59));
/// assert!(old < new);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreRevision {
    /// The era.
    pub era: Era,
    /// The store's number, which rises with each change of the era.
    pub number: u64,
}

impl StoreRevision {
    /// Creates a point in the history of an era.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era.0, self.number)
    }
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub struct Answer<T> {
    /// The era of the store that answered; `None` if no answer arrived.
    pub era: Option<Era>,
    /// Whether the answer stated an era that could not be parsed. The latest known
    /// one stands in for it.
    pub unreadable_era: bool,
    /// The result.
    pub result: Result<T, PlatformError>,
}

/// When data of a call's answer last arrived; clones are of the same call.
#[derive(Clone, Debug, Default)]
pub struct Progress(Rc<Cell<Option<Instant>>>);

impl Progress {
    /// Records that data arrived now.
    pub fn record(&self) {
        self.0.set(Some(Instant::now()));
    }

    /// Returns when data last arrived; `None` if none has.
    pub fn last(&self) -> Option<Instant> {
        self.0.get()
    }
}

/// A pending call.
///
/// ```
/// use banyangauge::serving::{Answer, Pending, Progress};
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// let progress = Progress::default();
/// let arrived = progress.clone();
/// let pending = Pending::new(progress.clone(), async move {
///     arrived.record();
///     Answer { era: None, unreadable_era: false, result: Ok(7) }
/// });
/// assert_eq!(pending.await.result, Ok(7));
/// assert!(progress.last().is_some());
/// # });
/// ```
pub struct Pending<T> {
    progress: Progress,
    answer: Pin<Box<dyn Future<Output = Answer<T>>>>,
}

impl<T> Pending<T> {
    /// Creates a call that records in `progress` when data of its answer arrives.
    pub fn new(progress: Progress, answer: impl Future<Output = Answer<T>> + 'static) -> Self {
        Self {
            progress,
            answer: Box::pin(answer),
        }
    }

    /// Returns when data of the answer arrived.
    pub fn progress(&self) -> Progress {
        self.progress.clone()
    }
}

impl<T> Future for Pending<T> {
    type Output = Answer<T>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Answer<T>> {
        self.answer.as_mut().poll(cx)
    }
}

/// A stored object.
#[derive(Clone, Debug)]
pub struct Item {
    /// The name, unique within the kind.
    pub name: String,
    /// The revision of the last change.
    pub revision: StoreRevision,
    /// The content, as JSON.
    pub spec: Box<RawValue>,
}

impl Item {
    /// Decodes the content.
    pub(in crate::serving) fn decode<T: DeserializeOwned>(&self) -> Result<T, BadRecord> {
        serde_json::from_str(self.spec.get()).map_err(|e| BadRecord(e.to_string()))
    }

    /// Creates an object without content, such as one that was removed.
    pub fn empty(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            revision: StoreRevision::default(),
            spec: RawValue::NULL.to_owned(),
        }
    }
}

/// A page of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects in name order. One that cannot be decoded is empty.
    pub items: Vec<Item>,
    /// The number of objects whose names cannot be decoded, which are not in `items`.
    pub unreadable: usize,
    /// Whether there are further pages, of the objects after the last one in `items`.
    pub more: bool,
    /// The revision of the list, from which to watch.
    pub revision: StoreRevision,
}

impl Page {
    /// Appends the next page. Objects may change between the pages, so the list has
    /// the oldest revision: a watch from there misses no changes between them.
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
    /// The changes, in order. An object that cannot be decoded is empty.
    pub changes: Vec<Change>,
    /// The number of changes whose names cannot be decoded, which are not in `changes`.
    pub unreadable: usize,
    /// The revision from which to watch next.
    pub revision: StoreRevision,
}

/// Lists the objects of a kind after a name, as they are now: an older state may be
/// of a history that the store has lost.
pub type List = Box<dyn Fn(&str, Option<&str>) -> Pending<Page>>;

/// Watches a kind after a revision, for at most the given time. The answer may be of
/// a later era than the revision: it then says nothing of the changes after it.
pub type Watch = Box<dyn Fn(&str, StoreRevision, Duration) -> Pending<Changes>>;

/// Creates an object (kind, name, content) and returns its revision.
pub type Create = Box<dyn Fn(&str, &str, &RawValue) -> Pending<StoreRevision>>;

/// Replaces an object (kind, name, content) if it has this revision, and
/// returns the new one. In a later era the revision may be that of other content,
/// which is then replaced all the same.
pub type Replace = Box<dyn Fn(&str, &str, StoreRevision, &RawValue) -> Pending<StoreRevision>>;

/// Reads an object (kind, name) as it is now.
pub type Get = Box<dyn Fn(&str, &str) -> Pending<Item>>;

/// Deletes an object (kind, name).
pub type Delete = Box<dyn Fn(&str, &str) -> Pending<()>>;

/// The calls of the store. Each is a single attempt without a timeout of its
/// own.
pub struct Store {
    /// Lists objects.
    pub list: List,
    /// Reads an object.
    pub get: Get,
    /// Watches for changes.
    pub watch: Watch,
    /// Creates an object.
    pub create: Create,
    /// Replaces an object.
    pub replace: Replace,
    /// Deletes an object.
    pub delete: Delete,
}
