//! What a VM believes of the replicas, and the decisions made of it.
//!
//! [`Fleet`] has no I/O and no clock: news comes in by plain calls with time
//! as an argument.
//!
//! | module | decides |
//! |---|---|
//! | `place` | where a request runs, or where its adapter is loaded |
//! | `health` | what ends and silences of runs mean |
//! | `versions` | which version of an adapter a run may begin on |

mod health;
mod place;
mod versions;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

pub use health::RunOutcome;
pub use place::Placement;
pub use place::PlacementRequest;
pub use versions::Versions;

use self::health::Health;
use crate::ids::ModelName;
use crate::ids::ReplicaName;
use crate::ids::ServiceName;
use crate::ids::VmName;
use crate::ids::ZoneName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::path::types::Config;
use crate::serving::path::types::Instance;
use crate::serving::path::types::ReplicaInfo;
use crate::serving::path::types::Service;
use crate::serving::path::types::Target;
use crate::serving::program::experiment::Experiment;

/// How long a peer's word stands without being renewed, before it is set for
/// the size of the fleet. Older counts would keep a dead VM's requests on a
/// replica, and an older word on what a replica holds is worse than its entry
/// in the store.
const WORD_KEPT: Span = Span::from_millis(2_000);

/// How long a replica that refused an adapter is not asked for it again,
/// unless its owner says that it came: about a load and a beacon.
const MISSING_KEPT: Span = Span::from_millis(600);

/// How long an entry that lapsed while the store was away may come back.
const LAPSED_KEPT: Span = Span::from_millis(2_000);

/// Requests under way and the tokens that they hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Tokens of prompt and expected answer.
    pub tokens: u64,
    /// Prompt tokens that are still to be read by the engine.
    pub prefill: u64,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.prefill += other.prefill;
    }

    /// Both together.
    pub fn plus(mut self, other: Self) -> Self {
        self.add(other);
        self
    }

    fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.prefill = self.prefill.saturating_sub(other.prefill);
    }
}

/// What a VM sees of a service, for the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceSummary {
    /// Replicas that are listed and not leaving.
    pub listed: usize,
    /// Those that take requests.
    pub live: usize,
    /// Those that hold the adapter.
    pub holders: usize,
    /// Those whose owner has told lately what they hold.
    pub fresh_reports: usize,
    /// Requests of all VMs there.
    pub requests: u32,
}

/// What a replica holds, by the word of its owner.
#[derive(Clone, Debug, Default)]
pub struct Residency {
    /// Adapters that it holds, with their versions.
    pub loaded: BTreeMap<Target, u32>,
    /// Adapters on their way to it.
    pub loading: BTreeSet<Target>,
}

/// One replica, as this VM believes it to be.
#[derive(Debug)]
struct Replica {
    listing: ReplicaInfo,
    /// The hash of its address, by which homes of adapters are ranked.
    seed: u64,
    own: Load,
    /// The sum of the peers' counts, where this VM owns the replica.
    told: Load,
    /// What the others have under way by its owner's word, and until when that
    /// holds; none where this VM owns it.
    word: Option<(Moment, Load)>,
    /// What its owner was told of this VM's requests.
    reported: Load,
    /// Until when its owner's word holds.
    book: Option<(Moment, Residency)>,
    missing: BTreeMap<Target, Moment>,
    health: Health,
    /// Since when it is missing from the store's list.
    lapsed: Option<Moment>,
}

impl Replica {
    fn new(listing: ReplicaInfo, told: Load) -> Self {
        Self {
            seed: place::address_seed(&listing),
            listing,
            own: Load::default(),
            told,
            word: None,
            reported: Load::default(),
            book: None,
            missing: BTreeMap::new(),
            health: Health::default(),
            lapsed: None,
        }
    }

