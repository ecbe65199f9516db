//! Learns from peers what the platform does not tell.

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

/// `Member.state` of a VM that is gone.
const GONE: u32 = 3;

/// How often peers are asked while the platform is down.
const PEER_TICK: Duration = Duration::from_secs(1);

/// The longest that one call to a peer may take; a snapshot of 4 MB between
/// zones takes a few tens of milliseconds.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches what a peer has and this VM has not: when a heartbeat tells of a
/// higher revision, and each second while the platform is down.
pub(super) async fn follow_peers(shared: &Shared) {
    let mut members = shared.state.members.subscribe();
    // VMs that start together begin at different peers.
    let mut turn = rand::random_range(0..1_024);
    let mut tick = tokio::time::interval(PEER_TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let ticked = tokio::select! {
            Ok(()) = members.changed() => false,
            () = shared.state.history.wake.notified() => false,
            _ = tick.tick() => true,
        };
        if let Some(peer) = ahead(shared) {
            ask_peer(shared, peer).await;
        } else if ticked && !*shared.state.platform_up.borrow() {
            ask_settings(shared, turn).await;
            turn += 1;
        }
    }
}

/// While nothing is known, every peer of the settings is asked, because one
/// may lag behind another; later one after the other, so that the one that is
/// ahead is found after as many ticks as there are peers.
async fn ask_settings(shared: &Shared, turn: usize) {
    let peers = &shared.peers;
    let most = match shared.state.catalog.borrow().revision.0 {
        0 => peers.len(),
        _ => 1,
    };
    for peer in peers
        .iter()
        .cycle()
        .skip(turn % peers.len().max(1))
        .take(most)
    {
        ask_peer(shared, *peer).await;
    }
}

/// A member that has a higher revision than this VM, one of the same zone if
/// there is one; a random one, so that not all ask the first that had it.
fn ahead(shared: &Shared) -> Option<SocketAddr> {
    let own = shared.state.catalog.borrow().revision.0;
    let members = shared.state.members.borrow();
    let ahead: Vec<_> = members
        .values()
        .filter(|m| m.revision > own && m.state != GONE && m.vm != shared.vm.as_str())
        .collect();
    let near: Vec<_> = ahead
        .iter()
        .filter(|m| m.zone == shared.zone.as_str())
        .copied()
        .collect();
    let from = match near.is_empty() {
        true => ahead,
        false => near,
    };
    let member = from.choose(&mut rand::rng())?;
    member.address.parse().ok()
}

/// Takes the changes after our revision from a peer, else its snapshot. A peer
/// that fails is passed over; the next tick asks another.
async fn ask_peer(shared: &Shared, peer: SocketAddr) {
    let work = async {
        let channel = shared.state.link().connect(peer, PEER_TIMEOUT).await.ok()?;
        let mut client = PeersClient::new(channel).max_decoding_message_size(MAX_SNAPSHOT_BYTES);
        let revision = shared.state.catalog.borrow().revision.0;
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

fn take_snapshot(shared: &Shared, snapshot: &wire::Snapshot) {
    if snapshot.catalog.is_empty() {
        return;
    }
    if let Ok(next) = serde_json::from_slice::<Catalog>(&snapshot.catalog) {
        activate(shared, next, &[]);
    }
}
