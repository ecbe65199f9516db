//! Turns an operator's intent into a plan that can be confirmed.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Catalog;
use super::CatalogError;
use super::Change;
use super::Item;
use super::PoolSpec;
use crate::ids::PoolName;
use crate::ids::Revision;
use crate::ids::TeamName;

/// Maximum changes in one plan. Creating 14,000 adapters, adding a version to
/// each and serving it takes 42,000 changes. With names of 40 bytes they take
/// 6 MB on the wire, of the 16 MB that the operator service accepts.
pub const MAX_CHANGES: usize = 50_000;

/// Hex digits of an operation id.
const OPERATION_DIGITS: usize = 16;

/// The changes that an operator requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The changes, applied in this order.
    pub changes: Vec<Change>,
}

/// An item that a plan read, with its state at that time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Read {
    /// The item.
    #[serde(flatten)]
    pub item: Item,
    /// Hash of the item's content; 0 if it did not exist.
    pub state: u64,
}

/// The effect of one change, for review by the operator.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Effect {
    /// Human-readable description of the change.
    pub text: String,
    /// Teams whose requests are affected.
    pub teams: BTreeSet<TeamName>,
    /// The pool that the loads and slots belong to.
    pub pool: Option<PoolName>,
    /// Minimum number of adapter loads that it causes.
    pub loads: u32,
    /// Minimum number of adapter slots that it takes; negative if it frees some.
    pub slots: i64,
}

/// A set of changes that is valid as long as the items it read are unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Operation id; makes repeated confirmations idempotent.
    pub operation: String,
    /// The revision that the plan was made on.
    pub base: Revision,
    /// The items that it read.
    pub reads: Vec<Read>,
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// The effect of each change.
    pub effects: Vec<Effect>,
}

