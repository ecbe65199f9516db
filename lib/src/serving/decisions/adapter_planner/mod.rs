//! Plans which adapters the replicas owned by this VM load and unload.

mod load_queue;
mod order;
mod replica_plan;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::ModelName;
use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::fetch_limiter::FetchLimiter;
use crate::serving::decisions::fleet::Residency;
use crate::serving::decisions::fleet::Versions;
use crate::serving::path::types::ReplicaInfo;
use crate::serving::path::types::Target;
use crate::serving::program::experiment::Experiment;
use crate::serving::program::experiment::Mechanism;

pub use load_queue::LoadNeed;
pub use load_queue::LoadWait;
pub use load_queue::PendingLoad;
pub use order::LoadDuration;
pub use order::OrderOutcome;
pub use order::ReplicaAction;
pub use order::ReplicaReport;

use self::replica_plan::ReplicaPlan;

/// Fraction of the weight store's capacity in use from which on it counts as busy.
const BUSY_FRACTION: f64 = 0.6;

/// Plans the orders to the replicas that this VM owns.
#[derive(Debug, Default)]
pub struct AdapterPlanner {
    plans: BTreeMap<ReplicaName, ReplicaPlan>,
    fetch_limiter: FetchLimiter,
    model_rate: LoadRateLimit,
    /// Fetches in flight at all replicas, as far as known.
    in_flight: usize,
    experiment: Experiment,
}

/// Limits how often this VM has model weights loaded from the weight store, which
/// all VMs share.
#[derive(Clone, Copy, Debug, Default)]
struct LoadRateLimit {
    /// Minimum interval between two loads.
    interval: Span,
    last: Option<Moment>,
}

impl LoadRateLimit {
    /// Returns whether the next load may begin now.
    fn allows(&self, now: Moment) -> bool {
        self.last.is_none_or(|at| now.since(at) >= self.interval)
    }
}

impl AdapterPlanner {
    /// Applies the mechanisms that are switched off.
    pub fn set_experiment(&mut self, experiment: &Experiment) {
        self.fetch_limiter.set_experiment(experiment);
        self.experiment = experiment.clone();
        let knows_grants = self.knows_grants();
        self.plans
            .values_mut()
            .for_each(|p| p.knows_grants = knows_grants);
    }

    /// Returns whether each use is granted by the owner and reported early, so that the
    /// owner knows of it within milliseconds.
    fn knows_grants(&self) -> bool {
        let needed = [
            Mechanism::GrantedUses,
            Mechanism::PlaceAsks,
            Mechanism::EarlyReports,
        ];
        needed.into_iter().all(|m| self.experiment.is_enabled(m))
    }

    /// Starts or updates the plan of a replica that this VM owns and that may hold
    /// `max_adapters` adapters. The plan begins with the replica's entry in the
    /// store, and follows the replica's own report once that was read.
    pub fn track(&mut self, now: Moment, listing: &ReplicaInfo, max_adapters: u32) {
        let knows_grants = self.knows_grants();
        let plan = self.plans.entry(listing.name.clone());
        let plan = plan.or_insert_with(|| ReplicaPlan::new(now, listing));
        if plan.listed_ms != listing.started_ms {
            plan.listed_ms = listing.started_ms;
            if plan.started_ms != listing.started_ms {
                *plan = ReplicaPlan::new(now, listing);
            }
        }
        // The configuration may arrive after the replica is listed.
        plan.max_adapters = max_adapters as usize;
        plan.knows_grants = knows_grants;
    }

    /// Drops the plans of all replicas but those in `owned`.
    pub fn retain(&mut self, owned: &BTreeSet<ReplicaName>) {
        self.plans.retain(|name, _| owned.contains(name));
    }

    /// Returns the start time of an owned replica.
    pub fn started_ms(&self, name: &ReplicaName) -> Option<u64> {
        self.plans.get(name).map(|p| p.started_ms)
    }

