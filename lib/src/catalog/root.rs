//! How a catalog lies in the platform: one root and many shards.
//!
//! A shard object is written once, under a name of its own; the root names the
//! shard objects of its revision. Replacing the root is the one conditional
//! update that puts a change of several shards in force, whole or not at all.

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

/// Shards of adapters: 14,000 of them at 250 bytes are 55 KB a shard, so a
/// change writes little and a value stays far below the platform's megabyte.
const ADAPTER_SHARDS: u64 = 64;

/// Shards of pools: 5,600 replicas at 120 bytes are 670 KB in all.
const POOL_SHARDS: u64 = 8;

/// Confirmations that the root remembers. A plan whose base is older is
/// refused, because a repeat of it could no longer be told from a new one.
pub const MAX_LOG_ENTRIES: usize = 64;

/// Bytes of changes that the root's log holds; each watcher gets the root at
/// each confirmation, so it has to stay small.
pub const MAX_LOG_BYTES: usize = 16 << 10;

/// Name of a shard: `base` for teams, `p0` to `p7` for pools, `00` to `3f` for
/// adapters.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardName(Arc<str>);

impl ShardName {
    /// The shard that holds an item.
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

    /// The name of its object at a revision, written by one operation.
    pub fn object(&self, revision: Revision, operation: &str) -> String {
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

/// The revision in the name of a shard object; `None` for a foreign name.
pub(super) fn revision_of(object: &str) -> Option<Revision> {
    object.split('-').nth(1)?.parse().ok().map(Revision)
}

/// The content of one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Its teams.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub teams: BTreeMap<TeamName, Team>,
    /// Its adapters.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub adapters: BTreeMap<AdapterName, Arc<Adapter>>,
    /// Its pools.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub pools: BTreeMap<PoolName, PoolSpec>,
}

impl Catalog {
    /// The content of some of its shards.
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

    /// Puts a catalog together from all its shards.
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

/// A confirmation as the root remembers it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The revision that it made.
    pub revision: Revision,
    /// Its operation id.
    pub operation: String,
    /// Who confirmed it.
    pub operator: String,
    /// What changed; `None` when that was too large for the root, and a
    /// follower reads the shards.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Vec<Change>>,
}

impl LogEntry {
    /// The change set, when the root still holds it.
    pub fn change_set(&self) -> Option<ChangeSet> {
        Some(ChangeSet {
            revision: self.revision,
            operation: self.operation.clone(),
            operator: self.operator.clone(),
            changes: self.changes.clone()?,
        })
    }
}

/// The root object: the revision in force and where its shards are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Root {
    /// The revision.
    pub revision: Revision,
    /// The object that holds each shard; an empty shard has none.
    pub shards: BTreeMap<ShardName, String>,
    /// The last confirmations, oldest first.
    pub log: Vec<LogEntry>,
    /// Shard objects that were replaced, by the first revision that does not
    /// name them; a later confirmation deletes them.
    pub retired: BTreeMap<String, Revision>,
}

impl Root {
    /// The confirmation of an operation, when the log still holds it.
    pub fn find(&self, operation: &str) -> Option<&LogEntry> {
        self.log.iter().find(|e| e.operation == operation)
    }

    /// Whether the log tells everything that happened after `base`.
    pub fn covers(&self, base: Revision) -> bool {
        self.log
            .first()
            .map_or(base == self.revision, |e| e.revision.0 <= base.0 + 1)
    }

    /// The change sets after `base`, in order; `None` when the log does not
    /// hold all of them.
    pub fn changes_after(&self, base: Revision) -> Option<Vec<ChangeSet>> {
        if !self.covers(base) {
            return None;
        }
        let after = self.log.iter().filter(|e| e.revision > base);
        after.map(LogEntry::change_set).collect()
    }

    /// Shard objects that neither this root nor the one before names.
    pub fn garbage(&self) -> Vec<String> {
        let old = |r: &Revision| r.0 < self.revision.0;
        let names = self.retired.iter().filter(|(_, r)| old(r));
        names.map(|(name, _)| name.clone()).collect()
    }

    /// The next root: `entry` is logged, `objects` take the place of the
    /// shards they hold, `deleted` are forgotten.
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
        trim(&mut next.log);
        next
    }
}

/// Keeps the last entries, and of their changes the newest that fit.
fn trim(log: &mut Vec<LogEntry>) {
    let surplus = log.len().saturating_sub(MAX_LOG_ENTRIES);
    log.drain(..surplus);
    let mut left = MAX_LOG_BYTES;
    for entry in log.iter_mut().rev() {
        let size = serde_json::to_vec(&entry.changes).map_or(usize::MAX, |b| b.len());
        match left.checked_sub(size) {
            Some(rest) if entry.changes.is_some() => left = rest,
            _ => {
                // A gap would help nobody: what is older goes as well.
                left = 0;
                entry.changes = None;
            }
        }
    }
}
