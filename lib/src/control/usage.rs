//! What teams used: counted by entries, held by a peer, kept in the platform.
//!
//! Counters are cumulative for one start of an entry process and only rise, so
//! the greater of two values is always the right one. Taking a report twice,
//! writing an object twice, or two VMs writing the same one change nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use banyangauge_proto as wire;
use serde::Deserialize;
use serde::Serialize;
use slog::warn;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout;
use tonic::transport::Endpoint;
use wire::peers_client::PeersClient;

use super::Shared;
use crate::platform::Platform;
use crate::platform::PlatformError;

/// Kind of the objects that hold counters.
pub const KIND: &str = "usages";

/// Rows in one object: with the longest names a row is 350 bytes, so an object
/// stays below the platform's megabyte.
const PART_ROWS: usize = 2_000;

/// Between two writes of a VM: 700 VMs then write 70 times a second, of the
/// several hundred that the platform takes.
const FLUSH_EVERY: Duration = Duration::from_secs(10);

/// The least time between two reports to the peer that holds a copy; with the
/// interval at which entries report it bounds what a lost VM loses.
const HOLD_GAP: Duration = Duration::from_millis(500);

/// The longest that handing a copy to a peer may take.
const HOLD_TIMEOUT: Duration = Duration::from_secs(1);

/// A source that was silent this long is written and let go of, by whoever
/// holds it: its VM may be gone.
pub const SILENCE: Duration = Duration::from_secs(15);

/// The longest that a stopping process waits for its last write.
const LAST_FLUSH: Duration = Duration::from_secs(2);

/// Tries of one object when others write it as well.
const WRITE_TRIES: u32 = 3;

/// Who is charged for what.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Row {
    /// The team.
    pub team: String,
    /// The adapter, or the pool of a plain service.
    pub adapter: String,
    /// Its version; 0 for a plain service.
    pub version: u32,
}

/// Counters of a row.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Requests that were answered or cut off after their first byte.
    pub requests: u64,
    /// Tokens in their prompts.
    pub prompt: u64,
    /// Tokens that were passed on to callers.
    pub output: u64,
}

impl Count {
    fn raise(&mut self, other: &Self) -> bool {
        let before = *self;
        self.requests = self.requests.max(other.requests);
        self.prompt = self.prompt.max(other.prompt);
        self.output = self.output.max(other.output);
        *self != before
    }

    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.prompt += other.prompt;
        self.output += other.output;
    }
}

/// Counters by row.
pub type Counts = BTreeMap<Row, Count>;

/// One start of an entry process.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Source {
    /// Its VM.
    pub vm: String,
    /// The start.
    pub incarnation: u64,
}

impl Source {
    fn object(&self, part: usize) -> String {
        match part {
            0 => format!("{}-{}", self.vm, self.incarnation),
            _ => format!("{}-{}-{part}", self.vm, self.incarnation),
        }
    }
}

/// One row as an object holds it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Line {
    #[serde(flatten)]
    row: Row,
    #[serde(flatten)]
    count: Count,
}

/// An object of kind `usages`.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Sheet {
    #[serde(flatten)]
    source: Source,
    counts: Vec<Line>,
}

#[derive(Debug)]
struct Cell {
    count: Count,
    part: usize,
}

#[derive(Debug)]
struct Account {
    sequence: Option<u64>,
    rows: BTreeMap<Row, Cell>,
    /// Parts that the platform does not have as they are here.
    dirty: BTreeSet<usize>,
    /// Rows that the holding peer does not have as they are here.
    unheld: BTreeSet<Row>,
    heard: Instant,
}

impl Account {
    fn new() -> Self {
        Self {
            sequence: None,
            rows: BTreeMap::new(),
            dirty: BTreeSet::new(),
            unheld: BTreeSet::new(),
            heard: Instant::now(),
        }
    }

    fn raise(&mut self, row: Row, count: &Count) {
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

    fn part(&self, part: usize) -> Counts {
        let rows = self.rows.iter().filter(|(_, c)| c.part == part);
        rows.map(|(r, c)| (r.clone(), c.count)).collect()
    }
}

type Accounts = BTreeMap<Source, Account>;

/// The counters that this process holds, its own VM's and others'; clones
/// share them. [`Board::usage`](super::Board::usage) is the one of a process.
#[derive(Clone, Debug)]
pub struct Store {
    accounts: Arc<Mutex<Accounts>>,
    wake: Arc<Notify>,
}

impl Store {
    pub(super) fn new() -> Self {
        Self {
            accounts: Arc::default(),
            wake: Arc::default(),
        }
    }

