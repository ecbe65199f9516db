//! Which VMs are told at once what a replica holds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;

/// How long after its last wish a VM waits for news of a replica: wishes are
/// renewed more often than that as long as a request waits for a load.
const SUBSCRIPTION_TTL: Span = Span::from_millis(1_000);

/// The VMs that wait for loads at the replicas that this VM owns.
///
/// Made for large fleets under many loads: a load changes what its replica
/// holds several times, and only the VMs whose requests wait for it act on
/// that. The others learn of it with the next beacon. Told to all, the news of
/// 60 loads a second were 20,000 datagrams a second between 71 VMs.
#[derive(Debug, Default)]
pub struct Subscriptions {
    subscribers: BTreeMap<ReplicaName, BTreeMap<VmName, Moment>>,
    pending: BTreeMap<VmName, BTreeSet<ReplicaName>>,
}

impl Subscriptions {
    /// A VM wishes for something at a replica; `known` says that it is there
    /// already, so that the VM's picture is old.
    pub fn subscribe(&mut self, now: Moment, vm: &VmName, replica: &ReplicaName, known: bool) {
        let asked = self.subscribers.entry(replica.clone()).or_default();
        asked.insert(vm.clone(), now);
        if known {
            self.mark_pending(vm, replica);
        }
    }

    /// What a replica holds changed.
    pub fn record_change(&mut self, now: Moment, replica: &ReplicaName) {
        let Some(asked) = self.subscribers.get_mut(replica) else {
            return;
        };
        asked.retain(|_, at| now.since(*at) < SUBSCRIPTION_TTL);
        let waiting: Vec<_> = asked.keys().cloned().collect();
        if waiting.is_empty() {
            self.subscribers.remove(replica);
        }
        waiting.iter().for_each(|vm| self.mark_pending(vm, replica));
    }

    fn mark_pending(&mut self, vm: &VmName, replica: &ReplicaName) {
        let owed = self.pending.entry(vm.clone()).or_default();
        owed.insert(replica.clone());
    }

    /// Whom to tell of which replicas; each is told once.
    pub fn take_pending(&mut self) -> BTreeMap<VmName, BTreeSet<ReplicaName>> {
        std::mem::take(&mut self.pending)
    }
}
