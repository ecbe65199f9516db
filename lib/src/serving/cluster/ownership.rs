//! Which replicas this VM may give orders to, and until when.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::ReplicaName;
use crate::ids::Token;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::owner_table::OwnerTable;

/// How much later each further VM proposes a change than the one before it by
/// name: a proposal is in force everywhere within about a second.
const PROPOSAL_STAGGER: Span = Span::from_millis(1_200);

/// How long an owner whose replicas check fences may not have heard of its
/// loss: the pace of the watch and one slow call.
const LOSS_DETECTION_DELAY: Span = Span::from_millis(1_500);

/// How long a VM owns its replicas after the table was known to be the newest.
/// It is confirmed each 0.6 s by one VM and told with the beacons, each 0.4 s:
/// two lost beacons in a row leave it in office.
pub const OWNERSHIP_TTL: Span = Span::from_millis(2_400);

/// How old the first VM by name lets the confirmation become: with a beat and
/// one lost beacon on top, the others still learn of it in time.
const FIRST_CONFIRM_AGE: Span = Span::from_millis(600);

/// The same for the others, which hear of it from the first one: about two of
/// its questions and a beat.
const OTHERS_CONFIRM_AGE: Span = Span::from_millis(1_600);

/// How much later each further VM asks, so that not all ask at once when the
/// first one is lost.
const CONFIRM_STAGGER: Span = Span::from_millis(120);

/// VMs by name after which the step grows no more: the last one must ask
/// before it is out of office.
const MAX_STAGGER_STEPS: usize = 4;

/// How long an order may take to its replica after the lease was looked at:
/// the time that an answer is waited for, and a third as much on the way.
const MAX_ORDER_DELAY: Span = Span::from_millis(1_100);

/// How long after the last confirmation a VM stays in office because all
/// members hear it.
const MAX_UNCONFIRMED: Span = Span::from_millis(15_000);

/// How long a new member takes no VM for lost that does not know of it: longer
/// than one stays in office without the store.
pub(in crate::serving) const NEW_MEMBER_GRACE: Span = Span::from_millis(20_000);

/// Our ownership of one replica.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Term {
    token: Token,
    /// From when it may be used.
    usable_from: Moment,
    /// The revision of the table that gave it to us.
    granted_revision: u64,
    /// Who has not said yet that it knows of its loss.
    unaware: BTreeSet<VmName>,
}

/// What a VM holds of the table: its own ownerships, since when, and whether
/// they may be used.
///
/// Made for VMs that are killed, frozen or cut off while they own replicas. A
/// replica's orders must come from one VM at a time, with a lease between two.
/// Where replicas check fences, a VM that lost one is stopped by the replica.
/// Elsewhere the ownership ends by itself, [`OWNERSHIP_TTL`] after the store was last
/// known to hold no newer table, and a new owner waits until that is over and
/// a lease has passed, or until the ones before it say that they know.
#[derive(Clone, Debug)]
pub struct Ownership {
    vm: VmName,
    lease: Span,
    fenced: bool,
    /// The table and its revision in the store.
    pub table: OwnerTable,
    /// The revision; 0 while there is no table.
    pub revision: u64,
    terms: BTreeMap<ReplicaName, Term>,
    /// Tokens that a replica refused.
    refused: BTreeMap<ReplicaName, Token>,
    /// Since when a change has been due.
    proposal_due: Option<Moment>,
    /// When no table newer than this one was in the store yet.
    confirmed: Option<Moment>,
    /// Until when no other VM can take this one for lost.
    acknowledged_until: Option<Moment>,
    /// The newest revision that another VM told of.
    max_peer_revision: u64,
    /// The same for each VM.
    peer_revisions: BTreeMap<VmName, u64>,
    /// Since which revision, and when, this VM is known to be a member.
    joined: Option<(u64, Moment)>,
}

impl Ownership {
    /// No table yet; `fenced` says whether replicas check tokens.
    pub fn new(vm: VmName, lease: Span, fenced: bool) -> Self {
        Self {
            vm,
            lease,
            fenced,
            table: OwnerTable::default(),
            revision: 0,
            terms: BTreeMap::new(),
            refused: BTreeMap::new(),
            proposal_due: None,
            confirmed: None,
            acknowledged_until: None,
            max_peer_revision: 0,
            peer_revisions: BTreeMap::new(),
            joined: None,
        }
    }

