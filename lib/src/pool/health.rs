//! Evidence about replicas: health, load reports and ends of dispatches.

use std::collections::BTreeSet;

use super::replica::Replica;
use super::state::Pool;
use super::state::Running;
use super::types::*;
use crate::ids::AdapterVersion;
use crate::ids::ReplicaName;

/// Added to the age of a report, whose clock has milliseconds only.
const AGE_MARGIN: Span = Span::from_millis(2);

/// How long a replica that is no longer configured is remembered, longer than
/// any report's age.
const FORGOTTEN: Span = Span::from_millis(30_000);

impl Pool {
    /// Changes a replica, and what follows from whether it is live.
    pub(super) fn change(&mut self, now: Moment, name: &ReplicaName, f: impl FnOnce(&mut Replica)) {
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        let before = r.live();
        f(r);
        let after = r.live();
        let solo = r.solo;
        let adapters: Vec<AdapterVersion> = match before == after {
            true => Vec::new(),
            false => r.loaded.iter().cloned().collect(),
        };
        self.rescore(name);
        if before && !after {
            self.live -= 1;
            if let Some(ticket) = solo {
                self.send_back(ticket);
            }
        }
        if !before && after {
            self.live += 1;
            self.fill(now, name);
        }
        for adapter in &adapters {
            self.reindex(adapter);
            self.rewant(now, adapter);
        }
    }

    /// Forgets replicas that are no longer configured, some time after their
    /// last dispatch and order. Until then their users and slots are known; a
    /// replica that is configured again soon would otherwise be believed by a
    /// report from before its last order.
    pub(super) fn forget_unlisted(&mut self, now: Moment) {
        let old = |r: &Replica| {
            let idle = r.tickets.is_empty() && r.order.is_none();
            idle && now.since(r.changed) > FORGOTTEN
        };
        let names = self.unlisted.iter();
        let gone = names.filter(|n| self.replicas.get(*n).is_none_or(old));
        for name in gone.cloned().collect::<Vec<_>>() {
            self.unlisted.remove(&name);
            self.forget(now, &name);
        }
    }

    fn forget(&mut self, now: Moment, name: &ReplicaName) {
        let loaded = self.replicas.get(name).map(|r| r.loaded.clone());
        for adapter in loaded.unwrap_or_default() {
            self.lose(now, name, &adapter, false);
        }
        self.replicas.remove(name);
    }

    /// The first report, or one of a new incarnation.
    ///
    /// Made for an engine that restarts empty: what was loaded and what ran is
    /// gone, the requests that ran there end through their entries, and the
    /// order under way there has no effect.
    pub(super) fn restarted(&mut self, now: Moment, name: &ReplicaName, report: LoadReport) {
        self.change(now, name, |r| r.known = false);
        self.prefixes.forget(name);
        let Some(r) = self.replicas.get_mut(name) else {
            return;
        };
        let order = r.order.take();
        let lost = std::mem::take(&mut r.loaded);
        r.ghosts.clear();
        r.users.clear();
        r.unsettled = false;
        r.incarnation = report.incarnation;
        r.changed = Moment(now.0.saturating_sub(report.age.0));
        r.pace = 0.0;
        r.foreign = 0;
        r.tickets.clear();
        r.longs = 0;
        r.long_users.clear();
        for adapter in lost {
            self.forget_holder(now, name, &adapter);
        }
        if let Some(o) = order {
            self.orders.remove(&o.id);
            let entry = self.adapters.entry(&Some(o.adapter.clone()));
            entry.loading = entry.loading.saturating_sub(1);
            self.rewant(now, &o.adapter);
        }
        for adapter in &report.loaded {
            self.gain(now, name, adapter);
        }
        self.readopt(now, name);
        self.change(now, name, |r| {
            r.known = true;
            r.doubt = None;
            if r.health == Health::Suspect {
                r.health = Health::Live;
            }
        });
    }

    /// Counts those dispatches that were made to this incarnation, such as a
    /// new owner's that were adopted before the first report.
    fn readopt(&mut self, now: Moment, name: &ReplicaName) {
        let inc = self.replicas.get(name).map(|r| r.incarnation);
        let here = self.running.iter().filter(|(_, run)| run.replica == *name);
        let here = here.filter(|(_, run)| Some(run.incarnation) == inc);
        for ticket in here.map(|(t, _)| *t).collect::<Vec<_>>() {
            if let Some(run) = self.running.remove(&ticket) {
                self.start(now, ticket, run);
            }
        }
    }

