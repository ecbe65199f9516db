//! Applies objects that were read from the store to the state of a VM.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::ids::ZoneName;
use crate::serving::cluster::owner_table::OwnerTable;
use crate::serving::cluster::update::TopicChange;
use crate::serving::path::codec::BadRecord;
use crate::serving::path::types::Instance;
use crate::serving::path::types::ReplicaInfo;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::store::blocks::apply_block;
use crate::serving::store::blocks::remove_block;
use crate::serving::store::port::Item;
use crate::serving::store::streams::apply_ledger;
use crate::serving::store::streams::remove_ledger;

/// The name of the owner table in the store.
pub(in crate::serving) const OWNER_TABLE: &str = "owners";

/// The prefix of the names of VM entries.
pub(in crate::serving) const VM_PREFIX: &str = "vm.";

/// A VM's entry in the store.
#[derive(Deserialize, Serialize)]
pub(in crate::serving) struct VmEntry {
    pub(in crate::serving) vm: VmName,
    pub(in crate::serving) address: SocketAddr,
    /// The availability zone of the VM; entries of earlier releases have none.
    #[serde(default)]
    pub(in crate::serving) zone: Option<ZoneName>,
}

/// An update of a topic.
pub(in crate::serving) enum StoreUpdate<'a> {
    /// All objects of the topic.
    List(&'a [Item]),
    /// One object that changed or was removed.
    Change(&'a TopicChange),
}

impl StoreUpdate<'_> {
    /// Returns the objects that exist according to the update.
    fn items(&self) -> &[Item] {
        match self {
            Self::List(items) => items,
            Self::Change(change) if change.removed => &[],
            Self::Change(change) => std::slice::from_ref(&change.item),
        }
    }
}

/// Applies a configuration. Returns whether the update held one. The operator
/// replaces the configuration and never removes it.
pub(in crate::serving) fn apply_config(node: &Node, update: &StoreUpdate<'_>) -> bool {
    for item in update.items() {
        match (node.codec.parse_config)(item) {
            Ok(config) => {
                let version = config.version;
                let mut state = node.state();
                state.recency.set_readable(true);
                let taken = state.apply_config(config);
                drop(state);
                slog::info!(node.log, "configuration"; "version" => version,
                    "bytes" => item.spec.get().len(),
                    "revision" => %item.revision, "in_force" => taken);
            }
            Err(e) => {
                // It may revoke keys that this VM still accepts.
                node.state().recency.set_readable(false);
                slog::error!(node.log, "configuration not decoded"; "error" => %e);
            }
        }
    }
    !update.items().is_empty()
}

/// Applies replica entries. Returns whether the other VMs need the update, see
/// [`apply_replica`].
pub(in crate::serving) fn apply_replicas(node: &Node, update: &StoreUpdate<'_>) -> bool {
    let at = now();
    let parse = |item: &Item| {
        let listing = (node.codec.parse_replica)(item);
        listing.map_err(|e| {
            slog::error!(node.log, "replica entry not decoded, the replica is not used";
                "name" => &item.name, "error" => %e);
        })
    };
    match update {
        StoreUpdate::List(items) => {
            let all: Vec<_> = items.iter().filter_map(|i| parse(i).ok()).collect();
            slog::info!(node.log, "replicas listed"; "count" => all.len());
            let mut state = node.state();
            state.apply_listings(at, all);
            state.replicas_listed = true;
            true
        }
        StoreUpdate::Change(change) if change.missing_after_outage => {
            if let Ok(name) = change.item.name.parse::<ReplicaName>() {
                node.state().fleet.mark_expired(at, &name);
                slog::info!(node.log, "replica entry missing after a store outage";
                    "replica" => name.as_str(),
                    "revision" => %change.item.revision);
            }
            true
        }
        StoreUpdate::Change(change) if change.removed => {
            remove_replica(node, &change.item, "removed");
            true
        }
        StoreUpdate::Change(change) => match parse(&change.item) {
            Ok(listing) => apply_replica(node, change, listing),
            // An entry that cannot be decoded names no usable replica.
            Err(()) => {
                remove_replica(node, &change.item, "unreadable");
                true
            }
        },
    }
}

/// Applies a replica's entry. Returns whether the other VMs need the change:
/// they do not if only the loaded adapters changed, as the replica's owner
/// reports those.
fn apply_replica(node: &Node, change: &TopicChange, listing: ReplicaInfo) -> bool {
    let item = &change.item;
    let (name, draining) = (listing.name.clone(), listing.draining);
    let started_ms = listing.started_ms;
    let significant = node.state().fleet.is_update(&listing);
    let changed = node.state().apply_listing(now(), listing, change.copied);
    if changed {
        slog::info!(node.log, "replica changed"; "replica" => name.as_str(),
                        "draining" => draining, "born" => started_ms, "revision" => %item.revision,
                        "copied" => change.copied);
    }
    significant
}

