//! The owner's view of its replicas: the catalog, load reports, fences, health.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use banyangauge_proto as wire;

use crate::control::owner::OwnerActor;
use crate::control::owner::actor::ReplicaMonitor;
use crate::control::owner::actor::shares;
use crate::control::owner::polling;
use crate::ids::Incarnation;
use crate::ids::ReplicaName;
use crate::pool::Health;
use crate::pool::Moment;
use crate::pool::ReplicaSpec;
use crate::timeline::EventKind;
use crate::upstream::EngineReport;
use crate::upstream::FenceReply;
use crate::upstream::OrderError;

impl OwnerActor {
    /// Applies the pool's specification from the catalog in force.
    pub(super) fn apply_catalog(&mut self, now: Moment) {
        let catalog = self.shared.state.catalog.borrow().clone();
        if Arc::ptr_eq(&catalog, &self.catalog) {
            return;
        }
        self.catalog = Arc::clone(&catalog);
        self.pool.set_shares(&shares(&catalog));
        let Some(spec) = catalog.pools.get(&self.name) else {
            return;
        };
        if *spec == self.spec {
            return;
        }
        self.spec = spec.clone();
        self.watch_replicas();
        let specs: Vec<ReplicaSpec> = self
            .spec
            .replicas
            .iter()
            .map(|r| ReplicaSpec {
                name: r.name.clone(),
                slots: r.slots,
                batch: r.batch,
            })
            .collect();
        self.pool.set_replicas(now, &specs);
        self.adopt_unlisted(now);
    }

    // Polls each replica of the specification, and stops polling those that left it
    // or have another address.
    fn watch_replicas(&mut self) {
        let listed = &self.spec.replicas;
        self.replicas.retain(|name, w| {
            listed
                .iter()
                .any(|r| r.name == *name && r.address == w.address)
        });
        let Some(owner) = self.address.clone() else {
            return;
        };
        let interval = Duration::from_millis(self.local.settings.upstreams.poll_ms);
        for replica in listed {
            let (name, address) = (replica.name.clone(), replica.address);
            let (owner, client) = (owner.clone(), self.report_client.clone());
            self.replicas
                .entry(name.clone())
                .or_insert_with(|| ReplicaMonitor {
                    address,
                    incarnation: Incarnation(0),
                    failures: 0,
                    leaving: false,
                    fence_pending: false,
                    health: Health::Suspect,
                    poll_task: tokio::spawn(polling::poll(owner, client, name, address, interval)),
                });
        }
    }

    /// Processes the result of a poll: counts failures, and asks the engine to confirm
    /// the token before its report is accepted, if that is due.
    pub(super) fn handle_report(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        address: SocketAddr,
        report: Result<EngineReport, OrderError>,
    ) {
        let Some(replica) = self.replicas.get_mut(name).filter(|r| r.address == address) else {
            return;
        };
        let Ok(report) = report else {
            replica.failures = replica.failures.saturating_add(1);
            return self.update_health(now, name);
        };
        replica.failures = 0;
        let incarnation = Incarnation(report.incarnation);
        if !self.safety.needs_fence(now, name, incarnation) {
            return self.accept_report(now, name, &report);
        }
        if replica.fence_pending || self.deposed {
            return;
        }
        replica.fence_pending = true;
        let Some(owner) = self.address.clone() else {
            return;
        };
        let (client, token) = (self.report_client.clone(), self.token());
        tokio::spawn(polling::fence(
            owner,
            client,
            name.clone(),
            address,
            token,
            report,
        ));
    }

