//! Tracks which replicas this VM may give orders to, and until when.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::FencingToken;
use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::owner_table::OwnerTable;
use crate::serving::cluster::owner_table::lost_owner;
use crate::serving::store::port::Era;
use crate::serving::store::port::StoreRevision;

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
/// response timeout, at which its connection is reset, and a third as much in transit.
const MAX_ORDER_DELAY: Span = Span::from_millis(1_100);

/// How long after the last confirmation an ownership lasts at most while only
/// the acknowledgements of all members keep it valid.
const MAX_UNCONFIRMED: Span = Span::from_millis(15_000);

/// How much later a VM proposes the first table of an era if another one knows a
/// newer table of the era before.
const OUTDATED_PROPOSAL_DELAY: Span = Span::from_millis(6_000);

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
    granted_revision: StoreRevision,
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
    /// The latest known era of the store.
    era: Era,
    /// The era in which the stored table, or its absence, was last read.
    read_in: Option<Era>,
    /// The revision of the stored table; `None` if there is none.
    stored: Option<StoreRevision>,
    /// Whether the stored table is older than the one known: the store came back
    /// from a copy, or a late write replaced what it never saw.
    stored_is_old: bool,
    /// The newest known table.
    pub table: OwnerTable,
    /// Its revision in the store; the default while there is no table.
    pub revision: StoreRevision,
    /// When the first table of the era was applied.
    regranted_at: Option<Moment>,
    grants: BTreeMap<ReplicaName, OwnershipGrant>,
    /// Live VMs that reach no replica, and get and keep none.
    unfit: BTreeSet<VmName>,
    /// The tokens that replicas rejected.
    refused: BTreeMap<ReplicaName, FencingToken>,
    /// Since when a change has been needed.
    proposal_due: Option<Moment>,
    /// When the table was last known to be the newest.
    confirmed: Option<Moment>,
    /// Until when no other VM can consider this one failed.
    acknowledged_until: Option<Moment>,
    /// The newest revision announced by another VM.
    max_peer_revision: StoreRevision,
    /// The newest revision announced by each VM.
    peer_revisions: BTreeMap<VmName, StoreRevision>,
    /// The table revision by which this VM became a member, and when it was
    /// read.
    joined: Option<(StoreRevision, Moment)>,
}

impl Ownership {
    /// Creates the state without a table. `fenced` is set if replicas check
    /// fencing tokens.
    pub fn new(vm: VmName, lease: Span, fenced: bool) -> Self {
        Self {
            vm,
            lease,
            fenced,
            era: Era::default(),
            read_in: None,
            stored: None,
            stored_is_old: false,
            table: OwnerTable::default(),
            revision: StoreRevision::default(),
            regranted_at: None,
            grants: BTreeMap::new(),
            unfit: BTreeSet::new(),
            refused: BTreeMap::new(),
            proposal_due: None,
            confirmed: None,
            acknowledged_until: None,
            max_peer_revision: StoreRevision::default(),
            peer_revisions: BTreeMap::new(),
            joined: None,
        }
    }

    /// Records that the store is in an era.
    ///
    /// The tables of earlier eras are no longer in the store, and it may have lost
    /// some that this VM never read. Where replicas check fencing tokens, the
    /// ownerships stay valid until the first table of the era is known, as with any
    /// other change of owners; elsewhere they end.
    pub fn begin_era(&mut self, era: Era) {
        if era > self.era {
            self.era = era;
            self.stored = None;
            self.proposal_due = None;
        }
    }

    /// Returns the latest known era of the store.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Records that all objects of the fleet were read in an era, `found` if the table
    /// was among them.
    pub fn mark_read(&mut self, era: Era, found: bool) {
        if era < self.era {
            return;
        }
        self.begin_era(era);
        self.read_in = Some(era);
        if !found {
            self.stored = None;
        }
    }

    /// Returns the revision of the stored table that a proposal replaces, or `None` if
    /// there is none.
    pub fn stored(&self) -> Option<StoreRevision> {
        self.stored
    }

