//! The gRPC service for operators: plan, confirm, status, usage and timeline.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

use banyangauge_proto as wire;
use sha2::Digest;
use sha2::Sha256;
use slog::info;
use slog::warn;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use wire::operator_server::OperatorServer;

use super::Shared;
use super::config;
use super::usage;
use crate::catalog::Adapter;
use crate::catalog::Catalog;
use crate::catalog::CatalogStore;
use crate::catalog::ConfirmError;
use crate::catalog::Intent;
use crate::catalog::MAX_SNAPSHOT_BYTES;
use crate::catalog::Plan;
use crate::catalog::PlanError;
use crate::ids::AdapterName;

/// SHA-256 hash of each operator's key as lower-case hex, by operator name.
pub type OperatorKeys = BTreeMap<String, String>;

/// The gRPC service `Operator`. Every call must carry the operator's key in the
/// metadata `authorization: Bearer <key>`.
#[derive(Clone)]
pub struct OperatorService {
    shared: Shared,
    keys: OperatorKeys,
}

impl OperatorService {
    /// Creates a service for the operators in `keys`.
    pub const fn new(shared: Shared, keys: OperatorKeys) -> Self {
        Self { shared, keys }
    }

    /// Returns a server that accepts messages large enough for a plan of
    /// [`MAX_CHANGES`](crate::catalog::MAX_CHANGES) changes.
    pub fn server(self) -> OperatorServer<Self> {
        OperatorServer::new(self).max_decoding_message_size(MAX_SNAPSHOT_BYTES)
    }

    /// Returns the name of the operator whose key the call carries.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` if the key is missing or unknown.
    fn authenticate<T>(&self, request: &Request<T>) -> Result<String, Status> {
        let header = request.metadata().get("authorization");
        let key = header
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.strip_prefix("Bearer "))
            .ok_or_else(|| Status::unauthenticated("missing operator key"))?;
        let hash = hash_key(key);
        let known = self.keys.iter().find(|(_, h)| **h == hash);
        known
            .map(|(name, _)| name.clone())
            .ok_or_else(|| Status::unauthenticated("unknown operator key"))
    }
}

/// Returns the SHA-256 hash of a key as lower-case hex.
///
/// ```
/// use banyangauge::control::operator::hash_key;
/// assert!(hash_key("abc").starts_with("ba7816bf"));
/// ```
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    let mut hex = String::with_capacity(digest.len() * 2);
    for byte in digest.iter() {
        // Writing to a `String` cannot fail.
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}

#[tonic::async_trait]
impl wire::operator_server::Operator for OperatorService {
    async fn plan(
        &self,
        request: Request<wire::PlanRequest>,
    ) -> Result<Response<wire::PlanReply>, Status> {
        self.authenticate(&request)?;
        let intent: Intent = parse(&request.get_ref().intent)?;
        let catalog = self.shared.state.catalog.borrow().clone();
        let plan = Plan::new(&catalog, intent.changes).map_err(plan_status)?;
        let plan = serde_json::to_vec(&plan).map_err(|e| Status::internal(e.to_string()))?;
        Ok(Response::new(wire::PlanReply { plan: plan.into() }))
    }

    async fn confirm(
        &self,
        request: Request<wire::ConfirmRequest>,
    ) -> Result<Response<wire::ConfirmReply>, Status> {
        let operator = self.authenticate(&request)?;
        let request = request.into_inner();
        let plan: Plan = parse(&request.plan)?;
        if plan.operation != request.operation {
            return Err(Status::invalid_argument(
                "operation id differs from the plan's",
            ));
        }
        let revision = self.confirm_plan(&plan, &operator).await?;
        Ok(Response::new(wire::ConfirmReply { revision }))
    }

    async fn status(
        &self,
        request: Request<wire::StatusRequest>,
    ) -> Result<Response<wire::StatusReply>, Status> {
        self.authenticate(&request)?;
        let state = &self.shared.state;
        let owners = state.owners.borrow().clone();
        let owners = owners.iter().map(|(pool, owner)| wire::Owner {
            pool: pool.to_string(),
            vm: owner.vm.to_string(),
            address: owner.address.to_string(),
            token: owner.token.0,
        });
        Ok(Response::new(wire::StatusReply {
            vm: self.shared.vm.to_string(),
            revision: state.catalog.borrow().revision.0,
            platform_up: *state.platform_up.borrow(),
            members: state.members.borrow().values().cloned().collect(),
            owners: owners.collect(),
            pools: state.pools.borrow().values().cloned().collect(),
        }))
    }

