//! A VM's view of the replicas, and the placement of requests on them.
//!
//! [`Fleet`] has no I/O and no clock: updates are plain calls with the time as
//! an argument.
//!
//! | module | decides |
//! |---|---|
//! | `place` | where a request runs, or where its adapter is loaded |
//! | `health` | which replicas are healthy, from the outcomes of runs |
//! | `recent_instances` | which replicas leave or are gone, and stay so |
//! | `speeds` | how fast each replica prefills prompts |
//! | `withheld` | which replicas get no requests for a while, and why |
//! | `versions` | which version of an adapter a run may begin on |

mod health;
mod place;
mod recent_instances;
mod speeds;
mod versions;
mod withheld;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

pub use health::RunOutcome;
pub use place::AdmittedBuilds;
pub use place::Placement;
pub use place::PlacementRequest;
pub use speeds::Observation;
pub use speeds::PrefillSpeed;
pub use speeds::PromptQueue;
pub use speeds::SpeedEstimate;
pub use versions::Versions;
pub use withheld::Withheld;
pub use withheld::WithheldReason;

use self::health::Health;
use self::recent_instances::RecentInstances;
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

/// Default lifetime of a peer's report, until it is set for the number of VMs.
/// Older counts would keep a dead VM's requests on a replica, and an older
/// report of a replica's adapters is worse than its entry in the store.
const DEFAULT_REPORT_TTL: Span = Span::from_millis(2_000);

/// How long a replica that refused an adapter as not loaded is not used for it,
/// unless its owner reports it as loaded: about a load plus a beacon interval.
const MISSING_TTL: Span = Span::from_millis(600);

/// How long a load request counts that is not renewed; its owner drops it then.
const REQUEST_TTL: Span = Span::from_millis(700);

/// Delay of a load request on its way to the owner, and of the owner's report on its way
/// back: a report that arrives sooner after the request does not count it.
const REQUEST_DELAY: Span = Span::from_millis(20);

/// How long an adapter keeps the vacancy that this VM requested for it: about a load plus
/// the delay of its report. A load that takes longer waits for something else.
const LOAD_TIME: Span = Span::from_millis(450);

/// How long an entry that expired during a store outage may reappear.
const EXPIRED_GRACE: Span = Span::from_millis(2_000);

/// How long a replica that was gone is not used if the store came back from a copy that
/// lists it. Within this time the replica writes its entry again, or the store removes the
/// entry of one that stays silent.
const UNCONFIRMED_TIME: Span = Span::from_millis(6_000);

/// Requests in flight and the tokens that they hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Number of requests.
    pub requests: u32,
    /// Tokens of the prompts and the expected responses.
    pub tokens: u64,
    /// Prompt tokens that the engine has not prefilled yet.
    pub prefill: u64,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.prefill += other.prefill;
    }

    /// Returns the sum of two loads.
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

/// A VM's view of a service, for the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceSummary {
    /// Replicas that are listed and not draining.
    pub listed: usize,
    /// Those that accept requests.
    pub live: usize,
    /// Those that get no requests for a while at their own wish.
    pub withheld: usize,
    /// Those that hold the adapter.
    pub holders: usize,
    /// Those with a fresh report of what they hold.
    pub fresh_reports: usize,
    /// Requests of all VMs at these replicas.
    pub requests: u32,
}

/// What a replica holds, as reported by its owner.
#[derive(Clone, Debug, Default)]
pub struct Residency {
    /// Models and adapters that it holds, with their versions.
    pub loaded: BTreeMap<Target, u32>,
    /// Models and adapters that it is loading.
    pub loading: BTreeSet<Target>,
    /// Loaded adapters that are requested so often that a second copy would be used as well.
    pub hot: BTreeSet<Target>,
    /// Further adapters that it could load at once; `None` if the owner does not count them.
    pub vacant: Option<u32>,
}