    /// The version in which it holds a target; 0 where versions do not matter.
    fn holds(&self, now: Moment, target: &Target) -> Option<u32> {
        if self.missing.get(target).is_some_and(|until| *until > now) {
            return None;
        }
        match (&self.book, target.adapter.is_some()) {
            // An owner that is lost orders nothing there any more: its last
            // word holds on.
            (Some((_, held)), true) => held.loaded.get(target).copied(),
            (Some((until, held)), false) if *until > now => held.loaded.get(target).copied(),
            (None, true) => self.listing.adapters.get(target).copied(),
            (_, false) => self.listing.models.contains(&target.model).then_some(0),
        }
    }

    fn awaits(&self, now: Moment, target: &Target) -> bool {
        let book = self.book.as_ref().filter(|(until, _)| *until > now);
        book.is_some_and(|(_, held)| held.loading.contains(target))
    }

    /// Adapters on their way to it, as far as its owner told lately.
    fn coming(&self, now: Moment) -> usize {
        let book = self.book.as_ref().filter(|(until, _)| *until > now);
        book.map_or(0, |(_, held)| held.loading.len())
    }

    fn usable(&self) -> bool {
        !self.listing.draining
    }
}

/// All replicas, and what is known of their services and adapters.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneName,
    services: BTreeMap<ServiceName, Service>,
    replicas: BTreeMap<ReplicaName, Replica>,
    /// What each peer has under way where, and until when that holds.
    peers: BTreeMap<VmName, (Moment, BTreeMap<ReplicaName, Load>)>,
    /// When the first of these lapses.
    lapse_at: Moment,
    word_kept: Span,
    /// What was announced of adapters.
    pub versions: Versions,
    experiment: Experiment,
}

