//! All that one VM believes, in one place.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use banyangauge_proto as wire;

use super::audience::Audience;
use super::books::Books;
use super::budget::Budget;
use super::experiment::Mechanism;
use super::feed::Feeds;
use super::feed::Topic;
use super::fleet::Fleet;
use super::fleet::Load;
use super::follow;
use super::members::Members;
use super::model::Config;
use super::model::Instance;
use super::model::Listing;
use super::model::Target;
use super::ownership::Ownership;
use super::reserved::Reserved;
use super::routes::Routes;
use super::settings::ServeSettings;
use super::strain::Strain;
use super::strikes::Strikes;
use super::table::Table;
use super::turns::Turns;
use crate::ids::Incarnation;
use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;

/// A configuration that is in force.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) config: Config,
    pub(super) routes: Routes,
}

/// Runs of one adapter at one replica, of this VM's requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnUse {
    pub(super) running: u32,
    pub(super) begun: u32,
}

/// The beliefs of one VM; tasks take them for a moment at a time.
#[derive(Debug)]
pub(super) struct Beliefs {
    pub(super) active: Option<Rc<Active>>,
    pub(super) fleet: Fleet,
    pub(super) budget: Budget,
    pub(super) members: Members,
    pub(super) ownership: Ownership,
    pub(super) books: Books,
    pub(super) strikes: Strikes,
    pub(super) strain: Strain,
    pub(super) turns: Turns,
    pub(super) uses: BTreeMap<ReplicaName, BTreeMap<Target, OwnUse>>,
    /// Places at our replicas that were granted a moment ago.
    pub(super) reserved: Reserved,
    /// Leaving replicas that the other VMs are to be told of.
    pub(super) leaving: BTreeSet<Instance>,
    /// Who waits for news of which of our replicas.
    pub(super) audience: Audience,
    /// The newest report of each VM on its requests.
    pub(super) reports: BTreeMap<VmName, (Incarnation, u64)>,
    /// What is known of the store.
    pub(super) feeds: Feeds,
    /// Beacons from other availability zones that are to be passed on.
    pub(super) passing: BTreeMap<VmName, wire::Beacon>,
    /// Whether the replicas were listed once.
    pub(super) listed: bool,
}

impl Beliefs {
    pub(super) fn new(settings: &ServeSettings, now: Moment) -> Self {
        let lease = Span(u64::try_from(settings.lease.as_micros()).unwrap_or(u64::MAX));
        let mut beliefs = Self {
            active: None,
            fleet: Fleet::new(settings.zone.clone()),
            budget: Budget::new(settings.budget),
            members: Members::new(settings.vm.clone(), now),
            ownership: Ownership::new(settings.vm.clone(), lease, settings.fenced),
            books: Books::default(),
            strikes: Strikes::default(),
            strain: Strain::default(),
            turns: Turns::default(),
            uses: BTreeMap::new(),
            reserved: Reserved::default(),
            leaving: BTreeSet::new(),
            audience: Audience::default(),
            reports: BTreeMap::new(),
            feeds: Feeds::new(|topic| follow::rhythm(settings, topic)),
            passing: BTreeMap::new(),
            listed: false,
        };
        // An owner whose replicas check no fences must be heard by each VM.
        if settings.fenced && settings.experiment.runs(Mechanism::ZoneRelays) {
            beliefs.members.allow_relays(settings.zone.clone());
        }
        beliefs.fleet.set_experiment(&settings.experiment);
        beliefs.books.set_experiment(&settings.experiment);
        beliefs
    }

    /// Our place in the order in which VMs ask the store about a topic; `None`
    /// where each asks for itself.
    pub(super) fn asking_rank(
        &self,
        now: Moment,
        settings: &ServeSettings,
        topic: Topic,
    ) -> Option<u64> {
        let shared = settings.experiment.runs(Mechanism::StoreNews) && self.members.count() > 1;
        shared.then(|| self.members.rank(now, u64::from(topic.number())))
    }

    /// Whether requests can be served.
    pub(super) fn ready(&self) -> bool {
        self.active.is_some() && self.listed
    }

