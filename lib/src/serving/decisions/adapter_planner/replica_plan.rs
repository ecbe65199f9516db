//! The plan for one owned replica: its adapters, and the next order to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::LoadDuration;
use super::LoadWait;
use super::OrderOutcome;
use super::ReplicaAction;
use super::ReplicaReport;
use super::load_queue::LoadQueue;
use crate::ids::ModelName;
use crate::ids::VmName;
use crate::pool::Demand;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::fetch_limiter::LoadDurations;
use crate::serving::decisions::fleet::Residency;
use crate::serving::decisions::fleet::Versions;
use crate::serving::decisions::order_timeout::OrderTimeout;
use crate::serving::path::types::ReplicaInfo;
use crate::serving::path::types::Target;

/// Maximum concurrent loads at one replica; the replica accepts no more.
const MAX_LOADING: usize = 4;

/// Half-life of the demand by which adapters are ranked for eviction, in
/// microseconds: demand shifts within some ten seconds, and an adapter that is
/// needed again soon loads from the replica's own disk.
const DEMAND_HALF_LIFE_US: f64 = 8e6;

/// Weight of a run in progress in the demand, where a run that begins counts 1:
/// it only shows that the adapter is in use.
const RUNNING_WEIGHT: f64 = 0.01;

/// Requests per second from which on a second copy of an adapter is used as well: about one
/// request within the time that a copy takes to load and be reported.
const HOT_RATE: f64 = 1.0;

/// Default delay after which uses by other VMs are known here, until it is set
/// for the number of VMs.
const DEFAULT_REPORT_DELAY: Span = Span::from_millis(900);

/// How long an adapter is kept after its last grant or reported use if each use is granted
/// here: the lifetime of a reservation (150 ms), within which the request is sent, plus the
/// interval of reports (60 ms) and a margin for their way. The load that it answers: with
/// more adapters requested than slots, 286 of 2,223 waiting requests waited 690 ms on average
/// for an adapter to count as idle by the report delay.
const GRANT_DELAY: Span = Span::from_millis(250);

/// Lifetime of a VM's report of its runs, in report delays.
const RUNS_TTL_DELAYS: u64 = 3;

/// Delay before the first poll of an adapter that the replica held before: it
/// loads from the replica's own memory, ten times as fast as from the weight store.
const CACHED_POLL: Span = Span::from_millis(25);

/// Interval between polls of an adapter that is still loading.
const POLL_INTERVAL: Span = Span::from_millis(40);

/// Unloaded adapters that a replica is expected to keep in its own memory; they
/// load without the weight store.
const MAX_CACHED: usize = 40;

/// An accepted load that takes longer than this has failed.
const LOAD_TIMEOUT: Span = Span::from_millis(20_000);

/// Interval between polls of a loading model.
const MODEL_POLL: Span = Span::from_millis(200);

/// Delay before an unload that waits for runs is polled.
const UNLOAD_POLL: Span = Span::from_millis(300);

/// Consecutive unanswered orders after which an owner reads the replica's
/// report: the replica is unresponsive, or the orders were carried out.
const MAX_UNANSWERED: u32 = 4;

/// Delay after a failed order before the report is read: reports lag by some
/// hundred milliseconds.
const RESYNC_DELAY: Span = Span::from_millis(250);

/// State of a slot as far as the owner knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Loaded,
    /// Being loaded, or replaced by a newer version.
    Loading(Loading),
    /// Being unloaded once its runs have ended; polled next at this time.
    Unloading(Moment),
}

/// Timing of a load in progress: its start and its polls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Loading {
    since: Moment,
    /// When it was last known not to be complete.
    not_loaded_at: Moment,
    /// When it is polled next.
    next_poll: Moment,
}

impl Loading {
    /// Creates a load that begins now and is first polled after `poll_delay`.
    fn new(now: Moment, poll_delay: Span) -> Self {
        Self {
            since: now,
            not_loaded_at: now,
            next_poll: now.after(poll_delay),
        }
    }

    /// Returns bounds of the duration of a load that was found complete by a poll now.
    fn duration(&self, now: Moment) -> LoadDuration {
        LoadDuration {
            min: self.not_loaded_at.since(self.since),
            max: now.since(self.since),
        }
    }
}

/// A model or adapter that the replica holds, loads or unloads.
#[derive(Debug)]
struct Slot {
    /// Version of the adapter; 0 if it is not known, and for most models.
    version: u32,
    phase: Phase,
}