    /// Processes the answer to a fence request; an engine that has seen a higher token
    /// deposes this owner.
    pub(super) fn handle_fence(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        address: SocketAddr,
        asked: Moment,
        answer: Result<FenceReply, OrderError>,
        report: &EngineReport,
    ) {
        let Some(replica) = self.replicas.get_mut(name).filter(|r| r.address == address) else {
            return;
        };
        replica.fence_pending = false;
        match answer {
            Ok(FenceReply::Highest(_)) => {
                self.safety
                    .confirm(asked, name, Incarnation(report.incarnation));
                self.accept_report(now, name, report);
            }
            Ok(FenceReply::Unsupported) => {
                // The pool is configured to honour tokens, so this engine's slots
                // are not protected: it gets no grants.
                slog::error!(self.shared.log, "engine ignores fencing tokens";
                    "pool" => %self.name, "replica" => %name);
            }
            Err(OrderError::Fenced) => self.depose(),
            Err(_) => {}
        }
    }

    // Applies a load report, once the engine refuses earlier owners' orders.
    fn accept_report(&mut self, now: Moment, name: &ReplicaName, report: &EngineReport) {
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let incarnation = Incarnation(report.incarnation);
        if replica.incarnation != incarnation {
            let detail = format!("incarnation {}", incarnation.0);
            replica.incarnation = incarnation;
            self.record_event(EventKind::Health, None, name.as_str(), &detail);
        }
        if let Some(replica) = self.replicas.get_mut(name) {
            replica.leaving = report.leaving;
        }
        self.update_health(now, name);
        self.pool.report(now, report.to_load_report(name));
    }

    /// Updates the health of all replicas.
    pub(super) fn update_replicas(&mut self, now: Moment) {
        let names: Vec<ReplicaName> = self.replicas.keys().cloned().collect();
        for name in names {
            self.update_health(now, &name);
        }
        self.publish_leaving();
    }

    fn update_health(&mut self, now: Moment, name: &ReplicaName) {
        let limit = self.local.settings.upstreams.failures;
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let listed_leaving = self
            .shared
            .state
            .leaving
            .borrow()
            .contains(&replica.address);
        let health = if replica.leaving || listed_leaving {
            Health::Leaving
        } else if replica.failures >= limit || replica.incarnation == Incarnation(0) {
            Health::Suspect
        } else {
            Health::Live
        };
        if replica.health == health {
            return;
        }
        replica.health = health;
        self.pool.set_health(now, name, health);
        slog::info!(self.shared.log, "replica health changed"; "pool" => %self.name,
            "replica" => %name, "health" => ?health);
        self.record_event(
            EventKind::Health,
            None,
            name.as_str(),
            &format!("{health:?}"),
        );
    }

    // Publishes the replicas that report to be leaving.
    fn publish_leaving(&self) {
        let leaving: BTreeSet<SocketAddr> = self
            .replicas
            .values()
            .filter(|r| r.leaving)
            .map(|r| r.address)
            .collect();
        let changed = self.local.reported_leaving.send_if_modified(|reported| {
            let known = reported.get(&self.name);
            let changed = known.map_or(!leaving.is_empty(), |k| *k != leaving);
            if changed {
                reported.insert(self.name.clone(), leaving);
            }
            changed
        });
        if changed {
            self.local.gossip_wake.notify_one();
        }
    }

    /// Returns the pool's state as shown to operators.
    pub(super) fn status(&self) -> wire::PoolStatus {
        let view = self.pool.view();
        let names = |set: Option<&BTreeSet<crate::ids::AdapterVersion>>| {
            set.map_or(Vec::new(), |s| s.iter().map(ToString::to_string).collect())
        };
        let replicas = self.replicas.iter().map(|(name, r)| wire::ReplicaStatus {
            replica: name.to_string(),
            address: r.address.to_string(),
            state: format!("{:?}", r.health).to_lowercase(),
            incarnation: r.incarnation.0,
            outstanding: view.outstanding.get(name).copied().unwrap_or(0),
            loaded: names(view.loaded.get(name)),
            loading: Vec::new(),
        });
        wire::PoolStatus {
            pool: self.name.to_string(),
            owner: self.shared.vm.to_string(),
            token: self.token().0,
            queued: view.queued,
            granted: view.granted,
            replicas: replicas.collect(),
            loads: view.loads,
            stalls: view.stalls,
        }
    }
}