    /// Applies the table from the store. Returns `false` for an older table, which is
    /// ignored: one of an older revision, or of an earlier era than its revision.
    pub fn apply_table(&mut self, now: Moment, table: OwnerTable, revision: StoreRevision) -> bool {
        if revision.era < self.era || self.stored.is_some_and(|s| revision <= s) {
            return false;
        }
        self.begin_era(revision.era);
        self.stored = Some(revision);
        self.read_in = Some(revision.era);
        self.stored_is_old = table.era() < revision.era;
        if self.stored_is_old {
            // Who orders loads is still better known than not at all.
            if self.revision == StoreRevision::default() {
                self.table = table;
            }
            return false;
        }
        if self.regranted_at.is_none() || self.revision.era < revision.era {
            self.regranted_at = Some(now);
        }
        let mine = table.owners.iter().filter(|(_, o)| o.vm == self.vm);
        let mut grants = BTreeMap::new();
        for (name, owner) in mine {
            let old = self.grants.remove(name).filter(|g| g.token == owner.token);
            let grant = old.unwrap_or_else(|| OwnershipGrant {
                token: owner.token,
                usable_from: now.after(self.takeover_wait(&owner.former)),
                granted_revision: revision,
                unaware: self.unaware_vms(&owner.former, &table.members),
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
    fn takeover_wait(&self, former: &BTreeSet<VmName>) -> Span {
        let is_lost = lost_owner().is_some_and(|lost| former.contains(&lost));
        match (former.is_empty(), self.fenced) {
            (true, _) => Span(0),
            (false, true) => Span(self.lease.0 + LOSS_DETECTION_DELAY.0),
            // An unknown owner may rely on acknowledgements.
            (false, false) if is_lost => self.lost_owner_wait(),
            (false, false) => Span(OWNERSHIP_TTL.0 + self.lease.0 + MAX_ORDER_DELAY.0),
        }
    }

    /// How long an owner may still give orders that a table lost by the store named.
    fn lost_owner_wait(&self) -> Span {
        match self.fenced {
            true => Span(self.lease.0 + LOSS_DETECTION_DELAY.0),
            false => Span(MAX_UNCONFIRMED.0 + self.lease.0 + MAX_ORDER_DELAY.0),
        }
    }

    /// Returns the VMs whose acknowledgements end the wait of a new owner: all other
    /// members if the former owners are unknown.
    fn unaware_vms(
        &self,
        former: &BTreeSet<VmName>,
        members: &BTreeSet<VmName>,
    ) -> BTreeSet<VmName> {
        let mut unaware = former.clone();
        if !self.fenced && lost_owner().is_some_and(|lost| unaware.remove(&lost)) {
            unaware.extend(members.iter().filter(|vm| **vm != self.vm).cloned());
        }
        unaware
    }

    /// Records that the store confirmed our table to be the newest by its
    /// answer in `era` to a call sent at `asked`.
    pub fn confirm(&mut self, asked: Moment, era: Era) {
        let applied = self.revision > StoreRevision::default() && self.revision.era == era;
        if applied && !self.stored_is_old {
            self.confirmed = self.confirmed.max(Some(asked));
        }
    }

    /// Records that the store stated all changes after the revision `from`, up to `answered`,
    /// in its answer to a call sent at `asked`. They must be applied before.
    ///
    /// Returns `false` if the answer is of another era, which confirms nothing: `from` was
    /// then given out again, and a newer table may have been stored below it.
    ///
    /// ```
    /// use banyangauge::pool::{Moment, Span};
    /// use banyangauge::serving::{Era, Ownership, StoreRevision};
    /// let mut own = Ownership::new("vm-1".parse().unwrap(), Span::from_millis(3_000), false);
    /// let revision = |era, number| StoreRevision::new(Era(era), number);
    /// assert!(own.confirm_changes(Moment(1), revision(1, 9), revision(1, 9)));
    /// assert!(!own.confirm_changes(Moment(2), revision(1, 9), revision(2, 12)));
    /// ```
    pub fn confirm_changes(
        &mut self,
        asked: Moment,
        from: StoreRevision,
        answered: StoreRevision,
    ) -> bool {
        if answered.era != from.era {
            return false;
        }
        self.confirm(asked, answered.era);
        true
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
    ///
    /// A confirmation of a table of an earlier era says nothing of the present one.
    pub fn confirm_from_peer(&mut self, revision: StoreRevision, sent: Moment, after: i64) {
        let at = sent.0.checked_add_signed(after);
        if let Some(at) = at.filter(|_| revision <= self.revision) {
            self.confirm(Moment(at), revision.era);
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
            let announced = self.peer_revisions.get(*vm).copied();
            let announced = announced.unwrap_or_default();
            announced < revision && now.since(at) < NEW_MEMBER_GRACE
        };
        members.filter(unaware).cloned().collect()
    }

    /// Records the table revision announced by a VM, which acknowledges its
    /// losses up to that revision. Returns whether its table is newer than
    /// ours.
    pub fn record_peer_revision(
        &mut self,
        now: Moment,
        vm: &VmName,
        revision: StoreRevision,
    ) -> bool {
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
        let newest = self.max_peer_revision <= self.revision && self.revision.era == self.era;
        let (Some(confirmed), true) = (self.confirmed, newest) else {
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
        self.revision = StoreRevision::default();
        self.stored = None;
        self.read_in = None;
        self.confirmed = None;
        self.joined = None;
    }

    /// Returns the owner of a replica.
    pub fn owner(&self, name: &ReplicaName) -> Option<&VmName> {
        self.table.owners.get(name).map(|o| &o.vm)
    }

    /// Sets which live VMs reach no replica. Their replicas are given to others.
    pub fn set_unfit(&mut self, unfit: BTreeSet<VmName>) {
        self.unfit = unfit;
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
        // What is stored in this era must be known.
        if self.read_in != Some(self.era) {
            return None;
        }
        let Some(table) = self.desired_table(now, live, replicas) else {
            self.proposal_due = None;
            return self.without_expired_waits(now);
        };
        let since = *self.proposal_due.get_or_insert(now);
        let rank = live.iter().position(|vm| *vm == self.vm)? as u64;
        let replaces = self.table.era() < self.era || self.stored_is_old;
        let delay = match replaces && self.is_outdated() {
            true => OUTDATED_PROPOSAL_DELAY.0,
            false => 0,
        };
        (now.since(since).0 >= PROPOSAL_STAGGER.0 * rank + delay).then_some(table)
    }

    /// Whether another VM knows a newer table.
    fn is_outdated(&self) -> bool {
        self.revision < self.max_peer_revision
    }

    /// Returns the newest known table with tokens that no VM has been granted for
    /// another ownership, and whether the owners that another table named are unknown.
    ///
    /// Where replicas check fencing tokens, the owners of an earlier era continue,
    /// unless the store may have lost a table that this VM does not know.
    fn present_table(&self) -> (OwnerTable, bool) {
        let overwritten = self.stored_is_old && self.is_outdated();
        if self.table.era() >= self.era && !overwritten {
            return (self.table.clone(), self.table.has_lost_owners());
        }
        let known = self.revision > StoreRevision::default();
        let certain = self.fenced && known && !self.is_outdated();
        let first = self.table == OwnerTable::default() && !self.is_outdated();
        let table = self.table.regranted(self.era, certain || first);
        (table, !certain && !first)
    }

    /// Returns the table with all changes needed. A VM that is not a member yet
    /// only adds itself: the owners must learn of it first.
    fn desired_table(
        &self,
        now: Moment,
        live: &BTreeSet<VmName>,
        replicas: &BTreeSet<ReplicaName>,
    ) -> Option<OwnerTable> {
        let (mut table, mut unknown) = self.present_table();
        let is_over = |at: Moment| now.since(at) >= self.lost_owner_wait();
        if self.table.era() >= self.era && self.regranted_at.is_some_and(is_over) {
            unknown = false;
        }
        if !self.fenced && self.is_new_member() {
            table.members.insert(self.vm.clone());
            table.set_lost_owners(unknown);
            return Some(table);
        }
        let protected = self.protected_members(now);
        let fit = live.difference(&self.unfit).cloned().collect();
        if let Some(reassigned) = table.reassigned(&fit, &protected, replicas) {
            table = reassigned;
        }
        if !self.fenced {
            table.members = live.union(&protected).cloned().collect();
        }
        table.set_lost_owners(unknown);
        (self.stored_is_old || table != self.table).then_some(table)
    }

    /// Whether there is a table of which this VM is not a member.
    fn is_new_member(&self) -> bool {
        self.revision > StoreRevision::default() && !self.table.members.contains(&self.vm)
    }

    /// Returns the table without the former owners of our replicas for which the
    /// takeover wait is over, or `None` if there are none.
    fn without_expired_waits(&self, now: Moment) -> Option<OwnerTable> {
        let mut table = self.table.clone();
        let over = |name: &ReplicaName| self.grants.get(name).is_some_and(|g| g.usable_from <= now);
        let lost = lost_owner();
        for (name, owner) in &mut table.owners {
            if owner.vm == self.vm && over(name) {
                // The unknown ones are removed for all replicas at once.
                owner.former.retain(|vm| Some(vm) == lost.as_ref());
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