/// Demand for a target, and its runs in progress.
#[derive(Debug)]
struct Use {
    demand: Demand,
    /// When a request for it was last granted.
    granted_at: Moment,
    /// Runs in progress by VM, preceded by the time of the VM's report.
    running: BTreeMap<VmName, (Moment, u32)>,
}

/// The contents and pending load requests of one owned replica.
#[derive(Debug)]
pub(super) struct ReplicaPlan {
    /// Number of adapters that it may hold.
    pub(super) max_adapters: usize,
    /// Start time of the incarnation that this plan is for.
    pub(super) started_ms: u64,
    /// Start time of the replica by its last entry in the store.
    pub(super) listed_ms: u64,
    /// Number of orders that it has accepted, if known.
    accepted: Option<u64>,
    /// When its report may be read next.
    inspect_from: Moment,
    /// Models and adapters that it holds, loads or unloads.
    slots: BTreeMap<Target, Slot>,
    uses: BTreeMap<Target, Use>,
    /// Pending load requests.
    pub(super) requests: LoadQueue,
    /// What the requested loads waited for that began recently.
    pub(super) ended_waits: Vec<LoadWait>,
    /// Whether an action was returned whose outcome is not known yet.
    pub(super) busy: bool,
    /// Whether its contents changed since they were last reported.
    pub(super) changed: bool,
    /// Consecutive orders without a response.
    unanswered: u32,
    /// When the last action was returned.
    pub(super) ordered_at: Moment,
    /// How long to wait for the response to an order.
    pub(super) timeout: OrderTimeout,
    /// Adapters that it held recently, the latest last.
    cached: VecDeque<Target>,
    /// Whether the model weights are in the replica's own memory or on its disk,
    /// so that it loads them without the weight store.
    pub(super) weights_cached: bool,
    /// Since when this VM owns this incarnation.
    owned_since: Moment,
    /// Maximum delay after which uses by other VMs are known here.
    pub(super) report_delay: Span,
    /// Whether this VM grants each use before the request is sent.
    pub(super) knows_grants: bool,
}

impl Slot {
    fn loaded(version: u32) -> Self {
        Self {
            version,
            phase: Phase::Loaded,
        }
    }
}

impl ReplicaPlan {
    /// Creates a plan from the replica's listing; the first action reads its report.
    pub(super) fn new(now: Moment, listing: &ReplicaInfo) -> Self {
        let adapters = listing.adapters.iter();
        let adapters = adapters.map(|(t, v)| (t.clone(), Slot::loaded(*v)));
        let models = listing.models.iter().map(|m| (m.target(), Slot::loaded(0)));
        Self {
            max_adapters: 0,
            started_ms: listing.started_ms,
            listed_ms: listing.started_ms,
            accepted: None,
            inspect_from: now,
            slots: adapters.chain(models).collect(),
            uses: BTreeMap::new(),
            requests: LoadQueue::default(),
            ended_waits: Vec::new(),
            busy: false,
            changed: true,
            unanswered: 0,
            ordered_at: now,
            timeout: OrderTimeout::default(),
            cached: VecDeque::new(),
            weights_cached: false,
            owned_since: now,
            report_delay: DEFAULT_REPORT_DELAY,
            knows_grants: false,
        }
    }

    /// Records a VM's report on a target: its runs in progress, and the runs that
    /// began since its last report.
    pub(super) fn record_use(
        &mut self,
        now: Moment,
        vm: &VmName,
        t: &Target,
        running: u32,
        begun: u32,
    ) {
        let entry = self.use_of(t);
        if begun > 0 || running > 0 {
            let weight = f64::from(begun) + RUNNING_WEIGHT;
            entry.demand.record(now, DEMAND_HALF_LIFE_US, weight);
        }
        entry.running.insert(vm.clone(), (now, running));
    }

    /// Records that a request for a target that the replica holds was granted.
    pub(super) fn record_grant(&mut self, now: Moment, target: &Target) {
        if self.slots.contains_key(target) {
            self.use_of(target).granted_at = now;
        }
    }

    /// Returns what the replica holds and what it is loading.
    pub(super) fn residency(&self) -> Residency {
        let loaded = self.slots.iter().filter(|(_, s)| s.phase == Phase::Loaded);
        let loading = self.slots.iter();
        let loading = loading.filter(|(_, s)| matches!(s.phase, Phase::Loading(_)));
        Residency {
            loaded: loaded.map(|(t, s)| (t.clone(), s.version)).collect(),
            loading: loading.map(|(t, _)| t.clone()).collect(),
            hot: self.hot_adapters(),
            vacant: None,
        }
    }

