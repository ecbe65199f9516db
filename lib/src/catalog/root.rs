//! Stored form of the catalog: one root object and many shard objects.
//!
//! Shard objects are immutable and have unique names; the root references the
//! shard objects of its revision. Replacing the root is the only conditional
//! update, so that a change of several shards is atomic.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Adapter;
use super::Catalog;
use super::Change;
use super::ChangeSet;
use super::Item;
use super::PoolSpec;
use super::Team;
use crate::ids::AdapterName;
use crate::ids::PoolName;
use crate::ids::Revision;
use crate::ids::TeamName;

/// Number of adapter shards. 14,000 adapters of 250 bytes give 55 KB a shard, so
/// that a change writes little and an object stays far below the platform's
/// limit of 1 MB.
const ADAPTER_SHARDS: u64 = 64;

/// Number of pool shards. 5,600 replicas of 120 bytes give 670 KB in total.
const POOL_SHARDS: u64 = 8;

/// Maximum entries in the root's log. A plan with an older base is refused,
/// because a repeated confirmation could not be told from a new one.
pub const MAX_LOG_ENTRIES: usize = 64;

/// Maximum size of the changes in the root's log. Every watcher receives the
/// root at each confirmation, so it has to stay small.
pub const MAX_LOG_BYTES: usize = 16 << 10;

/// Name of a shard: `base` for teams, `p0` to `p7` for pools, `00` to `3f` for
/// adapters.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardName(Arc<str>);

impl ShardName {
    /// Returns the shard that holds `item`.
    ///
    /// ```
    /// use banyangauge::catalog::{Item, ShardName};
    /// let team = Item::Team("laundry".parse().unwrap());
    /// assert_eq!(ShardName::of(&team).to_string(), "base");
    /// ```
    pub fn of(item: &Item) -> Self {
        match item {
            Item::Team(_) => Self(Arc::from("base")),
            Item::Pool(n) => Self(format!("p{}", bucket(n.as_str(), POOL_SHARDS)).into()),
            Item::Adapter(n) => Self::of_adapter(n),
        }
    }

    fn of_adapter(name: &AdapterName) -> Self {
        Self(format!("{:02x}", bucket(name.as_str(), ADAPTER_SHARDS)).into())
    }

    /// Returns the name of the shard's object at a revision; the operation id
    /// keeps concurrent confirmations of that revision apart.
    pub fn object_name(&self, revision: Revision, operation: &str) -> String {
        format!("{}-{}-{operation}", self.0, revision.0)
    }
}

impl fmt::Display for ShardName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn bucket(name: &str, buckets: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) % buckets
}

/// Parses the revision in the name of a shard object; `None` for other names.
pub(super) fn revision_of(object: &str) -> Option<Revision> {
    object.split('-').nth(1)?.parse().ok().map(Revision)
}

/// The content of one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// The shard's teams.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub teams: BTreeMap<TeamName, Team>,
    /// The shard's adapters.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub adapters: BTreeMap<AdapterName, Arc<Adapter>>,
    /// The shard's pools.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub pools: BTreeMap<PoolName, PoolSpec>,
}

impl Catalog {
    /// Returns the content of the shards in `wanted`.
    pub fn shards(&self, wanted: &BTreeSet<ShardName>) -> BTreeMap<ShardName, Shard> {
        let mut shards: BTreeMap<_, _> = wanted
            .iter()
            .map(|name| (name.clone(), Shard::default()))
            .collect();
        if let Some(base) = shards.get_mut(&ShardName(Arc::from("base"))) {
            base.teams = self.teams.clone();
        }
        for (name, pool) in &self.pools {
            if let Some(shard) = shards.get_mut(&ShardName::of(&Item::Pool(name.clone()))) {
                shard.pools.insert(name.clone(), pool.clone());
            }
        }
        for (name, adapter) in &self.adapters {
            if let Some(shard) = shards.get_mut(&ShardName::of_adapter(name)) {
                shard.adapters.insert(name.clone(), Arc::clone(adapter));
            }
        }
        shards
    }

