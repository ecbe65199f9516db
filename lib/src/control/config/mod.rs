//! Keeps the catalog in force on this VM: from the platform, else from peers.
//!
//! A revision comes into force only when it is higher than the one there is,
//! whatever the platform or a peer answers.

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

/// Keeps the catalog in force until the process stops.
pub async fn run(shared: Shared) {
    let mut stopping = shared.state.stopping.subscribe();
    let stopped = async { stopping.wait_for(|s| *s).await.is_ok() };
    tokio::select! {
        _ = stopped => {}
        () = follow::follow_platform(&shared) => {}
        () = peers::follow_peers(&shared) => {}
    }
}

/// Tells that some VM has this revision in force; a higher one than here is
/// fetched from peers.
pub fn notify_revision(shared: &Shared, revision: Revision) {
    if revision > shared.state.catalog.borrow().revision {
        shared.state.history.wake.notify_one();
    }
}

/// The catalog for a peer; without content when the peer has it already.
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

/// The changes after the peer's revision; none when the peer is up to date or
/// too far behind.
pub fn fetch_changes(shared: &Shared, request: &wire::FetchRequest) -> wire::Changes {
    let deltas = shared.state.history.since(Revision(request.revision));
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
