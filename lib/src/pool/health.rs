//! Replica state derived from health changes, load reports and ends of
//! dispatches.

use std::collections::BTreeSet;

use super::replica::Replica;
use super::state::Dispatch;
use super::state::Pool;
use super::types::*;
use crate::ids::AdapterVersion;
use crate::ids::ReplicaName;

/// Added to the age of a load report, which has a resolution of milliseconds.
const REPORT_AGE_MARGIN: Span = Span::from_millis(2);

/// How long a removed replica is remembered after its slots last changed;
/// longer than the age of any load report.
const REMOVED_RETENTION: Span = Span::from_millis(30_000);

impl Pool {
    /// Applies a change to a replica and updates what depends on whether it is
    /// live.
    pub(super) fn update_replica(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        f: impl FnOnce(&mut Replica),
    ) {
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        let before = r.live();
        f(r);
        let after = r.live();
        let isolated = r.isolated;
        let adapters: Vec<AdapterVersion> = match before == after {
            true => Vec::new(),
            false => r.loaded.iter().cloned().collect(),
        };
        self.update_score(name);
        if before && !after {
            self.live_count -= 1;
            if let Some(ticket) = isolated {
                self.requeue_suspect(ticket);
            }
        }
        if !before && after {
            self.live_count += 1;
            self.fill_replica(now, name);
        }
        for adapter in &adapters {
            self.reindex(adapter);
            self.update_load_key(now, adapter);
        }
    }

    /// Forgets removed replicas once they run nothing, have no order in flight
    /// and [`REMOVED_RETENTION`] has passed since their slots last changed. If
    /// a replica were forgotten earlier and soon configured again, a report
    /// from before its last order would be accepted as current.
    pub(super) fn forget_removed(&mut self, now: Moment) {
        let old = |r: &Replica| {
            let idle = r.tickets.is_empty() && r.order.is_none();
            idle && now.since(r.slots_changed) > REMOVED_RETENTION
        };
        let names = self.removed.iter();
        let gone = names.filter(|n| self.replicas.get(*n).is_none_or(old));
        for name in gone.cloned().collect::<Vec<_>>() {
            self.removed.remove(&name);
            self.forget_replica(now, &name);
        }
    }

    /// Removes a replica and its adapters.
    fn forget_replica(&mut self, now: Moment, name: &ReplicaName) {
        let loaded = self.replicas.get(name).map(|r| r.loaded.clone());
        for adapter in loaded.unwrap_or_default() {
            self.remove_loaded(now, name, &adapter, false);
        }
        self.replicas.remove(name);
    }

    /// Resets a replica on its first report or the first one of a new
    /// incarnation.
    ///
    /// Handles an engine that restarts empty. Its loaded adapters and running
    /// requests are lost, the entries report the ends of these requests, and an
    /// order in flight there has no effect.
    pub(super) fn reset_replica(&mut self, now: Moment, name: &ReplicaName, report: LoadReport) {
        self.update_replica(now, name, |r| r.reported = false);
        self.prefixes.forget_replica(name);
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        let order = r.order.take();
        let lost = std::mem::take(&mut r.loaded);
        r.unconfirmed.clear();
        r.in_use.clear();
        r.slots_unknown = false;
        r.incarnation = report.incarnation;
        r.slots_changed = Moment(now.0.saturating_sub(report.age.0));
        r.token_us = 0.0;
        r.external = 0;
        r.tickets.clear();
        r.long_count = 0;
        r.long_in_use.clear();
        for adapter in lost {
            self.forget_holder(now, name, &adapter);
        }
        if let Some(o) = order {
            self.orders.remove(&o.id);
            let entry = self.adapters.entry(&Some(o.adapter.clone()));
            entry.pending_loads = entry.pending_loads.saturating_sub(1);
            self.update_load_key(now, &o.adapter);
        }
        for adapter in &report.loaded {
            self.add_loaded(now, name, adapter);
        }
        self.restore_dispatches(now, name);
        self.update_replica(now, name, |r| {
            r.reported = true;
            r.suspended = None;
            if r.health == Health::Suspect {
                r.health = Health::Live;
            }
        });
    }

    /// Records the dispatches that were made to the current incarnation, such
    /// as those that a new owner adopted before the first report.
    fn restore_dispatches(&mut self, now: Moment, name: &ReplicaName) {
        let inc = self.replicas.get(name).map(|r| r.incarnation);
        let here = self.running.iter().filter(|(_, run)| run.replica == *name);
        let here = here.filter(|(_, run)| Some(run.incarnation) == inc);
        for ticket in here.map(|(t, _)| *t).collect::<Vec<_>>() {
            if let Some(run) = self.running.remove(&ticket) {
                self.record_dispatch(now, ticket, run);
            }
        }
    }