    /// Assembles a catalog from all its shards.
    pub fn from_shards(revision: Revision, shards: impl IntoIterator<Item = Shard>) -> Self {
        let mut catalog = Self {
            revision,
            ..Self::default()
        };
        for shard in shards {
            catalog.teams.extend(shard.teams);
            catalog.adapters.extend(shard.adapters);
            catalog.pools.extend(shard.pools);
        }
        catalog.index_keys();
        catalog
    }
}

/// A confirmation in the root's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The revision that it created.
    pub revision: Revision,
    /// The operation id of the plan.
    pub operation: String,
    /// The operator who confirmed it.
    pub operator: String,
    /// The changes; `None` if they did not fit into the root's log, in which
    /// case watchers read the shards.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Vec<Change>>,
}

impl LogEntry {
    /// Returns the change set if the log still holds it.
    pub fn change_set(&self) -> Option<ChangeSet> {
        Some(ChangeSet {
            revision: self.revision,
            operation: self.operation.clone(),
            operator: self.operator.clone(),
            changes: self.changes.clone()?,
        })
    }
}

/// The root object: the current revision and the objects that hold its shards.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Root {
    /// The current revision.
    pub revision: Revision,
    /// The name of the object that holds each shard; shards never written are
    /// absent.
    pub shards: BTreeMap<ShardName, String>,
    /// The latest confirmations, oldest first.
    pub log: Vec<LogEntry>,
    /// Replaced shard objects and the first revision that does not reference
    /// them; a later confirmation deletes them.
    pub retired: BTreeMap<String, Revision>,
}

impl Root {
    /// Returns the confirmation of an operation if the log still holds it.
    pub fn find(&self, operation: &str) -> Option<&LogEntry> {
        self.log.iter().find(|e| e.operation == operation)
    }

    /// Whether the log has an entry for every revision after `base`.
    pub fn covers(&self, base: Revision) -> bool {
        self.log
            .first()
            .map_or(base == self.revision, |e| e.revision.0 <= base.0 + 1)
    }

    /// Returns the change sets after `base` in order, or `None` if the log does
    /// not hold all of them.
    pub fn changes_after(&self, base: Revision) -> Option<Vec<ChangeSet>> {
        if !self.covers(base) {
            return None;
        }
        let after = self.log.iter().filter(|e| e.revision > base);
        after.map(LogEntry::change_set).collect()
    }

    /// Returns the shard objects that neither this root nor its predecessor
    /// references.
    pub fn unreferenced(&self) -> Vec<String> {
        let old = |r: &Revision| r.0 < self.revision.0;
        let names = self.retired.iter().filter(|(_, r)| old(r));
        names.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the next root: appends `entry` to the log, replaces the objects
    /// of the changed shards and removes `deleted` from the retired objects.
    pub fn next(
        &self,
        entry: LogEntry,
        objects: BTreeMap<ShardName, String>,
        deleted: &[String],
    ) -> Self {
        let mut next = self.clone();
        next.revision = entry.revision;
        for name in deleted {
            next.retired.remove(name);
        }
        for (shard, object) in objects {
            if let Some(old) = next.shards.insert(shard, object) {
                next.retired.insert(old, entry.revision);
            }
        }
        next.log.push(entry);
        trim_log(&mut next.log);
        next
    }
}

/// Removes the oldest entries above [`MAX_LOG_ENTRIES`], and the changes of the
/// older entries above [`MAX_LOG_BYTES`].
fn trim_log(log: &mut Vec<LogEntry>) {
    let surplus = log.len().saturating_sub(MAX_LOG_ENTRIES);
    log.drain(..surplus);
    let mut budget = MAX_LOG_BYTES;
    for entry in log.iter_mut().rev() {
        let size = serde_json::to_vec(&entry.changes).map_or(usize::MAX, |b| b.len());
        match budget.checked_sub(size) {
            Some(rest) if entry.changes.is_some() => budget = rest,
            _ => {
                // Older changes cannot be applied across a gap.
                budget = 0;
                entry.changes = None;
            }
        }
    }
}
