//! The state that the tasks of one serving VM share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use banyangauge_proto as wire;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Incarnation;
use crate::ids::OrganisationName;
use crate::ids::ReplicaName;
use crate::ids::ServiceName;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::feed::Feeds;
use crate::serving::cluster::members::Members;
use crate::serving::cluster::owner_table::Owner;
use crate::serving::cluster::owner_table::OwnerTable;
use crate::serving::cluster::owner_table::token_era;
use crate::serving::cluster::ownership::NEW_MEMBER_GRACE;
use crate::serving::cluster::ownership::Ownership;
use crate::serving::cluster::recency::Recency;
use crate::serving::cluster::recency::WitnessQueue;
use crate::serving::cluster::subscriptions::Subscriptions;
use crate::serving::cluster::topic::Topic;
use crate::serving::decisions::access::ApiKeys;
use crate::serving::decisions::access::ConfigAge;
use crate::serving::decisions::access::KeyBounds;
use crate::serving::decisions::adapter_planner::AdapterPlanner;
use crate::serving::decisions::crash_tracker::CrashTracker;
use crate::serving::decisions::crash_tracker::Feature;
use crate::serving::decisions::fleet::AdmittedBuilds;
use crate::serving::decisions::fleet::Fleet;
use crate::serving::decisions::fleet::Load;
use crate::serving::decisions::memory_account::AccountLimits;
use crate::serving::decisions::memory_account::MemoryAccount;
use crate::serving::decisions::prefill_turns::PrefillTurns;
use crate::serving::decisions::quota::Borrower;
use crate::serving::decisions::quota::Lender;
use crate::serving::decisions::reachability::Reachability;
use crate::serving::decisions::replica_limits::LimitLedger;
use crate::serving::decisions::replica_limits::ReplicaLimits;
use crate::serving::decisions::reservations::Reservations;
use crate::serving::decisions::retry_budget::RetryBudget;
use crate::serving::decisions::stall_detector::StallDetector;
use crate::serving::decisions::stop_plan::RunTimes;
use crate::serving::decisions::stream_builds::KeptGroup;
use crate::serving::decisions::stream_builds::KnownAsOf;
use crate::serving::decisions::stream_builds::StreamBuilds;
use crate::serving::decisions::stream_builds::StreamGroup;
use crate::serving::decisions::urgency::Urgencies;
use crate::serving::decisions::waiting::WaitQueue;
use crate::serving::path::routes::Routes;
use crate::serving::path::types::Config;
use crate::serving::path::types::Instance;
use crate::serving::path::types::RateLimit;
use crate::serving::path::types::ReplicaInfo;
use crate::serving::path::types::Target;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::to_span;
use crate::serving::program::settings::ServeSettings;
use crate::serving::store::follow;
use crate::serving::store::port::Era;
use crate::serving::store::port::StoreRevision;

/// The configuration in force.
#[derive(Debug)]
pub(in crate::serving) struct ActiveConfig {
    pub(in crate::serving) config: Config,
    pub(in crate::serving) routes: Routes,
    /// The keys of callers; `None` if callers need no key.
    pub(in crate::serving) keys: Option<ApiKeys>,
    /// The limits of organisations that have one.
    pub(in crate::serving) use_limits: BTreeMap<OrganisationName, RateLimit>,
    /// The urgencies that engines are told.
    pub(in crate::serving) urgencies: Urgencies,
}

impl ActiveConfig {
    /// Indexes the routes, keys, limits and ranks of a configuration.
    fn new(config: Config) -> Self {
        let routes = Routes::new(&config.routes);
        let all = config.organisations.as_deref();
        let limits = all.unwrap_or_default().iter();
        let limits = limits.filter_map(|o| Some((o.name.clone(), o.limit?)));
        Self {
            keys: all.map(ApiKeys::new),
            use_limits: limits.collect(),
            urgencies: Urgencies::new(&config),
            routes,
            config,
        }
    }
}

/// This VM's runs with one adapter at one replica: those running now and those
/// started since the last report to the owner.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::serving) struct LocalUse {
    pub(in crate::serving) running: u32,
    pub(in crate::serving) started: u32,
}

