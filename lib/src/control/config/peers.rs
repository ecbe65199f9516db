//! Fetches newer catalog revisions from peers.

use std::net::SocketAddr;
use std::time::Duration;

use banyangauge_proto as wire;
use rand::seq::IndexedRandom;
use tokio::time::MissedTickBehavior;
use tokio::time::timeout;
use wire::peers_client::PeersClient;

use super::activate;
use crate::catalog::Catalog;
use crate::catalog::ChangeSet;
use crate::catalog::MAX_SNAPSHOT_BYTES;
use crate::control::Shared;

/// `Member.state` of a gone VM.
const GONE: u32 = 3;

/// Interval of requests to configured peers while the platform is down.
const PEER_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit of a fetch from a peer; a snapshot of 4 MB between zones takes a few
/// tens of milliseconds.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches newer revisions from peers: when a heartbeat reports one, and at each
/// tick while the platform is down.
pub(super) async fn follow_peers(shared: &Shared) {
    let mut members = shared.state.members.subscribe();
    // Start at a random peer, so that VMs that start together ask different ones.
    let mut next_peer = rand::random_range(0..1_024);
    let mut tick = tokio::time::interval(PEER_POLL_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let ticked = tokio::select! {
            Ok(()) = members.changed() => false,
            () = shared.state.history.wake.notified() => false,
            _ = tick.tick() => true,
        };
        if let Some(peer) = choose_newer_member(shared) {
            fetch_from(shared, peer).await;
        } else if ticked && !*shared.state.platform_up.borrow() {
            ask_configured_peers(shared, next_peer).await;
            next_peer += 1;
        }
    }
}

/// Asks the configured peers. Without a catalog all of them are asked, because
/// some may lag behind others; later one per tick in turn, so that a peer with a
/// newer revision is found within as many ticks as there are peers.
async fn ask_configured_peers(shared: &Shared, next_peer: usize) {
    let peers = &shared.peers;
    let max = match shared.state.catalog.borrow().revision.0 {
        0 => peers.len(),
        _ => 1,
    };
    for peer in peers
        .iter()
        .cycle()
        .skip(next_peer % peers.len().max(1))
        .take(max)
    {
        fetch_from(shared, *peer).await;
    }
}

/// Returns a random member with a higher revision than this VM, from the same zone
/// if there is one. The choice is random so that not all VMs ask the first one.
fn choose_newer_member(shared: &Shared) -> Option<SocketAddr> {
    let revision = shared.state.catalog.borrow().revision.0;
    let members = shared.state.members.borrow();
    let newer: Vec<_> = members
        .values()
        .filter(|m| m.revision > revision && m.state != GONE && m.vm != shared.vm.as_str())
        .collect();
    let near: Vec<_> = newer
        .iter()
        .filter(|m| m.zone == shared.zone.as_str())
        .copied()
        .collect();
    let from = match near.is_empty() {
        true => newer,
        false => near,
    };
    let member = from.choose(&mut rand::rng())?;
    member.address.parse().ok()
}

/// Fetches the change sets after this VM's revision from a peer, or its snapshot if
/// they do not suffice.
async fn fetch_from(shared: &Shared, peer: SocketAddr) {
    let fetch = async {
        let channel = shared
            .state
            .link()
            .connect(peer, FETCH_TIMEOUT)
            .await
            .ok()?;
        let mut client = PeersClient::new(channel).max_decoding_message_size(MAX_SNAPSHOT_BYTES);
        let revision = shared.state.catalog.borrow().revision.0;
        let request = wire::FetchRequest { revision };
        let changes = client.fetch_changes(request).await.ok()?.into_inner();
        if apply_deltas(shared, &changes.deltas) {
            return Some(());
        }
        let snapshot = client.fetch_catalog(request).await.ok()?.into_inner();
        apply_snapshot(shared, &snapshot);
        Some(())
    };
    // A failure is ignored: a later tick or heartbeat asks another peer.
    let _ = timeout(FETCH_TIMEOUT, fetch).await;
}

fn apply_deltas(shared: &Shared, deltas: &[wire::Delta]) -> bool {
    let parse = |d: &wire::Delta| serde_json::from_slice::<ChangeSet>(&d.changes);
    let Ok(sets) = deltas.iter().map(parse).collect::<Result<Vec<_>, _>>() else {
        return false;
    };
    let mut next = Catalog::clone(&shared.state.catalog.borrow());
    for set in &sets {
        if set.revision.0 <= next.revision.0 {
            continue;
        }
        if set.revision.0 != next.revision.0 + 1 || next.apply(&set.changes).is_err() {
            return false;
        }
    }
    activate(shared, next, &sets)
}

fn apply_snapshot(shared: &Shared, snapshot: &wire::Snapshot) {
    if snapshot.catalog.is_empty() {
        return;
    }
    if let Ok(next) = serde_json::from_slice::<Catalog>(&snapshot.catalog) {
        activate(shared, next, &[]);
    }
}
