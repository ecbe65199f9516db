//! Applies changes to the catalog atomically and checks its invariants.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::Adapter;
use super::Catalog;
use super::CatalogError;
use super::Change;
use super::Item;
use super::PoolKind;
use super::PoolSpec;
use super::Team;
use super::rules;
use crate::ids::AdapterName;
use crate::ids::PoolName;
use crate::ids::Revision;
use crate::ids::TeamName;

/// The value of an item before a change, for rollback.
enum Undo {
    Team(TeamName, Option<Team>),
    Adapter(AdapterName, Option<Arc<Adapter>>),
    Pool(PoolName, Option<PoolSpec>),
}

impl Catalog {
    /// Applies all changes and increments the revision, or changes nothing.
    ///
    /// Works in place with an undo log, so that the cost grows with the number
    /// of changes and not with the size of the catalog.
    ///
    /// # Errors
    ///
    /// The error of the first change that violates an invariant.
    pub fn apply(&mut self, changes: &[Change]) -> Result<(), CatalogError> {
        let mut undo = Vec::with_capacity(changes.len());
        for change in changes {
            undo.push(self.undo_for(change));
            if let Err(e) = self.apply_one(change) {
                self.rollback(undo);
                return Err(e);
            }
        }
        self.revision = Revision(self.revision.0 + 1);
        Ok(())
    }

    fn undo_for(&self, change: &Change) -> Undo {
        match change.item() {
            Item::Team(t) => Undo::Team(t.clone(), self.teams.get(&t).cloned()),
            Item::Adapter(a) => Undo::Adapter(a.clone(), self.adapters.get(&a).cloned()),
            Item::Pool(p) => Undo::Pool(p.clone(), self.pools.get(&p).cloned()),
        }
    }

    fn rollback(&mut self, undo: Vec<Undo>) {
        for step in undo.into_iter().rev() {
            match step {
                Undo::Team(name, old) => self.set_team(&name, old),
                Undo::Adapter(name, old) => set(&mut self.adapters, name, old),
                Undo::Pool(name, old) => set(&mut self.pools, name, old),
            }
        }
    }

    fn set_team(&mut self, name: &TeamName, team: Option<Team>) {
        if let Some(old) = self.teams.get(name) {
            for key in &old.keys {
                self.keys.remove(key.as_str());
            }
        }
        for key in team.iter().flat_map(|t| &t.keys) {
            self.keys.insert(Arc::from(key.as_str()), name.clone());
        }
        set(&mut self.teams, name.clone(), team);
    }

    fn apply_one(&mut self, change: &Change) -> Result<(), CatalogError> {
        match change {
            Change::PutTeam { team, keys, share } => self.put_team(team, keys, *share),
            Change::RemoveTeam { team } => self.remove_team(team),
            Change::CreateAdapter {
                adapter,
                owner,
                pool,
            } => self.create_adapter(adapter, owner, pool),
            Change::RemoveAdapter { adapter } => self.remove_adapter(adapter),
            Change::AddVersion { adapter, version } => self.add_version(adapter, *version),
            Change::RetireVersion { adapter, version } => self.retire_version(adapter, *version),
            Change::Serve {
                team,
                adapter,
                version,
            } => self.serve(team, adapter, *version),
            Change::Withdraw { team, adapter } => self.withdraw(team, adapter),
            Change::PutPool { pool, spec } => self.put_pool(pool, spec),
            Change::RemovePool { pool } => self.remove_pool(pool),
        }
    }

    fn put_team(
        &mut self,
        team: &TeamName,
        keys: &BTreeSet<String>,
        share: u32,
    ) -> Result<(), CatalogError> {
        rules::check_team(team, keys, share)?;
        for key in keys {
            if let Some(other) = self.keys.get(key.as_str())
                && other != team
            {
                return Err(CatalogError::Exists(format!(
                    "team {team}: a key of team {other}"
                )));
            }
        }
        let keys = keys.clone();
        self.set_team(team, Some(Team { keys, share }));
        Ok(())
    }

    fn remove_team(&mut self, team: &TeamName) -> Result<(), CatalogError> {
        self.require_team(team)?;
        let used = self
            .adapters
            .iter()
            .find(|(_, a)| a.owner == *team || a.serving.contains_key(team));
        if let Some((name, _)) = used {
            return Err(CatalogError::InUse(format!(
                "team {team} still owns or uses adapter {name}"
            )));
        }
        self.set_team(team, None);
        Ok(())
    }