/// A vacancy report of a replica's owner, and the loads that this VM requested there.
#[derive(Debug, Default)]
struct Vacancies {
    /// When the owner's last report arrived, and the number in it; `None` if the owner does
    /// not count vacancies, or its report does not apply any more.
    reported: Option<(Moment, u32)>,
    /// Adapters of which this VM requested the load while there was a vacancy: when first, and
    /// when last.
    requested: BTreeMap<Target, (Moment, Moment)>,
}

impl Vacancies {
    /// Records a request of this VM to load an adapter, which takes a vacancy if there is
    /// one.
    fn record_request(&mut self, now: Moment, target: &Target) {
        self.requested
            .retain(|_, (_, last)| now.since(*last) < REQUEST_TTL);
        if self.has_one_for(now, target) == Some(true) {
            let entry = self.requested.entry(target.clone()).or_insert((now, now));
            entry.1 = now;
        }
    }

    /// Returns whether the load of an adapter that this VM requested may be under way.
    fn is_taken_by(&self, now: Moment, target: &Target) -> bool {
        let times = self.requested.get(target);
        times.is_some_and(|(first, last)| {
            now.since(*first) < LOAD_TIME && now.since(*last) < REQUEST_TTL
        })
    }

    /// Returns whether a replica has a vacancy for an adapter; `None` if that is not known.
    /// The load of another adapter takes a vacancy as soon as this VM requested it; the
    /// owner's next report leaves it out.
    fn has_one_for(&self, now: Moment, target: &Target) -> Option<bool> {
        let (arrived, vacant) = self.reported?;
        if self.is_taken_by(now, target) {
            return Some(true);
        }
        let unreported = self.requested.values().filter(|(first, last)| {
            now.since(*last) < REQUEST_TTL && first.after(REQUEST_DELAY) > arrived
        });
        Some(vacant as usize > unreported.count())
    }
}

/// This VM's view of one replica.
#[derive(Debug)]
struct Replica {
    listing: ReplicaInfo,
    /// Hash of its address, by which replicas are ranked as homes of adapters.
    seed: u64,
    /// Load of this VM's own requests.
    local_load: Load,
    /// Sum of the peers' loads, if this VM owns the replica.
    peer_load: Load,
    /// When the owner's report expires, and the load of the other VMs by that
    /// report; `None` if this VM owns the replica.
    owner_load: Option<(Moment, Load)>,
    /// This VM's load as last reported to the owner.
    reported: Load,
    /// The owner's last report of what the replica holds, preceded by its expiry.
    residency: Option<(Moment, Residency)>,
    /// The adapters that it could load at once.
    vacancies: Vacancies,
    /// Targets that it refused as not loaded, and until when it is not used for them.
    missing: BTreeMap<Target, Moment>,
    health: Health,
    speed: SpeedEstimate,
    /// Speed that this VM observed and has not reported to the owner.
    observed_speed: Option<PrefillSpeed>,
    /// Why it gets no requests at present.
    withheld: Option<Withheld>,
    /// When its entry expired, or was first missing from the store's list.
    expired_at: Option<Moment>,
}

impl Replica {
    fn new(listing: ReplicaInfo, peer_load: Load) -> Self {
        Self {
            seed: place::address_seed(&listing),
            listing,
            local_load: Load::default(),
            peer_load,
            owner_load: None,
            reported: Load::default(),
            residency: None,
            vacancies: Vacancies::default(),
            missing: BTreeMap::new(),
            health: Health::default(),
            speed: SpeedEstimate::default(),
            observed_speed: None,
            withheld: None,
            expired_at: None,
        }
    }

    /// Returns the version in which it holds a target; 0 for base models.
    fn holds(&self, now: Moment, target: &Target) -> Option<u32> {
        if self.missing.get(target).is_some_and(|until| *until > now) {
            return None;
        }
        match (&self.residency, target.adapter.is_some()) {
            // A lost owner orders no more changes there, so its last report
            // stays valid.
            (Some((_, report)), true) => report.loaded.get(target).copied(),
            (Some((until, report)), false) if *until > now => report.loaded.get(target).copied(),
            (None, true) => self.listing.adapters.get(target).copied(),
            (_, false) => self.listing.models.contains(&target.model).then_some(0),
        }
    }