fn remove_replica(node: &Node, item: &Item, why: &'static str) {
    let Ok(name) = item.name.parse::<ReplicaName>() else {
        return;
    };
    if node.state().fleet.remove_listing(&name) {
        slog::info!(node.log, "replica gone"; "replica" => name.as_str(),
            "why" => why, "revision" => %item.revision);
    }
}

/// Announces to the other VMs at once that a replica is leaving, if a change read
/// from the store says so: its entry was removed, or it is draining.
pub(in crate::serving) fn announce_leaving(node: &Node, change: &TopicChange) {
    let Ok(name) = change.item.name.parse::<ReplicaName>() else {
        return;
    };
    let mut state = node.state();
    let draining = state.fleet.replica_info(&name).is_some_and(|l| l.draining);
    let leaving = change.removed || draining;
    let Some(started_ms) = state.fleet.started_ms(&name).filter(|_| leaving) else {
        return;
    };
    state.leaving.insert(Instance { name, started_ms });
    drop(state);
    node.beacon_wake.notify_one();
}

/// Applies announced versions. Returns whether the update held any.
pub(in crate::serving) fn apply_versions(node: &Node, update: &StoreUpdate<'_>) -> bool {
    for item in update.items() {
        match (node.codec.parse_version)(item) {
            Ok(a) => {
                if node.state().fleet.versions.announce(now(), &a) {
                    slog::info!(node.log, "version announced"; "target" => %a.target,
                        "version" => a.version, "revision" => %item.revision);
                }
            }
            Err(e) => {
                slog::error!(node.log, "announced version not decoded";
                    "name" => &item.name, "error" => %e)
            }
        }
    }
    node.orders_wake.notify_one();
    !update.items().is_empty()
}

/// Applies VM entries, the owner table and blocks of features. Returns `true`, as all VMs need every
/// change of them.
pub(in crate::serving) fn apply_cluster(node: &Node, update: &StoreUpdate<'_>) -> bool {
    update
        .items()
        .iter()
        .for_each(|i| apply_cluster_item(node, i));
    if matches!(update, StoreUpdate::List(_)) {
        node.state().members.mark_listed();
    }
    if let StoreUpdate::Change(change) = update
        && change.removed
    {
        remove_cluster_item(node, change);
    }
    true
}

fn remove_cluster_item(node: &Node, change: &TopicChange) {
    if remove_block(node, change) || remove_ledger(node, &change.item) {
        return;
    }
    if change.item.name == OWNER_TABLE {
        let era = change.item.revision.era;
        node.state().ownership.mark_read(era, false);
        slog::warn!(node.log, "no owner table"; "revision" => %change.item.revision);
        return;
    }
    let name = change.item.name.strip_prefix(VM_PREFIX);
    let Some(vm) = name.and_then(|vm| vm.parse::<VmName>().ok()) else {
        return;
    };
    if vm == node.settings.vm {
        // A call that an earlier process of this VM gave up was carried out late.
        if node.phase() == Phase::Serving {
            slog::warn!(node.log, "this VM's entry was removed"; "revision" => %change.item.revision);
            node.register_wake.notify_one();
        }
        return;
    }
    let mut state = node.state();
    // A VM writes its entry again if the store lost it.
    let returns = change.missing_after_outage && state.members.is_live(now(), &vm);
    if !returns {
        state.members.remove(&vm);
    }
    drop(state);
    slog::info!(node.log, "vm entry removed"; "vm" => vm.as_str(), "live" => returns);
}

fn apply_cluster_item(node: &Node, item: &Item) {
    if apply_block(node, item) || apply_ledger(node, item) {
        return;
    }
    let log_error = |e: BadRecord| {
        slog::error!(node.log, "VM entry or owner table not decoded"; "name" => &item.name, "error" => %e);
    };
    if item.name == OWNER_TABLE {
        match item.decode::<OwnerTable>() {
            Ok(table) => {
                let (term, era) = (table.term.0, table.era());
                if node.state().apply_owner_table(now(), table, item.revision) {
                    slog::info!(node.log, "owners"; "term" => term, "revision" => %item.revision);
                    node.orders_wake.notify_one();
                } else if era < item.revision.era {
                    slog::info!(node.log, "owner table of an earlier store era, to be replaced";
                        "term" => term, "revision" => %item.revision);
                }
            }
            Err(e) => log_error(e),
        }
        return;
    }
    match item.decode::<VmEntry>() {
        Ok(entry) => {
            let mut state = node.state();
            if let Some(zone) = entry.zone {
                state.members.set_zone(&entry.vm, zone);
            }
            state.members.set_address(entry.vm, entry.address);
        }
        Err(e) => log_error(e),
    }
}