    /// Takes a report of cumulative counters; a report whose sequence is not
    /// above the last one's changes nothing. It may list only the rows that
    /// rose since the last report that was answered.
    pub fn take(&self, report: wire::UsageReport) -> wire::UsageReply {
        let source = Source {
            vm: report.vm,
            incarnation: report.incarnation,
        };
        let mut accounts = self.lock();
        let account = accounts.entry(source).or_insert_with(Account::new);
        account.heard = Instant::now();
        let last = account.sequence;
        if let Some(last) = last
            && report.sequence <= last
        {
            return wire::UsageReply { sequence: last };
        }
        account.sequence = Some(report.sequence);
        for line in report.counts {
            let (row, count) = from_wire(line);
            account.raise(row, &count);
        }
        drop(accounts);
        self.wake.notify_one();
        wire::UsageReply {
            sequence: report.sequence,
        }
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

    /// What the peer that holds a copy of `vm`'s counters lacks; all of it for
    /// a peer that is new to it.
    fn to_hold(&self, vm: &str, whole: bool) -> Vec<wire::UsageReport> {
        let mut reports = Vec::new();
        let mut accounts = self.lock();
        for (source, account) in accounts.iter_mut().filter(|(s, _)| s.vm == vm) {
            let unheld = std::mem::take(&mut account.unheld);
            let wanted = |r: &Row| whole || unheld.contains(r);
            let rows = account.rows.iter().filter(|(r, _)| wanted(r));
            let counts: Vec<_> = rows.map(|(r, c)| to_wire(r, &c.count)).collect();
            if !counts.is_empty() {
                reports.push(wire::UsageReport {
                    vm: source.vm.clone(),
                    incarnation: source.incarnation,
                    sequence: account.sequence.unwrap_or(0),
                    counts,
                });
            }
        }
        reports
    }

    /// A report that the peer did not take goes with the next.
    fn not_held(&self, reports: Vec<wire::UsageReport>) {
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

    /// Parts to write now: those of this VM, and all of a source that fell
    /// silent.
    fn due(&self, vm: &str, silence: Duration) -> Vec<(Source, usize)> {
        let accounts = self.lock();
        let due = accounts
            .iter()
            .filter(|(s, a)| s.vm == vm || a.heard.elapsed() > silence);
        due.flat_map(|(s, a)| a.dirty.iter().map(|part| (s.clone(), *part)))
            .collect()
    }

    fn part(&self, source: &Source, part: usize) -> Counts {
        let accounts = self.lock();
        accounts
            .get(source)
            .map(|a| a.part(part))
            .unwrap_or_default()
    }

    /// Notes what the platform holds of a part.
    fn written(&self, source: &Source, part: usize, there: &Counts) {
        let mut accounts = self.lock();
        if let Some(account) = accounts.get_mut(source)
            && account.part(part) == *there
        {
            account.dirty.remove(&part);
        }
    }

    /// Lets go of sources that are silent and wholly written.
    fn forget(&self) {
        let done = |a: &Account| a.dirty.is_empty() && a.heard.elapsed() > SILENCE;
        self.lock().retain(|_, a| !done(a));
    }
}

/// Hands copies to a peer and writes to the platform until the process stops.
pub async fn run(shared: Shared, store: Store) {
    let mut stopping = shared.board.stopping.subscribe();
    let stopped = async { stopping.wait_for(|s| *s).await.is_ok() };
    tokio::select! {
        _ = stopped => {}
        () = hold_all(&shared, &store) => {}
        () = flush_all(&shared, &store) => {}
    }
    // What the last write could not bring to the platform, the peer holds.
    let _ = timeout(LAST_FLUSH, flush(&shared, &store, SILENCE)).await;
}

async fn flush_all(shared: &Shared, store: &Store) {
    // VMs that start together do not write together.
    let first = rand::random_range(0.0..1.0);
    tokio::time::sleep(FLUSH_EVERY.mul_f64(first)).await;
    loop {
        flush(shared, store, SILENCE).await;
        store.forget();
        tokio::time::sleep(FLUSH_EVERY).await;
    }
}

/// Writes what is due: the counters of this VM, and those of others that were
/// silent for longer than `silence`. What fails stays due.
pub async fn flush(shared: &Shared, store: &Store, silence: Duration) {
    for (source, part) in store.due(shared.vm.as_str(), silence) {
        match write_part(&shared.platform, store, &source, part).await {
            Ok(()) => {}
            // Each further write would fail alike; the next round tries.
            Err(PlatformError::Unreachable(_)) => return,
            Err(e) => {
                let object = source.object(part);
                warn!(shared.log, "usage not written"; "object" => object, "error" => %e);
            }
        }
    }
}

/// Raises an object to what is held here. Each counter only rises, so the
/// outcome is the same whoever writes, in whichever order and how often.
async fn write_part(
    platform: &Platform,
    store: &Store,
    source: &Source,
    part: usize,
) -> Result<(), PlatformError> {
    let name = source.object(part);
    let mut tries = 0;
    loop {
        let (version, mut counts) = match platform.get::<Sheet>(KIND, &name).await {
            Ok(object) => (object.metadata.version, rows_of(object.spec)),
            Err(PlatformError::NotFound) => (String::new(), Counts::new()),
            Err(e) => return Err(e),
        };
        let mut rose = false;
        let held = store.part(source, part);
        for (row, count) in &held {
            rose |= counts.entry(row.clone()).or_default().raise(count);
        }
        if !rose {
            store.written(source, part, &held);
            return Ok(());
        }
        let sheet = sheet(source, counts);
        let end = match version.as_str() {
            "" => platform.create(KIND, &name, &sheet).await,
            v => platform.replace(KIND, &name, v, &sheet).await,
        };
        tries += 1;
        match end {
            Ok(_) => {
                store.written(source, part, &held);
                return Ok(());
            }
            // Reading it again tells what became of it.
            Err(PlatformError::Conflict | PlatformError::Lost(_)) if tries < WRITE_TRIES => {}
            Err(e) => return Err(e),
        }
    }
}

fn sheet(source: &Source, counts: Counts) -> Sheet {
    let lines = counts.into_iter().map(|(row, count)| Line { row, count });
    Sheet {
        source: source.clone(),
        counts: lines.collect(),
    }
}

fn rows_of(sheet: Sheet) -> Counts {
    let lines = sheet.counts.into_iter();
    lines.map(|line| (line.row, line.count)).collect()
}

/// All counters in the platform, raised by those held here, by source.
///
/// # Errors
///
/// When the platform does not answer: a part of the counters is no answer.
pub async fn read_all(
    platform: &Platform,
    store: &Store,
) -> Result<BTreeMap<Source, Counts>, PlatformError> {
    let mut all = store.counts();
    for object in platform.list::<Sheet>(KIND).await?.items {
        let counts = all.entry(object.spec.source.clone()).or_default();
        for line in object.spec.counts {
            counts.entry(line.row).or_default().raise(&line.count);
        }
    }
    Ok(all)
}

/// Sums over all sources.
///
/// ```
/// use std::collections::BTreeMap;
/// use banyangauge::control::usage::{Count, Row, Source, totals};
/// let row = Row { team: "laundry".into(), adapter: "rosters".into(), version: 1 };
/// let source = |incarnation| Source { vm: "vm-1".into(), incarnation };
/// let one = Count { requests: 1, prompt: 10, output: 20 };
/// let all = BTreeMap::from([
///     (source(1), BTreeMap::from([(row.clone(), one)])),
///     (source(2), BTreeMap::from([(row.clone(), one)])),
/// ]);
/// assert_eq!(totals(&all)[&row].output, 40);
/// ```
pub fn totals(all: &BTreeMap<Source, Counts>) -> Counts {
    let mut sums = Counts::new();
    for (row, count) in all.values().flatten() {
        sums.entry(row.clone()).or_default().add(count);
    }
    sums
}

/// A row on the wire.
pub fn to_wire(row: &Row, count: &Count) -> wire::UsageCount {
    wire::UsageCount {
        team: row.team.clone(),
        adapter: row.adapter.clone(),
        version: row.version,
        requests: count.requests,
        prompt_tokens: count.prompt,
        output_tokens: count.output,
    }
}

fn from_wire(line: wire::UsageCount) -> (Row, Count) {
    let row = Row {
        team: line.team,
        adapter: line.adapter,
        version: line.version,
    };
    let count = Count {
        requests: line.requests,
        prompt: line.prompt_tokens,
        output: line.output_tokens,
    };
    (row, count)
}

/// Hands each change to the peer that holds this VM's counters.
async fn hold_all(shared: &Shared, store: &Store) {
    let mut last = None;
    loop {
        store.wake.notified().await;
        let holder = holder(shared);
        if let Some(address) = &holder {
            let whole = last != holder;
            let reports = store.to_hold(shared.vm.as_str(), whole);
            match hold(address, &reports).await {
                Some(()) => last = holder,
                None => {
                    store.not_held(reports);
                    store.wake.notify_one();
                }
            }
        }
        tokio::time::sleep(HOLD_GAP).await;
    }
}

async fn hold(address: &str, reports: &[wire::UsageReport]) -> Option<()> {
    let work = async {
        let channel = Endpoint::from_shared(format!("http://{address}"))
            .ok()?
            .connect_timeout(HOLD_TIMEOUT)
            .connect()
            .await
            .ok()?;
        let mut client = PeersClient::new(channel);
        for report in reports {
            client.hold_usage(report.clone()).await.ok()?;
        }
        Some(())
    };
    timeout(HOLD_TIMEOUT, work).await.ok().flatten()
}

/// The live member in another availability zone that ranks first for this VM
/// (rendezvous hashing: each VM keeps its peer while that lives, and the work
/// is spread); in the same zone when there is no other.
fn holder(shared: &Shared) -> Option<String> {
    let members = shared.board.members.borrow();
    let live = members
        .values()
        .filter(|m| m.state == 0 && m.vm != shared.vm.as_str());
    let best = live.max_by_key(|m| {
        let rank = xxhash_rust::xxh3::xxh3_64(format!("{}/{}", shared.vm, m.vm).as_bytes());
        (m.zone != shared.zone.as_str(), rank)
    })?;
    Some(best.address.clone())
}