/// The state of one VM. Tasks borrow it briefly and never across an await.
#[derive(Debug)]
pub(in crate::serving) struct NodeState {
    pub(in crate::serving) active: Option<Rc<ActiveConfig>>,
    pub(in crate::serving) fleet: Fleet,
    /// Memory for connections and the bodies of requests.
    pub(in crate::serving) memory: MemoryAccount,
    /// How long runs take, which says what a stopping process may still send.
    pub(in crate::serving) run_times: RunTimes,
    budget: RetryBudget,
    pub(in crate::serving) members: Members,
    pub(in crate::serving) ownership: Ownership,
    pub(in crate::serving) planner: AdapterPlanner,
    pub(in crate::serving) crash_tracker: CrashTracker,
    pub(in crate::serving) stall_detector: StallDetector,
    pub(in crate::serving) turns: PrefillTurns,
    pub(in crate::serving) local_uses: BTreeMap<ReplicaName, BTreeMap<Target, LocalUse>>,
    /// Reservations of capacity at our replicas.
    pub(in crate::serving) reservations: Reservations,
    /// Limits that replicas state for all VMs together.
    pub(in crate::serving) replica_limits: ReplicaLimits,
    /// Replicas whose statements the lenders of their limits must be told.
    pub(in crate::serving) limit_reports: BTreeSet<Instance>,
    /// The limits of replicas that this VM lends.
    pub(in crate::serving) limit_ledger: LimitLedger,
    /// Whether these changed since they were last announced.
    pub(in crate::serving) limits_changed: bool,
    /// The services whose replicas this VM cannot reach.
    pub(in crate::serving) reachability: Reachability,
    /// Leaving replicas to announce to the other VMs.
    pub(in crate::serving) leaving: BTreeSet<Instance>,
    /// Replicas that stated on a response to this VM that they are leaving, and when.
    pub(in crate::serving) stated_leaving: BTreeMap<Instance, Moment>,
    /// The VMs that wait for loads at replicas that this VM owns.
    pub(in crate::serving) subscriptions: Subscriptions,
    /// The incarnation and number of each VM's newest load report.
    pub(in crate::serving) last_reports: BTreeMap<VmName, (Incarnation, u64)>,
    /// The synchronization state of the store's topics.
    pub(in crate::serving) feeds: Feeds,
    /// Beacons from other availability zones to pass on.
    pub(in crate::serving) relay_queue: BTreeMap<VmName, wire::Beacon>,
    /// The latest known era of the store, and since when; `None` before any answer.
    pub(in crate::serving) era: Option<(Era, Moment)>,
    /// The newest configuration that another VM has in force, and since when this VM
    /// has known of it.
    pub(in crate::serving) peer_config: (u64, Moment),
    /// Whether this VM has served with its configuration.
    pub(in crate::serving) has_served: bool,
    /// When it was last logged that the configuration may be outdated.
    pub(in crate::serving) outdated_logged: Option<Moment>,
    /// Whether the replicas were listed at least once.
    pub(in crate::serving) replicas_listed: bool,
    /// The time limits within which changes of keys must be applied.
    pub(in crate::serving) key_bounds: KeyBounds,
    /// When the configuration was last proven to be the newest.
    pub(in crate::serving) recency: Recency,
    /// Distributes proofs that the configuration is the newest to the other VMs.
    pub(in crate::serving) witnesses: WitnessQueue,
    /// The shares of organisations' limits lent to this VM.
    pub(in crate::serving) borrower: Borrower<OrganisationName>,
    /// The shares of organisations' limits that this VM lends.
    pub(in crate::serving) lender: Lender<OrganisationName>,
    /// Which build began each stream.
    pub(in crate::serving) stream_builds: StreamBuilds,
    /// The streams that this VM keeps in the store.
    pub(in crate::serving) kept_streams: BTreeMap<StreamGroup, KeptGroup>,
    /// When a stream could last not be kept.
    pub(in crate::serving) keep_failed: Option<Moment>,
    /// The requests that wait for a replica, by service; none is empty.
    pub(in crate::serving) waiting: BTreeMap<ServiceName, WaitQueue>,
}

/// How long a VM must have been cut off from an engine service to lose its replicas.
const MIN_CUT: Span = Span::from_millis(1_500);

/// A service is reached by a VM that heard from one of its replicas within this time.
const RECENTLY_HEARD: Span = Span::from_millis(1_000);

/// How long a VM that starts waits for the configuration that other VMs have in force:
/// several times what the operator needs to write it again.
const MAX_CONFIG_WAIT: Span = Span::from_millis(10_000);

/// How long streams begin only where they need not be kept after the store has kept none.
const KEEP_RETRY: Span = Span::from_millis(2_000);

/// Returns the seed of the order in which VMs lend for an organisation.
pub(in crate::serving) fn lender_seed(name: &OrganisationName) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

