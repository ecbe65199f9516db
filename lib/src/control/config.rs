//! Keeps the catalog in force on this VM: from the platform, else from peers.
//!
//! A revision comes into force only when it is higher than the one there is,
//! whatever the platform or a peer answers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use banyangauge_proto as wire;
use bytes::Bytes;
use rand::seq::SliceRandom;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;
use tokio::time::timeout;
use tonic::transport::Endpoint;
use wire::peers_client::PeersClient;

use super::Shared;
use crate::catalog::Catalog;
use crate::catalog::ChangeSet;
use crate::catalog::Ledger;
use crate::catalog::MAX_SNAPSHOT;
use crate::catalog::ROOT_KIND;
use crate::catalog::ROOT_NAME;
use crate::catalog::Root;
use crate::ids::Revision;
use crate::platform::PlatformError;
use crate::platform::WatchEvent;
use crate::timeline::About;
use crate::timeline::Kind;

/// Change sets kept for those who follow: an hour at 7,600 a day is 317, a
/// peer that was cut off for most of it needs no snapshot.
const HISTORY_SETS: usize = 256;

/// Bytes of change sets kept; a bulk load of adapters would else stay in
/// memory of which a process has 64 MB.
const HISTORY_BYTES: usize = 1 << 20;

/// A watch that says nothing for this long is opened anew, because a broken
/// connection may say nothing for ever; it also bounds how late an outage is
/// noticed.
const WATCH_IDLE: Duration = Duration::from_secs(5);

/// The longest that opening a watch may take.
const WATCH_OPEN: Duration = Duration::from_secs(2);

/// Between two watches, so that a platform that ends each at once is not
/// flooded.
const WATCH_GAP: Duration = Duration::from_millis(100);

/// The longest pause after failures; an outage that ends is noticed within it.
const MAX_PAUSE_MS: u64 = 2_000;

/// How often peers are asked while the platform is down.
const PEER_TICK: Duration = Duration::from_secs(1);

/// The longest that one call to a peer may take; a snapshot of 4 MB between
/// zones takes a few tens of milliseconds.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// The last change sets that came into force here, encoded once for all who
/// follow. Its lock also orders what comes into force.
#[derive(Debug, Default)]
pub struct History {
    deltas: Mutex<VecDeque<wire::Delta>>,
    wake: Notify,
}

