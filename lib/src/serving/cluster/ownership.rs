//! Tracks which replicas this VM may give orders to, and until when.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::FencingToken;
use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::owner_table::OwnerTable;

/// How much later each further VM in name order proposes a change. A proposal
/// takes effect everywhere within about a second.
const PROPOSAL_STAGGER: Span = Span::from_millis(1_200);

/// The longest time until an owner notices that it lost a replica that checks
/// fencing tokens: the pause between watches and one slow call.
const LOSS_DETECTION_DELAY: Span = Span::from_millis(1_500);

/// How long an ownership lasts after the table was last confirmed to be the
/// newest. One VM confirms the table every 0.6 s, and beacons distribute the
/// confirmation every 0.4 s, so an ownership survives the loss of two beacons in
/// a row.
pub const OWNERSHIP_TTL: Span = Span::from_millis(2_400);

/// The age of the last confirmation at which the first VM in name order confirms
/// the table again. The other VMs receive the new confirmation in time even if
/// one beacon is lost.
const FIRST_CONFIRM_AGE: Span = Span::from_millis(600);

/// The age of the last confirmation at which the other VMs confirm the table
/// themselves: about two confirmations of the first VM and a beacon interval.
const OTHERS_CONFIRM_AGE: Span = Span::from_millis(1_600);

/// How much later each further VM in name order confirms, so that they do not
/// all call the store at once when the first one fails.
const CONFIRM_STAGGER: Span = Span::from_millis(120);

/// The position in name order after which the stagger stops growing: the last
/// VM must confirm before its ownership expires.
const MAX_STAGGER_STEPS: usize = 4;

/// How long after the check of the ownership an order may reach its replica: the
/// response timeout, and a third as much in transit.
const MAX_ORDER_DELAY: Span = Span::from_millis(1_100);

/// How long after the last confirmation an ownership lasts at most while only
/// the acknowledgements of all members keep it valid.
const MAX_UNCONFIRMED: Span = Span::from_millis(15_000);

/// How long a new member waits before it considers a VM failed that may not know
/// of the new member. This is longer than an ownership lasts without the store.
pub(in crate::serving) const NEW_MEMBER_GRACE: Span = Span::from_millis(20_000);

/// Our ownership of one replica.
#[derive(Clone, Debug, Eq, PartialEq)]
struct OwnershipGrant {
    token: FencingToken,
    /// When the ownership takes effect.
    usable_from: Moment,
    /// The revision of the table that granted it.
    granted_revision: u64,
    /// The former owners that have not acknowledged their loss.
    unaware: BTreeSet<VmName>,
}

/// The owner table as this VM knows it, and which of its ownerships are valid.
///
/// VMs may be killed, frozen or partitioned while they own replicas. Orders to
/// a replica must come from one VM at a time, with a lease between two owners.
/// Where replicas check fencing tokens, they reject the orders of a former
/// owner. Elsewhere an ownership expires by itself, [`OWNERSHIP_TTL`] after the
/// store was last known to hold no newer table. A new owner waits until that
/// time and a lease have passed, or until the former owners acknowledge the
/// loss.
#[derive(Clone, Debug)]
pub struct Ownership {
    vm: VmName,
    lease: Span,
    fenced: bool,
    /// The table.
    pub table: OwnerTable,
    /// Its revision in the store; 0 while there is no table.
    pub revision: u64,
    grants: BTreeMap<ReplicaName, OwnershipGrant>,
    /// The tokens that replicas rejected.
    refused: BTreeMap<ReplicaName, FencingToken>,
    /// Since when a change has been needed.
    proposal_due: Option<Moment>,
    /// When the table was last known to be the newest.
    confirmed: Option<Moment>,
    /// Until when no other VM can consider this one failed.
    acknowledged_until: Option<Moment>,
    /// The newest revision announced by another VM.
    max_peer_revision: u64,
    /// The newest revision announced by each VM.
    peer_revisions: BTreeMap<VmName, u64>,
    /// The table revision by which this VM became a member, and when it was
    /// read.
    joined: Option<(u64, Moment)>,
}

impl Ownership {
    /// Creates the state without a table. `fenced` is set if replicas check
    /// fencing tokens.
    pub fn new(vm: VmName, lease: Span, fenced: bool) -> Self {
        Self {
            vm,
            lease,
            fenced,
            table: OwnerTable::default(),
            revision: 0,
            grants: BTreeMap::new(),
            refused: BTreeMap::new(),
            proposal_due: None,
            confirmed: None,
            acknowledged_until: None,
            max_peer_revision: 0,
            peer_revisions: BTreeMap::new(),
            joined: None,
        }
    }

