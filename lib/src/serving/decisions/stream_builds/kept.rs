//! The streams that are kept in the store while several builds serve.
//!
//! One VM of a group writes the streams of the group in batches, and tells the VM that begins a
//! stream when that is done. A batch is an object of a fixed
//! number, which are written in turn, so that the oldest streams are overwritten and nothing needs
//! to be deleted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::StreamId;
use crate::ids::BuildName;
use crate::ids::ServiceName;
use crate::ids::VmName;
use crate::pool::Span;
use crate::serving::store::port::StoreRevision;

/// VMs of a group: one of them writes the streams that begin at all of them.
const GROUP_VMS: usize = 32;

/// Interval between two writes of a group. Streams wait for it before their first event, which
/// takes longer anyway.
const WRITE_INTERVAL: Span = Span::from_millis(25);

/// Groups that may write at this interval; more of them write less often, so that the calls of the
/// fleet do not grow with it.
const FAST_GROUPS: u32 = 2;

/// Objects of a group. At 500 streams a second they hold those of half a minute.
const SLOTS: u32 = 64;

/// Streams in one object, about 5 KB.
const MAX_BATCH: usize = 256;

/// Hexadecimal digits of a stream's identifier.
const ID_DIGITS: usize = 16;

/// A part of the streams, by their identifiers, that one VM keeps.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StreamGroup {
    /// The number of groups.
    pub count: u32,
    /// The group, from 0.
    pub index: u32,
}

impl StreamGroup {
    /// Returns the group of a stream in a fleet of so many VMs.
    ///
    /// ```
    /// use banyangauge::serving::{StreamGroup, StreamId};
    /// assert_eq!(StreamGroup::of(StreamId(7), 9).count, 1);
    /// assert_eq!(StreamGroup::of(StreamId(70), 700), StreamGroup { count: 32, index: 6 });
    /// ```
    pub fn of(stream: StreamId, vms: usize) -> Self {
        let count = (vms / GROUP_VMS).clamp(1, 1 << 16).next_power_of_two() as u32;
        Self {
            count,
            index: (stream.0 % u64::from(count)) as u32,
        }
    }

    /// Returns the groups in which VMs may have kept a stream of this one that take the fleet for
    /// half or twice as large.
    pub fn neighbours(&self, stream: StreamId) -> BTreeSet<Self> {
        let counts = [(self.count / 2).max(1), self.count, self.count * 2];
        let groups = counts.into_iter().map(|count| Self {
            count,
            index: (stream.0 % u64::from(count)) as u32,
        });
        groups.collect()
    }

    /// Returns the seed of the order in which VMs keep its streams.
    pub fn seed(&self) -> u64 {
        u64::from(self.count) << 32 | u64::from(self.index)
    }

    /// Returns the interval between two writes.
    pub fn interval(&self) -> Span {
        Span(WRITE_INTERVAL.0 * u64::from(self.count.div_ceil(FAST_GROUPS)))
    }
}

impl fmt::Display for StreamGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.count, self.index)
    }
}

/// Streams and the builds that began them, as the store has them: by service and build, the
/// identifiers in hexadecimal without a separator.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamBatch(BTreeMap<ServiceName, BTreeMap<BuildName, String>>);

impl StreamBatch {
    /// Adds a stream.
    fn add(&mut self, stream: StreamId, service: &ServiceName, build: &BuildName) {
        let builds = self.0.entry(service.clone()).or_default();
        let streams = builds.entry(build.clone()).or_default();
        streams.push_str(&format!("{:016x}", stream.0));
    }

    /// Iterates over the streams; an identifier that cannot be read is left out.
    pub fn streams(&self) -> impl Iterator<Item = (StreamId, &ServiceName, &BuildName)> {
        let all = self.0.iter().flat_map(|(service, builds)| {
            let builds = builds.iter();
            builds.map(move |(build, streams)| (service, build, streams.as_bytes()))
        });
        all.flat_map(|(service, build, streams)| {
            let ids = streams.chunks(ID_DIGITS).filter_map(|digits| {
                let digits = std::str::from_utf8(digits).ok()?;
                u64::from_str_radix(digits, 16).ok().map(StreamId)
            });
            ids.map(move |id| (id, service, build))
        })
    }
}