    /// Takes the table as the store has it; older revisions are dropped.
    pub fn apply_table(&mut self, now: Moment, table: OwnerTable, revision: u64) -> bool {
        if revision <= self.revision {
            return false;
        }
        let wait = self.max_takeover_wait();
        let mine = table.owners.iter().filter(|(_, o)| o.vm == self.vm);
        let mut terms = BTreeMap::new();
        for (name, owner) in mine {
            let old = self.terms.remove(name).filter(|t| t.token == owner.token);
            let term = old.unwrap_or_else(|| Term {
                token: owner.token,
                usable_from: match owner.former.is_empty() {
                    true => now,
                    false => now.after(wait),
                },
                granted_revision: revision,
                unaware: owner.former.clone(),
            });
            terms.insert(name.clone(), term);
        }
        self.terms = terms;
        self.joined = match table.members.contains(&self.vm) {
            true => self.joined.or(Some((revision, now))),
            false => None,
        };
        self.table = table;
        self.revision = revision;
        self.proposal_due = None;
        true
    }

    /// How long a new owner waits that hears nothing of the one before.
    fn max_takeover_wait(&self) -> Span {
        match self.fenced {
            true => Span(self.lease.0 + LOSS_DETECTION_DELAY.0),
            false => Span(OWNERSHIP_TTL.0 + self.lease.0 + MAX_ORDER_DELAY.0),
        }
    }

    /// The store showed in answer to a call sent at `asked` that our table is
    /// the newest.
    pub fn confirm(&mut self, asked: Moment) {
        if self.revision > 0 {
            self.confirmed = self.confirmed.max(Some(asked));
        }
    }

    /// How many microseconds after another VM's beacon was heard the table was
    /// last known to be the newest; before it if negative. It is told that VM.
    pub fn confirmation_offset(&self, heard: Moment) -> Option<i64> {
        let confirmed = i64::try_from(self.confirmed?.0).ok()?;
        confirmed.checked_sub_unsigned(heard.0)
    }

    /// Another VM knew the table of `revision` to be the newest `after`
    /// microseconds after it heard the beacon that we sent at `sent`.
    ///
    /// It heard that after we sent it. So what it knew some time after it heard
    /// it was so at least as long after we sent it, however long either
    /// datagram was on its way.
    pub fn confirm_from_peer(&mut self, revision: u64, sent: Moment, after: i64) {
        let at = sent.0.checked_add_signed(after);
        if let Some(at) = at.filter(|_| revision <= self.revision) {
            self.confirm(Moment(at));
        }
    }

    /// When the table was last known to be the newest.
    pub fn confirmed(&self) -> Option<Moment> {
        self.confirmed
    }

    /// Whether this VM, the `rank`th by name, is to ask the store now whether
    /// the table is the newest.
    pub fn should_confirm(&self, now: Moment, rank: usize) -> bool {
        let Some(confirmed) = self.confirmed.filter(|_| !self.fenced) else {
            return false;
        };
        let steps = rank.min(MAX_STAGGER_STEPS) as u64;
        let after = match rank {
            0 => FIRST_CONFIRM_AGE,
            _ if self.terms.is_empty() => return false,
            _ => Span(OTHERS_CONFIRM_AGE.0 + CONFIRM_STAGGER.0 * steps),
        };
        now.since(confirmed) >= after
    }

    /// Until `until` no other VM can take this one for lost. Once that was
    /// over, or another VM could have for a moment, only the store's word
    /// brings this VM back into office.
    pub fn set_acknowledged_until(&mut self, now: Moment, until: Option<Moment>) {
        self.acknowledged_until = until.filter(|_| self.is_valid(now));
    }

    /// The members that this VM may not take for lost yet: those that have not
    /// told that they know it for a member, and so do not ask to be heard by it.
    pub fn protected_members(&self, now: Moment) -> BTreeSet<VmName> {
        if self.fenced {
            return BTreeSet::new();
        }
        let members = self.table.members.iter();
        let unaware = |vm: &&VmName| {
            let Some((revision, at)) = self.joined else {
                return true;
            };
            let told = self.peer_revisions.get(*vm).copied().unwrap_or(0);
            told < revision && now.since(at) < NEW_MEMBER_GRACE
        };
        members.filter(unaware).cloned().collect()
    }

