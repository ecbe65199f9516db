//! Finds the loads of adapters in the lines about orders.

use std::collections::BTreeMap;

use super::lines::OrderRecord;
use super::lines::RankLabel;
use super::lines::TimeUs;

/// A load that took less than the median divided by this is taken as cached: a load from
/// the replica's own memory takes about a tenth of one from the weight store.
const CACHED_DIVISOR: u64 = 4;

/// One load of an adapter or model by a replica.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// Time of its first line.
    pub(super) at: TimeUs,
    pub(super) rank: Option<RankLabel>,
    pub(super) end: LoadEnd,
    /// Whether the replica was told before, in the logs, to unload the same adapter.
    pub(super) evicted: bool,
    pub(super) wait_ms: Option<u64>,
    pub(super) waiting: Option<u64>,
}

impl Load {
    /// Returns the duration in milliseconds, if a line states it.
    pub(super) fn took_ms(&self) -> Option<u64> {
        match self.end {
            LoadEnd::Took { ms } => Some(ms),
            LoadEnd::Unmeasured | LoadEnd::Unseen => None,
        }
    }
}

/// What the lines say about the end of a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LoadEnd {
    Took {
        ms: u64,
    },
    /// It ended, and no line says how long it took.
    Unmeasured,
    /// No line says that it ended.
    Unseen,
}

/// Where a load came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LoadKind {
    Fetched,
    /// Not cached, and the replica had unloaded the same adapter before.
    Again,
    Cached,
    Unmeasured,
    Unseen,
}

/// State of one adapter at one replica.
#[derive(Default)]
struct Slot {
    loading: Option<Load>,
    evicted: bool,
}

/// Returns the loads in order lines that are in order of time.
pub(super) fn group(orders: &[OrderRecord]) -> Vec<Load> {
    let mut slots: BTreeMap<(&str, &str), Slot> = BTreeMap::new();
    let mut loads = Vec::new();
    for o in orders {
        let slot = slots.entry((&o.replica, &o.target)).or_default();
        match (o.what.as_str(), o.end.as_str()) {
            // A load in progress is polled with the same order.
            ("load", "accepted") => {
                let evicted = slot.evicted;
                slot.loading.get_or_insert_with(|| start(o, evicted));
            }
            ("load", "holds") => loads.extend(finish(slot, o)),
            ("unload", "accepted" | "holds") => {
                loads.extend(slot.loading.take());
                slot.evicted = true;
            }
            _ => {}
        }
    }
    loads.extend(slots.into_values().filter_map(|slot| slot.loading));
    loads
}

fn start(o: &OrderRecord, evicted: bool) -> Load {
    Load {
        at: o.at,
        rank: o.rank.clone(),
        end: LoadEnd::Unseen,
        evicted,
        wait_ms: o.wait_ms,
        waiting: o.waiting,
    }
}

/// Ends a load. A line without a duration and without a load in progress only says that
/// the adapter is loaded.
fn finish(slot: &mut Slot, o: &OrderRecord) -> Option<Load> {
    let begun = slot.loading.take();
    let took = o.took_ms.map(|ms| LoadEnd::Took { ms });
    let load = begun.or_else(|| took.map(|_| start(o, slot.evicted)))?;
    let end = took.unwrap_or(LoadEnd::Unmeasured);
    Some(Load { end, ..load })
}

/// Returns the median duration of the loads in milliseconds.
pub(super) fn median_ms(loads: &[Load]) -> Option<u64> {
    let mut took: Vec<u64> = loads.iter().filter_map(Load::took_ms).collect();
    took.sort_unstable();
    took.get(took.len() / 2).copied()
}

/// Decides where a load came from, by the median duration of all loads.
pub(super) fn classify(load: &Load, median_ms: Option<u64>) -> LoadKind {
    match load.end {
        LoadEnd::Unmeasured => LoadKind::Unmeasured,
        LoadEnd::Unseen => LoadKind::Unseen,
        LoadEnd::Took { ms } => {
            let median = median_ms.unwrap_or_default();
            match (ms.saturating_mul(CACHED_DIVISOR) < median, load.evicted) {
                (true, _) => LoadKind::Cached,
                (false, true) => LoadKind::Again,
                (false, false) => LoadKind::Fetched,
            }
        }
    }
}
