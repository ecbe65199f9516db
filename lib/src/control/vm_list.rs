//! Watches the platform's VM list, which may lag behind the actual state.

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

/// Kind of the VM objects.
const VM_KIND: &str = "vms";

/// Delay before a failed watch is reopened.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A VM of the platform's list, which has those of upstreams and of control
/// processes.
#[derive(Clone, Debug, Deserialize)]
struct Vm {
    address: String,
    #[serde(default)]
    state: String,
}

impl Vm {
    /// Whether the platform marks the VM as leaving, so that its upstream gets no
    /// more requests.
    fn is_leaving(&self) -> bool {
        self.state == "leaving"
    }
}

/// Watches the VM list for the lifetime of the process. During an outage of the
/// platform the last list remains in use; an unreachable platform is never
/// evidence that a VM has left.
pub(super) async fn run(shared: Shared, ownership: Arc<OwnershipState>) {
    let mut known = BTreeSet::new();
    loop {
        if let Err(e) = watch_once(&shared, &ownership, &mut known).await {
            slog::debug!(shared.log, "watch of the VM list failed"; "error" => %e);
        }
        tokio::time::sleep(WATCH_RETRY_DELAY).await;
    }
}

async fn watch_once(
    shared: &Shared,
    ownership: &OwnershipState,
    known: &mut BTreeSet<String>,
) -> Result<(), PlatformError> {
    let list: List<Vm> = shared.platform.list(VM_KIND).await?;
    let mut watch = shared
        .platform
        .watch(VM_KIND, &list.metadata.version)
        .await?;
    let mut vms: BTreeMap<String, Vm> = list
        .items
        .into_iter()
        .map(|o| (o.metadata.name, o.spec))
        .collect();
    publish(ownership, &vms, known);
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
        publish(ownership, &vms, known);
    }
    Ok(())
}

// A VM missing from the list has left only if it was listed before: new VMs
// appear late as well.
fn publish(ownership: &OwnershipState, vms: &BTreeMap<String, Vm>, known: &mut BTreeSet<String>) {
    let parse = |vm: &Vm| vm.address.parse::<SocketAddr>().ok();
    known.extend(vms.keys().cloned());
    let departed = known.iter().filter(|n| !vms.contains_key(*n));
    ownership.departed.send_replace(departed.cloned().collect());
    let leaving = vms.values().filter(|v| v.is_leaving()).filter_map(parse);
    let leaving = leaving.collect();
    let changed = ownership.listed_leaving.send_if_modified(|old| {
        let changed = *old != leaving;
        *old = leaving;
        changed
    });
    if changed {
        ownership.gossip_wake.notify_one();
    }
}