    /// A VM told which table it holds: those before it that lost a replica to
    /// us know it. Gives whether its table is newer than ours.
    pub fn record_peer_revision(&mut self, now: Moment, vm: &VmName, revision: u64) -> bool {
        self.max_peer_revision = self.max_peer_revision.max(revision);
        let told = self.peer_revisions.entry(vm.clone()).or_default();
        *told = revision.max(*told);
        let after = now.after(Span(self.lease.0 + MAX_ORDER_DELAY.0));
        let known = self
            .terms
            .values_mut()
            .filter(|t| t.granted_revision <= revision);
        for term in known {
            if term.unaware.remove(vm) && term.unaware.is_empty() {
                term.usable_from = term.usable_from.min(after);
            }
        }
        revision > self.revision
    }

    /// Whether this VM is still in office.
    ///
    /// It is as long as the table is known to be the newest not longer ago
    /// than [`OWNERSHIP_TTL`]. While the store is away for all it cannot be changed
    /// either: the VM then stays as long as each VM that could propose it
    /// hears this one, and so does not take it for lost.
    pub fn is_valid(&self, now: Moment) -> bool {
        if self.fenced {
            return true;
        }
        let (Some(confirmed), true) = (self.confirmed, self.max_peer_revision <= self.revision)
        else {
            return false;
        };
        let vouched = self.acknowledged_until.unwrap_or(Moment(0));
        now < confirmed.after(OWNERSHIP_TTL) || now < vouched.min(confirmed.after(MAX_UNCONFIRMED))
    }

    /// Our replicas that may get orders now, with their tokens.
    pub fn usable(&self, now: Moment) -> impl Iterator<Item = (&ReplicaName, Token)> {
        let holds = self.is_valid(now);
        let terms = self.terms.iter().filter(move |_| holds);
        let usable =
            terms.filter(move |(name, t)| t.usable_from <= now && !self.is_refused(name, t));
        usable.map(|(name, t)| (name, t.token))
    }

    fn is_refused(&self, name: &ReplicaName, term: &Term) -> bool {
        self.refused.get(name) == Some(&term.token)
    }

    /// Our replicas, whether they may get orders yet or not.
    pub fn owned(&self) -> impl Iterator<Item = &ReplicaName> {
        self.terms.keys()
    }

    /// Our token for a replica, if it may get orders now.
    pub fn token(&self, now: Moment, name: &ReplicaName) -> Option<Token> {
        let term = self.terms.get(name)?;
        let usable = self.is_valid(now) && term.usable_from <= now && !self.is_refused(name, term);
        usable.then_some(term.token)
    }

    /// A replica has seen a higher token than ours: no order more with it.
    pub fn record_refusal(&mut self, name: &ReplicaName, token: Token) {
        self.refused.insert(name.clone(), token);
    }

    /// The VM was suspended or cut off: its ownerships are used again only
    /// after the table was read anew.
    pub fn invalidate(&mut self) {
        self.terms.clear();
        self.revision = 0;
        self.confirmed = None;
        self.joined = None;
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
    ) -> Option<OwnerTable> {
        let Some(table) = self.repaired(now, live, replicas) else {
            self.proposal_due = None;
            return self.without_expired_waits(now);
        };
        let since = *self.proposal_due.get_or_insert(now);
        let rank = live.iter().position(|vm| *vm == self.vm)? as u64;
        (now.since(since).0 >= PROPOSAL_STAGGER.0 * rank).then_some(table)
    }

    /// The table that this VM would have. One that is no member yet changes
    /// nothing but that: the owners must know of it first.
    fn repaired(
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
        let unjudged = self.protected_members(now);
        if let Some(repaired) = table.reassigned(live, &unjudged, replicas) {
            table = repaired;
        }
        table.members = live.union(&unjudged).cloned().collect();
        (table != self.table).then_some(table)
    }

    /// The table with the waits of our replicas that are over.
    fn without_expired_waits(&self, now: Moment) -> Option<OwnerTable> {
        let mut table = self.table.clone();
        let over = |name: &ReplicaName| self.terms.get(name).is_some_and(|t| t.usable_from <= now);
        for (name, owner) in &mut table.owners {
            if owner.vm == self.vm && over(name) {
                owner.former.clear();
            }
        }
        (table != self.table).then_some(table)
    }

    /// A proposal was sent: the next one waits its turn again.
    pub fn record_proposal(&mut self, now: Moment) {
        self.proposal_due = Some(now);
    }
}