impl Fleet {
    /// No replicas yet, seen from an availability zone.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            services: BTreeMap::new(),
            replicas: BTreeMap::new(),
            peers: BTreeMap::new(),
            lapse_at: Moment(u64::MAX),
            word_kept: WORD_KEPT,
            versions: Versions::default(),
            experiment: Experiment::default(),
        }
    }

    /// Sets what is switched off.
    pub fn set_experiment(&mut self, experiment: &Experiment) {
        self.experiment = experiment.clone();
    }

    /// Takes the services of a configuration.
    pub fn configure(&mut self, config: &Config) {
        self.services = config.services.clone();
    }

    /// Sets how long a peer's word stands without being renewed.
    pub fn set_report_ttl(&mut self, span: Span) {
        self.word_kept = span;
    }

    /// Takes a replica's entry in the store; gives whether it changed what
    /// requests may use.
    pub fn apply_listing(&mut self, listing: ReplicaInfo) -> bool {
        match self.replicas.get_mut(&listing.name) {
            Some(r) if r.listing.started_ms == listing.started_ms => {
                r.lapsed = None;
                let mut listing = listing;
                // One that leaves does not stay after all.
                listing.draining |= r.listing.draining;
                let changed = r.listing.draining != listing.draining;
                r.listing = listing;
                r.seed = place::address_seed(&r.listing);
                changed
            }
            Some(r) => {
                // Nothing that was said of its last start holds for this one.
                let counts = self.peers.values_mut();
                for (_, counts) in counts {
                    counts.remove(&listing.name);
                }
                *r = Replica::new(listing, Load::default());
                true
            }
            None => {
                let name = listing.name.clone();
                let told = self.peers.values().filter_map(|(_, c)| c.get(&name));
                let told = told.fold(Load::default(), |sum, load| sum.plus(*load));
                self.replicas.insert(name, Replica::new(listing, told));
                true
            }
        }
    }

    /// Whether an entry says more than is known, beside which adapters the
    /// replica holds: of those its owner tells. One that says that its replica
    /// is leaving always does: this VM may have heard that from another already,
    /// which not all have. So does one that had lapsed: who heard of that would
    /// drop the replica.
    pub fn is_update(&self, listing: &ReplicaInfo) -> bool {
        if listing.draining {
            return true;
        }
        let there = self.replicas.get(&listing.name);
        let Some(there) = there.filter(|r| r.lapsed.is_none()) else {
            return true;
        };
        let old = &there.listing;
        let same = ReplicaInfo {
            adapters: old.adapters.clone(),
            ..listing.clone()
        };
        *old != same
    }

    /// A replica's entry lapsed while the store was away: it may come back.
    pub fn mark_expired(&mut self, now: Moment, name: &ReplicaName) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.lapsed.get_or_insert(now);
        }
    }

    /// Another VM has read that a replica is leaving; gives whether it is news.
    pub fn mark_draining(&mut self, replica: &Instance) -> bool {
        let r = self.replicas.get_mut(&replica.name);
        let r = r.filter(|r| r.listing.started_ms == replica.started_ms);
        r.is_some_and(|r| !std::mem::replace(&mut r.listing.draining, true))
    }

    /// A replica's entry was removed: it gets nothing new.
    pub fn remove_listing(&mut self, name: &ReplicaName) -> bool {
        self.replicas.remove(name).is_some()
    }

    /// Takes the whole list of the store. After an outage, entries that lapsed
    /// meanwhile may come back within two seconds, so what is missing then is
    /// kept as long; otherwise it is gone.
    pub fn replace_listings(&mut self, now: Moment, all: Vec<ReplicaInfo>, outage: bool) {
        let names: BTreeSet<_> = all.iter().map(|l| l.name.clone()).collect();
        for listing in all {
            self.apply_listing(listing);
        }
        self.replicas.retain(|name, r| {
            if names.contains(name) {
                return true;
            }
            r.lapsed.get_or_insert(now);
            outage
        });
    }

    /// Drops replicas whose entries did not come back; gives their names.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<ReplicaName> {
        let over = |r: &Replica| r.lapsed.is_some_and(|at| now.since(at) >= LAPSED_KEPT);
        let gone = self.replicas.iter().filter(|(_, r)| over(r));
        let gone: Vec<_> = gone.map(|(name, _)| name.clone()).collect();
        for name in &gone {
            self.replicas.remove(name);
        }
        gone
    }

    /// A replica's entry in the store, if it is listed.
    pub fn listing(&self, name: &ReplicaName) -> Option<&ReplicaInfo> {
        self.replicas.get(name).map(|r| &r.listing)
    }

    /// The start of a replica that is listed.
    pub fn started_ms(&self, name: &ReplicaName) -> Option<u64> {
        self.listing(name).map(|l| l.started_ms)
    }

    /// Whether a replica has not started anew since.
    pub fn is_current(&self, replica: &Instance) -> bool {
        self.started_ms(&replica.name) == Some(replica.started_ms)
    }

    /// The replicas as the store lists them.
    pub fn listings(&self) -> impl Iterator<Item = &ReplicaInfo> {
        self.replicas.values().map(|r| &r.listing)
    }

    /// Whether a replica is of a service that is configured.
    pub fn is_configured(&self, listing: &ReplicaInfo) -> bool {
        self.services.contains_key(&listing.service)
    }

    /// The replicas that can hold adapters.
    pub fn engines(&self) -> impl Iterator<Item = &ReplicaInfo> {
        self.listings().filter(|l| self.engine_slots(l) > 0)
    }

    /// How many adapters a replica may hold.
    pub fn engine_slots(&self, listing: &ReplicaInfo) -> u32 {
        let service = self.services.get(&listing.service);
        let engine = service.and_then(|s| s.engine.as_ref());
        engine.map_or(0, |e| e.adapter_slots)
    }

    /// What is believed of a service's replicas.
    pub fn summarize(
        &self,
        now: Moment,
        service: &ServiceName,
        target: Option<&Target>,
    ) -> ServiceSummary {
        let mut seen = ServiceSummary::default();
        let members = self
            .replicas
            .iter()
            .filter(|(_, r)| r.listing.service == *service);
        for (name, r) in members.filter(|(_, r)| r.usable()) {
            seen.listed += 1;
            seen.live += usize::from(r.health.open(now, r.own.requests));
            seen.holders += usize::from(target.is_some_and(|t| r.holds(now, t).is_some()));
            seen.fresh_reports += usize::from(self.has_fresh_residency(now, name));
            seen.requests += self.load(now, name, r).requests;
        }
        seen
    }

    /// What a replica that holds nothing should load: the model of its service
    /// that the fewest replicas hold.
    pub fn least_replicated_model(&self, listing: &ReplicaInfo) -> Option<&ModelName> {
        let service = self.services.get(&listing.service)?;
        let models = service.engine.as_ref()?.models.keys();
        let holders = |m: &ModelName| {
            let all = self.replicas.values().map(|r| &r.listing);
            all.filter(|l| l.models.contains(m)).count()
        };
        models.min_by_key(|m| holders(m))
    }

    /// Steps of a service's engines in one event of a stream.
    pub fn steps_per_event(&self, service: &ServiceName) -> u32 {
        let service = self.services.get(service);
        let engine = service.and_then(|s| s.engine.as_ref());
        engine.map_or(0, |e| e.event_tokens)
    }

    /// Adapters on their way to all replicas, as far as known.
    pub fn loading_adapters(&self, now: Moment) -> usize {
        let books = self.replicas.values().filter_map(|r| r.book.as_ref());
        let fresh = books.filter(|(until, _)| *until > now);
        let adapters =
            |held: &Residency| held.loading.iter().filter(|t| t.adapter.is_some()).count();
        fresh.map(|(_, held)| adapters(held)).sum()
    }

    /// Loads of weights a second that the weight store allows.
    pub fn weight_loads_per_s(&self) -> f64 {
        let engines = self.services.values().filter_map(|s| s.engine.as_ref());
        engines.map(|e| e.load_rate).fold(0.0, f64::max)
    }

    /// Whether any replica is known.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// A peer's counts for all replicas it uses.
    pub fn apply_peer_loads(
        &mut self,
        now: Moment,
        vm: &VmName,
        counts: &BTreeMap<ReplicaName, Load>,
    ) {
        let lapsed = self.peers.iter().filter(|(_, (until, _))| *until <= now);
        let lapsed: Vec<_> = lapsed.map(|(vm, _)| vm.clone()).collect();
        lapsed.iter().for_each(|vm| self.forget_counts(vm));
        self.forget_counts(vm);
        for (name, load) in counts {
            if let Some(r) = self.replicas.get_mut(name) {
                r.told.add(*load);
            }
        }
        let until = now.after(self.word_kept);
        self.peers.insert(vm.clone(), (until, counts.clone()));
        let first = self.peers.values().map(|(until, _)| *until).min();
        self.lapse_at = first.unwrap_or(Moment(u64::MAX));
    }

    /// A peer's count for one replica.
    pub fn apply_peer_load(&mut self, now: Moment, vm: &VmName, name: &ReplicaName, load: Load) {
        let until = now.after(self.word_kept);
        let (_, counts) = self
            .peers
            .entry(vm.clone())
            .or_insert((until, BTreeMap::new()));
        let old = counts.insert(name.clone(), load).unwrap_or_default();
        if let Some(r) = self.replicas.get_mut(name) {
            r.told.remove(old);
            r.told.add(load);
        }
        self.lapse_at = self.lapse_at.min(until);
    }

    /// What all VMs have under way at a replica that this VM owns.
    pub fn total_load(&self, now: Moment, name: &ReplicaName) -> Option<Load> {
        let r = self.replicas.get(name)?;
        Some(self.load(now, name, r))
    }

    /// An owner's count of all requests at its replica. What it was told of
    /// this VM's is in it, and known better here.
    pub fn apply_owner_load(&mut self, now: Moment, name: &ReplicaName, total: Load) {
        let until = now.after(self.word_kept);
        if let Some(r) = self.replicas.get_mut(name) {
            let mut others = total;
            others.remove(r.reported);
            r.word = Some((until, others));
        }
    }

    /// The owner of a replica is told of this VM's requests there.
    pub fn take_report(&mut self, name: &ReplicaName) -> Load {
        let Some(r) = self.replicas.get_mut(name) else {
            return Load::default();
        };
        r.reported = r.own;
        r.own
    }

    fn forget_counts(&mut self, vm: &VmName) {
        let Some((_, counts)) = self.peers.remove(vm) else {
            return;
        };
        for (name, load) in counts {
            if let Some(r) = self.replicas.get_mut(&name) {
                r.told.remove(load);
            }
        }
    }

    /// Requests of all VMs at a replica. The peers' counts are summed as they
    /// come, as each request looks at all replicas; only while some of them
    /// have lapsed are they summed anew.
    fn load(&self, now: Moment, name: &ReplicaName, r: &Replica) -> Load {
        if let Some((until, others)) = r.word {
            return match until > now {
                true => r.own.plus(others),
                false => r.own,
            };
        }
        if now < self.lapse_at {
            return r.own.plus(r.told);
        }
        let fresh = self.peers.values().filter(|(until, _)| *until > now);
        let counts = fresh.filter_map(|(_, counts)| counts.get(name));
        counts.fold(r.own, |sum, load| sum.plus(*load))
    }

    /// An owner's word on what its replica holds.
    pub fn apply_residency(&mut self, now: Moment, name: &ReplicaName, held: Residency) {
        let until = now.after(self.word_kept);
        if let Some(r) = self.replicas.get_mut(name) {
            r.missing.retain(|t, _| !held.loaded.contains_key(t));
            r.book = Some((until, held));
        }
    }

    /// Whether a replica's owner has told lately what it holds.
    pub fn has_fresh_residency(&self, now: Moment, name: &ReplicaName) -> bool {
        let r = self.replicas.get(name);
        let book = r.and_then(|r| r.book.as_ref());
        book.is_some_and(|(until, _)| *until > now)
    }

    /// A replica has another owner: what it holds is as the one before said,
    /// but nobody can load there until the new one tells.
    pub fn expire_owner_reports(&mut self, name: &ReplicaName) {
        if let Some(r) = self.replicas.get_mut(name) {
            if let Some((until, _)) = &mut r.book {
                *until = Moment(0);
            }
            r.word = None;
            r.reported = Load::default();
        }
    }

    /// A request is sent to a replica.
    pub fn begin_run(&mut self, name: &ReplicaName, cost: Load) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.own.add(cost);
        }
    }

    /// The prompt of a run there was read.
    pub fn finish_prefill(&mut self, name: &ReplicaName, unread: u64) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.own.prefill = r.own.prefill.saturating_sub(unread);
        }
    }

    /// A run there ended, however it did.
    pub fn end_run(&mut self, name: &ReplicaName, cost: Load) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.own.remove(cost);
        }
    }

    /// A replica said that it does not hold a target.
    pub fn mark_missing(&mut self, now: Moment, name: &ReplicaName, target: &Target) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.missing.insert(target.clone(), now.after(MISSING_KEPT));
        }
    }

    /// The replicas at which this VM's requests changed since their owner was
    /// told.
    pub fn unreported(&self) -> impl Iterator<Item = &ReplicaName> {
        let changed = self.replicas.iter().filter(|(_, r)| r.own != r.reported);
        changed.map(|(name, _)| name)
    }

    /// The replicas of which an owner is to be told: those that run requests
    /// of this VM, and those of which it was told so before.
    pub fn reportable(&self) -> impl Iterator<Item = &ReplicaName> {
        let counts = |r: &Replica| r.own.requests + r.reported.requests > 0;
        let used = self.replicas.iter().filter(move |(_, r)| counts(r));
        used.map(|(name, _)| name)
    }
}
