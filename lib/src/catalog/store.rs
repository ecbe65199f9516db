//! The catalog in the platform: reading it and confirming plans.

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
use super::confirm::repeated;
use super::root;
use crate::platform::Platform;
use crate::platform::PlatformError;

/// Kind of the root object.
pub const ROOT_KIND: &str = "catalogs";

/// Name of the root object.
pub const ROOT_NAME: &str = "root";

/// Kind of the shard objects.
pub const SHARD_KIND: &str = "shards";

/// Calls to the platform at a time; a catalog of 73 shards is then read in
/// about ten round trips and takes a small part of the platform's rate.
const PARALLEL: usize = 8;

/// Tries of one write whose answer was lost or refused.
const WRITE_TRIES: u32 = 4;

/// Rounds in which other operators may win before this one gives up. At 7,600
/// confirmations a day two meet rarely; eight in a row are a script gone wrong.
const ROUNDS: u32 = 8;

/// The longest first pause between tries; each further one is twice as long.
const PAUSE_MS: u64 = 50;

/// Orphaned shard objects are looked for at each so manieth revision.
const SWEEP_EVERY: u64 = 256;

/// The root as read, with its version for a conditional update.
#[derive(Clone, Debug, Default)]
pub struct RootRead {
    /// The root.
    pub root: Root,
    /// The object's version; empty when there is none yet.
    pub version: String,
}

/// The catalog as it lies in the platform.
#[derive(Clone, Debug)]
pub struct CatalogStore {
    platform: Platform,
}

/// How one round of a confirmation ended.
enum Round {
    Done(Confirmed),
    /// Another confirmation came first.
    Lost,
    /// The platform answered with a root older than one seen here.
    Stale,
}

impl CatalogStore {
    /// The ledger in a platform; nothing is sent yet.
    pub const fn new(platform: Platform) -> Self {
        Self { platform }
    }

    /// Reads the root; an empty one when there is none yet.
    ///
    /// # Errors
    ///
    /// The failures of any call.
    pub async fn read_root(&self) -> Result<RootRead, PlatformError> {
        match self.platform.get::<Root>(ROOT_KIND, ROOT_NAME).await {
            Ok(object) => Ok(RootRead {
                root: object.spec,
                version: object.metadata.version,
            }),
            Err(PlatformError::NotFound) => Ok(RootRead::default()),
            Err(e) => Err(e),
        }
    }

    /// Reads all shards that a root names.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NotFound`] when the root is so old that its shards are
    /// deleted, and the failures of any call.
    pub async fn read_catalog(&self, root: &Root) -> Result<Catalog, PlatformError> {
        let names = root.shards.values().cloned();
        let reads = names.map(|name| async move {
            let object = self.platform.get::<Shard>(SHARD_KIND, &name).await?;
            Ok::<_, PlatformError>(object.spec)
        });
        let shards: Vec<_> = stream::iter(reads)
            .buffer_unordered(PARALLEL)
            .try_collect()
            .await?;
        Ok(Catalog::from_shards(root.revision, shards))
    }

    /// The catalog of `root`, from `known` and the log where that is enough.
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

    /// Puts a plan in force, whole or not at all.
    ///
    /// `known` is any revision of the catalog; the nearer to the present one,
    /// the less is read. Changes to what the plan did not read do not matter:
    /// the plan then goes upon them.
    ///
    /// # Errors
    ///
    /// See [`ConfirmError`]; only [`ConfirmError::Unknown`] leaves open
    /// whether the plan took effect.
    pub async fn confirm(
        &self,
        plan: &Plan,
        operator: &str,
        known: &Catalog,
    ) -> Result<Confirmed, ConfirmError> {
        plan.check()?;
        let mut sent = false;
        for round in 0..ROUNDS {
            if round > 0 {
                pause(round).await;
            }
            let end = self.round(plan, operator, known, &mut sent).await;
            match end {
                Ok(Round::Done(confirmed)) => return Ok(confirmed),
                Ok(Round::Lost | Round::Stale) => {}
                // The root that was read is gone with its shards.
                Err(ConfirmError::Platform(PlatformError::NotFound)) => {}
                Err(ConfirmError::Platform(e)) if sent => return Err(ConfirmError::Unknown(e)),
                Err(e) => return Err(e),
            }
        }
        match sent {
            true => Err(ConfirmError::Unknown(PlatformError::Conflict)),
            false => Err(ConfirmError::Busy),
        }
    }

