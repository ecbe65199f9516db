//! Storage of the catalog in the platform: reads it and commits plans.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::TryStreamExt;
use futures_util::stream;

use super::Catalog;
use super::ChangeSet;
use super::ConfirmError;
use super::Confirmed;
use super::LogEntry;
use super::Plan;
use super::PlanError;
use super::Root;
use super::Shard;
use super::ShardName;
use super::confirm::check_reads;
use super::confirm::earlier_confirmation;
use super::root;
use crate::platform::Platform;
use crate::platform::PlatformError;

/// Kind of the root object.
pub const ROOT_KIND: &str = "catalogs";

/// Name of the root object.
pub const ROOT_NAME: &str = "root";

/// Kind of the shard objects.
pub const SHARD_KIND: &str = "shards";

/// Maximum concurrent calls to the platform. A catalog of 73 shards then takes
/// about ten round trips and a small part of the platform's rate limit.
const MAX_CONCURRENT_CALLS: usize = 8;

/// Maximum attempts of one write whose response was lost or refused.
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// Maximum rounds of a confirmation. Concurrent confirmations are rare at 7,600
/// a day; eight conflicts in a row point to a faulty script.
const MAX_ROUNDS: u32 = 8;

/// Base of the random backoff's upper bound, which is doubled for each attempt,
/// at most five times.
const BASE_BACKOFF_MS: u64 = 50;

/// Revisions between two searches for orphaned shard objects.
const ORPHAN_SWEEP_INTERVAL: u64 = 256;

/// The root and the version that a conditional update of it needs.
#[derive(Clone, Debug, Default)]
pub struct VersionedRoot {
    /// The root.
    pub root: Root,
    /// The object's version; empty if the object does not exist yet.
    pub version: String,
}

/// Reads and updates the catalog stored in the platform.
#[derive(Clone, Debug)]
pub struct CatalogStore {
    platform: Platform,
}

/// Result of one round of a confirmation.
enum Round {
    Done(Confirmed),
    /// Another confirmation replaced the root first.
    Conflict,
    /// The platform returned a root older than the plan or the known catalog.
    Stale,
}

impl CatalogStore {
    /// Creates a store that uses `platform`; sends nothing yet.
    pub const fn new(platform: Platform) -> Self {
        Self { platform }
    }

    /// Reads the root; returns an empty one if it does not exist yet.
    ///
    /// # Errors
    ///
    /// Any platform error other than [`PlatformError::NotFound`].
    pub async fn read_root(&self) -> Result<VersionedRoot, PlatformError> {
        match self.platform.get::<Root>(ROOT_KIND, ROOT_NAME).await {
            Ok(object) => Ok(VersionedRoot {
                root: object.spec,
                version: object.metadata.version,
            }),
            Err(PlatformError::NotFound) => Ok(VersionedRoot::default()),
            Err(e) => Err(e),
        }
    }

    /// Reads all shards that `root` references.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NotFound`] if the root is so old that its shards have
    /// been deleted, or any other platform error.
    pub async fn read_catalog(&self, root: &Root) -> Result<Catalog, PlatformError> {
        let names = root.shards.values().cloned();
        let reads = names.map(|name| async move {
            let object = self.platform.get::<Shard>(SHARD_KIND, &name).await?;
            Ok::<_, PlatformError>(object.spec)
        });
        let shards: Vec<_> = stream::iter(reads)
            .buffer_unordered(MAX_CONCURRENT_CALLS)
            .try_collect()
            .await?;
        Ok(Catalog::from_shards(root.revision, shards))
    }

    /// Returns the catalog of `root`: `known` with the root's log applied, or
    /// read from the shards if the log does not reach back to `known`.
    ///
    /// # Errors
    ///
    /// As [`Self::read_catalog`].
    pub async fn catch_up(&self, known: &Catalog, root: &Root) -> Result<Catalog, PlatformError> {
        if let Some(next) = replay(known, root) {
            return Ok(next);
        }
        self.read_catalog(root).await
    }