/// Returns the seed of the order in which VMs lend a replica's limit.
pub(in crate::serving) fn replica_seed(name: &ReplicaName) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

impl NodeState {
    pub(in crate::serving) fn new(settings: &ServeSettings, now: Moment) -> Self {
        let lease = to_span(settings.lease);
        let mut state = Self {
            active: None,
            fleet: Fleet::new(settings.zone.clone()),
            memory: MemoryAccount::new(AccountLimits {
                memory: settings.memory,
                max_fds: settings.max_fds,
            }),
            run_times: RunTimes::default(),
            budget: RetryBudget::new(settings.budget, now),
            members: Members::new(settings.vm.clone(), now),
            ownership: Ownership::new(settings.vm.clone(), lease, settings.fencing),
            planner: AdapterPlanner::default(),
            crash_tracker: CrashTracker::default(),
            stall_detector: StallDetector::default(),
            turns: PrefillTurns::default(),
            local_uses: BTreeMap::new(),
            reservations: Reservations::default(),
            replica_limits: ReplicaLimits::default(),
            limit_reports: BTreeSet::new(),
            limit_ledger: LimitLedger::new(settings.vm.clone()),
            limits_changed: false,
            reachability: Reachability::default(),
            leaving: BTreeSet::new(),
            stated_leaving: BTreeMap::new(),
            subscriptions: Subscriptions::default(),
            last_reports: BTreeMap::new(),
            feeds: Feeds::new(|topic| follow::poll_policy(settings, topic)),
            relay_queue: BTreeMap::new(),
            era: None,
            peer_config: (0, now),
            has_served: false,
            outdated_logged: None,
            replicas_listed: false,
            key_bounds: KeyBounds {
                revoke: settings.key_revocation.map(to_span),
                apply: to_span(settings.config_apply),
            },
            recency: Recency::default(),
            witnesses: WitnessQueue::default(),
            borrower: Borrower::default(),
            lender: Lender::new(settings.allowance),
            stream_builds: StreamBuilds::new(settings.first_start),
            kept_streams: BTreeMap::new(),
            keep_failed: None,
            waiting: BTreeMap::new(),
        };
        // Without fencing, an owner needs direct acknowledgements from each VM.
        if settings.fencing && settings.experiment.is_enabled(Mechanism::ZoneRelays) {
            state.members.enable_relays(settings.zone.clone());
        }
        state.fleet.set_experiment(&settings.experiment);
        state.planner.set_experiment(&settings.experiment);
        state
    }

    /// Returns the position of this VM in the polling order of a topic, or
    /// `None` if each VM polls for itself.
    pub(in crate::serving) fn poll_rank(
        &self,
        now: Moment,
        settings: &ServeSettings,
        topic: Topic,
    ) -> Option<u64> {
        let shared = settings.experiment.is_enabled(Mechanism::StoreNews)
            && self.members.shares_updates(settings.fencing);
        shared.then(|| self.members.rank(now, u64::from(topic.number())))
    }

    /// Returns the age of the key configuration.
    pub(in crate::serving) fn key_freshness(&mut self, now: Moment) -> ConfigAge {
        ConfigAge {
            confirmed: self.recency.age(now),
            estimated: self.feeds.get(Topic::Config).age(now),
        }
    }

    /// Whether this VM may serve callers that need a key.
    pub(in crate::serving) fn keys_valid(&mut self, now: Moment) -> bool {
        let needed = self.active.as_ref().is_some_and(|a| a.keys.is_some());
        let freshness = self.key_freshness(now);
        !needed || self.key_bounds.may_use_keys(&freshness)
    }

    /// Whether the store must be asked now to prove that the keys are current.
    pub(in crate::serving) fn proof_due(&mut self, now: Moment, rank: Option<u64>) -> bool {
        let Some(revoke) = self.key_bounds.revoke else {
            return false;
        };
        let needed = self.active.as_ref().is_some_and(|a| a.keys.is_some());
        let backing_off = self.feeds.get(Topic::Config).is_backing_off(now);
        let useless = backing_off || self.recency.is_suspended(now);
        needed && !useless && self.recency.is_due(now, revoke, rank.unwrap_or(0))
    }

