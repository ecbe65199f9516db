//! The counters that a process holds.

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

/// Rows in one object: with the longest names a row is 350 bytes, so an object
/// stays below the platform's megabyte.
const PART_ROWS: usize = 2_000;

#[derive(Debug)]
struct Cell {
    count: Count,
    part: usize,
}

#[derive(Debug)]
struct Account {
    sequence: Option<u64>,
    rows: BTreeMap<UsageKey, Cell>,
    /// Parts that the platform does not have as they are here.
    dirty: BTreeSet<usize>,
    /// Rows that the holding peer does not have as they are here.
    unheld: BTreeSet<UsageKey>,
    heard: Instant,
    /// Whether its entry reports here, rather than a peer handing copies over.
    direct: bool,
}

impl Account {
    fn new() -> Self {
        Self {
            sequence: None,
            rows: BTreeMap::new(),
            dirty: BTreeSet::new(),
            unheld: BTreeSet::new(),
            heard: Instant::now(),
            direct: false,
        }
    }

    fn raise(&mut self, row: UsageKey, count: &Count) {
        let part = self.rows.len() / PART_ROWS;
        let cell = self.rows.entry(row.clone()).or_insert(Cell {
            count: Count::default(),
            part,
        });
        if cell.count.raise(count) {
            self.dirty.insert(cell.part);
            self.unheld.insert(row);
        }
    }

    /// A report of the wanted rows; `None` if there are none.
    fn report(
        &self,
        source: &Source,
        wanted: impl Fn(&UsageKey, &Cell) -> bool,
    ) -> Option<wire::UsageReport> {
        let rows = self.rows.iter().filter(|(r, c)| wanted(r, c));
        let counts: Vec<_> = rows.map(|(r, c)| to_wire(r, &c.count)).collect();
        (!counts.is_empty()).then(|| wire::UsageReport {
            vm: source.vm.clone(),
            incarnation: source.incarnation,
            sequence: self.sequence.unwrap_or(0),
            counts,
        })
    }

    fn part(&self, part: usize) -> Counts {
        let rows = self.rows.iter().filter(|(_, c)| c.part == part);
        rows.map(|(r, c)| (r.clone(), c.count)).collect()
    }
}

type Accounts = BTreeMap<Source, Account>;

/// The counters that this process holds, its own VM's and others'; clones
/// share them. [`ControlState::usage`](crate::control::ControlState::usage) is the one of a process.
#[derive(Clone, Debug)]
pub struct UsageStore {
    accounts: Arc<Mutex<Accounts>>,
    /// Whether reports are taken no more; changed with the accounts locked.
    closed: Arc<AtomicBool>,
    pub(super) wake: Arc<Notify>,
}

impl UsageStore {
    pub(in crate::control) fn new() -> Self {
        Self {
            accounts: Arc::default(),
            closed: Arc::default(),
            wake: Arc::default(),
        }
    }

    /// Takes a report of an entry's cumulative counters; a report whose
    /// sequence is not above the last one's changes nothing. It may list only
    /// the rows that rose since the last report that was answered.
    ///
    /// Whoever takes a report writes it to the platform and has a peer hold a
    /// copy, also when the entry runs on another VM whose control process is
    /// down.
    ///
    /// `None` once the process stops: what it would take now, nobody would write.
    pub fn record(&self, report: wire::UsageReport) -> Option<wire::UsageReply> {
        self.add(report, true)
    }

    /// Takes no more reports: the last copy goes to the peer.
    pub(super) fn close(&self) {
        let _accounts = self.lock();
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Holds a copy for the peer that took the report; it is written here only
    /// when that peer falls silent.
    ///
    /// `None` once the process stops: the peer, which may stop as well, must not
    /// take its counters for held.
    pub fn hold_copy(&self, report: wire::UsageReport) -> Option<wire::UsageReply> {
        self.add(report, false)
    }

    fn add(&self, report: wire::UsageReport, direct: bool) -> Option<wire::UsageReply> {
        let mut accounts = self.lock();
        if self.closed.load(Ordering::Relaxed) {
            return None;
        }
        let source = Source {
            vm: report.vm,
            incarnation: report.incarnation,
        };
        let account = accounts.entry(source).or_insert_with(Account::new);
        account.heard = Instant::now();
        account.direct |= direct;
        let last = account.sequence;
        if let Some(last) = last
            && report.sequence <= last
        {
            return Some(wire::UsageReply { sequence: last });
        }
        account.sequence = Some(report.sequence);
        for line in report.counts {
            let (row, count) = from_wire(line);
            account.raise(row, &count);
        }
        drop(accounts);
        self.wake.notify_one();
        Some(wire::UsageReply {
            sequence: report.sequence,
        })
    }

    /// All counters held here, by source.
    pub fn counts(&self) -> BTreeMap<Source, Counts> {
        let all = |a: &Account| a.rows.iter().map(|(r, c)| (r.clone(), c.count)).collect();
        let accounts = self.lock();
        accounts.iter().map(|(s, a)| (s.clone(), all(a))).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Accounts> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the peer that holds a copy of the counters taken here lacks; all
    /// of it for a peer that is new to it.
    pub(super) fn to_hold(&self, whole: bool) -> Vec<wire::UsageReport> {
        let mut reports = Vec::new();
        let mut accounts = self.lock();
        for (source, account) in accounts.iter_mut().filter(|(_, a)| a.direct) {
            let unheld = std::mem::take(&mut account.unheld);
            reports.extend(account.report(source, |r, _| whole || unheld.contains(r)));
        }
        reports
    }

    /// What a process that ends hands on: all that was reported here, and what
    /// it holds for others and the platform may not have.
    pub(super) fn to_hand_on(&self) -> Vec<wire::UsageReport> {
        let accounts = self.lock();
        let reports = accounts.iter().filter_map(|(source, account)| {
            account.report(source, |_, c| {
                account.direct || account.dirty.contains(&c.part)
            })
        });
        reports.collect()
    }

    /// A report that the peer did not take goes with the next.
    pub(super) fn not_held(&self, reports: Vec<wire::UsageReport>) {
        let mut accounts = self.lock();
        for report in reports {
            let source = Source {
                vm: report.vm,
                incarnation: report.incarnation,
            };
            if let Some(account) = accounts.get_mut(&source) {
                let rows = report.counts.into_iter().map(|line| from_wire(line).0);
                account.unheld.extend(rows);
            }
        }
    }

    /// Parts to write now: those that entries reported here, and all of a
    /// source that fell silent.
    pub(super) fn due(&self, silence: Duration) -> Vec<(Source, usize)> {
        let accounts = self.lock();
        let due = accounts
            .iter()
            .filter(|(_, a)| a.direct || a.heard.elapsed() > silence);
        due.flat_map(|(s, a)| a.dirty.iter().map(|part| (s.clone(), *part)))
            .collect()
    }

    pub(super) fn part(&self, source: &Source, part: usize) -> Counts {
        let accounts = self.lock();
        accounts
            .get(source)
            .map(|a| a.part(part))
            .unwrap_or_default()
    }

    /// Notes what the platform holds of a part.
    pub(super) fn written(&self, source: &Source, part: usize, there: &Counts) {
        let mut accounts = self.lock();
        if let Some(account) = accounts.get_mut(source)
            && account.part(part) == *there
        {
            account.dirty.remove(&part);
        }
    }

    /// Lets go of sources that are silent and wholly written.
    pub(super) fn forget(&self) {
        let done = |a: &Account| a.dirty.is_empty() && a.heard.elapsed() > SOURCE_TIMEOUT;
        self.lock().retain(|_, a| !done(a));
    }
}