    /// Applies the table from the store. Returns `false` for an older revision,
    /// which is ignored.
    pub fn apply_table(&mut self, now: Moment, table: OwnerTable, revision: u64) -> bool {
        if revision <= self.revision {
            return false;
        }
        let wait = self.max_takeover_wait();
        let mine = table.owners.iter().filter(|(_, o)| o.vm == self.vm);
        let mut grants = BTreeMap::new();
        for (name, owner) in mine {
            let old = self.grants.remove(name).filter(|g| g.token == owner.token);
            let grant = old.unwrap_or_else(|| OwnershipGrant {
                token: owner.token,
                usable_from: match owner.former.is_empty() {
                    true => now,
                    false => now.after(wait),
                },
                granted_revision: revision,
                unaware: owner.former.clone(),
            });
            grants.insert(name.clone(), grant);
        }
        self.grants = grants;
        self.joined = match table.members.contains(&self.vm) {
            true => self.joined.or(Some((revision, now))),
            false => None,
        };
        self.table = table;
        self.revision = revision;
        self.proposal_due = None;
        true
    }

    /// How long a new owner waits if the former ones acknowledge nothing.
    fn max_takeover_wait(&self) -> Span {
        match self.fenced {
            true => Span(self.lease.0 + LOSS_DETECTION_DELAY.0),
            false => Span(OWNERSHIP_TTL.0 + self.lease.0 + MAX_ORDER_DELAY.0),
        }
    }

    /// Records that the store confirmed our table to be the newest by its
    /// answer to a call sent at `asked`.
    pub fn confirm(&mut self, asked: Moment) {
        if self.revision > 0 {
            self.confirmed = self.confirmed.max(Some(asked));
        }
    }

    /// Returns when the table was last confirmed, in microseconds after
    /// `received_at`, the arrival of another VM's beacon; negative if before. It is
    /// sent to that VM.
    pub fn confirmation_offset(&self, received_at: Moment) -> Option<i64> {
        let confirmed = i64::try_from(self.confirmed?.0).ok()?;
        confirmed.checked_sub_unsigned(received_at.0)
    }

    /// Records that another VM knew the table of `revision` to be the newest
    /// `after` microseconds after it received the beacon that we sent at
    /// `sent`.
    ///
    /// That VM received the beacon after we sent it, so the same interval
    /// counted from the sending is a safe lower bound, regardless of the delay
    /// of either datagram.
    pub fn confirm_from_peer(&mut self, revision: u64, sent: Moment, after: i64) {
        let at = sent.0.checked_add_signed(after);
        if let Some(at) = at.filter(|_| revision <= self.revision) {
            self.confirm(Moment(at));
        }
    }

    /// Returns when the table was last confirmed to be the newest.
    pub fn confirmed(&self) -> Option<Moment> {
        self.confirmed
    }

    /// Whether this VM, at position `rank` in name order, should confirm the
    /// table with the store now.
    pub fn should_confirm(&self, now: Moment, rank: usize) -> bool {
        let Some(confirmed) = self.confirmed.filter(|_| !self.fenced) else {
            return false;
        };
        let steps = rank.min(MAX_STAGGER_STEPS) as u64;
        let after = match rank {
            0 => FIRST_CONFIRM_AGE,
            _ if self.grants.is_empty() => return false,
            _ => Span(OTHERS_CONFIRM_AGE.0 + CONFIRM_STAGGER.0 * steps),
        };
        now.since(confirmed) >= after
    }

    /// Sets until when no other VM can consider this one failed. Once that time
    /// has passed, or another VM could have decided so for a moment, only a
    /// confirmation by the store makes the ownerships valid again.
    pub fn set_acknowledged_until(&mut self, now: Moment, until: Option<Moment>) {
        self.acknowledged_until = until.filter(|_| self.is_valid(now));
    }

    /// Returns the members that this VM must not consider failed yet: they have
    /// not announced a table that has this VM as a member, so they may not
    /// require its acknowledgements.
    pub fn protected_members(&self, now: Moment) -> BTreeSet<VmName> {
        if self.fenced {
            return BTreeSet::new();
        }
        let members = self.table.members.iter();
        let unaware = |vm: &&VmName| {
            let Some((revision, at)) = self.joined else {
                return true;
            };
            let announced = self.peer_revisions.get(*vm).copied().unwrap_or(0);
            announced < revision && now.since(at) < NEW_MEMBER_GRACE
        };
        members.filter(unaware).cloned().collect()
    }

    /// Records the table revision announced by a VM, which acknowledges its
    /// losses up to that revision. Returns whether its table is newer than
    /// ours.
    pub fn record_peer_revision(&mut self, now: Moment, vm: &VmName, revision: u64) -> bool {
        self.max_peer_revision = self.max_peer_revision.max(revision);
        let announced = self.peer_revisions.entry(vm.clone()).or_default();
        *announced = revision.max(*announced);
        let after = now.after(Span(self.lease.0 + MAX_ORDER_DELAY.0));
        let known = self
            .grants
            .values_mut()
            .filter(|g| g.granted_revision <= revision);
        for grant in known {
            if grant.unaware.remove(vm) && grant.unaware.is_empty() {
                grant.usable_from = grant.usable_from.min(after);
            }
        }
        revision > self.revision
    }