    /// Returns the loaded adapters that are requested at `HOT_RATE` or more.
    fn hot_adapters(&self) -> BTreeSet<Target> {
        let rate = |u: &Use| u.demand.rate(u.demand.last_request, DEMAND_HALF_LIFE_US);
        let is_hot = |t: &Target| self.uses.get(t).is_some_and(|u| rate(u) >= HOT_RATE);
        let hot = self.loaded_adapters().filter(|(t, _)| is_hot(t));
        hot.map(|(t, _)| t.clone()).collect()
    }

    /// Returns how many further adapters could be loaded at once: free slots, and slots whose
    /// adapter may be evicted, without those that pending load requests will take. There are
    /// none at a replica that takes no orders at present: it left some unanswered, waits for
    /// runs before an unload, or its order count is not known.
    pub(super) fn vacant(&self, now: Moment) -> u32 {
        let unloading = |s: &Slot| matches!(s.phase, Phase::Unloading(_));
        if self.accepted.is_none() || self.unanswered > 0 || self.slots.values().any(unloading) {
            return 0;
        }
        let free = self.max_adapters.saturating_sub(self.adapter_count());
        let startable = MAX_LOADING.saturating_sub(self.loading_count());
        let possible = (free + self.evictable(now).count()).min(startable);
        let pending = self.requests.targets(now);
        let pending = pending.filter(|t| !self.slots.contains_key(*t));
        possible.saturating_sub(pending.count()) as u32
    }

    /// Records the replica's report; `None` if it could not be read.
    pub(super) fn apply_inspection(&mut self, now: Moment, report: Option<ReplicaReport>) {
        let Some(report) = report else {
            self.inspect_from = now.after(RESYNC_DELAY);
            return;
        };
        if report.started_ms != self.started_ms {
            self.reset(now, report.started_ms);
        }
        self.accepted = Some(report.accepted);
        self.take_report(now, &report);
    }

    /// Resets the plan for a restarted replica: it is empty and has no runs.
    fn reset(&mut self, now: Moment, started_ms: u64) {
        self.started_ms = started_ms;
        self.owned_since = now;
        self.slots.clear();
        self.cached.clear();
        self.weights_cached = false;
        self.uses.values_mut().for_each(|u| u.running.clear());
    }

    /// Returns the use of a target, created without demand if there is none.
    fn use_of(&mut self, target: &Target) -> &mut Use {
        let new = || Use {
            demand: Demand::NONE,
            granted_at: Moment(0),
            running: BTreeMap::new(),
        };
        self.uses.entry(target.clone()).or_insert_with(new)
    }

    /// Returns how many adapters it is loading.
    pub(super) fn loading_count(&self) -> usize {
        let adapters = self.slots.iter().filter(|(t, _)| t.adapter.is_some());
        let loading = adapters.filter(|(_, s)| matches!(s.phase, Phase::Loading(_)));
        loading.count()
    }

    /// Returns whether its report was read, and it holds no model and is loading
    /// none.
    pub(super) fn needs_model(&self) -> bool {
        self.accepted.is_some() && self.slots.keys().all(|t| t.adapter.is_some())
    }

    /// Returns the order to load a model; `None` while the replica's order count is
    /// not known.
    pub(super) fn load_model(&self, model: &ModelName) -> Option<ReplicaAction> {
        let expected = self.accepted?;
        Some(ReplicaAction::Load {
            target: model.target(),
            version: None,
            expected,
        })
    }

    /// Returns whether adapters of a model can be loaded.
    fn has_model(&self, model: &ModelName) -> bool {
        let slot = self.slots.get(&model.target());
        slot.is_some_and(|s| s.phase == Phase::Loaded)
    }

    /// Returns how many adapters it holds, loads or unloads.
    fn adapter_count(&self) -> usize {
        self.slots.keys().filter(|t| t.adapter.is_some()).count()
    }

    /// Returns whether an adapter loads from the replica's own memory; `None` for
    /// a model.
    pub(super) fn is_cached(&self, target: &Target) -> Option<bool> {
        target.adapter.as_ref()?;
        Some(self.cached.contains(target))
    }

    /// Returns whether a load would be a new fetch from the weight store.
    pub(super) fn is_fetch(&self, target: &Target) -> bool {
        let not_loading = self
            .slots
            .get(target)
            .is_none_or(|s| s.phase == Phase::Loaded);
        not_loading && self.is_cached(target) == Some(false)
    }