    /// Removes a replica that is reset from the holders of an adapter.
    fn forget_holder(&mut self, now: Moment, name: &ReplicaName, adapter: &AdapterVersion) {
        self.adapters.unindex(adapter);
        let entry = self.adapters.entry(&Some(adapter.clone()));
        entry.holders.remove(name);
        self.reindex(adapter);
        self.update_load_key(now, adapter);
    }

    /// Applies a further report of the same incarnation.
    ///
    /// Handles reports that lag. A report observed before the end of the last
    /// order would restore adapters that were evicted and remove adapters that
    /// were loaded, so its slots are ignored.
    pub(super) fn apply_report(&mut self, now: Moment, name: &ReplicaName, report: LoadReport) {
        let Some(r) = self.replicas.get(name) else {
            return;
        };
        let age = Span(report.age.0 + REPORT_AGE_MARGIN.0);
        let observed = Moment(now.0.saturating_sub(age.0));
        let fresh = r.suspended.is_none_or(|since| observed > since);
        if fresh {
            self.poison.clear_replica(name, report.incarnation);
        }
        let slots = r.order.is_none() && observed > r.slots_changed;
        let reported = report.running + report.waiting;
        let loaded = r.loaded.clone();
        if slots {
            self.reconcile_slots(now, name, &loaded, &report.loaded);
        }
        self.update_replica(now, name, |r| {
            r.slots_unknown &= !slots;
            r.update_external(observed, reported);
            if fresh {
                r.suspended = None;
                if r.health == Health::Suspect {
                    r.health = Health::Live;
                }
            }
        });
        self.fill_replica(now, name);
    }

    /// Replaces the adapters that the replica is recorded to hold by those that
    /// it reported.
    fn reconcile_slots(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        loaded: &BTreeSet<AdapterVersion>,
        reported: &BTreeSet<AdapterVersion>,
    ) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.unconfirmed.clear();
        }
        for adapter in loaded.difference(reported) {
            self.remove_loaded(now, name, adapter, false);
        }
        for adapter in reported.difference(loaded) {
            self.add_loaded(now, name, adapter);
        }
    }

    /// Updates statistics, suspects and replica state after the end of a
    /// dispatch.
    pub(super) fn record_outcome(&mut self, now: Moment, f: &DispatchEnd, run: &Dispatch) {
        match f.outcome {
            Outcome::Answered => self.record_answer(f, run),
            Outcome::BrokenEarly | Outcome::BrokenLate => self.record_break(now, run),
            Outcome::WrongIdentity => {
                if let Some(adapter) = &run.target {
                    self.remove_loaded(now, &run.replica, adapter, true);
                }
            }
            Outcome::NotRun => self.suspend_replica(now, run),
            Outcome::Cancelled => {}
        }
    }

    fn record_answer(&mut self, f: &DispatchEnd, run: &Dispatch) {
        self.retry_budget.earn(self.settings.retry_share);
        self.poison.clear(run.fingerprint);
        self.service.record(run.lane, f.tokens, f.total);
        if let Some(r) = self.replicas.get_mut(&run.replica)
            && r.incarnation == run.incarnation
        {
            r.record_token_time(f.total.0, f.tokens);
        }
    }

    /// Marks every request that ran at the replica as a suspect, or blocks the
    /// request if it ran isolated.
    ///
    /// Handles a request that crashes each upstream that runs it and is retried:
    /// each try also fails the other requests of the batch. If it runs
    /// isolated, the next crash identifies it with certainty.
    fn record_break(&mut self, now: Moment, run: &Dispatch) {
        if run.isolated {
            let duration = self.settings.block_for;
            self.commands.push(Command::Block {
                fingerprint: run.fingerprint,
                duration,
            });
            self.block(now, run.fingerprint, duration);
        } else {
            self.poison
                .add_suspect(now, run.fingerprint, &run.replica, run.incarnation);
        }
        let others = self.replicas.get(&run.replica).map(|r| r.tickets.iter());
        let others = others.into_iter().flatten().copied().collect::<Vec<_>>();
        let others = others.iter().filter_map(|t| self.running.get(t));
        for other in others.filter(|o| o.incarnation == run.incarnation) {
            self.poison
                .add_suspect(now, other.fingerprint, &run.replica, run.incarnation);
        }
        self.suspend_replica(now, run);
    }

    /// Suspends dispatch to a replica until its next report.
    ///
    /// Without this, an upstream that is down and refuses requests at once would
    /// finish its work faster than any other replica, appear the least loaded,
    /// and attract all requests, which would all be refused.
    fn suspend_replica(&mut self, now: Moment, run: &Dispatch) {
        let same = |r: &Replica| r.incarnation == run.incarnation;
        if self.replicas.get(&run.replica).is_some_and(same) {
            self.update_replica(now, &run.replica, |r| r.suspended = Some(now));
        }
    }
}