    /// Advances the limits for which this VM is the first lender to `now`.
    pub(in crate::serving) fn update_lender(&mut self, now: Moment) {
        self.update_limit_ledger(now);
        let Some(active) = self.active.clone() else {
            return;
        };
        let part = self.members.reachable_fraction(now);
        let own = self.members.local();
        let first = |name: &OrganisationName| {
            let lenders = self.members.lenders(now, lender_seed(name));
            lenders.first() == Some(&own)
        };
        let limits = active.use_limits.iter().filter(|(name, _)| first(name));
        self.lender.renew(now, part, limits);
    }

    /// Advances the limits of replicas for which this VM is the first lender to `now`, and
    /// forgets those of replicas that are gone.
    fn update_limit_ledger(&mut self, now: Moment) {
        let fleet = &self.fleet;
        self.replica_limits.retain(|r| fleet.is_current(r));
        let own = self.members.local();
        let first = self.limit_ledger.replicas().filter(|r| {
            let lenders = self.members.lenders(now, replica_seed(&r.name));
            lenders.first() == Some(&own)
        });
        let first: Vec<_> = first.cloned().collect();
        let reachable = self.members.reachable_fraction(now);
        self.limit_ledger
            .renew(now, reachable, &first, |r| fleet.is_current(r));
    }

    /// Records that the store, or a VM that heard from it, is in an era. Returns the
    /// era before if the store came back from an earlier copy since.
    pub(in crate::serving) fn observe_era(&mut self, now: Moment, era: Era) -> Option<Era> {
        let old = self.era.map(|(era, _)| era);
        if old.is_some_and(|old| era <= old) {
            return None;
        }
        self.era = Some((era, now));
        for topic in Topic::ALL {
            self.feeds.get(topic).begin_era(now, era);
        }
        self.ownership.begin_era(era);
        self.stream_builds.observe_era(now, era);
        if old.is_some() {
            self.recency.begin_era(now);
        }
        old
    }

    /// Returns the latest known era of the store.
    pub(in crate::serving) fn store_era(&self) -> Era {
        self.era.map_or(Era::default(), |(era, _)| era)
    }

    /// Records the version of the configuration that another VM has in force.
    pub(in crate::serving) fn record_peer_config(&mut self, now: Moment, version: u64) {
        if version > self.peer_config.0 {
            self.peer_config = (version, now);
        }
    }

    /// Returns the configuration to serve with, if requests can be served.
    ///
    /// A VM that starts while the store lacks the newest configuration waits until it
    /// is written again, as the other VMs have it in force. The wait is limited, as
    /// serving with an older one is better for callers than not serving at all.
    pub(in crate::serving) fn serving_config(&mut self, now: Moment) -> Option<Rc<ActiveConfig>> {
        let active = self.active.clone().filter(|_| self.replicas_listed)?;
        let (newest, since) = self.peer_config;
        let outdated = active.config.version < newest && now.since(since) < MAX_CONFIG_WAIT;
        // A store that never came back from a copy has the newest one.
        let may_lack = self.store_era() > Era::default();
        if !self.has_served && may_lack && (outdated || self.members.awaits_peers(now)) {
            return None;
        }
        self.has_served = true;
        Some(active)
    }

    /// Whether requests can be served.
    pub(in crate::serving) fn is_ready(&mut self, now: Moment) -> bool {
        self.serving_config(now).is_some()
    }

    /// Applies a configuration. Returns `false` if it is not newer than the one
    /// in force.
    pub(in crate::serving) fn apply_config(&mut self, config: Config) -> bool {
        let old = self.active.as_ref().map_or(0, |a| a.config.version);
        if config.version <= old {
            return false;
        }
        self.fleet.configure(&config);
        let active = ActiveConfig::new(config);
        self.borrower
            .retain(|name| active.use_limits.contains_key(name));
        self.active = Some(Rc::new(active));
        true
    }

    /// Applies a replica's entry from the store, or from the copy that the store came
    /// back from. Returns whether it changed what requests may use.
    pub(in crate::serving) fn apply_listing(
        &mut self,
        now: Moment,
        listing: ReplicaInfo,
        copied: bool,
    ) -> bool {
        let (name, started_ms) = (listing.name.clone(), listing.started_ms);
        if self
            .fleet
            .started_ms(&name)
            .is_some_and(|old| old != started_ms)
        {
            self.local_uses.remove(&name);
        }
        self.stream_builds
            .list(now, &listing.service, &listing.build);
        match copied {
            true => self.fleet.apply_copied_listing(now, listing),
            false => self.fleet.apply_listing(listing),
        }
    }