    /// One round: read, check, write the shards, replace the root. `sent` is
    /// true while a replacement is under way whose end is not known.
    async fn round(
        &self,
        plan: &Plan,
        operator: &str,
        known: &Catalog,
        sent: &mut bool,
    ) -> Result<Round, ConfirmError> {
        let RootRead { root, version } = self.read_root().await.map_err(ConfirmError::Platform)?;
        if let Some(entry) = root.find(&plan.operation) {
            return repeated(plan, entry).map(Round::Done);
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
        let deleted = self.delete_all(root.garbage()).await;
        let entry = LogEntry {
            revision: next.revision,
            operation: plan.operation.clone(),
            operator: operator.to_owned(),
            changes: Some(plan.changes.clone()),
        };
        let new_root = root.next(entry, objects.clone(), &deleted);
        if self.replace_root(&version, &new_root, sent).await? {
            if next.revision.0.is_multiple_of(SWEEP_EVERY) {
                self.sweep(&new_root).await;
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
        self.settle_conflict(plan, &next, objects, sent).await
    }

    /// After a conflict: either an earlier try of this operation is in force,
    /// or another operation took the revision and what was written is of no
    /// use to anybody.
    async fn settle_conflict(
        &self,
        plan: &Plan,
        next: &Catalog,
        objects: BTreeMap<ShardName, String>,
        sent: &mut bool,
    ) -> Result<Round, ConfirmError> {
        let RootRead { root, .. } = self.read_root().await.map_err(ConfirmError::Platform)?;
        if let Some(entry) = root.find(&plan.operation) {
            return repeated(plan, entry).map(Round::Done);
        }
        if root.revision >= next.revision {
            // The version that an earlier try was bound to is gone for good.
            *sent = false;
            self.delete_all(objects.into_values().collect()).await;
        }
        Ok(Round::Lost)
    }

    /// Writes the shards that the plan changed, under names of their own.
    async fn write_shards(
        &self,
        plan: &Plan,
        next: &Catalog,
    ) -> Result<BTreeMap<ShardName, String>, PlatformError> {
        let touched: BTreeSet<_> = plan
            .changes
            .iter()
            .map(|c| ShardName::of(&c.item()))
            .collect();
        let writes = next.shards(&touched).into_iter().map(|(name, shard)| {
            let object = name.object(next.revision, &plan.operation);
            async move {
                self.write_shard(&object, &shard).await?;
                Ok((name, object))
            }
        });
        stream::iter(writes)
            .buffer_unordered(PARALLEL)
            .try_collect()
            .await
    }

    /// Writes one shard; repeating it is harmless. An object of that name that
    /// holds something else was left by a plan that was changed by hand.
    async fn write_shard(&self, object: &str, shard: &Shard) -> Result<(), PlatformError> {
        let mut tries = 0;
        loop {
            let error = match self.platform.create(SHARD_KIND, object, shard).await {
                Ok(_) => return Ok(()),
                Err(PlatformError::Conflict) => {
                    match self.platform.get::<Shard>(SHARD_KIND, object).await {
                        Ok(there) if there.spec == *shard => return Ok(()),
                        Ok(_) => {
                            return Err(PlatformError::Malformed(format!(
                                "shard {object} holds other changes of the same operation"
                            )));
                        }
                        Err(e) => e,
                    }
                }
                Err(e) => e,
            };
            tries += 1;
            if tries == WRITE_TRIES || !passes(&error) {
                return Err(error);
            }
            pause(tries).await;
        }
    }

    /// Replaces the root; false when it has another version by now.
    async fn replace_root(
        &self,
        version: &str,
        next: &Root,
        sent: &mut bool,
    ) -> Result<bool, ConfirmError> {
        let mut tries = 0;
        loop {
            let end = match version {
                "" => self.platform.create(ROOT_KIND, ROOT_NAME, next).await,
                _ => {
                    let kind = ROOT_KIND;
                    self.platform.replace(kind, ROOT_NAME, version, next).await
                }
            };
            let error = match end {
                Ok(_) => return Ok(true),
                Err(PlatformError::Conflict) => return Ok(false),
                Err(e) => e,
            };
            *sent |= matches!(error, PlatformError::Lost(_) | PlatformError::Malformed(_));
            tries += 1;
            if tries == WRITE_TRIES || !passes(&error) {
                return Err(match *sent {
                    true => ConfirmError::Unknown(error),
                    false => ConfirmError::Platform(error),
                });
            }
            // Trying again with the same version is safe: at most one of the
            // tries can take effect, and all write the same.
            pause(tries).await;
        }
    }

    /// Deletes shard objects; gives the names of those that are gone.
    async fn delete_all(&self, names: Vec<String>) -> Vec<String> {
        let deletes = names.into_iter().map(|name| async move {
            match self.platform.delete(SHARD_KIND, &name).await {
                Ok(()) | Err(PlatformError::NotFound) => Some(name),
                // It stays listed; a later confirmation tries again.
                Err(_) => None,
            }
        });
        let gone = stream::iter(deletes).buffer_unordered(PARALLEL);
        gone.filter_map(std::future::ready).collect().await
    }

    /// Deletes shard objects that a confirmation left when its process ended
    /// before the root was replaced: none of the last two roots names them,
    /// and no confirmation under way can.
    async fn sweep(&self, root: &Root) {
        let Ok(list) = self
            .platform
            .list::<serde::de::IgnoredAny>(SHARD_KIND)
            .await
        else {
            return;
        };
        let named: BTreeSet<_> = root.shards.values().collect();
        let orphan = |name: &String| {
            let old = root::revision_of(name).is_some_and(|r| r.0 + 2 <= root.revision.0);
            old && !named.contains(name) && !root.retired.contains_key(name)
        };
        let names = list.items.into_iter().map(|o| o.metadata.name);
        self.delete_all(names.filter(orphan).collect()).await;
    }
}

/// `known` brought to the root's revision by the root's log alone; `None` when
/// the log does not reach back, or holds what the rules here refuse.
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

/// Whether a failure may pass when tried again shortly.
const fn passes(error: &PlatformError) -> bool {
    matches!(
        error,
        PlatformError::Lost(_) | PlatformError::Refused(_) | PlatformError::Unreachable(_)
    )
}

/// Waits a random part of a span that doubles with each try, so that racing
/// operators do not meet again.
async fn pause(tries: u32) {
    let most = PAUSE_MS << tries.min(5);
    let ms = rand::random_range(1..=most);
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
