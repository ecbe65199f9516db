//! In-memory store of the usage counters that a process holds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use banyangauge_proto as wire;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Count;
use super::Counts;
use super::SOURCE_TIMEOUT;
use super::Source;
use super::UsageKey;
use super::counts::from_wire;
use super::counts::to_wire;

/// Maximum counters in one object. With the longest names a counter takes 350
/// bytes, so that an object stays below the platform's limit of 1 MB.
const MAX_PART_COUNTERS: usize = 2_000;

#[derive(Debug)]
struct Counter {
    count: Count,
    part: usize,
}

#[derive(Debug)]
struct SourceCounters {
    sequence: Option<u64>,
    by_key: BTreeMap<UsageKey, Counter>,
    /// Parts with changes that are not yet written to the platform.
    dirty: BTreeSet<usize>,
    /// Counters with changes that are not yet copied to the peer.
    uncopied: BTreeSet<UsageKey>,
    last_report: Instant,
    /// Whether the entry reports to this process, as opposed to a peer sending
    /// copies.
    direct: bool,
}

impl SourceCounters {
    fn new() -> Self {
        Self {
            sequence: None,
            by_key: BTreeMap::new(),
            dirty: BTreeSet::new(),
            uncopied: BTreeSet::new(),
            last_report: Instant::now(),
            direct: false,
        }
    }

    fn raise(&mut self, key: UsageKey, count: &Count) {
        let part = self.by_key.len() / MAX_PART_COUNTERS;
        let counter = self.by_key.entry(key.clone()).or_insert(Counter {
            count: Count::default(),
            part,
        });
        if counter.count.raise(count) {
            self.dirty.insert(counter.part);
            self.uncopied.insert(key);
        }
    }

    /// Builds a report of the counters that match `wanted`; `None` if none does.
    fn report(
        &self,
        source: &Source,
        wanted: impl Fn(&UsageKey, &Counter) -> bool,
    ) -> Option<wire::UsageReport> {
        let matching = self.by_key.iter().filter(|(k, c)| wanted(k, c));
        let counts: Vec<_> = matching.map(|(k, c)| to_wire(k, &c.count)).collect();
        (!counts.is_empty()).then(|| wire::UsageReport {
            vm: source.vm.clone(),
            incarnation: source.incarnation,
            sequence: self.sequence.unwrap_or(0),
            counts,
        })
    }

    fn part(&self, part: usize) -> Counts {
        let in_part = self.by_key.iter().filter(|(_, c)| c.part == part);
        in_part.map(|(k, c)| (k.clone(), c.count)).collect()
    }
}

type Sources = BTreeMap<Source, SourceCounters>;

/// The usage counters held by this process, of its own VM and of others. Clones
/// share the counters. A process has one store,
/// [`ControlState::usage`](crate::control::ControlState::usage).
#[derive(Clone, Debug)]
pub struct UsageStore {
    sources: Arc<Mutex<Sources>>,
    /// Whether reports are refused; changed only while `sources` is locked.
    closed: Arc<AtomicBool>,
    pub(super) wake: Arc<Notify>,
}

impl UsageStore {
    pub(in crate::control) fn new() -> Self {
        Self {
            sources: Arc::default(),
            closed: Arc::default(),
            wake: Arc::default(),
        }
    }

    /// Records an entry's report of cumulative counters. A report whose sequence
    /// number is not above the last one's is ignored. A report may omit counters
    /// that have not increased since the last acknowledged one.
    ///
    /// The process that records a report writes it to the platform and sends a
    /// copy to a peer, even if the entry runs on another VM whose control process
    /// is down.
    ///
    /// Returns `None` once the process is stopping, because the report would not
    /// be written any more.
    pub fn record(&self, report: wire::UsageReport) -> Option<wire::UsageReply> {
        self.add(report, true)
    }