    /// Returns the builds of a service at which a stream may begin now. While the store is away
    /// it can keep none, so all begin at the build whose streams need not be kept. Where the ledger
    /// cannot be changed, requests do not wait for that.
    pub(in crate::serving) fn admitted_builds(
        &mut self,
        now: Moment,
        service: &ServiceName,
    ) -> Option<AdmittedBuilds> {
        let failed = self
            .keep_failed
            .is_some_and(|at| now.since(at) < KEEP_RETRY);
        let is_away = failed || self.feeds.get(Topic::Cluster).is_failing();
        let builds = &self.stream_builds;
        let admitted = builds.admitted(service)?;
        Some(match builds.default_build(service).filter(|_| is_away) {
            Some(default) => AdmittedBuilds::Preferred(BTreeSet::from([default.clone()])),
            None if is_away || !builds.is_settled() => AdmittedBuilds::Preferred(admitted.clone()),
            None => AdmittedBuilds::All(admitted.clone()),
        })
    }

    /// Records as of when the builds are known. `notice` is how long a build is listed before
    /// streams begin there.
    pub(in crate::serving) fn prove_builds(&mut self, notice: Span) {
        let known = KnownAsOf {
            replicas: self.feeds.get(Topic::Replicas).as_of(),
            ledger: self.feeds.get(Topic::Cluster).as_of(),
            notice,
        };
        self.stream_builds.prove(&known);
    }

    /// Records the builds that are listed now, and forgets old streams.
    pub(in crate::serving) fn observe_builds(&mut self, now: Moment) {
        for replica in self.fleet.replica_infos() {
            self.stream_builds
                .list(now, &replica.service, &replica.build);
        }
        self.stream_builds.expire(now);
    }

    /// Applies the complete list of replicas.
    pub(in crate::serving) fn apply_listings(&mut self, now: Moment, all: Vec<ReplicaInfo>) {
        for l in &all {
            if self
                .fleet
                .started_ms(&l.name)
                .is_some_and(|old| old != l.started_ms)
            {
                self.local_uses.remove(&l.name);
            }
        }
        self.fleet.replace_listings(now, all, false);
        self.observe_builds(now);
    }

    /// Whether the owner of a replica can load adapters there now.
    pub(in crate::serving) fn can_load(
        &self,
        now: Moment,
        own: &VmName,
        name: &ReplicaName,
    ) -> bool {
        match self.ownership.owner(name) {
            Some(vm) if vm == own => self.ownership.token(now, name).is_some(),
            // An owner that still waits for the former owner's lease to end
            // does not report yet which adapters are loaded.
            Some(vm) => self.members.is_live(now, vm) && self.fleet.has_fresh_residency(now, name),
            None => false,
        }
    }

    /// Returns the blocked feature for which a request is refused now.
    pub(in crate::serving) fn find_block(
        &mut self,
        now: Moment,
        features: &[Feature],
    ) -> Option<Feature> {
        let members = &self.members;
        let may_try = |feature: Feature| members.rank(now, feature.number()) == 0;
        self.crash_tracker.find_block(now, features, may_try)
    }

    /// The same for a request that is sent to a replica right after this call.
    pub(in crate::serving) fn begin_blocked_send(
        &mut self,
        now: Moment,
        features: &[Feature],
    ) -> Option<Feature> {
        let members = &self.members;
        let may_try = |feature: Feature| members.rank(now, feature.number()) == 0;
        self.crash_tracker.begin_send(now, features, may_try)
    }

    /// Returns the retry budget for the number of VMs that is known now.
    pub(in crate::serving) fn retry_budget(&mut self, now: Moment) -> &mut RetryBudget {
        if let Some(vms) = self.members.listed_count() {
            self.budget.set_vm_count(now, vms);
        }
        &mut self.budget
    }

    /// Whether a replica states a limit on the requests of all VMs.
    pub(in crate::serving) fn is_limited(&self, now: Moment, name: &ReplicaName) -> bool {
        if self.replica_limits.is_empty() {
            return false;
        }
        let replica = self.fleet.instance(name);
        replica.is_some_and(|r| self.replica_limits.rate(now, &r).is_some())
    }

    /// Applies the owner table. Returns `false` if it is not newer.
    pub(in crate::serving) fn apply_owner_table(
        &mut self,
        now: Moment,
        table: OwnerTable,
        revision: StoreRevision,
    ) -> bool {
        let old = self.ownership.table.owners.clone();
        if !self.ownership.apply_table(now, table, revision) {
            return false;
        }
        for (name, owner) in &self.ownership.table.owners {
            let continues =
                |o: &Owner| o.vm == owner.vm && token_era(o.token) < token_era(owner.token);
            let changed = |o: &Owner| o.token != owner.token && !continues(o);
            if old.get(name).is_some_and(changed) {
                self.fleet.expire_owner_reports(name);
            }
        }
        true
    }