    /// Records an adapter that the replica keeps in its memory after the adapter is
    /// unloaded.
    fn record_cached(&mut self, target: &Target) {
        self.cached.retain(|t| t != target);
        self.cached.push_back(target.clone());
        if self.cached.len() > MAX_CACHED {
            self.cached.pop_front();
        }
    }

    /// Returns the next action; `may_fetch` says whether the weight store can serve
    /// another fetch. `durations` has the expected durations of loads; `None` if load
    /// requests are served in order of arrival.
    pub(super) fn next_action(
        &mut self,
        now: Moment,
        versions: &Versions,
        may_fetch: bool,
        durations: Option<LoadDurations>,
    ) -> Option<ReplicaAction> {
        let Some(expected) = self.accepted else {
            self.requests.record_wait(LoadWait::Report, |_| true);
            return (now >= self.inspect_from).then_some(ReplicaAction::Inspect);
        };
        self.requests.expire(now);
        if self.has_lost_load(now) {
            self.accepted = None;
            return Some(ReplicaAction::Inspect);
        }
        let load = |target: Target| {
            let version = versions.newest(&target);
            ReplicaAction::Load {
                target,
                version,
                expected,
            }
        };
        if let Some((target, loading)) = self.due_poll(now) {
            return Some(match loading {
                true => load(target),
                false => ReplicaAction::Unload { target, expected },
            });
        }
        // The replica refuses all other orders while an unload waits for runs.
        if self
            .slots
            .values()
            .any(|s| matches!(s.phase, Phase::Unloading(_)))
        {
            self.requests.record_wait(LoadWait::Unload, |_| true);
            return None;
        }
        if let Some(target) = self.outdated(versions) {
            return Some(load(target));
        }
        let target = self.next_request(now, versions, may_fetch, durations)?;
        if self.loading_count() >= MAX_LOADING {
            self.requests.record_wait(LoadWait::LoadingLimit, |_| true);
            return None;
        }
        if self.adapter_count() < self.max_adapters {
            return Some(load(target));
        }
        let Some(target) = self.eviction_candidate(now) else {
            self.requests.record_wait(LoadWait::Slot, |_| true);
            return None;
        };
        Some(ReplicaAction::Unload { target, expected })
    }

    /// Returns whether a load was accepted longer than `LOAD_TIMEOUT` ago.
    fn has_lost_load(&self, now: Moment) -> bool {
        let timed_out = |s: &Slot| matches!(s.phase, Phase::Loading(load) if now.since(load.since) > LOAD_TIMEOUT);
        self.slots.values().any(timed_out)
    }

    /// Returns a target to poll now, and whether it is being loaded.
    fn due_poll(&self, now: Moment) -> Option<(Target, bool)> {
        self.slots.iter().find_map(|(t, s)| match s.phase {
            Phase::Loading(load) if load.next_poll <= now => Some((t.clone(), true)),
            Phase::Unloading(at) if at <= now => Some((t.clone(), false)),
            _ => None,
        })
    }

    /// Returns a loaded adapter of which a newer version was announced.
    fn outdated(&self, versions: &Versions) -> Option<Target> {
        let loaded = self.loaded_adapters();
        let mut old = loaded.filter(|(t, s)| versions.newest(t).is_some_and(|v| v > s.version));
        old.next().map(|(t, _)| t.clone())
    }

    /// Returns the adapters that can serve requests now.
    fn loaded_adapters(&self) -> impl Iterator<Item = (&Target, &Slot)> {
        let adapters = self.slots.iter().filter(|(t, _)| t.adapter.is_some());
        adapters.filter(|(_, s)| s.phase == Phase::Loaded)
    }

    /// Removes satisfied load requests, and returns the first that can be served.
    fn next_request(
        &mut self,
        now: Moment,
        versions: &Versions,
        may_fetch: bool,
        durations: Option<LoadDurations>,
    ) -> Option<Target> {
        let slots = &self.slots;
        let is_satisfied = |t: &Target| {
            let newest = versions.newest(t).unwrap_or(0);
            let slot = slots.get(t);
            slot.is_some_and(|s| s.phase != Phase::Loaded || s.version >= newest)
        };
        self.requests.retain(|t| !is_satisfied(t));
        let cached = &self.cached;
        let source_ready = |t: &Target| may_fetch || (t.adapter.is_some() && cached.contains(t));
        self.requests
            .record_wait(LoadWait::FetchLimit, |t| !source_ready(t));
        let can_load = |t: &Target| source_ready(t) && self.has_model(&t.model);
        let Some(durations) = durations else {
            return self.requests.oldest(can_load);
        };
        self.requests
            .next(now, can_load, |t| match self.is_cached(t) {
                Some(true) => durations.cached,
                _ => durations.fetch,
            })
    }