/// A stream to keep.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptStream {
    /// The stream.
    pub id: StreamId,
    /// Its service.
    pub service: ServiceName,
    /// The build that begins it.
    pub build: BuildName,
    /// The VM that waits until it is kept, and the number of its call.
    pub waiter: (VmName, u64),
}

/// A write that is due.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BatchWrite {
    /// The number of the object.
    pub slot: u32,
    /// The revision that it replaces; `None` if it is to be created.
    pub revision: Option<StoreRevision>,
    /// The waiter of the last stream in it.
    pub last: Option<(VmName, u64)>,
    /// Its content.
    pub batch: StreamBatch,
}

/// The streams of one group, as the VM that keeps them knows them.
#[derive(Debug, Default)]
pub struct KeptGroup {
    /// The objects in the store; `None` until they are listed.
    stored: Option<BTreeMap<u32, StoreRevision>>,
    /// The object that is written now.
    slot: Option<u32>,
    /// Its streams.
    streams: Vec<KeptStream>,
    /// Streams that are not in the store yet, at the end of `streams`.
    unwritten: usize,
}

impl KeptGroup {
    /// Adds a stream to be written. Without the store the first ones yield: nobody waits for
    /// them any more.
    pub fn add(&mut self, stream: KeptStream) {
        if self.unwritten >= MAX_BATCH {
            self.begin_batch();
            self.streams.remove(0);
            self.unwritten -= 1;
        }
        self.streams.push(stream);
        self.unwritten += 1;
    }

    /// Whether the stored objects must be listed before a write.
    pub fn needs_list(&self) -> bool {
        self.unwritten > 0 && self.stored.is_none()
    }

    /// Sets which objects are in the store. The next write goes to the oldest of them.
    pub fn set_stored(&mut self, stored: BTreeMap<u32, StoreRevision>) {
        self.stored = Some(stored);
        self.begin_batch();
    }

    /// Returns the next write, if there is one and the stored objects are known.
    pub fn next_write(&mut self) -> Option<BatchWrite> {
        if self.unwritten == 0 {
            return None;
        }
        if self.streams.len() > MAX_BATCH {
            self.begin_batch();
        }
        let stored = self.stored.as_ref()?;
        let slot = *self.slot.get_or_insert_with(|| oldest_slot(stored));
        let mut batch = StreamBatch::default();
        for stream in &self.streams {
            batch.add(stream.id, &stream.service, &stream.build);
        }
        Some(BatchWrite {
            slot,
            revision: stored.get(&slot).copied(),
            last: self.streams.last().map(|s| s.waiter.clone()),
            batch,
        })
    }

    /// Begins another object with the streams that are not written yet.
    fn begin_batch(&mut self) {
        self.slot = None;
        let written = self.streams.len() - self.unwritten;
        self.streams.drain(..written);
    }

    /// Records that a write is in the store. Returns those who wait for its streams.
    pub fn record_written(
        &mut self,
        write: &BatchWrite,
        revision: StoreRevision,
    ) -> Vec<(VmName, u64)> {
        if let Some(stored) = &mut self.stored {
            stored.insert(write.slot, revision);
        }
        let last = write.last.as_ref();
        let written = self.streams.iter().rposition(|s| Some(&s.waiter) == last);
        let written = written.map_or(0, |last| last + 1);
        let before = self.streams.len() - self.unwritten;
        let new = self.streams.get(before..written).unwrap_or_default();
        let waiters = new.iter().map(|s| s.waiter.clone()).collect();
        self.unwritten = self.unwritten.min(self.streams.len() - written);
        waiters
    }

    /// Gives up what is not written. Returns those who wait for it.
    pub fn take_unwritten(&mut self) -> Vec<(VmName, u64)> {
        let written = self.streams.len() - self.unwritten;
        self.unwritten = 0;
        let given_up = self.streams.drain(written..);
        given_up.map(|s| s.waiter).collect()
    }

    /// Records that what the store has is not known: another VM wrote, or an answer was lost.
    pub fn forget_stored(&mut self) {
        self.stored = None;
    }
}

/// Returns the object that is written next: one that is not there, or the oldest.
fn oldest_slot(stored: &BTreeMap<u32, StoreRevision>) -> u32 {
    let free = (0..SLOTS).find(|slot| !stored.contains_key(slot));
    let oldest = stored.iter().min_by_key(|(_, revision)| **revision);
    free.or(oldest.map(|(slot, _)| *slot)).unwrap_or_default()
}
