//! Watches or polls the catalog's root in the platform.

use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::time::Instant;
use tokio::time::timeout;

use super::activate;
use crate::catalog::CatalogStore;
use crate::catalog::ROOT_KIND;
use crate::catalog::ROOT_NAME;
use crate::catalog::Root;
use crate::catalog::replay;
use crate::control::Shared;
use crate::platform::PlatformError;
use crate::platform::WatchEvent;
use crate::timeline::EventFields;
use crate::timeline::EventKind;

/// `Member.state` of a live VM.
const LIVE: u32 = 0;

/// A watch without events for this long is reopened, because a broken connection
/// may stay silent for ever. This also bounds the time to detect an outage.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for opening a watch.
const WATCH_OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// VMs per availability zone that watch the root; the others learn of revisions
/// from heartbeats. Three tolerate the loss of two, and with 16 zones make 48
/// watches for 700 VMs.
const ZONE_WATCHES: usize = 3;

/// Mean interval at which a VM that does not watch reads the root, in case
/// heartbeats no longer reach it: 24 reads per second for 700 VMs.
const ROOT_POLL_INTERVAL: Duration = Duration::from_secs(30);

/// Interval at which a VM that does not watch checks whether it should.
const RANK_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before a watch is reopened, so that a platform that closes every watch
/// at once is not flooded.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum backoff after failures; bounds the time to notice that an outage has
/// ended.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Whether this VM watches the root, that is whether it ranks among the first
/// [`ZONE_WATCHES`] live VMs of its availability zone. VMs are ranked by a hash
/// of their names, so that other tasks assigned by name fall to other VMs.
fn should_watch(shared: &Shared) -> bool {
    let rank = |vm: &str| xxhash_rust::xxh3::xxh3_64(vm.as_bytes());
    let own_rank = rank(shared.vm.as_str());
    let members = shared.state.members.borrow();
    let higher_ranked = members
        .values()
        .filter(|m| m.state == LIVE && m.zone == shared.zone.as_str())
        .filter(|m| m.vm != shared.vm.as_str() && rank(&m.vm) < own_rank);
    higher_ranked.count() < ZONE_WATCHES
}

pub(super) async fn follow_platform(shared: &Shared) {
    let mut failures = 0;
    loop {
        let result = match should_watch(shared) {
            true => watch_root(shared).await,
            false => poll_root(shared).await,
        };
        match result {
            Ok(()) | Err(PlatformError::Expired) => {
                failures = 0;
                tokio::time::sleep(WATCH_RETRY_DELAY).await;
            }
            Err(e) => {
                set_platform_state(shared, Err(&e));
                failures += 1;
                tokio::time::sleep(backoff(failures)).await;
            }
        }
    }
}

/// Reads the root once, then waits until the next read is due or this VM should
/// watch the root.
async fn poll_root(shared: &Shared) -> Result<(), PlatformError> {
    let read = CatalogStore::new(shared.platform.clone())
        .read_root()
        .await?;
    set_platform_state(shared, Ok(()));
    apply_root(shared, &read.root).await?;
    let end = Instant::now() + ROOT_POLL_INTERVAL.mul_f64(rand::random_range(0.5..1.5));
    while Instant::now() < end && !should_watch(shared) {
        tokio::time::sleep(RANK_CHECK_INTERVAL).await;
    }
    Ok(())
}

/// Returns a random backoff between half and all of a time that doubles with each
/// failure, so that VMs do not reconnect all at once after an outage.
fn backoff(failures: u32) -> Duration {
    let max = (WATCH_RETRY_DELAY.as_millis() as u64) << failures.min(6);
    let max = max.min(MAX_BACKOFF_MS);
    Duration::from_millis(rand::random_range(max / 2..=max))
}

/// Reads the root and watches it until the watch ends or is silent for
/// [`WATCH_IDLE_TIMEOUT`].
async fn watch_root(shared: &Shared) -> Result<(), PlatformError> {
    let list = shared.platform.list::<Root>(ROOT_KIND).await?;
    set_platform_state(shared, Ok(()));
    for object in list.items {
        if object.metadata.name == ROOT_NAME {
            apply_root(shared, &object.spec).await?;
        }
    }
    let opening = shared.platform.watch(ROOT_KIND, &list.metadata.version);
    let mut watch = timeout(WATCH_OPEN_TIMEOUT, opening).await.map_err(|_| {
        PlatformError::Lost("no response to the watch request in time".to_owned())
    })??;
    while let Ok(event) = timeout(WATCH_IDLE_TIMEOUT, watch.next::<Root>()).await {
        match event? {
            Some(WatchEvent::Added(o) | WatchEvent::Modified(o))
                if o.metadata.name == ROOT_NAME =>
            {
                apply_root(shared, &o.spec).await?;
            }
            Some(_) => {}
            None => break,
        }
        if !should_watch(shared) {
            break;
        }
    }
    Ok(())
}

/// Activates the catalog of a root, from its log if that reaches back far enough.
async fn apply_root(shared: &Shared, root: &Root) -> Result<(), PlatformError> {
    let current = shared.state.catalog.borrow().clone();
    if root.revision <= current.revision {
        return Ok(());
    }
    if let Some(next) = replay(&current, root) {
        let sets = root.changes_after(current.revision);
        activate(shared, next, &sets.unwrap_or_default());
        return Ok(());
    }
    let store = CatalogStore::new(shared.platform.clone());
    match store.read_catalog(root).await {
        Ok(next) => {
            activate(shared, next, &[]);
            Ok(())
        }
        // A newer root has replaced this one and its shards have been deleted;
        // the watch delivers the newer root.
        Err(PlatformError::NotFound) => Ok(()),
        Err(e) => Err(e),
    }
}

fn set_platform_state(shared: &Shared, result: Result<(), &PlatformError>) {
    let up = result.is_ok();
    let changed = shared.state.platform_up.send_if_modified(|now| {
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
        EventKind::Platform,
        EventFields {
            detail,
            ..EventFields::default()
        },
    );
}