    /// Refuses further reports, so that the final copy is complete.
    pub(super) fn close(&self) {
        let _accounts = self.lock();
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Holds a copy of a report for the peer that recorded it. This process writes
    /// the copy only if that peer stops sending copies.
    ///
    /// Returns `None` once the process is stopping: the peer, which may be stopping
    /// as well, must not assume that a copy exists.
    pub fn hold_copy(&self, report: wire::UsageReport) -> Option<wire::UsageReply> {
        self.add(report, false)
    }

    fn add(&self, report: wire::UsageReport, direct: bool) -> Option<wire::UsageReply> {
        let mut sources = self.lock();
        if self.closed.load(Ordering::Relaxed) {
            return None;
        }
        let source = Source {
            vm: report.vm,
            incarnation: report.incarnation,
        };
        let counters = sources.entry(source).or_insert_with(SourceCounters::new);
        counters.last_report = Instant::now();
        counters.direct |= direct;
        let last = counters.sequence;
        if let Some(last) = last
            && report.sequence <= last
        {
            return Some(wire::UsageReply { sequence: last });
        }
        counters.sequence = Some(report.sequence);
        for record in report.counts {
            let (key, count) = from_wire(record);
            counters.raise(key, &count);
        }
        drop(sources);
        self.wake.notify_one();
        Some(wire::UsageReply {
            sequence: report.sequence,
        })
    }

    /// Returns all counters held here, by source.
    pub fn counts(&self) -> BTreeMap<Source, Counts> {
        let all = |counters: &SourceCounters| {
            counters
                .by_key
                .iter()
                .map(|(k, c)| (k.clone(), c.count))
                .collect()
        };
        let sources = self.lock();
        sources
            .iter()
            .map(|(s, counters)| (s.clone(), all(counters)))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Sources> {
        self.sources.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns reports of the counters recorded here that the peer does not have
    /// yet, or of all of them for a new peer, and marks them as copied.
    pub(super) fn pending_reports(&self, all: bool) -> Vec<wire::UsageReport> {
        let mut reports = Vec::new();
        let mut sources = self.lock();
        for (source, counters) in sources.iter_mut().filter(|(_, c)| c.direct) {
            let uncopied = std::mem::take(&mut counters.uncopied);
            reports.extend(counters.report(source, |k, _| all || uncopied.contains(k)));
        }
        reports
    }

    /// Returns the reports that a stopping process sends to a peer: all counters
    /// recorded here, and the unwritten parts of copies held for others.
    pub(super) fn final_reports(&self) -> Vec<wire::UsageReport> {
        let sources = self.lock();
        let reports = sources.iter().filter_map(|(source, counters)| {
            counters.report(source, |_, c| {
                counters.direct || counters.dirty.contains(&c.part)
            })
        });
        reports.collect()
    }

    /// Marks the counters of reports that the peer did not accept as uncopied, so
    /// that the next reports include them.
    pub(super) fn restore_pending(&self, reports: Vec<wire::UsageReport>) {
        let mut sources = self.lock();
        for report in reports {
            let source = Source {
                vm: report.vm,
                incarnation: report.incarnation,
            };
            if let Some(counters) = sources.get_mut(&source) {
                let keys = report.counts.into_iter().map(|record| from_wire(record).0);
                counters.uncopied.extend(keys);
            }
        }
    }

    /// Returns the unwritten parts that this process has to write: those of sources
    /// that report here, and of sources without reports for longer than
    /// `timeout_after`.
    pub(super) fn due_parts(&self, timeout_after: Duration) -> Vec<(Source, usize)> {
        let sources = self.lock();
        let due = sources.iter().filter(|(_, counters)| {
            counters.direct || counters.last_report.elapsed() > timeout_after
        });
        due.flat_map(|(s, counters)| counters.dirty.iter().map(|part| (s.clone(), *part)))
            .collect()
    }

    pub(super) fn part_counts(&self, source: &Source, part: usize) -> Counts {
        let sources = self.lock();
        sources
            .get(source)
            .map(|counters| counters.part(part))
            .unwrap_or_default()
    }

    /// Marks a part as written if its counters still equal `written`.
    pub(super) fn mark_written(&self, source: &Source, part: usize, written: &Counts) {
        let mut sources = self.lock();
        if let Some(counters) = sources.get_mut(source)
            && counters.part(part) == *written
        {
            counters.dirty.remove(&part);
        }
    }

    /// Removes completely written sources without reports for [`SOURCE_TIMEOUT`].
    pub(super) fn remove_idle(&self) {
        let is_idle = |counters: &SourceCounters| {
            counters.dirty.is_empty() && counters.last_report.elapsed() > SOURCE_TIMEOUT
        };
        self.lock().retain(|_, counters| !is_idle(counters));
    }
}