    /// Whether the ownerships of this VM are valid.
    ///
    /// They are for [`OWNERSHIP_TTL`] after the table was last confirmed to be
    /// the newest. During an outage of the store the table cannot be changed
    /// either, so they stay valid as long as every VM that could propose a
    /// change receives our beacons and thus does not consider this VM failed.
    pub fn is_valid(&self, now: Moment) -> bool {
        if self.fenced {
            return true;
        }
        let (Some(confirmed), true) = (self.confirmed, self.max_peer_revision <= self.revision)
        else {
            return false;
        };
        let acknowledged = self.acknowledged_until.unwrap_or(Moment(0));
        now < confirmed.after(OWNERSHIP_TTL)
            || now < acknowledged.min(confirmed.after(MAX_UNCONFIRMED))
    }

    /// Returns our replicas that may get orders now, with their tokens.
    pub fn usable(&self, now: Moment) -> impl Iterator<Item = (&ReplicaName, FencingToken)> {
        let valid = self.is_valid(now);
        let grants = self.grants.iter().filter(move |_| valid);
        let usable =
            grants.filter(move |(name, g)| g.usable_from <= now && !self.is_refused(name, g));
        usable.map(|(name, g)| (name, g.token))
    }

    fn is_refused(&self, name: &ReplicaName, grant: &OwnershipGrant) -> bool {
        self.refused.get(name) == Some(&grant.token)
    }

    /// Returns all our replicas, including those that may not get orders yet.
    pub fn owned(&self) -> impl Iterator<Item = &ReplicaName> {
        self.grants.keys()
    }

    /// Returns our token for a replica if it may get orders now.
    pub fn token(&self, now: Moment, name: &ReplicaName) -> Option<FencingToken> {
        let grant = self.grants.get(name)?;
        let usable =
            self.is_valid(now) && grant.usable_from <= now && !self.is_refused(name, grant);
        usable.then_some(grant.token)
    }

    /// Records that a replica has seen a higher token: ours is not used any
    /// more.
    pub fn record_refusal(&mut self, name: &ReplicaName, token: FencingToken) {
        self.refused.insert(name.clone(), token);
    }

    /// Invalidates all ownerships after a suspension or partition, until the
    /// table is read again.
    pub fn invalidate(&mut self) {
        self.grants.clear();
        self.revision = 0;
        self.confirmed = None;
        self.joined = None;
    }

    /// Returns the owner of a replica.
    pub fn owner(&self, name: &ReplicaName) -> Option<&VmName> {
        self.table.owners.get(name).map(|o| &o.vm)
    }

    /// Returns the change that this VM should propose now. The first live VM in
    /// name order proposes at once and each further one a step later, so that a
    /// failed proposer only delays a change.
    pub fn proposal(
        &mut self,
        now: Moment,
        live: &BTreeSet<VmName>,
        replicas: &BTreeSet<ReplicaName>,
    ) -> Option<OwnerTable> {
        let Some(table) = self.desired_table(now, live, replicas) else {
            self.proposal_due = None;
            return self.without_expired_waits(now);
        };
        let since = *self.proposal_due.get_or_insert(now);
        let rank = live.iter().position(|vm| *vm == self.vm)? as u64;
        (now.since(since).0 >= PROPOSAL_STAGGER.0 * rank).then_some(table)
    }

    /// Returns the table with all changes needed. A VM that is not a member yet
    /// only adds itself: the owners must learn of it first.
    fn desired_table(
        &self,
        now: Moment,
        live: &BTreeSet<VmName>,
        replicas: &BTreeSet<ReplicaName>,
    ) -> Option<OwnerTable> {
        if self.fenced {
            return self.table.reassigned(live, &BTreeSet::new(), replicas);
        }
        let mut table = self.table.clone();
        if self.revision > 0 && !table.members.contains(&self.vm) {
            table.members.insert(self.vm.clone());
            return Some(table);
        }
        let protected = self.protected_members(now);
        if let Some(reassigned) = table.reassigned(live, &protected, replicas) {
            table = reassigned;
        }
        table.members = live.union(&protected).cloned().collect();
        (table != self.table).then_some(table)
    }

    /// Returns the table without the former owners of our replicas for which the
    /// takeover wait is over, or `None` if there are none.
    fn without_expired_waits(&self, now: Moment) -> Option<OwnerTable> {
        let mut table = self.table.clone();
        let over = |name: &ReplicaName| self.grants.get(name).is_some_and(|g| g.usable_from <= now);
        for (name, owner) in &mut table.owners {
            if owner.vm == self.vm && over(name) {
                owner.former.clear();
            }
        }
        (table != self.table).then_some(table)
    }

    /// Records that a proposal was sent, so that the next one again waits for the
    /// proposal stagger of this VM.
    pub fn record_proposal(&mut self, now: Moment) {
        self.proposal_due = Some(now);
    }
}