    /// Takes a configuration if it is newer than the one in force.
    pub(super) fn configure(&mut self, config: Config) -> bool {
        let old = self.active.as_ref().map_or(0, |a| a.config.version);
        if config.version <= old {
            return false;
        }
        self.fleet.configure(&config);
        let routes = Routes::new(&config.routes);
        self.active = Some(Rc::new(Active { config, routes }));
        true
    }

    /// Takes a replica's entry in the store; gives whether it changed what
    /// requests may use.
    pub(super) fn take_listing(&mut self, listing: Listing) -> bool {
        let (name, born) = (listing.name.clone(), listing.born);
        if self.fleet.born(&name).is_some_and(|old| old != born) {
            self.uses.remove(&name);
        }
        self.fleet.list(listing)
    }

    /// Takes the whole list of replicas.
    pub(super) fn relist(&mut self, now: Moment, all: Vec<Listing>) {
        for l in &all {
            if self.fleet.born(&l.name).is_some_and(|old| old != l.born) {
                self.uses.remove(&l.name);
            }
        }
        self.fleet.relist(now, all, false);
    }

    /// Whether somebody can load adapters at a replica now.
    pub(super) fn loadable(&self, now: Moment, own: &VmName, name: &ReplicaName) -> bool {
        match self.ownership.owner(name) {
            Some(vm) if vm == own => self.ownership.token(now, name).is_some(),
            // One that waits out the lease before it tells nothing yet.
            Some(vm) => self.members.lives(now, vm) && self.fleet.has_word(now, name),
            None => false,
        }
    }

    /// Takes the owner table; gives whether it is news.
    pub(super) fn take_owners(&mut self, now: Moment, table: Table, revision: u64) -> bool {
        let old = self.ownership.table.owners.clone();
        if !self.ownership.take(now, table, revision) {
            return false;
        }
        for (name, owner) in &self.ownership.table.owners {
            if old.get(name).is_some_and(|o| o.token != owner.token) {
                self.fleet.forget_book(name);
            }
        }
        true
    }

    /// A run begins at a replica.
    pub(super) fn begin(&mut self, name: &ReplicaName, target: Option<&Target>, cost: Load) {
        self.fleet.begin(name, cost);
        if let Some(target) = target.filter(|t| t.adapter.is_some()) {
            let uses = self.uses.entry(name.clone()).or_default();
            let entry = uses.entry(target.clone()).or_default();
            entry.running += 1;
            entry.begun += 1;
        }
    }

    /// It ended there.
    pub(super) fn end(&mut self, at: &Instance, target: Option<&Target>, cost: Load) {
        // A replica that has started anew does not count it.
        if !self.fleet.is_current(at) {
            return;
        }
        let name = &at.name;
        self.fleet.end(name, cost);
        let target = target.filter(|t| t.adapter.is_some());
        let uses = target.and_then(|t| self.uses.get_mut(name)?.get_mut(t));
        if let Some(entry) = uses {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// The uses at a replica to tell its owner; what was begun is told once.
    pub(super) fn take_uses(&mut self, name: &ReplicaName) -> BTreeMap<Target, OwnUse> {
        let Some(uses) = self.uses.get_mut(name) else {
            return BTreeMap::new();
        };
        let told = uses.clone();
        uses.retain(|_, u| u.running > 0);
        uses.values_mut().for_each(|u| u.begun = 0);
        if uses.is_empty() {
            self.uses.remove(name);
        }
        told
    }

    /// Brings the books in step with what we own.
    pub(super) fn open_books(&mut self, now: Moment) {
        let active = self.ownership.active(now);
        let ours: BTreeSet<_> = active.map(|(name, _)| name.clone()).collect();
        for name in &ours {
            if let Some(listing) = self.fleet.listing(name) {
                let most = self.fleet.engine_slots(listing);
                // Plain replicas are owned for the count of their requests.
                if most > 0 {
                    self.books.open(now, listing, most);
                }
            }
        }
        self.books.keep(&ours);
    }
}
