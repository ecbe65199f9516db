//! The table of replica owners in the store: which VM orders loads at which
//! replica.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FencingToken;
use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::serving::store::port::Era;

/// How many removed replicas keep their last owner in the table. A replica whose
/// entry comes back, or that restarts under its name, is given to that owner,
/// because orders from it may still arrive. At most this many replicas are
/// removed within the time of a lease.
const MAX_GONE: usize = 64;

/// The position of the era in a fencing token. The tokens of a later era are
/// greater than all that were granted before, also than those of tables that the
/// store has lost.
const ERA_SHIFT: u32 = 32;

/// How many terms a table skips whose predecessor is unknown: more than that one can
/// have used.
const TERM_GAP: u64 = 1 << 16;

/// Stands among the former owners of a replica for the unknown ones that a table
/// lost by the store may have named. Never the name of a VM.
const LOST_OWNER: &str = "lost-with-store";

/// Returns the era of the store in which a token was granted.
pub(super) fn token_era(token: FencingToken) -> Era {
    Era(token.0 >> ERA_SHIFT)
}

/// Returns the former owner that stands for unknown ones.
pub(super) fn lost_owner() -> Option<VmName> {
    LOST_OWNER.parse().ok()
}

/// The owner of one replica.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Owner {
    /// The owning VM.
    pub vm: VmName,
    /// The fencing token of this ownership.
    pub token: FencingToken,
    /// Former owners that may not know yet that they lost the replica. The owner
    /// clears this after its wait, so that it does not wait again after a
    /// restart.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub former: BTreeSet<VmName>,
}

/// The owners of all replicas, as stored.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct OwnerTable {
    /// The highest token granted; it never decreases.
    pub term: FencingToken,
    /// The owner of each replica.
    pub owners: BTreeMap<ReplicaName, Owner>,
    /// The VMs that may change owners where replicas check no fencing tokens.
    /// An owner that cannot reach the store relies on acknowledgements from all
    /// of them.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub members: BTreeSet<VmName>,
    /// The last owners of replicas that were removed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub gone: BTreeMap<ReplicaName, Owner>,
}

impl OwnerTable {
    /// Returns the era of the store in which the table was written.
    pub fn era(&self) -> Era {
        token_era(self.term)
    }

    /// Returns the table with tokens above all that were granted before `era`. If
    /// `certain` is not set, a later table than this may have been written, whose
    /// terms are skipped.
    pub fn regranted(&self, era: Era, certain: bool) -> Self {
        let skipped = if certain { 0 } else { TERM_GAP };
        let term = FencingToken((era.0 << ERA_SHIFT).max(self.term.0 + skipped));
        let regrant = |owner: &Owner| {
            let mut owner = owner.clone();
            owner.token = term;
            owner
        };
        let all = |owners: &BTreeMap<ReplicaName, Owner>| {
            let owners = owners.iter();
            owners.map(|(name, o)| (name.clone(), regrant(o))).collect()
        };
        Self {
            term,
            owners: all(&self.owners),
            members: self.members.clone(),
            gone: all(&self.gone),
        }
    }

    /// Whether the former owners of a replica are unknown.
    pub(super) fn has_lost_owners(&self) -> bool {
        let Some(lost) = lost_owner() else {
            return false;
        };
        let mut all = self.owners.values().chain(self.gone.values());
        all.any(|o| o.former.contains(&lost))
    }

    /// Sets whether the former owners of all replicas are unknown.
    pub(super) fn set_lost_owners(&mut self, unknown: bool) {
        let Some(lost) = lost_owner() else {
            return;
        };
        for owner in self.owners.values_mut().chain(self.gone.values_mut()) {
            match unknown {
                true => owner.former.insert(lost.clone()),
                false => owner.former.remove(&lost),
            };
        }
    }

    /// Returns how many replicas have another owner than in the table `old`.
    pub fn count_moved(&self, old: &Self) -> usize {
        let same = |name, owner: &Owner| old.owners.get(name).is_some_and(|o| o.vm == owner.vm);
        self.owners.iter().filter(|(n, o)| !same(*n, o)).count()
    }

    /// Returns the table after replicas were added or removed and VMs failed,
    /// or `None` if nothing changes. Replicas keep live owners, as each change
    /// of owner stops loads there for a lease. They also keep `protected`
    /// owners, which must not be considered failed yet because they may not know
    /// of this VM as a member; these get no further replicas unless they are
    /// live.
    pub fn reassigned(
        &self,
        live: &BTreeSet<VmName>,
        protected: &BTreeSet<VmName>,
        replicas: &BTreeSet<ReplicaName>,
    ) -> Option<Self> {
        if live.is_empty() {
            return None;
        }
        let token = FencingToken(self.term.0 + 1);
        let mut owners = self.owners.clone();
        let mut gone = self.gone.clone();
        for (name, owner) in owners.extract_if(.., |name, _| !replicas.contains(name)) {
            gone.insert(name, owner);
        }
        for name in replicas {
            if let Some(owner) = gone.remove(name) {
                owners.entry(name.clone()).or_insert(owner);
            }
        }
        let mut counts: BTreeMap<&VmName, usize> = live.iter().map(|vm| (vm, 0)).collect();
        for owner in owners.values() {
            if let Some(count) = live.get(&owner.vm).and_then(|vm| counts.get_mut(vm)) {
                *count += 1;
            }
        }
        for name in replicas {
            let old = owners.get(name);
            if old.is_some_and(|o| live.contains(&o.vm) || protected.contains(&o.vm)) {
                continue;
            }
            let (vm, count) = counts.iter_mut().min_by_key(|(_, count)| **count)?;
            *count += 1;
            let vm = (*vm).clone();
            let owner = Owner {
                former: old
                    .map(|o| o.former_after_transfer(&vm))
                    .unwrap_or_default(),
                vm,
                token,
            };
            owners.insert(name.clone(), owner);
        }
        if owners == self.owners {
            return None;
        }
        forget_oldest(&mut gone);
        let term = token;
        Some(Self {
            term,
            owners,
            members: self.members.clone(),
            gone,
        })
    }
}

impl Owner {
    /// Returns the VMs that may still give orders after `vm` takes over.
    fn former_after_transfer(&self, vm: &VmName) -> BTreeSet<VmName> {
        let mut former = self.former.clone();
        former.insert(self.vm.clone());
        former.remove(vm);
        former
    }
}

/// Removes the owners with the lowest tokens until [`MAX_GONE`] are left.
fn forget_oldest(gone: &mut BTreeMap<ReplicaName, Owner>) {
    while gone.len() > MAX_GONE {
        let oldest = gone.iter().min_by_key(|(_, o)| o.token);
        let Some(name) = oldest.map(|(name, _)| name.clone()) else {
            return;
        };
        gone.remove(&name);
    }
}
