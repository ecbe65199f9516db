//! The catalog in force here, with what each request looks up in it.

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

/// A plain service as requests find it.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its pool.
    pub pool: PoolName,
    /// The methods that may run more than once.
    pub idempotent: BTreeSet<String>,
}

/// One revision of the catalog, indexed.
#[derive(Debug, Default)]
pub struct CatalogView {
    catalog: Catalog,
    services: BTreeMap<String, Service>,
}

impl CatalogView {
    /// Indexes a catalog.
    pub fn new(catalog: Catalog) -> Self {
        let services = catalog
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
        Self { catalog, services }
    }

    /// The catalog's revision; 0 is none yet.
    pub fn revision(&self) -> Revision {
        self.catalog.revision
    }

    /// The next revision, when `set` makes just that.
    ///
    /// # Errors
    ///
    /// When it does not follow this revision, or the catalog refuses it.
    pub fn apply(&self, set: &ChangeSet) -> Result<Self, String> {
        let mut catalog = self.catalog.clone();
        catalog.apply(&set.changes).map_err(|e| e.to_string())?;
        match catalog.revision == set.revision {
            true => Ok(Self::new(catalog)),
            false => Err(format!("revision {} does not follow", set.revision.0)),
        }
    }

    /// The team whose bearer key a request has.
    ///
    /// # Errors
    ///
    /// [`Code::BadKey`] when it has none that is known.
    pub fn authenticate(&self, headers: &HeaderMap) -> Result<&TeamName, CallerError> {
        auth::authenticate(&self.catalog, headers)
    }

    /// The pool and exact adapter version that `model` means for `team`.
    ///
    /// # Errors
    ///
    /// When the adapter or version does not exist, the team is not served the
    /// adapter, or the name is malformed.
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
        let in_force = adapter.serving.get(team).ok_or_else(|| {
            let m = format!("adapter {name} is not served to team {team}");
            CallerError::new(Code::WrongTeam, m)
        })?;
        let version = match version {
            None => *in_force,
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

    /// The service with the longest prefix that `path` begins with.
    ///
    /// # Errors
    ///
    /// [`Code::UnknownPath`] when there is none.
    pub fn service(&self, path: &str) -> Result<&Service, CallerError> {
        self.services
            .iter()
            .filter(|(prefix, _)| path.starts_with(prefix.as_str()))
            .max_by_key(|(prefix, _)| prefix.len())
            .map(|(_, service)| service)
            .ok_or_else(|| CallerError::new(Code::UnknownPath, "no such path"))
    }
}
