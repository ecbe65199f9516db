//! The duty that follows the platform's VM list, which lags.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::control::Shared;
use crate::control::ownership::OwnershipState;
use crate::platform::List;
use crate::platform::PlatformError;
use crate::platform::WatchEvent;

/// The kind of the VM list.
const VMS: &str = "vms";

/// How long after a broken watch the next is tried.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// An entry of the VM list.
#[derive(Clone, Debug, Deserialize)]
struct Vm {
    address: String,
    #[serde(default)]
    state: String,
}

impl Vm {
    fn is_leaving(&self) -> bool {
        self.state == "leaving"
    }
}

/// Follows the VM list for as long as the process runs. In an outage of the
/// platform the last list stands: evidence with an age, never a reason to
/// believe that a VM has gone.
pub(super) async fn run(shared: Shared, local: Arc<OwnershipState>) {
    let mut known = BTreeSet::new();
    loop {
        if let Err(e) = follow_once(&shared, &local, &mut known).await {
            slog::debug!(shared.log, "vm list"; "error" => %e);
        }
        tokio::time::sleep(WATCH_PAUSE).await;
    }
}

async fn follow_once(
    shared: &Shared,
    local: &OwnershipState,
    known: &mut BTreeSet<String>,
) -> Result<(), PlatformError> {
    let list: List<Vm> = shared.platform.list(VMS).await?;
    let mut watch = shared.platform.watch(VMS, &list.metadata.version).await?;
    let mut vms: BTreeMap<String, Vm> = list
        .items
        .into_iter()
        .map(|o| (o.metadata.name, o.spec))
        .collect();
    publish(local, &vms, known);
    while let Some(event) = watch.next::<Vm>().await? {
        match event {
            WatchEvent::Added(o) | WatchEvent::Modified(o) => {
                vms.insert(o.metadata.name, o.spec);
            }
            WatchEvent::Deleted(o) => {
                vms.remove(&o.metadata.name);
            }
            WatchEvent::Bookmark(_) => continue,
        }
        publish(local, &vms, known);
    }
    Ok(())
}

// A VM that is not on the list has left only if it was there before: the list
// lags for new ones too.
fn publish(local: &OwnershipState, vms: &BTreeMap<String, Vm>, known: &mut BTreeSet<String>) {
    let parse = |vm: &Vm| vm.address.parse::<SocketAddr>().ok();
    known.extend(vms.keys().cloned());
    let departed = known.iter().filter(|n| !vms.contains_key(*n));
    local.departed.send_replace(departed.cloned().collect());
    let leaving = vms.values().filter(|v| v.is_leaving()).filter_map(parse);
    let leaving = leaving.collect();
    let changed = local.listed_leaving.send_if_modified(|old| {
        let changed = *old != leaving;
        *old = leaving;
        changed
    });
    if changed {
        local.gossip_wake.notify_one();
    }
}
