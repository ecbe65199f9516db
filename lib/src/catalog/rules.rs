//! Ranges and forms of the values that operators give.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Catalog;
use super::CatalogError;
use super::PoolKind;
use super::PoolSpec;
use super::Replica;
use crate::ids::PoolName;
use crate::ids::TeamName;

/// Hex digits of a SHA-256.
const HASH_DIGITS: usize = 64;

/// A share above this gives one team the whole of any pool; it is a typing
/// error.
const MAX_SHARE: u32 = 1_000;

/// Engines have a few adapter slots each; far more is a typing error.
const MAX_SLOTS: u32 = 4_096;

/// Requests in one engine step; far more is a typing error.
const MAX_BATCH: u32 = 65_536;

/// A pool is a few dozen replicas; an owner's work is sized for this many.
const MAX_REPLICAS: usize = 256;

/// Loads a second that any weight store could reach.
const MAX_LOADS: f64 = 1_000.0;

/// An engine step lasts milliseconds; ten seconds is a typing error.
const MAX_STEP_US: u64 = 10_000_000;

pub(super) fn check_team(
    team: &TeamName,
    keys: &BTreeSet<String>,
    share: u32,
) -> Result<(), CatalogError> {
    if !(1..=MAX_SHARE).contains(&share) {
        return bad(format!(
            "team {team}: share {share}, allowed is 1 to {MAX_SHARE}"
        ));
    }
    for key in keys {
        let hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
        if key.len() != HASH_DIGITS || !key.bytes().all(hex) {
            // The value is not repeated: it may be a key and not its hash.
            return bad(format!(
                "team {team}: a key hash of {} bytes, allowed are {HASH_DIGITS} lower-case hex digits",
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
        return bad(format!(
            "pool {pool}: {} replicas, allowed are {MAX_REPLICAS}",
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
            "pool {pool} has adapter {adapter} and cannot become a plain service"
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
                return bad(format!("pool {pool}: base is empty"));
            }
            if !(*loads_per_s > 0.0 && *loads_per_s <= MAX_LOADS) {
                return bad(format!(
                    "pool {pool}: loads_per_s {loads_per_s}, allowed is above 0 to {MAX_LOADS}"
                ));
            }
            if !(1..=MAX_STEP_US).contains(step_us) {
                return bad(format!(
                    "pool {pool}: step_us {step_us}, allowed is 1 to {MAX_STEP_US}"
                ));
            }
        }
        PoolKind::Service { prefix, idempotent } => {
            let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'/' | b'-' | b'_' | b'.');
            let form = prefix.len() > 2 && prefix.starts_with('/') && prefix.ends_with('/');
            if !form || prefix.contains("//") || !prefix.bytes().all(plain) {
                return bad(format!(
                    "pool {pool}: prefix {prefix:?}, allowed is a path such as /booking/"
                ));
            }
            if let Some(m) = idempotent
                .iter()
                .find(|m| m.is_empty() || !m.bytes().all(|b| b.is_ascii_uppercase()))
            {
                return bad(format!(
                    "pool {pool}: idempotent method {m:?}, allowed are words such as GET"
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
        return bad(format!(
            "pool {pool}: replica {name}: slots {}, allowed is {} to {}",
            replica.slots,
            slots.start(),
            slots.end()
        ));
    }
    if !(1..=MAX_BATCH).contains(&replica.batch) {
        return bad(format!(
            "pool {pool}: replica {name}: batch {}, allowed is 1 to {MAX_BATCH}",
            replica.batch
        ));
    }
    if replica.address.port() == 0 || replica.address.ip().is_unspecified() {
        return bad(format!(
            "pool {pool}: replica {name}: address {}, allowed is an IP number and a port",
            replica.address
        ));
    }
    Ok(())
}

/// An upstream at one address in two pools would have two owners.
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
    for (other, there) in others {
        for replica in &there.replicas {
            if let Some(mine) = addresses.get(&replica.address) {
                return Err(CatalogError::Exists(format!(
                    "pool {pool}: replica {mine}: address {} of replica {} in pool {other}",
                    replica.address, replica.name
                )));
            }
        }
    }
    Ok(())
}

/// A path that leads to two services would be answered by either.
fn check_prefix(catalog: &Catalog, pool: &PoolName, spec: &PoolSpec) -> Result<(), CatalogError> {
    let PoolKind::Service { prefix: mine, .. } = &spec.kind else {
        return Ok(());
    };
    if mine.starts_with("/v1/") {
        return bad(format!(
            "pool {pool}: prefix {mine}, which belongs to completions"
        ));
    }
    for (other, there) in catalog.pools.iter().filter(|(name, _)| *name != pool) {
        let PoolKind::Service { prefix: theirs, .. } = &there.kind else {
            continue;
        };
        if mine.starts_with(theirs.as_str()) || theirs.starts_with(mine.as_str()) {
            return Err(CatalogError::Exists(format!(
                "pool {pool}: prefix {mine} overlaps {theirs} of pool {other}"
            )));
        }
    }
    Ok(())
}

fn bad(message: String) -> Result<(), CatalogError> {
    Err(CatalogError::Value(message))
}
