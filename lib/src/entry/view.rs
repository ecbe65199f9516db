//! The current catalog, with the lookups that requests need.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hyper::HeaderMap;

use super::CallerError;
use super::Code;
use super::auth;
use crate::catalog::Catalog;
use crate::catalog::ChangeSet;
use crate::catalog::PoolKind;
use crate::ids::AdapterVersion;
use crate::ids::PoolName;
use crate::ids::Revision;
use crate::ids::TeamName;

/// A service that callers reach by a path prefix.
#[derive(Clone, Debug)]
pub struct Service {
    /// The pool that serves it.
    pub pool: PoolName,
    /// HTTP methods whose calls may run more than once.
    pub idempotent: BTreeSet<String>,
}

/// An indexed revision of the catalog.
#[derive(Debug, Default)]
pub struct CatalogView {
    catalog: Catalog,
    services_by_prefix: BTreeMap<String, Service>,
}

impl CatalogView {
    /// Indexes a catalog.
    pub fn new(catalog: Catalog) -> Self {
        let services_by_prefix = catalog
            .pools
            .iter()
            .filter_map(|(name, spec)| match &spec.kind {
                PoolKind::Service { prefix, idempotent } => {
                    let service = Service {
                        pool: name.clone(),
                        idempotent: idempotent.clone(),
                    };
                    Some((prefix.clone(), service))
                }
                PoolKind::Engine { .. } => None,
            })
            .collect();
        Self {
            catalog,
            services_by_prefix,
        }
    }

    /// Returns the revision of the catalog; 0 if there is none yet.
    pub fn revision(&self) -> Revision {
        self.catalog.revision
    }

    /// Returns the next revision, made by applying `set` to this one.
    ///
    /// # Errors
    ///
    /// If the change set does not follow this revision, or a change is invalid.
    pub fn apply(&self, set: &ChangeSet) -> Result<Self, String> {
        let mut catalog = self.catalog.clone();
        catalog.apply(&set.changes).map_err(|e| e.to_string())?;
        match catalog.revision == set.revision {
            true => Ok(Self::new(catalog)),
            false => Err(format!(
                "change set of revision {} does not follow revision {}",
                set.revision.0,
                self.revision().0
            )),
        }
    }

    /// Returns the team that the bearer key of a request belongs to.
    ///
    /// # Errors
    ///
    /// [`Code::BadKey`] if the request has no known key.
    pub fn authenticate(&self, headers: &HeaderMap) -> Result<&TeamName, CallerError> {
        auth::authenticate(&self.catalog, headers)
    }

    /// Returns the pool and the adapter version that `model` names for `team`.
    ///
    /// # Errors
    ///
    /// If the adapter or version does not exist, or the adapter is not served to the
    /// team.
    pub fn resolve(
        &self,
        team: &TeamName,
        model: &str,
    ) -> Result<(&PoolName, AdapterVersion), CallerError> {
        let (name, version) = match model.split_once('@') {
            Some((name, version)) => (name, Some(version)),
            None => (model, None),
        };
        let unknown = || CallerError::new(Code::UnknownAdapter, format!("no adapter {name:?}"));
        let (name, adapter) = self
            .catalog
            .adapters
            .get_key_value(name)
            .ok_or_else(unknown)?;
        let current = adapter.serving.get(team).ok_or_else(|| {
            let m = format!("adapter {name} is not served to team {team}");
            CallerError::new(Code::WrongTeam, m)
        })?;
        let version = match version {
            None => *current,
            Some(v) => v
                .parse()
                .ok()
                .filter(|v| adapter.versions.contains(v))
                .ok_or_else(|| {
                    let m = format!("adapter {name} has no version {v:?}");
                    CallerError::new(Code::UnknownVersion, m)
                })?,
        };
        let adapter_version = AdapterVersion {
            adapter: name.clone(),
            version,
        };
        Ok((&adapter.pool, adapter_version))
    }

    /// Returns the service with the longest prefix of `path`.
    ///
    /// # Errors
    ///
    /// [`Code::UnknownPath`] if no service has a prefix of it.
    pub fn service(&self, path: &str) -> Result<&Service, CallerError> {
        self.services_by_prefix
            .iter()
            .filter(|(prefix, _)| path.starts_with(prefix.as_str()))
            .max_by_key(|(prefix, _)| prefix.len())
            .map(|(_, service)| service)
            .ok_or_else(|| CallerError::new(Code::UnknownPath, "no service at this path"))
    }
}