impl History {
    /// The deltas that lead from `revision` to the present one; `None` when
    /// they do not reach back that far.
    pub fn after(&self, revision: Revision) -> Option<Vec<wire::Delta>> {
        let deltas = self.lock();
        let first = deltas.front()?.revision;
        if first > revision.0 + 1 {
            return None;
        }
        let later = deltas.iter().filter(|d| d.revision > revision.0);
        Some(later.cloned().collect())
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<wire::Delta>> {
        self.deltas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps the catalog in force until the process stops.
pub async fn run(shared: Shared) {
    let mut stopping = shared.board.stopping.subscribe();
    let stopped = async { stopping.wait_for(|s| *s).await.is_ok() };
    tokio::select! {
        _ = stopped => {}
        () = follow_platform(&shared) => {}
        () = follow_peers(&shared) => {}
    }
}

/// Tells that some VM has this revision in force; a higher one than here is
/// fetched from peers.
pub fn nudge(shared: &Shared, revision: Revision) {
    if revision > shared.board.catalog.borrow().revision {
        shared.board.history.wake.notify_one();
    }
}

/// The catalog for a peer; without content when the peer has it already.
pub fn fetch_catalog(shared: &Shared, request: &wire::FetchRequest) -> wire::Snapshot {
    let catalog = shared.board.catalog.borrow().clone();
    match request.revision < catalog.revision.0 {
        true => snapshot(&catalog),
        false => wire::Snapshot {
            revision: catalog.revision.0,
            catalog: Bytes::new(),
        },
    }
}

/// The changes after the peer's revision; none when the peer is up to date or
/// too far behind.
pub fn fetch_changes(shared: &Shared, request: &wire::FetchRequest) -> wire::Changes {
    let deltas = shared.board.history.after(Revision(request.revision));
    wire::Changes {
        deltas: deltas.unwrap_or_default(),
    }
}

/// The whole catalog as it goes over the wire.
pub(super) fn snapshot(catalog: &Catalog) -> wire::Snapshot {
    wire::Snapshot {
        revision: catalog.revision.0,
        // Maps keyed by text; encoding them cannot fail.
        catalog: serde_json::to_vec(catalog).unwrap_or_default().into(),
    }
}

/// Brings `next` into force if it is higher than what is; gives whether it
/// was. `sets` are the change sets that lead to it, as far as they are known.
pub fn accept(shared: &Shared, next: Catalog, sets: &[ChangeSet]) -> bool {
    let mut deltas = shared.board.history.lock();
    let current = shared.board.catalog.borrow().revision;
    if next.revision <= current {
        return false;
    }
    let new: Vec<_> = sets.iter().filter(|s| s.revision > current).collect();
    let whole = new.len() as u64 == next.revision.0 - current.0;
    if !whole {
        deltas.clear();
    }
    if whole {
        deltas.extend(new.into_iter().map(delta));
        trim(&mut deltas);
    }
    let revision = next.revision;
    shared.board.catalog.send_replace(Arc::new(next));
    drop(deltas);
    metrics::gauge!("banyan_catalog_revision").set(revision.0 as f64);
    shared.recorder.record(
        Kind::InForce,
        About {
            detail: format!("revision {}", revision.0),
            ..About::default()
        },
    );
    info!(shared.log, "configuration in force"; "revision" => revision.0);
    true
}

fn delta(set: &ChangeSet) -> wire::Delta {
    wire::Delta {
        revision: set.revision.0,
        // Names, numbers and lists; encoding them cannot fail.
        changes: serde_json::to_vec(set).unwrap_or_default().into(),
    }
}

fn trim(deltas: &mut VecDeque<wire::Delta>) {
    let mut bytes: usize = deltas.iter().map(|d| d.changes.len()).sum();
    while deltas.len() > HISTORY_SETS || bytes > HISTORY_BYTES {
        bytes -= deltas.pop_front().map_or(bytes, |d| d.changes.len());
    }
}

async fn follow_platform(shared: &Shared) {
    let mut failures = 0;
    loop {
        match watch_root(shared).await {
            Ok(()) | Err(PlatformError::Expired) => {
                failures = 0;
                tokio::time::sleep(WATCH_GAP).await;
            }
            Err(e) => {
                set_platform(shared, Err(&e));
                failures += 1;
                tokio::time::sleep(pause(failures)).await;
            }
        }
    }
}

/// Half to the whole of a span that doubles with each failure, so that VMs do
/// not come back all at once when an outage ends.
fn pause(failures: u32) -> Duration {
    let most = (WATCH_GAP.as_millis() as u64) << failures.min(6);
    let most = most.min(MAX_PAUSE_MS);
    Duration::from_millis(rand::random_range(most / 2..=most))
}

/// Reads the root and follows it until the watch ends or falls silent.
async fn watch_root(shared: &Shared) -> Result<(), PlatformError> {
    let list = shared.platform.list::<Root>(ROOT_KIND).await?;
    set_platform(shared, Ok(()));
    for object in list.items {
        if object.metadata.name == ROOT_NAME {
            take_root(shared, &object.spec).await?;
        }
    }
    let opening = shared.platform.watch(ROOT_KIND, &list.metadata.version);
    let mut watch = timeout(WATCH_OPEN, opening)
        .await
        .map_err(|_| PlatformError::Lost("no answer in time".to_owned()))??;
    while let Ok(event) = timeout(WATCH_IDLE, watch.next::<Root>()).await {
        match event? {
            Some(WatchEvent::Added(o) | WatchEvent::Modified(o))
                if o.metadata.name == ROOT_NAME =>
            {
                take_root(shared, &o.spec).await?;
            }
            Some(_) => {}
            None => break,
        }
    }
    Ok(())
}

/// Brings a root's revision into force, from its log where that is enough.
async fn take_root(shared: &Shared, root: &Root) -> Result<(), PlatformError> {
    let current = shared.board.catalog.borrow().clone();
    if root.revision <= current.revision {
        return Ok(());
    }
    if let Some(next) = crate::catalog::replay(&current, root) {
        let sets = root.changes_after(current.revision);
        accept(shared, next, &sets.unwrap_or_default());
        return Ok(());
    }
    let ledger = Ledger::new(shared.platform.clone());
    match ledger.read_catalog(root).await {
        Ok(next) => {
            accept(shared, next, &[]);
            Ok(())
        }
        // A newer root has taken this one's place and its shards are gone;
        // the watch brings it.
        Err(PlatformError::NotFound) => Ok(()),
        Err(e) => Err(e),
    }
}

fn set_platform(shared: &Shared, result: Result<(), &PlatformError>) {
    let up = result.is_ok();
    let changed = shared.board.platform_up.send_if_modified(|now| {
        let changed = *now != up;
        *now = up;
        changed
    });
    if !changed {
        return;
    }
    let detail = match result {
        Ok(()) => "up".to_owned(),
        Err(e) => format!("down: {e}"),
    };
    match result {
        Ok(()) => info!(shared.log, "the platform answers"),
        Err(e) => warn!(shared.log, "the platform does not answer"; "error" => %e),
    }
    metrics::gauge!("banyan_platform_up").set(f64::from(u8::from(up)));
    shared.recorder.record(
        Kind::Platform,
        About {
            detail,
            ..About::default()
        },
    );
}

/// Fetches what a peer has and this VM has not: when a heartbeat tells of a
/// higher revision, and each second while the platform is down.
async fn follow_peers(shared: &Shared) {
    let mut members = shared.board.members.subscribe();
    let mut tick = tokio::time::interval(PEER_TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let ticked = tokio::select! {
            Ok(()) = members.changed() => false,
            () = shared.board.history.wake.notified() => false,
            _ = tick.tick() => true,
        };
        if let Some(peer) = ahead(shared) {
            ask_peer(shared, peer).await;
        } else if ticked && !*shared.board.platform_up.borrow() {
            ask_settings(shared).await;
        }
    }
}

/// While nothing is known, every peer of the settings is asked, because one
/// may lag behind another; later one of them at random does.
async fn ask_settings(shared: &Shared) {
    let mut peers = shared.peers.to_vec();
    peers.shuffle(&mut rand::rng());
    if shared.board.catalog.borrow().revision.0 > 0 {
        peers.truncate(1);
    }
    for peer in peers {
        ask_peer(shared, peer).await;
    }
}

/// The address of the member with the highest revision, if above ours.
fn ahead(shared: &Shared) -> Option<SocketAddr> {
    let own = shared.board.catalog.borrow().revision.0;
    let members = shared.board.members.borrow();
    let best = members.values().max_by_key(|m| m.revision)?;
    if best.revision <= own || best.vm == shared.vm.as_str() {
        return None;
    }
    best.address.parse().ok()
}

/// Takes the changes after our revision from a peer, else its snapshot. A peer
/// that fails is passed over; the next tick asks another.
async fn ask_peer(shared: &Shared, peer: SocketAddr) {
    let work = async {
        let channel = Endpoint::from_shared(format!("http://{peer}"))
            .ok()?
            .connect_timeout(PEER_TIMEOUT)
            .connect()
            .await
            .ok()?;
        let mut client = PeersClient::new(channel).max_decoding_message_size(MAX_SNAPSHOT);
        let revision = shared.board.catalog.borrow().revision.0;
        let request = wire::FetchRequest { revision };
        let changes = client.fetch_changes(request).await.ok()?.into_inner();
        if take_deltas(shared, &changes.deltas) {
            return Some(());
        }
        let snapshot = client.fetch_catalog(request).await.ok()?.into_inner();
        take_snapshot(shared, &snapshot);
        Some(())
    };
    // A failed peer is no error here: the next tick asks another.
    let _ = timeout(PEER_TIMEOUT, work).await;
}

fn take_deltas(shared: &Shared, deltas: &[wire::Delta]) -> bool {
    let parse = |d: &wire::Delta| serde_json::from_slice::<ChangeSet>(&d.changes);
    let Ok(sets) = deltas.iter().map(parse).collect::<Result<Vec<_>, _>>() else {
        return false;
    };
    let mut next = Catalog::clone(&shared.board.catalog.borrow());
    for set in &sets {
        if set.revision.0 <= next.revision.0 {
            continue;
        }
        if set.revision.0 != next.revision.0 + 1 || next.apply(&set.changes).is_err() {
            return false;
        }
    }
    accept(shared, next, &sets)
}

fn take_snapshot(shared: &Shared, snapshot: &wire::Snapshot) {
    if snapshot.catalog.is_empty() {
        return;
    }
    if let Ok(next) = serde_json::from_slice::<Catalog>(&snapshot.catalog) {
        accept(shared, next, &[]);
    }
}