    fn create_adapter(
        &mut self,
        adapter: &AdapterName,
        owner: &TeamName,
        pool: &PoolName,
    ) -> Result<(), CatalogError> {
        self.require_team(owner)?;
        match self.pools.get(pool).map(|p| &p.kind) {
            Some(PoolKind::Engine { .. }) => {}
            Some(PoolKind::Service { .. }) => {
                return Err(CatalogError::Value(format!(
                    "pool {pool} is a plain service, expected an engine pool"
                )));
            }
            None => return Err(CatalogError::Missing(format!("pool {pool}"))),
        }
        if self.adapters.contains_key(adapter) {
            return Err(CatalogError::Exists(format!("adapter {adapter}")));
        }
        let new = Adapter {
            owner: owner.clone(),
            pool: pool.clone(),
            versions: BTreeSet::new(),
            serving: BTreeMap::new(),
        };
        self.adapters.insert(adapter.clone(), Arc::new(new));
        Ok(())
    }

    fn remove_adapter(&mut self, adapter: &AdapterName) -> Result<(), CatalogError> {
        if let Some(team) = self.require_adapter(adapter)?.serving.keys().next() {
            return Err(CatalogError::InUse(format!(
                "adapter {adapter} is still served to team {team}"
            )));
        }
        self.adapters.remove(adapter);
        Ok(())
    }

    fn add_version(&mut self, adapter: &AdapterName, version: u32) -> Result<(), CatalogError> {
        let a = self.require_adapter(adapter)?;
        let last = a.versions.last().copied().unwrap_or(0);
        if version <= last {
            return Err(CatalogError::Value(format!(
                "adapter {adapter}: version {version}, expected a version above {last}"
            )));
        }
        Arc::make_mut(a).versions.insert(version);
        Ok(())
    }

    fn retire_version(&mut self, adapter: &AdapterName, version: u32) -> Result<(), CatalogError> {
        let a = self.require_adapter(adapter)?;
        if let Some((team, _)) = a.serving.iter().find(|(_, v)| **v == version) {
            return Err(CatalogError::InUse(format!(
                "{adapter}@{version} is still served to team {team}"
            )));
        }
        if !Arc::make_mut(a).versions.remove(&version) {
            return Err(CatalogError::Missing(format!("{adapter}@{version}")));
        }
        Ok(())
    }

    fn serve(
        &mut self,
        team: &TeamName,
        adapter: &AdapterName,
        version: u32,
    ) -> Result<(), CatalogError> {
        self.require_team(team)?;
        let a = self.require_adapter(adapter)?;
        if !a.versions.contains(&version) {
            return Err(CatalogError::Missing(format!("{adapter}@{version}")));
        }
        Arc::make_mut(a).serving.insert(team.clone(), version);
        Ok(())
    }

    fn withdraw(&mut self, team: &TeamName, adapter: &AdapterName) -> Result<(), CatalogError> {
        let a = self.require_adapter(adapter)?;
        Arc::make_mut(a)
            .serving
            .remove(team)
            .ok_or_else(|| CatalogError::Missing(format!("adapter {adapter} for team {team}")))?;
        Ok(())
    }

    fn put_pool(&mut self, pool: &PoolName, spec: &PoolSpec) -> Result<(), CatalogError> {
        rules::check_pool(self, pool, spec)?;
        self.pools.insert(pool.clone(), spec.clone());
        Ok(())
    }

    fn remove_pool(&mut self, pool: &PoolName) -> Result<(), CatalogError> {
        if let Some(name) = self.pool_user(pool) {
            return Err(CatalogError::InUse(format!(
                "pool {pool} is still used by adapter {name}"
            )));
        }
        self.pools
            .remove(pool)
            .ok_or_else(|| CatalogError::Missing(format!("pool {pool}")))?;
        Ok(())
    }

    /// Returns an adapter that uses the pool, if there is one.
    pub(super) fn pool_user(&self, pool: &PoolName) -> Option<&AdapterName> {
        let mut users = self.adapters.iter().filter(|(_, a)| a.pool == *pool);
        users.next().map(|(name, _)| name)
    }

    fn require_team(&self, team: &TeamName) -> Result<(), CatalogError> {
        match self.teams.contains_key(team) {
            true => Ok(()),
            false => Err(CatalogError::Missing(format!("team {team}"))),
        }
    }

    fn require_adapter(
        &mut self,
        adapter: &AdapterName,
    ) -> Result<&mut Arc<Adapter>, CatalogError> {
        self.adapters
            .get_mut(adapter)
            .ok_or_else(|| CatalogError::Missing(format!("adapter {adapter}")))
    }
}

fn set<K: Ord, V>(map: &mut BTreeMap<K, V>, key: K, value: Option<V>) {
    match value {
        Some(v) => {
            map.insert(key, v);
        }
        None => {
            map.remove(&key);
        }
    }
}
