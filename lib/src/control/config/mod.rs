//! Keeps this VM's catalog up to date, from the platform or else from peers.
//!
//! A catalog is activated only if its revision is higher than the active one,
//! whatever the platform or a peer returns.

mod follow;
mod history;
mod peers;

use banyangauge_proto as wire;
use bytes::Bytes;
pub use history::History;
pub use history::activate;

use super::Shared;
use crate::catalog::Catalog;
use crate::ids::Revision;

/// Keeps the catalog up to date until the process stops.
pub async fn run(shared: Shared) {
    let mut stopping = shared.state.stopping.subscribe();
    let stopped = async { stopping.wait_for(|s| *s).await.is_ok() };
    tokio::select! {
        _ = stopped => {}
        () = follow::follow_platform(&shared) => {}
        () = peers::follow_peers(&shared) => {}
    }
}

/// Reports a revision that is active on another VM; a higher one than here is
/// fetched from peers.
pub fn notify_revision(shared: &Shared, revision: Revision) {
    if revision > shared.state.catalog.borrow().revision {
        shared.state.history.wake.notify_one();
    }
}

/// Returns the catalog for a peer; without content if the peer is up to date.
pub fn fetch_catalog(shared: &Shared, request: &wire::FetchRequest) -> wire::Snapshot {
    let catalog = shared.state.catalog.borrow().clone();
    match request.revision < catalog.revision.0 {
        true => snapshot(&catalog),
        false => wire::Snapshot {
            revision: catalog.revision.0,
            catalog: Bytes::new(),
        },
    }
}

/// Returns the change sets after the peer's revision; none if the peer is up to
/// date or the history does not reach back that far.
pub fn fetch_changes(shared: &Shared, request: &wire::FetchRequest) -> wire::Changes {
    let deltas = shared.state.history.since(Revision(request.revision));
    wire::Changes {
        deltas: deltas.unwrap_or_default(),
    }
}

/// Encodes the whole catalog for the wire.
pub(super) fn snapshot(catalog: &Catalog) -> wire::Snapshot {
    wire::Snapshot {
        revision: catalog.revision.0,
        // Encoding cannot fail: all map keys are text.
        catalog: serde_json::to_vec(catalog).unwrap_or_default().into(),
    }
}