    /// Returns whether it is loading a target, by a fresh report of its owner.
    fn is_loading(&self, now: Moment, target: &Target) -> bool {
        let residency = self.residency.as_ref().filter(|(until, _)| *until > now);
        residency.is_some_and(|(_, report)| report.loading.contains(target))
    }

    /// Returns how many targets it is loading, by a fresh report of its owner.
    fn loading_count(&self, now: Moment) -> usize {
        let residency = self.residency.as_ref().filter(|(until, _)| *until > now);
        residency.map_or(0, |(_, report)| report.loading.len())
    }

    /// Returns whether it may get new requests by its listing.
    fn is_usable(&self) -> bool {
        !self.listing.draining
    }
}

/// All replicas, their services and the announced adapter versions.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneName,
    services: BTreeMap<ServiceName, Service>,
    replicas: BTreeMap<ReplicaName, Replica>,
    /// Replicas that stated that they leave, also those whose entries were removed.
    leaving: RecentInstances,
    /// Replicas whose entries were removed.
    gone: RecentInstances,
    /// Expiry of each peer's report, and the peer's load by replica.
    peers: BTreeMap<VmName, (Moment, BTreeMap<ReplicaName, Load>)>,
    /// When the first of these reports expires.
    next_expiry: Moment,
    report_ttl: Span,
    /// Announced versions of the adapters.
    pub versions: Versions,
    experiment: Experiment,
}

