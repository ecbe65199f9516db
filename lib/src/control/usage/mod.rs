//! Usage of teams: counted by entry processes, copied to a peer and stored in the
//! platform.
//!
//! Counters are cumulative per incarnation of an entry process and only increase,
//! so that the greater of two values is always the newer one. Merging a report
//! twice, writing an object twice, or writing it from two VMs is idempotent.

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

use counts::UsageObject;
use counts::counts_of;
use counts::usage_object;

use super::Shared;
use crate::platform::Platform;
use crate::platform::PlatformError;

/// Kind of the objects that hold counters.
pub const KIND: &str = "usages";

/// Minimum time between two reports to the peer that holds a copy. Together with
/// the report interval of entries it bounds the usage lost with a VM.
const MIN_COPY_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for sending a copy to a peer.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

/// A source without reports for this long is written and removed by the process
/// that holds a copy of it, because its VM may be gone.
pub const SOURCE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a stopping process waits for its last write and copy.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for sending the last copy to one peer. It leaves time for other
/// peers if one is unreachable.
const FINAL_COPY_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay of a stopping process before it retries after no peer accepted its
/// counters.
const FINAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum attempts to write one object that other VMs write as well.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// Sends copies to a peer, and writes to the platform once per `interval`, until
/// the process stops.
pub async fn run(shared: Shared, store: UsageStore, interval: Duration) {
    let mut stopping = shared.state.stopping.subscribe();
    let stopped = async { stopping.wait_for(|s| *s).await.is_ok() };
    tokio::select! {
        _ = stopped => {}
        () = copy_changes(&shared, &store) => {}
        () = flush_periodically(&shared, &store, interval) => {}
    }
    store.close();
    // A peer holds what the last write cannot store in the platform, including
    // reports received since the last copy, and copies held for peers that may
    // have stopped before.
    let final_work = async {
        tokio::join!(
            flush(&shared, &store, Duration::ZERO),
            send_final_copy(&shared, &store)
        )
    };
    if timeout(FINAL_FLUSH_TIMEOUT, final_work).await.is_err() {
        warn!(
            shared.log,
            "last usage not written or not copied to a peer in time"
        );
    }
}

/// Sends all counters to a peer. Tries the next peer if one does not accept them,
/// until one does.
async fn send_final_copy(shared: &Shared, store: &UsageStore) {
    let reports = store.final_reports();
    loop {
        let addresses = copy_holders(shared);
        if addresses.is_empty() {
            return;
        }
        for address in addresses {
            let sent = timeout(
                FINAL_COPY_TIMEOUT,
                send_copy(shared, None, address, &reports),
            );
            if sent.await.is_ok_and(|c| c.is_some()) {
                return;
            }
        }
        tokio::time::sleep(FINAL_RETRY_DELAY).await;
    }
}

async fn flush_periodically(shared: &Shared, store: &UsageStore, interval: Duration) {
    // A random first delay, so that VMs that start together do not write together.
    let first = rand::random_range(0.0..1.0);
    tokio::time::sleep(interval.mul_f64(first)).await;
    loop {
        flush(shared, store, SOURCE_TIMEOUT).await;
        store.remove_idle();
        tokio::time::sleep(interval).await;
    }
}

/// Writes the counters reported here, and the copies of sources without reports
/// for longer than `timeout_after`. Failed writes are retried by the next call.
pub async fn flush(shared: &Shared, store: &UsageStore, timeout_after: Duration) {
    for (source, part) in store.due_parts(timeout_after) {
        match write_part(&shared.platform, store, &source, part).await {
            Ok(()) => {}
            // Further writes would fail as well; the next call retries them.
            Err(PlatformError::Unreachable(_)) => return,
            Err(e) => {
                let object = source.object_name(part);
                warn!(shared.log, "usage not written"; "object" => object, "error" => %e);
            }
        }
    }
}

