//! From an operator's intent to a plan that can be confirmed.

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

/// Changes in one plan at the most: 14,000 adapters, each created, given a
/// version and served, are 42,000. With names of 40 bytes they are 6 MB on the
/// wire, of the 16 MB that the operator service takes.
pub const MAX_CHANGES: usize = 50_000;

/// Hex digits of an operation id.
const OPERATION_DIGITS: usize = 16;

/// What an operator wants.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The changes, made in this order.
    pub changes: Vec<Change>,
}

/// What a plan read, and in which state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Read {
    /// What was read.
    #[serde(flatten)]
    pub item: Item,
    /// A hash of its content; 0 when it did not exist.
    pub state: u64,
}

/// What one change does.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Effect {
    /// What changes, for a reader.
    pub text: String,
    /// Teams whose requests are affected.
    pub teams: BTreeSet<TeamName>,
    /// The pool that bears the cost.
    pub pool: Option<PoolName>,
    /// Adapter loads that it costs, at the least.
    pub loads: u32,
    /// Adapter slots that it takes, at the least; negative when it gives some.
    pub slots: i64,
}

/// A plan, bound to the state of what it read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Its operation id; confirming it twice is the same as once.
    pub operation: String,
    /// The revision it was made on.
    pub base: Revision,
    /// What it read.
    pub reads: Vec<Read>,
    /// What it changes.
    pub changes: Vec<Change>,
    /// What the changes do, one for each.
    pub effects: Vec<Effect>,
}

/// Why a plan cannot be made or taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanError {
    /// It changes nothing, or too much.
    Size(usize),
    /// The catalog's rules refuse it.
    Rules(CatalogError),
    /// It is not as this system makes plans.
    Malformed(&'static str),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Size(n) => write!(f, "{n} changes, allowed are 1 to {MAX_CHANGES}"),
            Self::Rules(e) => write!(f, "{e}"),
            Self::Malformed(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for PlanError {}

impl Plan {
    /// A plan to make `changes` to `catalog`, under a fresh operation id.
    ///
    /// # Errors
    ///
    /// When there are no changes, too many, or the rules refuse one.
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

    /// Checks a plan that comes from outside: its operation id becomes part of
    /// object names, and it must have read what its changes depend on.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), PlanError> {
        check_size(&self.changes)?;
        let hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
        if self.operation.len() != OPERATION_DIGITS || !self.operation.bytes().all(hex) {
            return Err(PlanError::Malformed(
                "operation: allowed are 16 lower-case hex digits",
            ));
        }
        let read: BTreeSet<_> = self.reads.iter().map(|r| &r.item).collect();
        let named = read_items(&Catalog::default(), &self.changes);
        match named.iter().all(|item| read.contains(item)) {
            true => Ok(()),
            false => Err(PlanError::Malformed(
                "reads: does not list all that the changes depend on",
            )),
        }
    }

    /// What the plan read and what has changed since.
    pub fn changed_reads(&self, catalog: &Catalog) -> Vec<Item> {
        let changed = |r: &&Read| catalog.state_of(&r.item) != r.state;
        let reads = self.reads.iter().filter(changed);
        reads.map(|r| r.item.clone()).collect()
    }

    /// Loads that the plan costs, at the least.
    pub fn loads(&self) -> u32 {
        self.effects.iter().map(|e| e.loads).sum()
    }

    /// Slots that the plan takes, at the least.
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

/// What the changes depend on: what they write, the teams and pools that they
/// name, and the pools of their adapters.
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

/// What `change` does to `catalog`.
fn effect(catalog: &Catalog, change: &Change) -> Effect {
    let text = |text: String| Effect {
        text,
        ..Effect::default()
    };
    match change {
        Change::PutTeam { team, keys, share } => {
            let word = match catalog.teams.contains_key(team) {
                true => "replace",
                false => "create",
            };
            Effect {
                text: format!(
                    "{word} team {team} with share {share} and {} keys",
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

/// A version that nobody is served yet has to be loaded on one replica at
/// least, and its slot comes on top of the old version's while that drains.
fn serve_effect(catalog: &Catalog, team: &TeamName, adapter: &str, version: u32) -> Effect {
    let there = catalog.adapters.get(adapter);
    let old = there.and_then(|a| a.serving.get(team).copied());
    let known = there.is_some_and(|a| a.serving.values().any(|v| *v == version));
    let cost = u32::from(!known);
    let from = match old {
        Some(v) if v == version => " (no change)".to_owned(),
        Some(v) => format!(" in place of version {v}, which drains"),
        None => String::new(),
    };
    Effect {
        text: format!("serve {adapter}@{version} to team {team}{from}"),
        teams: [team.clone()].into(),
        pool: there.map(|a| a.pool.clone()),
        loads: cost,
        slots: i64::from(cost),
    }
}

/// The slot becomes free when nobody else is served the version.
fn withdraw_effect(catalog: &Catalog, team: &TeamName, adapter: &str) -> Effect {
    let there = catalog.adapters.get(adapter);
    let old = there.and_then(|a| a.serving.get(team).copied());
    let others = there.is_some_and(|a| {
        let mut rest = a.serving.iter().filter(|(t, _)| *t != team);
        rest.any(|(_, v)| Some(*v) == old)
    });
    Effect {
        text: format!("serve {adapter} to team {team} no longer"),
        teams: [team.clone()].into(),
        pool: there.map(|a| a.pool.clone()),
        loads: 0,
        slots: -i64::from(old.is_some() && !others),
    }
}

/// What is loaded on a replica that leaves has to be loaded elsewhere.
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
    let word = match catalog.pools.contains_key(pool) {
        true => "replace",
        false => "create",
    };
    let users = catalog.adapters.values().filter(|a| a.pool == *pool);
    let teams = match catalog.pools.contains_key(pool) {
        true => users.flat_map(|a| a.serving.keys().cloned()).collect(),
        false => BTreeSet::new(),
    };
    Effect {
        text: format!("{word} pool {pool}: replicas +{added} -{removed}"),
        teams,
        pool: Some(pool.clone()),
        loads: lost,
        slots: had - have,
    }
}