impl Fleet {
    /// Creates an empty view for a VM in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            services: BTreeMap::new(),
            replicas: BTreeMap::new(),
            leaving: RecentInstances::default(),
            gone: RecentInstances::default(),
            peers: BTreeMap::new(),
            next_expiry: Moment(u64::MAX),
            report_ttl: DEFAULT_REPORT_TTL,
            versions: Versions::default(),
            experiment: Experiment::default(),
        }
    }

    /// Applies the mechanisms that are switched off.
    pub fn set_experiment(&mut self, experiment: &Experiment) {
        self.experiment = experiment.clone();
    }

    /// Applies the services of a configuration.
    pub fn configure(&mut self, config: &Config) {
        self.services = config.services.clone();
    }

    /// Sets how long a peer's report stays valid without being renewed.
    pub fn set_report_ttl(&mut self, span: Span) {
        self.report_ttl = span;
    }

    /// Applies a replica's entry in the store. Returns whether it changed which
    /// replicas requests may use.
    pub fn apply_listing(&mut self, listing: ReplicaInfo) -> bool {
        self.gone.remove(&listing.instance());
        let name = listing.name.clone();
        let changed = self.set_listing(listing);
        if let Some(r) = self.replicas.get_mut(&name) {
            r.confirm();
        }
        changed
    }

    fn set_listing(&mut self, mut listing: ReplicaInfo) -> bool {
        let instance = listing.instance();
        // Leaving is final for an incarnation, whatever its entry says later.
        listing.draining |= self.leaving.contains(&instance);
        if listing.draining {
            self.leaving.insert(instance);
        }
        match self.replicas.get_mut(&listing.name) {
            Some(r) if r.listing.started_ms == listing.started_ms => {
                r.expired_at = None;
                // Draining is final for an incarnation.
                listing.draining |= r.listing.draining;
                let changed = r.listing.draining != listing.draining;
                r.listing = listing;
                r.seed = place::address_seed(&r.listing);
                changed
            }
            Some(r) => {
                self.gone.insert(r.listing.instance());
                // Reports about the previous incarnation do not apply.
                let reports = self.peers.values_mut();
                for (_, loads) in reports {
                    loads.remove(&listing.name);
                }
                *r = Replica::new(listing, Load::default());
                true
            }
            None => {
                let name = listing.name.clone();
                let peer_load = self.peers.values().filter_map(|(_, peer)| peer.get(&name));
                let peer_load = peer_load.fold(Load::default(), |sum, load| sum.plus(*load));
                self.replicas.insert(name, Replica::new(listing, peer_load));
                true
            }
        }
    }

    /// Applies a replica's entry in the copy that the store came back from. Returns
    /// whether it changed which replicas requests may use.
    ///
    /// The entry may be older than what is known. One of a former incarnation is
    /// ignored. A replica that was gone is not used until its entry is written again.
    pub fn apply_copied_listing(&mut self, now: Moment, listing: ReplicaInfo) -> bool {
        let known = self.started_ms(&listing.name);
        if known.is_some_and(|known| known > listing.started_ms) {
            return false;
        }
        let (name, was_gone) = (
            listing.name.clone(),
            self.gone.contains(&listing.instance()),
        );
        let changed = self.set_listing(listing);
        if was_gone {
            let until = now.after(UNCONFIRMED_TIME);
            let withheld = Withheld {
                until,
                ready: until,
                reason: WithheldReason::Unconfirmed,
            };
            self.withhold(&name, withheld);
        }
        changed
    }

    /// Returns whether an entry holds information that the other VMs need. The
    /// adapters are ignored, as the replica's owner reports those. An entry of a
    /// draining replica always counts: this VM may know it from another VM, but
    /// not all VMs do. So does one that had expired, as VMs that know of the
    /// expiry would drop the replica.
    pub fn is_update(&self, listing: &ReplicaInfo) -> bool {
        if listing.draining {
            return true;
        }
        let known = self.replicas.get(&listing.name);
        let Some(known) = known.filter(|r| r.expired_at.is_none()) else {
            return true;
        };
        let old = &known.listing;
        let unchanged = ReplicaInfo {
            adapters: old.adapters.clone(),
            ..listing.clone()
        };
        *old != unchanged
    }

    /// Records that a replica's entry expired during a store outage; it may
    /// reappear.
    pub fn mark_expired(&mut self, now: Moment, name: &ReplicaName) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.expired_at.get_or_insert(now);
        }
    }

    /// Records that another VM saw a replica draining. Returns whether that was
    /// not known yet.
    pub fn mark_draining(&mut self, replica: &Instance) -> bool {
        let r = self.replicas.get_mut(&replica.name);
        let r = r.filter(|r| r.listing.started_ms == replica.started_ms);
        r.is_some_and(|r| !std::mem::replace(&mut r.listing.draining, true))
    }

    /// Records that a replica stated that it leaves. Returns whether that was not known of a
    /// listed replica.
    pub fn mark_leaving(&mut self, replica: &Instance) -> bool {
        self.leaving.insert(replica.clone());
        self.mark_draining(replica)
    }

    /// Returns whether a replica is listed and draining.
    pub fn is_draining(&self, name: &ReplicaName) -> bool {
        self.replica_info(name).is_some_and(|l| l.draining)
    }

    /// Removes a replica whose entry was removed: it gets no more requests.
    pub fn remove_listing(&mut self, name: &ReplicaName) -> bool {
        let Some(removed) = self.replicas.remove(name) else {
            return false;
        };
        self.gone.insert(removed.listing.instance());
        true
    }

    /// Applies the complete list of the store. After an outage, entries that
    /// expired meanwhile may reappear within `EXPIRED_GRACE`, so missing
    /// replicas are kept that long; otherwise they are removed.
    pub fn replace_listings(&mut self, now: Moment, all: Vec<ReplicaInfo>, outage: bool) {
        let names: BTreeSet<_> = all.iter().map(|l| l.name.clone()).collect();
        for listing in all {
            self.apply_listing(listing);
        }
        let missing = self.replicas.iter_mut();
        let missing = missing.filter(|(name, _)| !names.contains(*name));
        let missing = missing.map(|(name, r)| {
            r.expired_at.get_or_insert(now);
            name.clone()
        });
        let missing: Vec<_> = missing.collect();
        for name in missing.iter().filter(|_| !outage) {
            self.remove_listing(name);
        }
    }

    /// Removes replicas whose entries did not reappear, and returns their names.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<ReplicaName> {
        let is_overdue = |r: &Replica| {
            r.expired_at
                .is_some_and(|at| now.since(at) >= EXPIRED_GRACE)
        };
        let expired = self.replicas.iter().filter(|(_, r)| is_overdue(r));
        let expired: Vec<_> = expired.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.remove_listing(name);
        }
        expired
    }

    /// Returns a replica's entry in the store, if it is listed.
    pub fn replica_info(&self, name: &ReplicaName) -> Option<&ReplicaInfo> {
        self.replicas.get(name).map(|r| &r.listing)
    }

    /// Returns the start time of a listed replica.
    pub fn started_ms(&self, name: &ReplicaName) -> Option<u64> {
        self.replica_info(name).map(|l| l.started_ms)
    }

    /// Returns the current incarnation of a listed replica.
    pub fn instance(&self, name: &ReplicaName) -> Option<Instance> {
        self.replica_info(name).map(ReplicaInfo::instance)
    }

    /// Returns whether this is the current incarnation of a replica.
    pub fn is_current(&self, replica: &Instance) -> bool {
        self.started_ms(&replica.name) == Some(replica.started_ms)
    }

    /// Iterates over the replicas' entries in the store.
    pub fn replica_infos(&self) -> impl Iterator<Item = &ReplicaInfo> {
        self.replicas.values().map(|r| &r.listing)
    }

    /// Returns whether a replica's service is configured.
    pub fn is_configured(&self, listing: &ReplicaInfo) -> bool {
        self.services.contains_key(&listing.service)
    }

    /// Iterates over the replicas that can hold adapters.
    pub fn engines(&self) -> impl Iterator<Item = &ReplicaInfo> {
        self.replica_infos().filter(|l| self.engine_slots(l) > 0)
    }

    /// Returns how many adapters a replica may hold.
    pub fn engine_slots(&self, listing: &ReplicaInfo) -> u32 {
        let service = self.services.get(&listing.service);
        let engine = service.and_then(|s| s.engine.as_ref());
        engine.map_or(0, |e| e.adapter_slots)
    }

    /// Returns whether a usable replica of a service holds a target.
    pub fn is_held(&self, now: Moment, service: &ServiceName, target: &Target) -> bool {
        let mut replicas = self.replicas.values();
        replicas.any(|r| {
            r.listing.service == *service && r.is_usable() && r.holds(now, target).is_some()
        })
    }

    /// Summarises this VM's view of a service's replicas.
    pub fn summarize(
        &self,
        now: Moment,
        service: &ServiceName,
        target: Option<&Target>,
    ) -> ServiceSummary {
        let mut summary = ServiceSummary::default();
        let members = self
            .replicas
            .iter()
            .filter(|(_, r)| r.listing.service == *service);
        for (name, r) in members.filter(|(_, r)| r.is_usable()) {
            summary.listed += 1;
            summary.live += usize::from(r.health.allows_request(now, r.local_load.requests));
            summary.withheld += usize::from(r.withheld_at(now).is_some());
            summary.holders += usize::from(target.is_some_and(|t| r.holds(now, t).is_some()));
            summary.fresh_reports += usize::from(self.has_fresh_residency(now, name));
            summary.requests += self.load(now, name, r).requests;
        }
        summary
    }

    /// Returns the model that an empty replica should load: the one of its
    /// service that the fewest replicas hold.
    pub fn least_replicated_model(&self, listing: &ReplicaInfo) -> Option<&ModelName> {
        let service = self.services.get(&listing.service)?;
        let models = service.engine.as_ref()?.models.keys();
        let holder_count = |m: &ModelName| {
            let all = self.replicas.values().map(|r| &r.listing);
            all.filter(|l| l.models.contains(m)).count()
        };
        models.min_by_key(|m| holder_count(m))
    }

    /// Returns how many engine steps of a service make up one stream event.
    pub fn steps_per_event(&self, service: &ServiceName) -> u32 {
        let service = self.services.get(service);
        let engine = service.and_then(|s| s.engine.as_ref());
        engine.map_or(0, |e| e.event_tokens)
    }

    /// Returns how many adapters all replicas are loading, by fresh reports.
    pub fn loading_adapters(&self, now: Moment) -> usize {
        let reports = self.replicas.values().filter_map(|r| r.residency.as_ref());
        let valid = reports.filter(|(until, _)| *until > now);
        let count = |report: &Residency| {
            report
                .loading
                .iter()
                .filter(|t| t.adapter.is_some())
                .count()
        };
        valid.map(|(_, report)| count(report)).sum()
    }

    /// Returns the loads per second that the weight store allows.
    pub fn weight_loads_per_s(&self) -> f64 {
        let engines = self.services.values().filter_map(|s| s.engine.as_ref());
        engines.map(|e| e.load_rate).fold(0.0, f64::max)
    }

    /// Returns whether no replica is listed.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Replaces a peer's load at all replicas.
    pub fn apply_peer_loads(
        &mut self,
        now: Moment,
        vm: &VmName,
        loads: &BTreeMap<ReplicaName, Load>,
    ) {
        let expired = self.peers.iter().filter(|(_, (until, _))| *until <= now);
        let expired: Vec<_> = expired.map(|(vm, _)| vm.clone()).collect();
        expired.iter().for_each(|vm| self.remove_peer(vm));
        self.remove_peer(vm);
        for (name, load) in loads {
            if let Some(r) = self.replicas.get_mut(name) {
                r.peer_load.add(*load);
            }
        }
        let until = now.after(self.report_ttl);
        self.peers.insert(vm.clone(), (until, loads.clone()));
        let earliest = self.peers.values().map(|(until, _)| *until).min();
        self.next_expiry = earliest.unwrap_or(Moment(u64::MAX));
    }

    /// Updates a peer's load at one replica.
    pub fn apply_peer_load(&mut self, now: Moment, vm: &VmName, name: &ReplicaName, load: Load) {
        let until = now.after(self.report_ttl);
        let (_, loads) = self
            .peers
            .entry(vm.clone())
            .or_insert((until, BTreeMap::new()));
        let old = loads.insert(name.clone(), load).unwrap_or_default();
        if let Some(r) = self.replicas.get_mut(name) {
            r.peer_load.remove(old);
            r.peer_load.add(load);
        }
        self.next_expiry = self.next_expiry.min(until);
    }

    /// Returns the load of all VMs at a replica.
    pub fn total_load(&self, now: Moment, name: &ReplicaName) -> Option<Load> {
        let r = self.replicas.get(name)?;
        Some(self.load(now, name, r))
    }

    /// Applies the owner's total load of a replica. It includes this VM's load as
    /// last reported, which is subtracted because the current one is known here.
    pub fn apply_owner_load(&mut self, now: Moment, name: &ReplicaName, total: Load) {
        let until = now.after(self.report_ttl);
        if let Some(r) = self.replicas.get_mut(name) {
            let mut others = total;
            others.remove(r.reported);
            r.owner_load = Some((until, others));
        }
    }

    /// Returns this VM's load at a replica and marks it as reported to the owner.
    pub fn take_report(&mut self, name: &ReplicaName) -> Load {
        let Some(r) = self.replicas.get_mut(name) else {
            return Load::default();
        };
        r.reported = r.local_load;
        r.local_load
    }

    /// Removes a peer's last load report from the loads of the replicas.
    fn remove_peer(&mut self, vm: &VmName) {
        let Some((_, loads)) = self.peers.remove(vm) else {
            return;
        };
        for (name, load) in loads {
            if let Some(r) = self.replicas.get_mut(&name) {
                r.peer_load.remove(load);
            }
        }
    }

    /// Returns the load of all VMs at a replica. The peers' loads are summed when
    /// they arrive, because each request reads them for all replicas; they are
    /// summed again here only if some have expired.
    fn load(&self, now: Moment, name: &ReplicaName, r: &Replica) -> Load {
        if let Some((until, others)) = r.owner_load {
            return match until > now {
                true => r.local_load.plus(others),
                false => r.local_load,
            };
        }
        if now < self.next_expiry {
            return r.local_load.plus(r.peer_load);
        }
        let valid = self.peers.values().filter(|(until, _)| *until > now);
        let loads = valid.filter_map(|(_, loads)| loads.get(name));
        loads.fold(r.local_load, |sum, load| sum.plus(*load))
    }

    /// Applies the owner's report of what a replica holds.
    pub fn apply_residency(&mut self, now: Moment, name: &ReplicaName, report: Residency) {
        let until = now.after(self.report_ttl);
        if let Some(r) = self.replicas.get_mut(name) {
            r.missing.retain(|t, _| !report.loaded.contains_key(t));
            let held = |t: &Target| report.loaded.contains_key(t) || report.loading.contains(t);
            r.vacancies.requested.retain(|t, _| !held(t));
            r.vacancies.reported = report.vacant.map(|vacant| (now, vacant));
            r.residency = Some((until, report));
        }
    }

    /// Records that this VM requested the load of an adapter at a replica.
    pub fn record_load_request(&mut self, now: Moment, name: &ReplicaName, target: &Target) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.vacancies.record_request(now, target);
        }
    }

    /// Returns whether the owner's report of what a replica holds is fresh.
    pub fn has_fresh_residency(&self, now: Moment, name: &ReplicaName) -> bool {
        let r = self.replicas.get(name);
        let residency = r.and_then(|r| r.residency.as_ref());
        residency.is_some_and(|(until, _)| *until > now)
    }

    /// Expires the reports of a replica's previous owner. Its last report of what
    /// the replica holds still applies, but nothing can be loaded until the new
    /// owner reports.
    pub fn expire_owner_reports(&mut self, name: &ReplicaName) {
        if let Some(r) = self.replicas.get_mut(name) {
            if let Some((until, _)) = &mut r.residency {
                *until = Moment(0);
            }
            r.owner_load = None;
            r.vacancies = Vacancies::default();
            r.reported = Load::default();
        }
    }

    /// Adds the load of a request that is sent to a replica.
    pub fn begin_run(&mut self, name: &ReplicaName, cost: Load) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.local_load.add(cost);
        }
    }

    /// Records that a prompt of `tokens` tokens was prefilled.
    pub fn finish_prefill(&mut self, name: &ReplicaName, tokens: u64) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.local_load.prefill = r.local_load.prefill.saturating_sub(tokens);
        }
    }

    /// Removes the load of a run that ended with any outcome.
    pub fn end_run(&mut self, name: &ReplicaName, cost: Load) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.local_load.remove(cost);
        }
    }

    /// Records that a replica refused a target as not loaded.
    pub fn mark_missing(&mut self, now: Moment, name: &ReplicaName, target: &Target) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.missing.insert(target.clone(), now.after(MISSING_TTL));
        }
    }

    /// Iterates over the replicas whose load by this VM changed since it was
    /// last reported.
    pub fn unreported(&self) -> impl Iterator<Item = &ReplicaName> {
        let changed = self
            .replicas
            .iter()
            .filter(|(_, r)| r.local_load != r.reported);
        changed.map(|(name, _)| name)
    }

    /// Iterates over the replicas to report to their owners: those that run
    /// requests of this VM, and those last reported as running some.
    pub fn reportable(&self) -> impl Iterator<Item = &ReplicaName> {
        let is_reportable = |r: &Replica| r.local_load.requests + r.reported.requests > 0;
        let reportable = self.replicas.iter().filter(move |(_, r)| is_reportable(r));
        reportable.map(|(name, _)| name)
    }
}
