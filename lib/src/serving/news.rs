//! What news from the store changes in a VM's beliefs.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::follow::News;
use super::model::Instance;
use super::model::Listing;
use super::node::Node;
use super::node::now;
use super::store::Item;
use super::table::Table;
use crate::ids::ReplicaName;
use crate::ids::VmName;

/// The name of the owner table in the store.
pub(super) const OWNERS: &str = "owners";

/// What the names of VMs' entries begin with.
pub(super) const VM_PREFIX: &str = "vm.";

/// A VM's entry in the store.
#[derive(Deserialize, Serialize)]
pub(super) struct VmEntry {
    pub(super) vm: VmName,
    pub(super) address: SocketAddr,
}

pub(super) fn take_config(node: &Node, news: News<'_>) {
    let items = match news {
        News::All(items, _) => items,
        News::One(item, false) => std::slice::from_ref(item),
        // The operator replaces it and never takes it away.
        News::One(_, true) => return,
    };
    for item in items {
        match (node.border.read_config)(item) {
            Ok(config) => {
                let version = config.version;
                let taken = node.beliefs().configure(config);
                slog::info!(node.log, "configuration"; "version" => version,
                    "revision" => item.revision, "in_force" => taken);
            }
            Err(e) => slog::error!(node.log, "bad configuration"; "error" => %e),
        }
    }
}

pub(super) fn take_replicas(node: &Node, news: News<'_>) {
    let at = now();
    let read = |item: &Item| {
        let listing = (node.border.read_listing)(item);
        listing.map_err(|e| {
            slog::error!(node.log, "bad replica"; "name" => &item.name, "error" => %e);
        })
    };
    match news {
        News::All(items, outage) => {
            let all: Vec<_> = items.iter().filter_map(|i| read(i).ok()).collect();
            slog::info!(node.log, "replicas"; "count" => all.len(), "after_outage" => outage);
            let mut b = node.beliefs();
            b.relist(at, all, outage);
            b.listed = true;
        }
        News::One(item, true) => unlist(node, item, "removed"),
        News::One(item, false) => {
            match read(item) {
                Ok(listing) => take_replica(node, item, listing),
                // It names no replica to use, whatever it named before.
                Err(()) => unlist(node, item, "unreadable"),
            }
        }
    }
}

fn take_replica(node: &Node, item: &Item, listing: Listing) {
    let (name, draining) = (listing.name.clone(), listing.draining);
    let born = listing.born;
    let changed = node.beliefs().take_listing(listing);
    if changed && draining {
        tell_leaving(node, &name);
    }
    if changed {
        slog::info!(node.log, "replica"; "replica" => name.as_str(),
                        "draining" => draining, "born" => born, "revision" => item.revision);
    }
}

fn unlist(node: &Node, item: &Item, why: &'static str) {
    let Ok(name) = item.name.parse::<ReplicaName>() else {
        return;
    };
    tell_leaving(node, &name);
    if node.beliefs().fleet.unlist(&name) {
        slog::info!(node.log, "replica gone"; "replica" => name.as_str(),
            "why" => why, "revision" => item.revision);
    }
}

/// The other VMs hear of a leaving replica before they read of it.
fn tell_leaving(node: &Node, name: &ReplicaName) {
    let mut b = node.beliefs();
    if let Some(born) = b.fleet.born(name) {
        let name = name.clone();
        b.leaving.insert(Instance { name, born });
    }
    drop(b);
    node.news.notify_one();
}

pub(super) fn take_versions(node: &Node, news: News<'_>) {
    let items = match news {
        News::All(items, _) => items,
        News::One(item, false) => std::slice::from_ref(item),
        News::One(_, true) => return,
    };
    for item in items {
        match (node.border.read_announced)(item) {
            Ok(a) => {
                if node.beliefs().fleet.versions.announce(now(), &a) {
                    slog::info!(node.log, "version announced"; "target" => %a.target,
                        "version" => a.version, "revision" => item.revision);
                }
            }
            Err(e) => slog::error!(node.log, "bad version"; "name" => &item.name, "error" => %e),
        }
    }
    node.orders.notify_one();
}

pub(super) fn take_own(node: &Node, news: News<'_>) {
    match news {
        News::All(items, _) => items.iter().for_each(|i| take_own_item(node, i)),
        News::One(item, false) => take_own_item(node, item),
        News::One(item, true) => {
            let vm = item.name.strip_prefix(VM_PREFIX);
            if let Some(vm) = vm.and_then(|v| v.parse::<VmName>().ok()) {
                node.beliefs().members.unlist(&vm);
                slog::info!(node.log, "vm gone"; "vm" => vm.as_str());
            }
        }
    }
}

fn take_own_item(node: &Node, item: &Item) {
    let bad = |e: serde_json::Error| {
        slog::error!(node.log, "bad entry"; "name" => &item.name, "error" => %e);
    };
    if item.name == OWNERS {
        match serde_json::from_str::<Table>(item.spec.get()) {
            Ok(table) => {
                let term = table.term.0;
                if node.beliefs().take_owners(now(), table, item.revision) {
                    slog::info!(node.log, "owners"; "term" => term, "revision" => item.revision);
                    node.orders.notify_one();
                }
            }
            Err(e) => bad(e),
        }
        return;
    }
    match serde_json::from_str::<VmEntry>(item.spec.get()) {
        Ok(entry) => node.beliefs().members.list(entry.vm, entry.address),
        Err(e) => bad(e),
    }
}