/// Why a plan cannot be made or confirmed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanError {
    /// The number of changes is 0 or above [`MAX_CHANGES`].
    Size(usize),
    /// The catalog refuses one of the changes.
    Rules(CatalogError),
    /// The plan's operation id or read set is invalid.
    Malformed(&'static str),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Size(n) => write!(f, "{n} changes, expected 1 to {MAX_CHANGES}"),
            Self::Rules(e) => write!(f, "{e}"),
            Self::Malformed(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for PlanError {}

impl Plan {
    /// Plans `changes` to `catalog` under a new random operation id.
    ///
    /// # Errors
    ///
    /// If there are no changes or too many, or if the catalog refuses one.
    ///
    /// ```
    /// use banyangauge::catalog::{Catalog, Change, Plan};
    /// let change = Change::PutTeam {
    ///     team: "laundry".parse().unwrap(),
    ///     keys: Default::default(),
    ///     share: 2,
    /// };
    /// let plan = Plan::new(&Catalog::default(), vec![change]).unwrap();
    /// assert_eq!(plan.effects[0].text, "create team laundry with share 2 and 0 keys");
    /// ```
    pub fn new(catalog: &Catalog, changes: Vec<Change>) -> Result<Self, PlanError> {
        check_size(&changes)?;
        let mut next = catalog.clone();
        let mut effects = Vec::with_capacity(changes.len());
        for change in &changes {
            effects.push(effect(&next, change));
            next.apply(std::slice::from_ref(change))
                .map_err(PlanError::Rules)?;
        }
        let items = read_items(catalog, &changes);
        let reads = items
            .into_iter()
            .map(|item| Read {
                state: catalog.state_of(&item),
                item,
            })
            .collect();
        Ok(Self {
            operation: format!("{:016x}", rand::random::<u64>()),
            base: catalog.revision,
            reads,
            changes,
            effects,
        })
    }

    /// Validates a plan received from a client: its operation id becomes part of
    /// object names, and its reads must cover the items that its changes depend
    /// on.
    ///
    /// # Errors
    ///
    /// [`PlanError::Size`] or [`PlanError::Malformed`].
    pub fn check(&self) -> Result<(), PlanError> {
        check_size(&self.changes)?;
        let hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
        if self.operation.len() != OPERATION_DIGITS || !self.operation.bytes().all(hex) {
            return Err(PlanError::Malformed(
                "operation: expected 16 lower-case hex digits",
            ));
        }
        let read: BTreeSet<_> = self.reads.iter().map(|r| &r.item).collect();
        let required = read_items(&Catalog::default(), &self.changes);
        match required.iter().all(|item| read.contains(item)) {
            true => Ok(()),
            false => Err(PlanError::Malformed(
                "reads: an item that the changes depend on is missing",
            )),
        }
    }

    /// Returns the items that the plan read and that have changed since.
    pub fn changed_reads(&self, catalog: &Catalog) -> Vec<Item> {
        let changed = |r: &&Read| catalog.state_of(&r.item) != r.state;
        let reads = self.reads.iter().filter(changed);
        reads.map(|r| r.item.clone()).collect()
    }

    /// Returns the minimum number of adapter loads that the plan causes.
    pub fn loads(&self) -> u32 {
        self.effects.iter().map(|e| e.loads).sum()
    }

    /// Returns the minimum number of adapter slots that the plan takes.
    pub fn slots(&self) -> i64 {
        self.effects.iter().map(|e| e.slots).sum()
    }
}

fn check_size(changes: &[Change]) -> Result<(), PlanError> {
    match changes.len() {
        1..=MAX_CHANGES => Ok(()),
        n => Err(PlanError::Size(n)),
    }
}

/// Returns the items that the changes depend on: the items they write, the teams
/// and pools they name, and the pools of their adapters.
fn read_items(catalog: &Catalog, changes: &[Change]) -> BTreeSet<Item> {
    let mut items = BTreeSet::new();
    for change in changes {
        let written = change.item();
        if let Item::Adapter(name) = &written
            && let Some(adapter) = catalog.adapters.get(name)
        {
            items.insert(Item::Pool(adapter.pool.clone()));
        }
        items.insert(written);
        match change {
            Change::CreateAdapter { owner, pool, .. } => {
                items.insert(Item::Team(owner.clone()));
                items.insert(Item::Pool(pool.clone()));
            }
            Change::Serve { team, .. } | Change::Withdraw { team, .. } => {
                items.insert(Item::Team(team.clone()));
            }
            _ => {}
        }
    }
    items
}

/// Returns the effect of `change` on `catalog`.
fn effect(catalog: &Catalog, change: &Change) -> Effect {
    let text = |text: String| Effect {
        text,
        ..Effect::default()
    };
    match change {
        Change::PutTeam { team, keys, share } => {
            let verb = match catalog.teams.contains_key(team) {
                true => "replace",
                false => "create",
            };
            Effect {
                text: format!(
                    "{verb} team {team} with share {share} and {} keys",
                    keys.len()
                ),
                teams: [team.clone()].into(),
                ..Effect::default()
            }
        }
        Change::RemoveTeam { team } => Effect {
            text: format!("remove team {team}"),
            teams: [team.clone()].into(),
            ..Effect::default()
        },
        Change::CreateAdapter {
            adapter,
            owner,
            pool,
        } => text(format!(
            "create adapter {adapter} of team {owner} on pool {pool}"
        )),
        Change::RemoveAdapter { adapter } => text(format!("remove adapter {adapter}")),
        Change::AddVersion { adapter, version } => text(format!("add {adapter}@{version}")),
        Change::RetireVersion { adapter, version } => text(format!("retire {adapter}@{version}")),
        Change::Serve {
            team,
            adapter,
            version,
        } => serve_effect(catalog, team, adapter.as_str(), *version),
        Change::Withdraw { team, adapter } => withdraw_effect(catalog, team, adapter.as_str()),
        Change::PutPool { pool, spec } => pool_effect(catalog, pool, spec),
        Change::RemovePool { pool } => text(format!("remove pool {pool}")),
    }
}

/// A version that is not served to any team yet has to be loaded on at least one
/// replica, and takes a slot in addition to the old version's while that drains.
fn serve_effect(catalog: &Catalog, team: &TeamName, adapter: &str, version: u32) -> Effect {
    let adapter_spec = catalog.adapters.get(adapter);
    let old = adapter_spec.and_then(|a| a.serving.get(team).copied());
    let served = adapter_spec.is_some_and(|a| a.serving.values().any(|v| *v == version));
    let cost = u32::from(!served);
    let from = match old {
        Some(v) if v == version => " (no change)".to_owned(),
        Some(v) => format!(" in place of version {v}, which drains"),
        None => String::new(),
    };
    Effect {
        text: format!("serve {adapter}@{version} to team {team}{from}"),
        teams: [team.clone()].into(),
        pool: adapter_spec.map(|a| a.pool.clone()),
        loads: cost,
        slots: i64::from(cost),
    }
}

/// The slot becomes free if the version is not served to another team.
fn withdraw_effect(catalog: &Catalog, team: &TeamName, adapter: &str) -> Effect {
    let adapter_spec = catalog.adapters.get(adapter);
    let old = adapter_spec.and_then(|a| a.serving.get(team).copied());
    let others = adapter_spec.is_some_and(|a| {
        let mut rest = a.serving.iter().filter(|(t, _)| *t != team);
        rest.any(|(_, v)| Some(*v) == old)
    });
    Effect {
        text: format!("serve {adapter} to team {team} no longer"),
        teams: [team.clone()].into(),
        pool: adapter_spec.map(|a| a.pool.clone()),
        loads: 0,
        slots: -i64::from(old.is_some() && !others),
    }
}

/// Adapters on a removed replica have to be loaded elsewhere.
fn pool_effect(catalog: &Catalog, pool: &PoolName, spec: &PoolSpec) -> Effect {
    let none = Vec::new();
    let old = catalog.pools.get(pool).map_or(&none, |p| &p.replicas);
    let names: BTreeSet<_> = spec.replicas.iter().map(|r| &r.name).collect();
    let before: BTreeSet<_> = old.iter().map(|r| &r.name).collect();
    let gone = old.iter().filter(|r| !names.contains(&r.name));
    let lost: u32 = gone.map(|r| r.slots).sum();
    let added = names.difference(&before).count();
    let removed = before.difference(&names).count();
    let total = |replicas: &[super::Replica]| replicas.iter().map(|r| i64::from(r.slots)).sum();
    let (have, had): (i64, i64) = (total(&spec.replicas), total(old));
    let verb = match catalog.pools.contains_key(pool) {
        true => "replace",
        false => "create",
    };
    let users = catalog.adapters.values().filter(|a| a.pool == *pool);
    let teams = match catalog.pools.contains_key(pool) {
        true => users.flat_map(|a| a.serving.keys().cloned()).collect(),
        false => BTreeSet::new(),
    };
    Effect {
        text: format!("{verb} pool {pool}: replicas +{added} -{removed}"),
        teams,
        pool: Some(pool.clone()),
        loads: lost,
        slots: had - have,
    }
}