    /// Records that a replica sent something to this VM.
    pub(in crate::serving) fn record_heard(&mut self, now: Moment, replica: &ReplicaName) {
        if let Some(info) = self.fleet.replica_info(replica) {
            self.reachability.record_heard(now, &info.service);
        }
    }

    /// Records that a replica could not be reached. Returns its service if no replica of
    /// it can be reached since now.
    pub(in crate::serving) fn record_unreached(
        &mut self,
        now: Moment,
        replica: &ReplicaName,
    ) -> Option<ServiceName> {
        let service = self.fleet.replica_info(replica)?.service.clone();
        let all = self.fleet.replica_infos();
        let listed = all.filter(|r| r.service == service && !r.draining).count();
        let found = self
            .reachability
            .record_failure(now, &service, replica, listed);
        found.then_some(service)
    }

    /// Counts a run that begins at a replica.
    pub(in crate::serving) fn begin_run(
        &mut self,
        name: &ReplicaName,
        target: Option<&Target>,
        cost: Load,
    ) {
        self.fleet.begin_run(name, cost);
        if let Some(target) = target.filter(|t| t.adapter.is_some()) {
            let uses = self.local_uses.entry(name.clone()).or_default();
            let entry = uses.entry(target.clone()).or_default();
            entry.running += 1;
            entry.started += 1;
        }
    }

    /// Counts the end of a run, unless the replica has restarted since.
    pub(in crate::serving) fn end_run(
        &mut self,
        at: &Instance,
        target: Option<&Target>,
        cost: Load,
    ) {
        // A restarted replica no longer counts the run.
        if !self.fleet.is_current(at) {
            return;
        }
        let name = &at.name;
        self.fleet.end_run(name, cost);
        let target = target.filter(|t| t.adapter.is_some());
        let uses = target.and_then(|t| self.local_uses.get_mut(name)?.get_mut(t));
        if let Some(entry) = uses {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Returns the use of a replica's adapters, to be reported to its owner, and
    /// resets the counts of started runs, so that each is reported once.
    pub(in crate::serving) fn take_uses(
        &mut self,
        name: &ReplicaName,
    ) -> BTreeMap<Target, LocalUse> {
        let Some(uses) = self.local_uses.get_mut(name) else {
            return BTreeMap::new();
        };
        let reported = uses.clone();
        uses.retain(|_, u| u.running > 0);
        uses.values_mut().for_each(|u| u.started = 0);
        if uses.is_empty() {
            self.local_uses.remove(name);
        }
        reported
    }

    /// Returns the live VMs that cannot give orders because they reach no replica of an
    /// engine service, while this VM does.
    ///
    /// A change of owners stops loads for a lease, so a cut must have lasted for some time.
    /// Where replicas check no fencing tokens, an owner may rely on the acknowledgement of a
    /// process that was stopped as planned; the one that follows it moves nothing until that
    /// has expired.
    pub(in crate::serving) fn unfit_owners(&self, now: Moment, fenced: bool) -> BTreeSet<VmName> {
        if !fenced && self.members.age(now) < NEW_MEMBER_GRACE {
            return BTreeSet::new();
        }
        let engines = self.active.as_ref().map(|a| &a.config.services);
        let is_reached = |service: &ServiceName| {
            engines.is_some_and(|all| all.get(service).is_some_and(|s| s.engine.is_some()))
                && self.reachability.has_heard(now, service, RECENTLY_HEARD)
        };
        self.members.without_replicas(now, MIN_CUT, is_reached)
    }

    /// Tracks the replicas that this VM owns in its adapter planner, and drops
    /// the others.
    pub(in crate::serving) fn sync_planner(&mut self, now: Moment) {
        let active = self.ownership.usable(now);
        let ours: BTreeSet<_> = active.map(|(name, _)| name.clone()).collect();
        for name in &ours {
            if let Some(listing) = self.fleet.replica_info(name) {
                let most = self.fleet.engine_slots(listing);
                // Replicas without adapter slots need no planning: they are
                // owned to sum their requests.
                if most > 0 {
                    self.planner.track(now, listing, most);
                }
            }
        }
        self.planner.retain(&ours);
    }
}