    /// Commits a plan atomically.
    ///
    /// `known` may be any revision of the catalog; the closer it is to the
    /// current one, the less is read. Concurrent changes to items that the plan
    /// did not read do not conflict: the plan is applied on top of them.
    ///
    /// # Errors
    ///
    /// See [`ConfirmError`]. After every error but [`ConfirmError::Unknown`] the
    /// plan has not taken effect.
    pub async fn confirm(
        &self,
        plan: &Plan,
        operator: &str,
        known: &Catalog,
    ) -> Result<Confirmed, ConfirmError> {
        plan.check()?;
        let mut in_doubt = false;
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                backoff(round).await;
            }
            let result = self.round(plan, operator, known, &mut in_doubt).await;
            match result {
                Ok(Round::Done(confirmed)) => return Ok(confirmed),
                Ok(Round::Conflict | Round::Stale) => {}
                // A newer root replaced the one that was read, and its shards
                // were deleted.
                Err(ConfirmError::Platform(PlatformError::NotFound)) => {}
                Err(ConfirmError::Platform(e)) if in_doubt => return Err(ConfirmError::Unknown(e)),
                Err(e) => return Err(e),
            }
        }
        match in_doubt {
            true => Err(ConfirmError::Unknown(PlatformError::Conflict)),
            false => Err(ConfirmError::Busy),
        }
    }

    /// Runs one round: reads the root, checks the plan, writes the shards and
    /// replaces the root. `in_doubt` is true while the result of an earlier
    /// replacement is unknown.
    async fn round(
        &self,
        plan: &Plan,
        operator: &str,
        known: &Catalog,
        in_doubt: &mut bool,
    ) -> Result<Round, ConfirmError> {
        let VersionedRoot { root, version } =
            self.read_root().await.map_err(ConfirmError::Platform)?;
        if let Some(entry) = root.find(&plan.operation) {
            return earlier_confirmation(plan, entry).map(Round::Done);
        }
        if root.revision < known.revision.max(plan.base) {
            return Ok(Round::Stale);
        }
        let current = self
            .catch_up(known, &root)
            .await
            .map_err(ConfirmError::Platform)?;
        check_reads(plan, &root, &current)?;
        let mut next = current;
        next.apply(&plan.changes)
            .map_err(|e| ConfirmError::Plan(PlanError::Rules(e)))?;
        let objects = self
            .write_shards(plan, &next)
            .await
            .map_err(ConfirmError::Platform)?;
        let deleted = self.delete_shards(root.unreferenced()).await;
        let entry = LogEntry {
            revision: next.revision,
            operation: plan.operation.clone(),
            operator: operator.to_owned(),
            changes: Some(plan.changes.clone()),
        };
        let new_root = root.next(entry, objects.clone(), &deleted);
        if self.replace_root(&version, &new_root, in_doubt).await? {
            if next.revision.0.is_multiple_of(ORPHAN_SWEEP_INTERVAL) {
                self.delete_orphans(&new_root).await;
            }
            let set = ChangeSet {
                revision: next.revision,
                operation: plan.operation.clone(),
                operator: operator.to_owned(),
                changes: plan.changes.clone(),
            };
            return Ok(Round::Done(Confirmed {
                revision: next.revision,
                applied: Some((set, next)),
            }));
        }
        self.resolve_conflict(plan, &next, objects, in_doubt).await
    }

    /// Handles a conflict: either an earlier attempt of this operation took
    /// effect, or another operation took the revision, and the shards written
    /// for this one are deleted.
    async fn resolve_conflict(
        &self,
        plan: &Plan,
        next: &Catalog,
        objects: BTreeMap<ShardName, String>,
        in_doubt: &mut bool,
    ) -> Result<Round, ConfirmError> {
        let VersionedRoot { root, .. } = self.read_root().await.map_err(ConfirmError::Platform)?;
        if let Some(entry) = root.find(&plan.operation) {
            return earlier_confirmation(plan, entry).map(Round::Done);
        }
        if root.revision >= next.revision {
            // An earlier attempt can no longer succeed: the version that it
            // required has been replaced.
            *in_doubt = false;
            self.delete_shards(objects.into_values().collect()).await;
        }
        Ok(Round::Conflict)
    }

    /// Writes the shards that the plan changes as new objects.
    async fn write_shards(
        &self,
        plan: &Plan,
        next: &Catalog,
    ) -> Result<BTreeMap<ShardName, String>, PlatformError> {
        let changed: BTreeSet<_> = plan
            .changes
            .iter()
            .map(|c| ShardName::of(&c.item()))
            .collect();
        let writes = next.shards(&changed).into_iter().map(|(name, shard)| {
            let object = name.object_name(next.revision, &plan.operation);
            async move {
                self.write_shard(&object, &shard).await?;
                Ok((name, object))
            }
        });
        stream::iter(writes)
            .buffer_unordered(MAX_CONCURRENT_CALLS)
            .try_collect()
            .await
    }

    /// Writes one shard; idempotent. An existing object with different content
    /// comes from an edited plan with the same operation id.
    async fn write_shard(&self, object: &str, shard: &Shard) -> Result<(), PlatformError> {
        let mut attempts = 0;
        loop {
            let error = match self.platform.create(SHARD_KIND, object, shard).await {
                Ok(_) => return Ok(()),
                Err(PlatformError::Conflict) => {
                    match self.platform.get::<Shard>(SHARD_KIND, object).await {
                        Ok(stored) if stored.spec == *shard => return Ok(()),
                        Ok(_) => {
                            return Err(PlatformError::Malformed(format!(
                                "shard {object} exists with different content for the same operation"
                            )));
                        }
                        Err(e) => e,
                    }
                }
                Err(e) => e,
            };
            attempts += 1;
            if attempts == MAX_WRITE_ATTEMPTS || !is_transient(&error) {
                return Err(error);
            }
            backoff(attempts).await;
        }
    }

    /// Replaces the root; returns false if its version has changed.
    async fn replace_root(
        &self,
        version: &str,
        next: &Root,
        in_doubt: &mut bool,
    ) -> Result<bool, ConfirmError> {
        let mut attempts = 0;
        loop {
            let result = match version {
                "" => self.platform.create(ROOT_KIND, ROOT_NAME, next).await,
                _ => {
                    let kind = ROOT_KIND;
                    self.platform.replace(kind, ROOT_NAME, version, next).await
                }
            };
            let error = match result {
                Ok(_) => return Ok(true),
                Err(PlatformError::Conflict) => return Ok(false),
                Err(e) => e,
            };
            *in_doubt |= matches!(error, PlatformError::Lost(_) | PlatformError::Malformed(_));
            attempts += 1;
            if attempts == MAX_WRITE_ATTEMPTS || !is_transient(&error) {
                return Err(match *in_doubt {
                    true => ConfirmError::Unknown(error),
                    false => ConfirmError::Platform(error),
                });
            }
            // Retrying with the same version is safe: at most one of the
            // attempts can take effect, and all write the same content.
            backoff(attempts).await;
        }
    }

    /// Deletes shard objects; returns the names of those that no longer exist.
    async fn delete_shards(&self, names: Vec<String>) -> Vec<String> {
        let deletes = names.into_iter().map(|name| async move {
            match self.platform.delete(SHARD_KIND, &name).await {
                Ok(()) | Err(PlatformError::NotFound) => Some(name),
                // It stays in `retired`; a later confirmation retries it.
                Err(_) => None,
            }
        });
        let deletions = stream::iter(deletes).buffer_unordered(MAX_CONCURRENT_CALLS);
        deletions.filter_map(std::future::ready).collect().await
    }

    /// Deletes shard objects left by a confirmation whose process ended before
    /// it replaced the root: neither of the last two roots references them, and
    /// their revision is too old for a confirmation in progress.
    async fn delete_orphans(&self, root: &Root) {
        let Ok(list) = self
            .platform
            .list::<serde::de::IgnoredAny>(SHARD_KIND)
            .await
        else {
            return;
        };
        let referenced: BTreeSet<_> = root.shards.values().collect();
        let orphan = |name: &String| {
            let old = root::revision_of(name).is_some_and(|r| r.0 + 2 <= root.revision.0);
            old && !referenced.contains(name) && !root.retired.contains_key(name)
        };
        let names = list.items.into_iter().map(|o| o.metadata.name);
        self.delete_shards(names.filter(orphan).collect()).await;
    }
}

/// Applies the root's log to `known` up to the root's revision. Returns `None`
/// if the log does not reach back to `known` or if a change in it is invalid.
pub fn replay(known: &Catalog, root: &Root) -> Option<Catalog> {
    if known.revision > root.revision {
        return None;
    }
    let mut next = known.clone();
    for set in root.changes_after(known.revision)? {
        next.apply(&set.changes).ok()?;
    }
    (next.revision == root.revision).then_some(next)
}

/// Whether a retry may succeed.
const fn is_transient(error: &PlatformError) -> bool {
    matches!(
        error,
        PlatformError::Lost(_) | PlatformError::Refused(_) | PlatformError::Unreachable(_)
    )
}

/// Sleeps for a random time below a bound that doubles with each attempt, so
/// that concurrent operators do not collide again.
async fn backoff(attempts: u32) {
    let max = BASE_BACKOFF_MS << attempts.min(5);
    let ms = rand::random_range(1..=max);
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