    async fn adapters(
        &self,
        request: Request<wire::StatusRequest>,
    ) -> Result<Response<wire::Snapshot>, Status> {
        self.authenticate(&request)?;
        let catalog = self.shared.state.catalog.borrow().clone();
        let filter = &request.get_ref().filter;
        let answer = match filter.as_str() {
            "" => config::snapshot(&catalog),
            _ => config::snapshot(&filter_adapters(&catalog, filter)),
        };
        Ok(Response::new(answer))
    }

    async fn usage(
        &self,
        request: Request<wire::StatusRequest>,
    ) -> Result<Response<wire::UsageTotals>, Status> {
        self.authenticate(&request)?;
        let filter = &request.get_ref().filter;
        let all = usage::read_all(&self.shared.platform, &self.shared.state.usage)
            .await
            .map_err(|e| Status::unavailable(format!("cannot read usage: {e}")))?;
        let totals = usage::totals(&all);
        let wanted = |key: &usage::UsageKey| {
            filter.is_empty() || key.team == *filter || key.adapter == *filter
        };
        let selected = totals.iter().filter(|(key, _)| wanted(key));
        Ok(Response::new(wire::UsageTotals {
            counts: selected.map(|(k, c)| usage::to_wire(k, c)).collect(),
        }))
    }

    async fn timeline(
        &self,
        request: Request<wire::TimelineRequest>,
    ) -> Result<Response<wire::TimelineReply>, Status> {
        self.authenticate(&request)?;
        Ok(Response::new(self.shared.recorder.read(request.get_ref())))
    }
}

impl OperatorService {
    async fn confirm_plan(&self, plan: &Plan, operator: &str) -> Result<u64, Status> {
        let known = self.shared.state.catalog.borrow().clone();
        let store = CatalogStore::new(self.shared.platform.clone());
        let result = store.confirm(plan, operator, &known).await;
        let log = &self.shared.log;
        let confirmed = match result {
            Ok(confirmed) => confirmed,
            Err(e) => {
                warn!(log, "plan not confirmed"; "operator" => operator,
                    "operation" => &plan.operation, "error" => %e);
                return Err(confirm_status(&e));
            }
        };
        info!(log, "plan confirmed"; "operator" => operator,
            "operation" => &plan.operation, "revision" => confirmed.revision.0);
        if let Some((set, catalog)) = confirmed.applied {
            config::activate(&self.shared, catalog, &[set]);
        }
        Ok(confirmed.revision.0)
    }
}

/// Returns a catalog with only the adapters whose name, owner, pool or one of
/// whose served teams equals `filter`.
fn filter_adapters(catalog: &Catalog, filter: &str) -> Catalog {
    let matches = |name: &AdapterName, adapter: &Adapter| {
        name.as_str() == filter
            || adapter.owner.as_str() == filter
            || adapter.pool.as_str() == filter
            || adapter.serving.contains_key(filter)
    };
    let mut selected = Catalog::default();
    selected.revision = catalog.revision;
    let adapters = catalog.adapters.iter().filter(|(n, a)| matches(n, a));
    selected.adapters = adapters.map(|(n, a)| (n.clone(), Arc::clone(a))).collect();
    selected
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Status> {
    serde_json::from_slice(body).map_err(|e| Status::invalid_argument(e.to_string()))
}

fn plan_status(error: PlanError) -> Status {
    match error {
        PlanError::Rules(e) => Status::failed_precondition(e.to_string()),
        PlanError::Size(_) | PlanError::Malformed(_) => Status::invalid_argument(error.to_string()),
    }
}

/// Maps a conflict to `Aborted`, an outage to `Unavailable` and an unknown outcome
/// to `Unknown`; `banyan` has an exit code for each.
fn confirm_status(error: &ConfirmError) -> Status {
    let message = error.to_string();
    match error {
        ConfirmError::Plan(PlanError::Rules(_)) => Status::failed_precondition(message),
        ConfirmError::Plan(_) => Status::invalid_argument(message),
        ConfirmError::ReadConflict(_) | ConfirmError::TooOld { .. } | ConfirmError::Busy => {
            Status::aborted(message)
        }
        ConfirmError::Platform(_) => Status::unavailable(message),
        ConfirmError::Unknown(_) => Status::unknown(message),
    }
}
