//! Follows the root in the platform.

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

/// `Member.state` of a VM that is live.
const LIVE: u32 = 0;

/// A watch that says nothing for this long is opened anew, because a broken
/// connection may say nothing for ever; it also bounds how late an outage is
/// noticed.
const WATCH_IDLE: Duration = Duration::from_secs(5);

/// The longest that opening a watch may take.
const WATCH_OPEN: Duration = Duration::from_secs(2);

/// VMs of an availability zone that watch the root; the others learn from
/// heartbeats. Three outlive the loss of two, and at 16 zones they are 48
/// watches for 700 VMs.
const ZONE_WATCHES: usize = 3;

/// How often a VM that does not watch reads the root, in case that heartbeats
/// reach it no more: 24 reads a second for 700 VMs.
const ROOT_POLL: Duration = Duration::from_secs(30);

/// How often a VM that does not watch looks whether it should by now.
const TURN: Duration = Duration::from_secs(1);

/// Between two watches, so that a platform that ends each at once is not
/// flooded.
const WATCH_GAP: Duration = Duration::from_millis(100);

/// The longest pause after failures; an outage that ends is noticed within it.
const MAX_PAUSE_MS: u64 = 2_000;

/// Whether this VM watches the root: whether it is among the first live ones
/// of its availability zone. The rank is a hash, so that it does not fall on
/// the same VMs as other duties that go by name.
fn watches(shared: &Shared) -> bool {
    let rank = |vm: &str| xxhash_rust::xxh3::xxh3_64(vm.as_bytes());
    let mine = rank(shared.vm.as_str());
    let members = shared.state.members.borrow();
    let before = members
        .values()
        .filter(|m| m.state == LIVE && m.zone == shared.zone.as_str())
        .filter(|m| m.vm != shared.vm.as_str() && rank(&m.vm) < mine);
    before.count() < ZONE_WATCHES
}

pub(super) async fn follow_platform(shared: &Shared) {
    let mut failures = 0;
    loop {
        let end = match watches(shared) {
            true => watch_root(shared).await,
            false => poll_root(shared).await,
        };
        match end {
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

/// Reads the root once, then waits until the next read is due or this VM is to
/// watch.
async fn poll_root(shared: &Shared) -> Result<(), PlatformError> {
    let read = CatalogStore::new(shared.platform.clone())
        .read_root()
        .await?;
    set_platform(shared, Ok(()));
    take_root(shared, &read.root).await?;
    let end = Instant::now() + ROOT_POLL.mul_f64(rand::random_range(0.5..1.5));
    while Instant::now() < end && !watches(shared) {
        tokio::time::sleep(TURN).await;
    }
    Ok(())
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
        if !watches(shared) {
            break;
        }
    }
    Ok(())
}

/// Brings a root's revision into force, from its log where that is enough.
async fn take_root(shared: &Shared, root: &Root) -> Result<(), PlatformError> {
    let current = shared.state.catalog.borrow().clone();
    if root.revision <= current.revision {
        return Ok(());
    }
    if let Some(next) = replay(&current, root) {
        let sets = root.changes_after(current.revision);
        activate(shared, next, &sets.unwrap_or_default());
        return Ok(());
    }
    let ledger = CatalogStore::new(shared.platform.clone());
    match ledger.read_catalog(root).await {
        Ok(next) => {
            activate(shared, next, &[]);
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
