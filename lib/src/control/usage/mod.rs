//! What teams used: counted by entries, held by a peer, kept in the platform.
//!
//! Counters are cumulative for one start of an entry process and only rise, so
//! the greater of two values is always the right one. Taking a report twice,
//! writing an object twice, or two VMs writing the same one change nothing.

mod counts;
mod store;

use std::collections::BTreeMap;
use std::time::Duration;

use banyangauge_proto as wire;
use slog::warn;
use tokio::time::timeout;
use tonic::transport::Channel;
use wire::peers_client::PeersClient;

pub use counts::Count;
pub use counts::Counts;
pub use counts::Source;
pub use counts::UsageKey;
pub use counts::to_wire;
pub use counts::totals;
pub use store::UsageStore;

use counts::Sheet;
use counts::rows_of;
use counts::sheet;

use super::Shared;
use crate::platform::Platform;
use crate::platform::PlatformError;

/// Kind of the objects that hold counters.
pub const KIND: &str = "usages";

/// The least time between two reports to the peer that holds a copy; with the
/// interval at which entries report it bounds what a lost VM loses.
const HOLD_GAP: Duration = Duration::from_millis(500);

/// The longest that handing a copy to a peer may take.
const HOLD_TIMEOUT: Duration = Duration::from_secs(1);

/// A source that was silent this long is written and let go of, by whoever
/// holds it: its VM may be gone.
pub const SOURCE_TIMEOUT: Duration = Duration::from_secs(15);

/// The longest that a stopping process waits for its last write.
const LAST_FLUSH: Duration = Duration::from_secs(2);

/// The longest that a peer may take for the last copy: with one that is cut off
/// there is time for others.
const LAST_HOLD: Duration = Duration::from_millis(400);

/// The pause of a stopping process after no peer took its counters.
const LAST_PAUSE: Duration = Duration::from_millis(50);

/// Tries of one object when others write it as well.
const WRITE_TRIES: u32 = 3;

/// Hands copies to a peer and writes to the platform each `every` until the
/// process stops.
pub async fn run(shared: Shared, store: UsageStore, every: Duration) {
    let mut stopping = shared.state.stopping.subscribe();
    let stopped = async { stopping.wait_for(|s| *s).await.is_ok() };
    tokio::select! {
        _ = stopped => {}
        () = hold_all(&shared, &store) => {}
        () = flush_all(&shared, &store, every) => {}
    }
    store.close();
    // What the last write cannot bring to the platform, a peer holds: also what
    // was reported since it last heard, and the copies held for peers that may
    // have ended before.
    let last = async {
        tokio::join!(
            flush(&shared, &store, Duration::ZERO),
            hold_last(&shared, &store)
        )
    };
    if timeout(LAST_FLUSH, last).await.is_err() {
        warn!(shared.log, "last usage not written or not held");
    }
}

/// Hands all counters to a peer, to the next one where one does not take them,
/// as often as it takes.
async fn hold_last(shared: &Shared, store: &UsageStore) {
    let reports = store.to_hand_on();
    loop {
        let holders = holders(shared);
        if holders.is_empty() {
            return;
        }
        for address in holders {
            let held = timeout(LAST_HOLD, hold(shared, None, address, &reports));
            if held.await.is_ok_and(|link| link.is_some()) {
                return;
            }
        }
        tokio::time::sleep(LAST_PAUSE).await;
    }
}

async fn flush_all(shared: &Shared, store: &UsageStore, every: Duration) {
    // VMs that start together do not write together.
    let first = rand::random_range(0.0..1.0);
    tokio::time::sleep(every.mul_f64(first)).await;
    loop {
        flush(shared, store, SOURCE_TIMEOUT).await;
        store.forget();
        tokio::time::sleep(every).await;
    }
}

/// Writes what is due: the counters taken here, and those held for others that
/// were silent for longer than `silence`. What fails stays due.
pub async fn flush(shared: &Shared, store: &UsageStore, silence: Duration) {
    for (source, part) in store.due(silence) {
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
    store: &UsageStore,
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

/// All counters in the platform, raised by those held here, by source.
///
/// # Errors
///
/// When the platform does not answer: a part of the counters is no answer.
pub async fn read_all(
    platform: &Platform,
    store: &UsageStore,
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

/// Hands each change to the peer that holds this VM's counters, over one
/// connection as long as that peer stays the same.
async fn hold_all(shared: &Shared, store: &UsageStore) {
    let mut link: Option<(String, PeersClient<Channel>)> = None;
    loop {
        store.wake.notified().await;
        if let Some(address) = holders(shared).into_iter().next() {
            let known = link.take().filter(|(there, _)| *there == address);
            let whole = known.is_none();
            let reports = store.to_hold(whole);
            link = hold(shared, known, address, &reports).await;
            if link.is_none() {
                store.not_held(reports);
                store.wake.notify_one();
            }
        }
        tokio::time::sleep(HOLD_GAP).await;
    }
}

/// Hands reports over; gives the connection when all were taken.
async fn hold(
    shared: &Shared,
    known: Option<(String, PeersClient<Channel>)>,
    address: String,
    reports: &[wire::UsageReport],
) -> Option<(String, PeersClient<Channel>)> {
    let work = async {
        let mut client = match known {
            Some((_, client)) => client,
            None => connect(shared, &address).await?,
        };
        for report in reports {
            client.hold_usage(report.clone()).await.ok()?;
        }
        Some((address, client))
    };
    timeout(HOLD_TIMEOUT, work).await.ok().flatten()
}

async fn connect(shared: &Shared, address: &str) -> Option<PeersClient<Channel>> {
    let address = address.parse().ok()?;
    let channel = shared.state.link().connect(address, HOLD_TIMEOUT).await;
    channel.ok().map(PeersClient::new)
}

/// The live members in the order in which they hold this VM's counters: those
/// in other availability zones first, by rendezvous hashing, so that each VM
/// keeps its peer while that lives and the work is spread.
fn holders(shared: &Shared) -> Vec<String> {
    let members = shared.state.members.borrow();
    let live = members
        .values()
        .filter(|m| m.state == 0 && m.vm != shared.vm.as_str());
    let mut live: Vec<_> = live.collect();
    live.sort_by_key(|m| {
        let rank = xxhash_rust::xxh3::xxh3_64(format!("{}/{}", shared.vm, m.vm).as_bytes());
        std::cmp::Reverse((m.zone != shared.zone.as_str(), rank))
    });
    live.into_iter().map(|m| m.address.clone()).collect()
}
