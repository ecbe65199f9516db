//! The units of the catalog that a change writes or a plan reads.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Catalog;
use super::Change;
use crate::ids::AdapterName;
use crate::ids::PoolName;
use crate::ids::TeamName;

/// One team, adapter or pool.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(tag = "item", content = "name", rename_all = "snake_case")]
pub enum Item {
    /// A team.
    Team(TeamName),
    /// An adapter with its versions and the teams that it is served to.
    Adapter(AdapterName),
    /// A pool with its replicas.
    Pool(PoolName),
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(n) => write!(f, "team {n}"),
            Self::Adapter(n) => write!(f, "adapter {n}"),
            Self::Pool(n) => write!(f, "pool {n}"),
        }
    }
}

impl Change {
    /// Returns the one item that this change writes.
    pub fn item(&self) -> Item {
        match self {
            Self::PutTeam { team, .. } | Self::RemoveTeam { team } => Item::Team(team.clone()),
            Self::CreateAdapter { adapter, .. }
            | Self::RemoveAdapter { adapter }
            | Self::AddVersion { adapter, .. }
            | Self::RetireVersion { adapter, .. }
            | Self::Serve { adapter, .. }
            | Self::Withdraw { adapter, .. } => Item::Adapter(adapter.clone()),
            Self::PutPool { pool, .. } | Self::RemovePool { pool } => Item::Pool(pool.clone()),
        }
    }
}

/// Returned by [`Catalog::state_of`] for an item that does not exist; the hash of
/// an existing item is never 0.
const ABSENT: u64 = 0;

impl Catalog {
    /// Returns a hash of the item's content, or 0 if the item does not exist.
    /// Plans compare it to detect that an item they read has changed.
    pub fn state_of(&self, item: &Item) -> u64 {
        match item {
            Item::Team(n) => self.teams.get(n).map_or(ABSENT, hash),
            Item::Adapter(n) => self.adapters.get(n).map_or(ABSENT, hash),
            Item::Pool(n) => self.pools.get(n).map_or(ABSENT, hash),
        }
    }
}

fn hash<T: Serialize>(value: &T) -> u64 {
    // Encoding cannot fail: the types hold text, numbers and maps with text
    // keys.
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&bytes).max(ABSENT + 1)
}