    /// Returns the adapter to evict.
    fn eviction_candidate(&self, now: Moment) -> Option<Target> {
        let candidate = self.evictable(now).min_by_key(|t| {
            self.uses
                .get(*t)
                .map_or(i64::MIN, |u| u.demand.order_key(1))
        });
        candidate.cloned()
    }

    /// Returns the adapters that may be evicted. None that may be in use is evicted, as its
    /// unload would wait for its runs. A new owner evicts nothing until it has learned from
    /// the other VMs' beacons what is in use.
    fn evictable(&self, now: Moment) -> impl Iterator<Item = &Target> {
        let knows_uses = now.since(self.owned_since) >= self.report_delay;
        let loaded = self.loaded_adapters().filter(move |_| knows_uses);
        let unrequested = loaded.filter(|(t, _)| !self.requests.contains(t));
        let idle = unrequested.filter(move |(t, _)| self.is_idle(now, t));
        idle.map(|(t, _)| t)
    }

    /// Returns whether no VM reported runs of an adapter recently, and none used it within
    /// the time after which uses are known here. A request that was sent without a grant may
    /// find it unloaded; the replica then refuses it, and it is placed again.
    fn is_idle(&self, now: Moment, target: &Target) -> bool {
        let Some(uses) = self.uses.get(target) else {
            return true;
        };
        let ttl = Span(self.report_delay.0 * RUNS_TTL_DELAYS);
        let running = uses.running.values();
        let mut running =
            running.filter(|(reported_at, n)| *n > 0 && now.since(*reported_at) < ttl);
        let (last_use, delay) = match self.knows_grants {
            true => (uses.demand.last_request.max(uses.granted_at), GRANT_DELAY),
            false => (uses.demand.last_request, self.report_delay),
        };
        running.next().is_none() && now.since(last_use) >= delay
    }

    /// Returns when the next action may be due.
    pub(super) fn next_wake(&self, now: Moment) -> Option<Moment> {
        if self.accepted.is_none() {
            return Some(self.inspect_from);
        }
        let slots = self.slots.values().filter_map(|s| match s.phase {
            Phase::Loading(load) => Some(load.next_poll),
            Phase::Unloading(at) => Some(at),
            Phase::Loaded => None,
        });
        let requested = (!self.requests.is_empty()).then(|| now.after(POLL_INTERVAL));
        slots.chain(requested).min()
    }

    /// Updates the slots from the replica's report, which may lack an order of
    /// the last [`RESYNC_DELAY`].
    fn take_report(&mut self, now: Moment, report: &ReplicaReport) {
        let slots = &mut self.slots;
        slots.retain(|t, s| {
            let reported = report.loaded.contains_key(t) || report.loading.contains(t);
            // A recent order is not in the report yet.
            let recent =
                matches!(s.phase, Phase::Loading(load) if now.since(load.since) < RESYNC_DELAY);
            reported || recent
        });
        for (t, version) in &report.loaded {
            let slot = slots.entry(t.clone()).or_insert(Slot::loaded(*version));
            if slot.phase == Phase::Loaded {
                slot.version = *version;
            }
        }
        for t in &report.loading {
            let slot = slots.entry(t.clone()).or_insert(Slot::loaded(0));
            if slot.phase == Phase::Loaded {
                slot.phase = Phase::Loading(Loading::new(now, POLL_INTERVAL));
            }
        }
        self.weights_cached = report.weights_cached;
        self.changed = true;
    }

