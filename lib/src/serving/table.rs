//! Who owns which replica: the table in the store, and what is done about it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ReplicaName;
use crate::ids::Token;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;

/// How much later each further VM proposes a change than the one before it by
/// name: a proposal is in force everywhere within about a second.
const PROPOSER_STEP: Span = Span::from_millis(1_200);

/// How long an owner may not have heard of its loss: the pace of the watch and
/// one slow call.
const NEWS_LAG: Span = Span::from_millis(1_500);

/// One replica's owner.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Owner {
    /// The VM.
    pub vm: VmName,
    /// The fencing token of this ownership.
    pub token: Token,
    /// Whether another VM owned the replica before and may not know yet that
    /// it lost it. The owner clears this once it has waited, so that it need
    /// not wait again when it is restarted.
    pub inherited: bool,
}

/// All owners, as kept in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The highest token that was given; it only rises.
    pub term: Token,
    /// The owners.
    pub owners: BTreeMap<ReplicaName, Owner>,
}

impl Table {
    /// The table after replicas came and went and VMs were lost; `None` if
    /// nothing is to change. Replicas of live owners stay where they are: each
    /// change of owner stops loads there for a lease.
    pub fn repaired(
        &self,
        live: &BTreeSet<VmName>,
        replicas: &BTreeSet<ReplicaName>,
    ) -> Option<Self> {
        if live.is_empty() {
            return None;
        }
        let token = Token(self.term.0 + 1);
        let mut owners = self.owners.clone();
        owners.retain(|name, _| replicas.contains(name));
        let mut counts: BTreeMap<&VmName, usize> = live.iter().map(|vm| (vm, 0)).collect();
        for owner in owners.values() {
            if let Some(count) = live.get(&owner.vm).and_then(|vm| counts.get_mut(vm)) {
                *count += 1;
            }
        }
        for name in replicas {
            let old = owners.get(name);
            if old.is_some_and(|o| live.contains(&o.vm)) {
                continue;
            }
            let inherited = old.is_some();
            let (vm, count) = counts.iter_mut().min_by_key(|(_, count)| **count)?;
            *count += 1;
            let vm = (*vm).clone();
            let owner = Owner {
                vm,
                token,
                inherited,
            };
            owners.insert(name.clone(), owner);
        }
        if owners == self.owners {
            return None;
        }
        let term = token;
        Some(Self { term, owners })
    }
}

/// What a VM holds of the table: its own ownerships, since when, and whether
/// they may be used.
///
/// Made for VMs that are killed, frozen or cut off while they own replicas. A
/// replica's orders must come from one VM at a time: a new owner waits until
/// the one before has heard of its loss and a lease has passed since.
#[derive(Debug)]
pub struct Ownership {
    vm: VmName,
    lease: Span,
    /// The table and its revision in the store.
    pub table: Table,
    /// The revision; 0 while there is no table.
    pub revision: u64,
    /// From when each of our replicas may get orders.
    from: BTreeMap<ReplicaName, (Token, Moment)>,
    /// Tokens that a replica refused.
    fenced: BTreeMap<ReplicaName, Token>,
    /// Since when a change has been due.
    due: Option<Moment>,
}

impl Ownership {
    /// No table yet.
    pub fn new(vm: VmName, lease: Span) -> Self {
        Self {
            vm,
            lease,
            table: Table::default(),
            revision: 0,
            from: BTreeMap::new(),
            fenced: BTreeMap::new(),
            due: None,
        }
    }

    /// Takes the table as the store has it; older revisions are dropped.
    pub fn take(&mut self, now: Moment, table: Table, revision: u64) -> bool {
        if revision <= self.revision {
            return false;
        }
        let wait = Span(self.lease.0 + NEWS_LAG.0);
        let mine = table.owners.iter().filter(|(_, o)| o.vm == self.vm);
        let mut from = BTreeMap::new();
        for (name, owner) in mine {
            let old = self.from.get(name).filter(|(t, _)| *t == owner.token);
            let first = match owner.inherited {
                true => now.after(wait),
                false => now,
            };
            let at = old.map_or(first, |(_, at)| *at);
            from.insert(name.clone(), (owner.token, at));
        }
        self.from = from;
        self.table = table;
        self.revision = revision;
        self.due = None;
        true
    }

    /// Our replicas that may get orders now, with their tokens.
    pub fn active(&self, now: Moment) -> impl Iterator<Item = (&ReplicaName, Token)> {
        let from = self.from.iter();
        let usable = from
            .filter(move |(name, (token, at))| *at <= now && self.fenced.get(*name) != Some(token));
        usable.map(|(name, (token, _))| (name, *token))
    }

    /// Our replicas, whether they may get orders yet or not.
    pub fn owned(&self) -> impl Iterator<Item = &ReplicaName> {
        self.from.keys()
    }

    /// Our token for a replica, if it may get orders now.
    pub fn token(&self, now: Moment, name: &ReplicaName) -> Option<Token> {
        let (token, at) = self.from.get(name)?;
        let fenced = self.fenced.get(name) == Some(token);
        (*at <= now && !fenced).then_some(*token)
    }

    /// A replica has seen a higher token than ours: no order more with it.
    pub fn refused(&mut self, name: &ReplicaName, token: Token) {
        self.fenced.insert(name.clone(), token);
    }

    /// The VM was suspended or cut off: its ownerships are used again only
    /// after the table was read anew.
    pub fn suspend(&mut self) {
        self.from.clear();
        self.revision = 0;
    }

    /// The owner of a replica.
    pub fn owner(&self, name: &ReplicaName) -> Option<&VmName> {
        self.table.owners.get(name).map(|o| &o.vm)
    }

    /// The change that this VM proposes now. The first live VM by name
    /// proposes at once, each further one a step later, so that a lost
    /// proposer delays a repair and does not prevent it.
    pub fn proposal(
        &mut self,
        now: Moment,
        live: &BTreeSet<VmName>,
        replicas: &BTreeSet<ReplicaName>,
    ) -> Option<Table> {
        let Some(table) = self.table.repaired(live, replicas) else {
            self.due = None;
            return self.settled(now);
        };
        let since = *self.due.get_or_insert(now);
        let rank = live.iter().position(|vm| *vm == self.vm)? as u64;
        (now.since(since).0 >= PROPOSER_STEP.0 * rank).then_some(table)
    }

    /// The table with the waits of our replicas that are over.
    fn settled(&self, now: Moment) -> Option<Table> {
        let mut table = self.table.clone();
        let over = |name: &ReplicaName| self.from.get(name).is_some_and(|(_, at)| *at <= now);
        for (name, owner) in &mut table.owners {
            owner.inherited &= owner.vm != self.vm || !over(name);
        }
        (table != self.table).then_some(table)
    }

    /// A proposal was sent: the next one waits its turn again.
    pub fn proposed(&mut self, now: Moment) {
        self.due = Some(now);
    }
}
