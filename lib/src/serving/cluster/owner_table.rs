//! The owner table in the store: which VM orders loads at which replica.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ReplicaName;
use crate::ids::Token;
use crate::ids::VmName;

/// Replicas that left whose last owner is remembered. A replica whose entry
/// comes back, or that starts again under its name, may still get orders of
/// that owner; more than so many do not leave within a lease.
const MAX_GONE: usize = 64;

/// One replica's owner.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Owner {
    /// The VM.
    pub vm: VmName,
    /// The fencing token of this ownership.
    pub token: Token,
    /// The VMs that owned the replica before and may not know yet that they
    /// lost it. The owner clears this once it has waited, so that it need not
    /// wait again when it is restarted.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub former: BTreeSet<VmName>,
}

/// All owners, as kept in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct OwnerTable {
    /// The highest token that was given; it only rises.
    pub term: Token,
    /// The owners.
    pub owners: BTreeMap<ReplicaName, Owner>,
    /// The VMs that may change owners, where replicas check no fences: an owner
    /// that cannot ask the store goes by whether all of these hear it.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub members: BTreeSet<VmName>,
    /// The last owners of replicas that left.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub gone: BTreeMap<ReplicaName, Owner>,
}

impl OwnerTable {
    /// How many replicas have another owner than in an older table.
    pub fn count_moved(&self, old: &Self) -> usize {
        let same = |name, owner: &Owner| old.owners.get(name).is_some_and(|o| o.vm == owner.vm);
        self.owners.iter().filter(|(n, o)| !same(*n, o)).count()
    }

    /// The table after replicas came and went and VMs were lost; `None` if
    /// nothing is to change. Replicas of live owners stay where they are: each
    /// change of owner stops loads there for a lease. So do those of owners
    /// that may not be judged yet, which get no others.
    pub fn reassigned(
        &self,
        live: &BTreeSet<VmName>,
        unjudged: &BTreeSet<VmName>,
        replicas: &BTreeSet<ReplicaName>,
    ) -> Option<Self> {
        if live.is_empty() {
            return None;
        }
        let token = Token(self.term.0 + 1);
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
            if old.is_some_and(|o| live.contains(&o.vm) || unjudged.contains(&o.vm)) {
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
    /// Who may still give orders after another VM took over.
    fn former_after_transfer(&self, vm: &VmName) -> BTreeSet<VmName> {
        let mut former = self.former.clone();
        former.insert(self.vm.clone());
        former.remove(vm);
        former
    }
}

fn forget_oldest(gone: &mut BTreeMap<ReplicaName, Owner>) {
    while gone.len() > MAX_GONE {
        let oldest = gone.iter().min_by_key(|(_, o)| o.token);
        let Some(name) = oldest.map(|(name, _)| name.clone()) else {
            return;
        };
        gone.remove(&name);
    }
}
