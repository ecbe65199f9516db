//! The catalog aggregate and the changes that it accepts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AdapterName;
use crate::ids::PoolName;
use crate::ids::ReplicaName;
use crate::ids::Revision;
use crate::ids::TeamName;
use crate::ids::ZoneName;
use crate::pool::Objective;

/// A team that owns adapters and is charged for usage.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 hashes of the team's bearer keys, as lower-case hex.
    pub keys: BTreeSet<String>,
    /// Weight of the team in the division of a full pool's capacity; at least 1.
    pub share: u32,
}

/// An adapter, its versions and the teams that it is served to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The team that owns it.
    pub owner: TeamName,
    /// The pool that serves its base model.
    pub pool: PoolName,
    /// The versions that exist.
    pub versions: BTreeSet<u32>,
    /// The version served to each team that may use the adapter.
    pub serving: BTreeMap<TeamName, u32>,
}

/// One upstream of a pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Name, unique within the pool.
    pub name: ReplicaName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Number of adapter slots; 0 for a plain service.
    pub slots: u32,
    /// Maximum requests in one engine step.
    pub batch: u32,
}

/// Kind of a pool's replicas, with the settings of that kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum PoolKind {
    /// Model engines.
    Engine {
        /// Name of the base model.
        base: String,
        /// Whether the engines refuse orders with an outdated fencing token.
        honours_token: bool,
        /// The scheduling objective of the organisation.
        weighing: Objective,
        /// Adapter loads per second that the weight store allows.
        loads_per_s: f64,
        /// Duration of the shortest engine step, in microseconds.
        step_us: u64,
    },
    /// A plain service.
    Service {
        /// Prefix of the paths that are routed to the pool, such as `/booking/`.
        prefix: String,
        /// HTTP methods whose requests may be executed more than once.
        idempotent: BTreeSet<String>,
    },
}

/// Configuration of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// Kind of its replicas.
    #[serde(flatten)]
    pub kind: PoolKind,
    /// The replicas.
    pub replicas: Vec<Replica>,
}

/// A change to one item of the catalog.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Creates a team or replaces its keys and share.
    PutTeam {
        /// The team.
        team: TeamName,
        /// See [`Team::keys`].
        keys: BTreeSet<String>,
        /// See [`Team::share`].
        share: u32,
    },
    /// Removes a team that neither owns an adapter nor is served one.
    RemoveTeam {
        /// The team.
        team: TeamName,
    },
    /// Creates an adapter without versions.
    CreateAdapter {
        /// The adapter.
        adapter: AdapterName,
        /// The team that owns it.
        owner: TeamName,
        /// The pool that serves its base model.
        pool: PoolName,
    },
    /// Removes an adapter that is not served to any team.
    RemoveAdapter {
        /// The adapter.
        adapter: AdapterName,
    },
    /// Adds a version, which must be higher than the existing ones.
    AddVersion {
        /// The adapter.
        adapter: AdapterName,
        /// The version; at least 1.
        version: u32,
    },
    /// Removes a version that is not served to any team.
    RetireVersion {
        /// The adapter.
        adapter: AdapterName,
        /// The version.
        version: u32,
    },
    /// Serves a version to a team, in place of the version served before.
    Serve {
        /// The team.
        team: TeamName,
        /// The adapter.
        adapter: AdapterName,
        /// The version to serve.
        version: u32,
    },
    /// Stops serving an adapter to a team.
    Withdraw {
        /// The team.
        team: TeamName,
        /// The adapter.
        adapter: AdapterName,
    },
    /// Creates or replaces a pool.
    PutPool {
        /// The pool.
        pool: PoolName,
        /// The pool's configuration.
        spec: PoolSpec,
    },
    /// Removes a pool that no adapter uses.
    RemovePool {
        /// The pool.
        pool: PoolName,
    },
}

/// Why the catalog refuses a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CatalogError {
    /// The team, adapter, version or pool does not exist.
    Missing(String),
    /// The name, key or address is already taken.
    Exists(String),
    /// The item is still used by another one.
    InUse(String),
    /// A value is out of range or malformed.
    Value(String),
}

impl fmt::Display for CatalogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(s) => write!(f, "{s} does not exist"),
            Self::Exists(s) => write!(f, "{s} already exists"),
            Self::InUse(s) => write!(f, "{s}"),
            Self::Value(s) => write!(f, "{s}"),
        }
    }
}

impl std::error::Error for CatalogError {}

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "CatalogJson")]
pub struct Catalog {
    /// The revision; 0 is the empty catalog.
    pub revision: Revision,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Team>,
    /// Adapters by name. Revisions share unchanged adapters, so that a clone
    /// copies pointers only.
    pub adapters: BTreeMap<AdapterName, Arc<Adapter>>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, PoolSpec>,
    /// Index of teams by key hash, derived from `teams`.
    #[serde(skip_serializing)]
    pub(super) keys: BTreeMap<Arc<str>, TeamName>,
}

/// The JSON form of a catalog, without the key index.
#[derive(Deserialize)]
struct CatalogJson {
    revision: Revision,
    #[serde(default)]
    teams: BTreeMap<TeamName, Team>,
    #[serde(default)]
    adapters: BTreeMap<AdapterName, Arc<Adapter>>,
    #[serde(default)]
    pools: BTreeMap<PoolName, PoolSpec>,
}

impl From<CatalogJson> for Catalog {
    fn from(json: CatalogJson) -> Self {
        let mut catalog = Self {
            revision: json.revision,
            teams: json.teams,
            adapters: json.adapters,
            pools: json.pools,
            keys: BTreeMap::new(),
        };
        catalog.index_keys();
        catalog
    }
}

impl Catalog {
    /// Returns the team of a bearer key, given the key's SHA-256 as lower-case
    /// hex. Uses an index, because every request calls it.
    ///
    /// ```
    /// use banyangauge::catalog::{Catalog, Change};
    /// let hash = "0".repeat(64);
    /// let mut catalog = Catalog::default();
    /// catalog
    ///     .apply(&[Change::PutTeam {
    ///         team: "laundry".parse().unwrap(),
    ///         keys: [hash.clone()].into(),
    ///         share: 1,
    ///     }])
    ///     .unwrap();
    /// assert_eq!(catalog.team_by_key(&hash).unwrap().as_str(), "laundry");
    /// ```
    pub fn team_by_key(&self, hash: &str) -> Option<&TeamName> {
        self.keys.get(hash)
    }

    pub(super) fn index_keys(&mut self) {
        let pairs = self
            .teams
            .iter()
            .flat_map(|(name, team)| team.keys.iter().map(move |k| (k, name)));
        self.keys = pairs
            .map(|(k, name)| (Arc::from(k.as_str()), name.clone()))
            .collect();
    }
}

/// The changes of one confirmation, as sent to other processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeSet {
    /// The revision that results from the changes.
    pub revision: Revision,
    /// The operation id of the plan.
    pub operation: String,
    /// The operator who confirmed it.
    pub operator: String,
    /// The changes, in order.
    pub changes: Vec<Change>,
}