    fn forget_holder(&mut self, now: Moment, name: &ReplicaName, adapter: &AdapterVersion) {
        self.adapters.unindex(adapter);
        let entry = self.adapters.entry(&Some(adapter.clone()));
        entry.holders.remove(name);
        self.reindex(adapter);
        self.rewant(now, adapter);
    }

    /// A later report of the same incarnation.
    ///
    /// Made for reports that lag: one of a state from before the last order's
    /// end would bring back what was evicted, and take away what was loaded.
    pub(super) fn compare(&mut self, now: Moment, name: &ReplicaName, report: LoadReport) {
        let Some(r) = self.replicas.get(name) else {
            return;
        };
        let age = Span(report.age.0 + AGE_MARGIN.0);
        let seen = Moment(now.0.saturating_sub(age.0));
        let fresh = r.doubt.is_none_or(|since| seen > since);
        if fresh {
            self.verdicts.survived(name, report.incarnation);
        }
        let slots = r.order.is_none() && seen > r.changed;
        let told = report.running + report.waiting;
        let loaded = r.loaded.clone();
        if slots {
            self.compare_slots(now, name, &loaded, &report.loaded);
        }
        self.change(now, name, |r| {
            r.unsettled &= !slots;
            r.compare_load(seen, told);
            if fresh {
                r.doubt = None;
                if r.health == Health::Suspect {
                    r.health = Health::Live;
                }
            }
        });
        self.fill(now, name);
    }

    fn compare_slots(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        known: &BTreeSet<AdapterVersion>,
        told: &BTreeSet<AdapterVersion>,
    ) {
        if let Some(r) = self.replicas.get_mut(name) {
            r.ghosts.clear();
        }
        for adapter in known.difference(told) {
            self.lose(now, name, adapter, false);
        }
        for adapter in told.difference(known) {
            self.gain(now, name, adapter);
        }
    }

    /// What the end of a dispatch teaches.
    pub(super) fn learn(&mut self, now: Moment, f: &DispatchEnd, run: &Running) {
        match f.outcome {
            Outcome::Answered => self.learn_answer(f, run),
            Outcome::BrokenEarly | Outcome::BrokenLate => self.learn_break(now, run),
            Outcome::WrongIdentity => {
                if let Some(adapter) = &run.target {
                    self.lose(now, &run.replica, adapter, true);
                }
            }
            Outcome::NotRun => self.doubt(now, run),
            Outcome::Cancelled => {}
        }
    }

    fn learn_answer(&mut self, f: &DispatchEnd, run: &Running) {
        self.budget.earn(self.settings.retry_share);
        self.verdicts.clear(run.fingerprint);
        self.service.learn(run.lane, f.tokens, f.total);
        if let Some(r) = self.replicas.get_mut(&run.replica)
            && r.incarnation == run.incarnation
        {
            r.measure(f.total.0, f.tokens);
        }
    }

    /// Everything that ran there is suspect, unless the request had the
    /// replica alone: then it is the one.
    ///
    /// Made for a request that crashes each upstream that runs it and comes
    /// again: each time it takes a batch of others down. Alone on a replica,
    /// the next crash convicts exactly it.
    fn learn_break(&mut self, now: Moment, run: &Running) {
        if run.solo {
            let hold = self.settings.block_for;
            self.commands.push(Command::Block {
                fingerprint: run.fingerprint,
                hold,
            });
            self.block(now, run.fingerprint, hold);
        } else {
            self.verdicts
                .suspect(now, run.fingerprint, &run.replica, run.incarnation);
        }
        let others = self.replicas.get(&run.replica).map(|r| r.tickets.iter());
        let others = others.into_iter().flatten().copied().collect::<Vec<_>>();
        let others = others.iter().filter_map(|t| self.running.get(t));
        for other in others.filter(|o| o.incarnation == run.incarnation) {
            self.verdicts
                .suspect(now, other.fingerprint, &run.replica, run.incarnation);
        }
        self.doubt(now, run);
    }

    /// Sends nothing new to a replica until its next report.
    ///
    /// Made for an upstream that is down and refuses at once: it ends its work
    /// sooner than any other, seems the least loaded and would draw all
    /// requests in, each to be refused.
    fn doubt(&mut self, now: Moment, run: &Running) {
        let same = |r: &Replica| r.incarnation == run.incarnation;
        if self.replicas.get(&run.replica).is_some_and(same) {
            self.change(now, &run.replica, |r| r.doubt = Some(now));
        }
    }
}
