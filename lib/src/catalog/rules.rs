//! Validation of the values that operators configure.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Catalog;
use super::CatalogError;
use super::PoolKind;
use super::PoolSpec;
use super::Replica;
use crate::ids::PoolName;
use crate::ids::TeamName;

/// Hex digits of a SHA-256 hash.
const HASH_DIGITS: usize = 64;

/// Maximum share of a team. A higher one would give the team all of any pool
/// and is assumed to be a typo.
const MAX_SHARE: u32 = 1_000;

/// Maximum adapter slots of a replica. Engines have a few; far more is assumed
/// to be a typo.
const MAX_SLOTS: u32 = 4_096;

/// Maximum requests in one engine step; more is assumed to be a typo.
const MAX_BATCH: u32 = 65_536;

/// Maximum replicas of a pool. Pools have a few dozen; an owner is designed for
/// at most this many.
const MAX_REPLICAS: usize = 256;

/// Maximum adapter loads per second; more than any weight store can serve.
const MAX_LOADS_PER_S: f64 = 1_000.0;

/// Maximum duration of the shortest engine step. Steps take milliseconds; more
/// than ten seconds is assumed to be a typo.
const MAX_STEP_US: u64 = 10_000_000;

pub(super) fn check_team(
    team: &TeamName,
    keys: &BTreeSet<String>,
    share: u32,
) -> Result<(), CatalogError> {
    if !(1..=MAX_SHARE).contains(&share) {
        return invalid(format!(
            "team {team}: share {share}, expected 1 to {MAX_SHARE}"
        ));
    }
    for key in keys {
        let hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
        if key.len() != HASH_DIGITS || !key.bytes().all(hex) {
            // The message omits the value: it may be a key instead of its hash.
            return invalid(format!(
                "team {team}: key hash of {} bytes, expected {HASH_DIGITS} lower-case hex digits",
                key.len()
            ));
        }
    }
    Ok(())
}

pub(super) fn check_pool(
    catalog: &Catalog,
    pool: &PoolName,
    spec: &PoolSpec,
) -> Result<(), CatalogError> {
    check_kind(pool, &spec.kind)?;
    if spec.replicas.len() > MAX_REPLICAS {
        return invalid(format!(
            "pool {pool}: {} replicas, expected at most {MAX_REPLICAS}",
            spec.replicas.len()
        ));
    }
    for replica in &spec.replicas {
        check_replica(pool, &spec.kind, replica)?;
    }
    check_unique(catalog, pool, spec)?;
    check_prefix(catalog, pool, spec)?;
    if matches!(spec.kind, PoolKind::Service { .. })
        && let Some(adapter) = catalog.pool_user(pool)
    {
        return Err(CatalogError::InUse(format!(
            "pool {pool} is used by adapter {adapter} and cannot become a plain service"
        )));
    }
    Ok(())
}

fn check_kind(pool: &PoolName, kind: &PoolKind) -> Result<(), CatalogError> {
    match kind {
        PoolKind::Engine {
            base,
            loads_per_s,
            step_us,
            ..
        } => {
            if base.is_empty() {
                return invalid(format!("pool {pool}: base is empty"));
            }
            if !(*loads_per_s > 0.0 && *loads_per_s <= MAX_LOADS_PER_S) {
                return invalid(format!(
                    "pool {pool}: loads_per_s {loads_per_s}, expected above 0 and at most {MAX_LOADS_PER_S}"
                ));
            }
            if !(1..=MAX_STEP_US).contains(step_us) {
                return invalid(format!(
                    "pool {pool}: step_us {step_us}, expected 1 to {MAX_STEP_US}"
                ));
            }
        }
        PoolKind::Service { prefix, idempotent } => {
            let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'/' | b'-' | b'_' | b'.');
            let form = prefix.len() > 2 && prefix.starts_with('/') && prefix.ends_with('/');
            if !form || prefix.contains("//") || !prefix.bytes().all(plain) {
                return invalid(format!(
                    "pool {pool}: prefix {prefix:?}, expected a path such as /booking/"
                ));
            }
            if let Some(m) = idempotent
                .iter()
                .find(|m| m.is_empty() || !m.bytes().all(|b| b.is_ascii_uppercase()))
            {
                return invalid(format!(
                    "pool {pool}: idempotent method {m:?}, expected an HTTP method such as GET"
                ));
            }
        }
    }
    Ok(())
}

fn check_replica(pool: &PoolName, kind: &PoolKind, replica: &Replica) -> Result<(), CatalogError> {
    let name = &replica.name;
    let slots = match kind {
        PoolKind::Engine { .. } => 1..=MAX_SLOTS,
        PoolKind::Service { .. } => 0..=0,
    };
    if !slots.contains(&replica.slots) {
        return invalid(format!(
            "pool {pool}: replica {name}: slots {}, expected {} to {}",
            replica.slots,
            slots.start(),
            slots.end()
        ));
    }
    if !(1..=MAX_BATCH).contains(&replica.batch) {
        return invalid(format!(
            "pool {pool}: replica {name}: batch {}, expected 1 to {MAX_BATCH}",
            replica.batch
        ));
    }
    if replica.address.port() == 0 || replica.address.ip().is_unspecified() {
        return invalid(format!(
            "pool {pool}: replica {name}: address {}, expected an IP address and a port",
            replica.address
        ));
    }
    Ok(())
}

/// Checks that replica names are unique in the pool and addresses in all pools:
/// an upstream in two pools would have two owners.
fn check_unique(catalog: &Catalog, pool: &PoolName, spec: &PoolSpec) -> Result<(), CatalogError> {
    let mut names = BTreeSet::new();
    let mut addresses = BTreeMap::new();
    for replica in &spec.replicas {
        if !names.insert(&replica.name) {
            return Err(CatalogError::Exists(format!(
                "pool {pool}: replica {}",
                replica.name
            )));
        }
        if let Some(other) = addresses.insert(replica.address, &replica.name) {
            return Err(CatalogError::Exists(format!(
                "pool {pool}: replica {}: address {} of replica {other}",
                replica.name, replica.address
            )));
        }
    }
    let others = catalog.pools.iter().filter(|(name, _)| *name != pool);
    for (other, other_spec) in others {
        for replica in &other_spec.replicas {
            if let Some(own_name) = addresses.get(&replica.address) {
                return Err(CatalogError::Exists(format!(
                    "pool {pool}: replica {own_name}: address {} of replica {} in pool {other}",
                    replica.address, replica.name
                )));
            }
        }
    }
    Ok(())
}

/// Checks that the prefix overlaps no other service's, which would make routing
/// ambiguous.
fn check_prefix(catalog: &Catalog, pool: &PoolName, spec: &PoolSpec) -> Result<(), CatalogError> {
    let PoolKind::Service {
        prefix: own_prefix, ..
    } = &spec.kind
    else {
        return Ok(());
    };
    if own_prefix.starts_with("/v1/") {
        return invalid(format!(
            "pool {pool}: prefix {own_prefix} is reserved for completions"
        ));
    }
    for (other, other_spec) in catalog.pools.iter().filter(|(name, _)| *name != pool) {
        let PoolKind::Service {
            prefix: other_prefix,
            ..
        } = &other_spec.kind
        else {
            continue;
        };
        if own_prefix.starts_with(other_prefix.as_str())
            || other_prefix.starts_with(own_prefix.as_str())
        {
            return Err(CatalogError::Exists(format!(
                "pool {pool}: prefix {own_prefix} overlaps {other_prefix} of pool {other}"
            )));
        }
    }
    Ok(())
}

fn invalid(message: String) -> Result<(), CatalogError> {
    Err(CatalogError::Value(message))
}