    /// Iterates over the owned replicas.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaName> {
        self.plans.keys()
    }

    /// Requests that a replica loads an adapter, for what waits for it at `vm`; the
    /// request expires unless it is renewed. Returns whether this VM owns the replica.
    pub fn request_load(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        vm: &VmName,
        target: &Target,
        need: &LoadNeed,
    ) -> bool {
        let Some(plan) = self.plans.get_mut(name) else {
            return false;
        };
        plan.requests.request(now, vm, target, need);
        true
    }

    /// Returns the pending request to load a target at a replica.
    pub fn pending_load(&self, name: &ReplicaName, target: &Target) -> Option<PendingLoad> {
        self.plans.get(name)?.requests.pending(target)
    }

    /// Returns what the requested loads waited for that began since the last call.
    pub fn take_load_waits(&mut self) -> Vec<LoadWait> {
        let plans = self.plans.values_mut();
        plans
            .flat_map(|p| std::mem::take(&mut p.ended_waits))
            .collect()
    }

    /// Records that a VM began `begun` runs of an adapter and has `running` in
    /// progress.
    pub fn record_use(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        vm: &VmName,
        target: &Target,
        running: u32,
        begun: u32,
    ) {
        let Some(plan) = self.plans.get_mut(name) else {
            return;
        };
        plan.record_use(now, vm, target, running, begun);
    }

    /// Records that this VM granted a request that uses an adapter, which may not be
    /// reported for some time.
    pub fn record_grant(&mut self, now: Moment, name: &ReplicaName, target: &Target) {
        if let Some(plan) = self.plans.get_mut(name) {
            plan.record_grant(now, target);
        }
    }

    /// Returns whether a replica holds no model and is loading none.
    pub fn needs_model(&self, name: &ReplicaName) -> bool {
        self.plans.get(name).is_some_and(ReplicaPlan::needs_model)
    }

    /// Returns what a replica holds.
    pub fn residency(&self, name: &ReplicaName) -> Option<Residency> {
        self.plans.get(name).map(ReplicaPlan::residency)
    }

    /// Returns what a replica holds and how many further adapters it could load at once, to
    /// be reported to the other VMs.
    pub fn report(&self, now: Moment, name: &ReplicaName) -> Option<Residency> {
        let plan = self.plans.get(name)?;
        let counted = self.experiment.is_enabled(Mechanism::Vacancies);
        Some(Residency {
            vacant: counted.then(|| plan.vacant(now)),
            ..plan.residency()
        })
    }

    /// Returns the replicas whose set of loaded or loading models and adapters changed
    /// since the last call.
    pub fn take_changed(&mut self) -> Vec<ReplicaName> {
        let changed = self.plans.iter_mut().filter(|(_, p)| p.changed);
        let changed = changed.map(|(name, p)| {
            p.changed = false;
            name.clone()
        });
        changed.collect()
    }

    /// Returns how many adapters the owned replicas are loading.
    pub fn loading_adapters(&self) -> usize {
        self.plans.values().map(ReplicaPlan::loading_count).sum()
    }

    /// Returns the next action at a replica, if any. The caller passes its outcome
    /// to [`AdapterPlanner::finish_order`] or
    /// [`AdapterPlanner::finish_inspection`] before it asks for the next.
    ///
    /// Many requests may need adapters that no replica holds while all slots are
    /// full. Load requests are served by rank, as long as they can meet their
    /// objective, and every fourth load is that of the oldest, so none starves. The idle adapter with the least demand is evicted, but never one
    /// with a pending load request.
    ///
    /// A restarted replica is empty and loads `model` first.
    pub fn next_action(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        versions: &Versions,
        model: Option<&ModelName>,
    ) -> Option<ReplicaAction> {
        let model_rate = self.model_rate;
        let may_fetch = self.in_flight < self.fetch_limiter.capacity();
        let ordered = self.experiment.is_enabled(Mechanism::LoadOrder);
        let durations = ordered.then(|| self.fetch_limiter.expected(self.in_flight));
        let plan = self.plans.get_mut(name)?;
        if plan.busy {
            return None;
        }
        let action = plan.next_action(now, versions, may_fetch, durations);
        if let Some(ReplicaAction::Load { target, .. }) = &action
            && plan.is_fetch(target)
        {
            self.in_flight += 1;
        }
        let action = match (action, model, plan.needs_model()) {
            (Some(action), ..) => Some(action),
            (None, Some(model), true) if plan.weights_cached || model_rate.allows(now) => {
                if !plan.weights_cached {
                    self.model_rate.last = Some(now);
                }
                plan.load_model(model)
            }
            _ => None,
        };
        plan.ordered_at = now;
        plan.busy = action.is_some();
        action
    }

    /// Sets how many fetches are in flight at all replicas, and how many engines
    /// the weight store serves.
    pub fn set_fetches(&mut self, in_flight: usize, engines: usize) {
        self.in_flight = in_flight;
        self.fetch_limiter.set_engine_count(engines);
    }

    /// Returns whether most of the fetches that the weight store serves at full speed are in
    /// flight.
    pub fn is_store_busy(&self) -> bool {
        self.in_flight as f64 >= self.fetch_limiter.capacity() as f64 * BUSY_FRACTION
    }

    /// Sets the minimum interval between model loads from the weight store.
    pub fn set_load_interval(&mut self, interval: Span) {
        self.model_rate.interval = interval;
    }

    /// Sets the maximum delay after which this VM knows of uses by other VMs. An
    /// adapter that was used within that time is not unloaded: a request already
    /// sent to it would be refused, and an unload that waits for a run blocks all
    /// other orders to the replica.
    pub fn set_report_delay(&mut self, report_delay: Span) {
        self.plans
            .values_mut()
            .for_each(|p| p.report_delay = report_delay);
    }

    /// Returns how long to wait for a replica's response to an order.
    pub fn answer_timeout(&self, name: &ReplicaName) -> Span {
        let timeout = self.plans.get(name).map(|p| p.timeout);
        timeout.unwrap_or_default().current()
    }

    /// Returns when [`AdapterPlanner::next_action`] should be called again if
    /// nothing else happens.
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        let plans = self.plans.values().filter(|p| !p.busy);
        plans.filter_map(|p| p.next_wake(now)).min()
    }

    /// Applies a replica's report, or `None` if the report could not be read.
    pub fn finish_inspection(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        report: Option<ReplicaReport>,
    ) {
        let Some(plan) = self.plans.get_mut(name) else {
            return;
        };
        plan.busy = false;
        plan.apply_inspection(now, report);
    }

    /// Applies the outcome of an order. Returns the duration of the load, if it
    /// completed one.
    pub fn finish_order(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        action: &ReplicaAction,
        outcome: OrderOutcome,
    ) -> Option<LoadDuration> {
        let poll_delay = self.fetch_limiter.first_check_delay();
        let plan = self.plans.get_mut(name)?;
        plan.busy = false;
        if self.experiment.is_enabled(Mechanism::OrderTimeouts) && outcome.is_response() {
            plan.timeout.record_response(now.since(plan.ordered_at));
        }
        let was_fetch = matches!(action, ReplicaAction::Load { target, .. } if plan.is_cached(target) == Some(false));
        let duration = plan.apply_outcome(now, action, outcome, poll_delay);
        if let Some(duration) = duration.filter(|_| was_fetch) {
            self.fetch_limiter.observe(duration, self.in_flight);
        }
        duration
    }
}