/// Raises the counters of an object to those held here. Counters only increase,
/// so the result does not depend on which VMs write, in which order or how often.
async fn write_part(
    platform: &Platform,
    store: &UsageStore,
    source: &Source,
    part: usize,
) -> Result<(), PlatformError> {
    let name = source.object_name(part);
    let mut attempts = 0;
    loop {
        let (version, mut counts) = match platform.get::<UsageObject>(KIND, &name).await {
            Ok(object) => (object.metadata.version, counts_of(object.spec)),
            Err(PlatformError::NotFound) => (String::new(), Counts::new()),
            Err(e) => return Err(e),
        };
        let mut raised = false;
        let held = store.part_counts(source, part);
        for (key, count) in &held {
            raised |= counts.entry(key.clone()).or_default().raise(count);
        }
        if !raised {
            store.mark_written(source, part, &held);
            return Ok(());
        }
        let updated = usage_object(source, counts);
        let result = match version.as_str() {
            "" => platform.create(KIND, &name, &updated).await,
            v => platform.replace(KIND, &name, v, &updated).await,
        };
        attempts += 1;
        match result {
            Ok(_) => {
                store.mark_written(source, part, &held);
                return Ok(());
            }
            // Reading the object again shows whether the write took effect.
            Err(PlatformError::Conflict | PlatformError::Lost(_))
                if attempts < MAX_WRITE_ATTEMPTS => {}
            Err(e) => return Err(e),
        }
    }
}

/// Returns all counters by source: those in the platform, raised to those held
/// here.
///
/// # Errors
///
/// Any platform error, because a partial result would be wrong.
pub async fn read_all(
    platform: &Platform,
    store: &UsageStore,
) -> Result<BTreeMap<Source, Counts>, PlatformError> {
    let mut all = store.counts();
    for object in platform.list::<UsageObject>(KIND).await?.items {
        let counts = all.entry(object.spec.source.clone()).or_default();
        for record in object.spec.counts {
            counts.entry(record.key).or_default().raise(&record.count);
        }
    }
    Ok(all)
}

/// Sends changed counters to the peer that holds this VM's copy, over one
/// connection while that peer stays the same.
async fn copy_changes(shared: &Shared, store: &UsageStore) {
    let mut connection: Option<(String, PeersClient<Channel>)> = None;
    loop {
        store.wake.notified().await;
        if let Some(address) = copy_holders(shared).into_iter().next() {
            let known = connection.take().filter(|(peer, _)| *peer == address);
            let all = known.is_none();
            let reports = store.pending_reports(all);
            connection = send_copy(shared, known, address, &reports).await;
            if connection.is_none() {
                store.restore_pending(reports);
                store.wake.notify_one();
            }
        }
        tokio::time::sleep(MIN_COPY_INTERVAL).await;
    }
}

/// Sends reports to a peer; returns the connection if all were accepted.
async fn send_copy(
    shared: &Shared,
    connection: Option<(String, PeersClient<Channel>)>,
    address: String,
    reports: &[wire::UsageReport],
) -> Option<(String, PeersClient<Channel>)> {
    let send = async {
        let mut client = match connection {
            Some((_, client)) => client,
            None => connect(shared, &address).await?,
        };
        for report in reports {
            client.hold_usage(report.clone()).await.ok()?;
        }
        Some((address, client))
    };
    timeout(COPY_TIMEOUT, send).await.ok().flatten()
}

async fn connect(shared: &Shared, address: &str) -> Option<PeersClient<Channel>> {
    let address = address.parse().ok()?;
    let channel = shared.state.link().connect(address, COPY_TIMEOUT).await;
    channel.ok().map(PeersClient::new)
}

/// Returns the addresses of the live members in order of preference for holding
/// this VM's copy: other availability zones first, then by rendezvous hashing, so
/// that a VM keeps its peer while that is live and the load is spread.
fn copy_holders(shared: &Shared) -> Vec<String> {
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