    /// Records the outcome of an action. Returns the duration of the load that it
    /// completed, if any. `poll_delay` is the delay before the first poll of a load
    /// from the weight store.
    pub(super) fn apply_outcome(
        &mut self,
        now: Moment,
        action: &ReplicaAction,
        outcome: OrderOutcome,
        poll_delay: Span,
    ) -> Option<LoadDuration> {
        match outcome {
            OrderOutcome::Unknown => {
                self.timeout.record_unanswered();
                self.requests.record_wait(LoadWait::Unanswered, |_| true);
                let load = match action {
                    ReplicaAction::Load { target, .. } => Some(target),
                    _ => None,
                };
                self.requests.set_unanswered(load);
            }
            _ => {
                self.requests.set_unanswered(None);
                self.unanswered = 0;
                self.timeout.reset_doublings();
            }
        }
        match outcome {
            OrderOutcome::Accepted => {
                // A poll of an order in progress is not a new order.
                let in_progress = self.is_in_progress(action);
                let counted = u64::from(!in_progress);
                self.accepted = self.accepted.map(|n| n.saturating_add(counted));
                self.apply_accepted(now, action, poll_delay);
                None
            }
            OrderOutcome::InEffect => self.apply_in_effect(now, action),
            // The order may or may not be carried out. The next one expects the
            // same count, so at most one of them is.
            OrderOutcome::Unknown if self.unanswered < MAX_UNANSWERED => {
                self.unanswered += 1;
                None
            }
            OrderOutcome::Conflict | OrderOutcome::Unknown | OrderOutcome::Refused => {
                self.accepted = None;
                self.inspect_from = now.after(RESYNC_DELAY);
                None
            }
            OrderOutcome::Fenced | OrderOutcome::Gone => {
                self.inspect_from = now.after(Span(RESYNC_DELAY.0 * 4));
                self.accepted = None;
                None
            }
        }
    }

    /// Returns whether an action polls an order that is being carried out.
    fn is_in_progress(&self, action: &ReplicaAction) -> bool {
        let target = match action {
            ReplicaAction::Load { target, .. } | ReplicaAction::Unload { target, .. } => target,
            ReplicaAction::Inspect => return false,
        };
        let slot = self.slots.get(target);
        matches!(
            (slot.map(|s| s.phase), action),
            (Some(Phase::Loading(_)), ReplicaAction::Load { .. })
                | (Some(Phase::Unloading(_)), ReplicaAction::Unload { .. })
        )
    }

    /// Marks the action's target as loading or unloading, with the time of the
    /// next poll.
    fn apply_accepted(&mut self, now: Moment, action: &ReplicaAction, poll_delay: Span) {
        self.changed = true;
        match action {
            ReplicaAction::Load { target, .. } => {
                // A model takes seconds to load and is polled less often.
                let (poll_delay, poll_interval) = match self.is_cached(target) {
                    Some(true) => (CACHED_POLL, POLL_INTERVAL),
                    Some(false) => (poll_delay, POLL_INTERVAL),
                    None => (MODEL_POLL, MODEL_POLL),
                };
                let slot = self.slots.entry(target.clone());
                let slot = slot.or_insert(Slot::loaded(0));
                if slot.phase == Phase::Loaded {
                    self.ended_waits.extend(self.requests.begin(target));
                }
                slot.phase = Phase::Loading(match slot.phase {
                    Phase::Loading(load) => Loading {
                        not_loaded_at: now,
                        next_poll: now.after(poll_interval),
                        ..load
                    },
                    _ => Loading::new(now, poll_delay),
                });
            }
            ReplicaAction::Unload { target, .. } => {
                if let Some(slot) = self.slots.get_mut(target) {
                    slot.phase = Phase::Unloading(now.after(UNLOAD_POLL));
                }
            }
            ReplicaAction::Inspect => {}
        }
    }

    /// Marks the action's target as loaded, or removes it if it is unloaded. Returns
    /// the duration of a load that was in progress.
    fn apply_in_effect(&mut self, now: Moment, action: &ReplicaAction) -> Option<LoadDuration> {
        self.changed = true;
        match action {
            ReplicaAction::Load {
                target, version, ..
            } => {
                self.requests.remove(target);
                let slot = self.slots.entry(target.clone()).or_insert(Slot::loaded(0));
                let duration = match slot.phase {
                    Phase::Loading(load) => Some(load.duration(now)),
                    _ => None,
                };
                slot.phase = Phase::Loaded;
                slot.version = version.unwrap_or(slot.version);
                self.use_of(target)
                    .demand
                    .record(now, DEMAND_HALF_LIFE_US, 1.0);
                if target.adapter.is_some() {
                    self.record_cached(target);
                }
                duration
            }
            ReplicaAction::Unload { target, .. } => {
                let slot = self.slots.remove(target);
                // An immediate unload counts as an order; one that waited for
                // runs was counted when it was accepted.
                if slot.is_some_and(|s| s.phase == Phase::Loaded) {
                    self.accepted = self.accepted.map(|n| n.saturating_add(1));
                }
                None
            }
            ReplicaAction::Inspect => None,
        }
    }
}
