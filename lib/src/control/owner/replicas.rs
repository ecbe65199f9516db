//! What an owner learns of its replicas.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use banyangauge_proto as wire;

use crate::control::owner::OwnerActor;
use crate::control::owner::actor::Watched;
use crate::control::owner::actor::shares;
use crate::control::owner::probes;
use crate::ids::Incarnation;
use crate::ids::ReplicaName;
use crate::pool::Health;
use crate::pool::Moment;
use crate::pool::ReplicaSpec;
use crate::timeline::Kind;
use crate::upstream::Fence;
use crate::upstream::OrderError;
use crate::upstream::Report;

impl OwnerActor {
    /// Takes over the pool's replicas from the catalog in force.
    pub(super) fn follow_catalog(&mut self, now: Moment) {
        let catalog = self.shared.board.catalog.borrow().clone();
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
        self.adopt_orphans(now);
    }

    fn watch_replicas(&mut self) {
        let wanted = &self.spec.replicas;
        self.replicas.retain(|name, w| {
            wanted
                .iter()
                .any(|r| r.name == *name && r.address == w.address)
        });
        let Some(owner) = self.address.clone() else {
            return;
        };
        let every = Duration::from_millis(self.local.settings.upstreams.poll_ms);
        for replica in wanted {
            let (name, address) = (replica.name.clone(), replica.address);
            let (owner, reports) = (owner.clone(), self.reports.clone());
            self.replicas
                .entry(name.clone())
                .or_insert_with(|| Watched {
                    address,
                    incarnation: Incarnation(0),
                    failures: 0,
                    leaving: false,
                    fencing: false,
                    health: Health::Suspect,
                    polling: tokio::spawn(probes::poll(owner, reports, name, address, every)),
                });
        }
    }

    pub(super) fn reported(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        address: SocketAddr,
        report: Result<Report, OrderError>,
    ) {
        let Some(replica) = self.replicas.get_mut(name).filter(|r| r.address == address) else {
            return;
        };
        let Ok(report) = report else {
            replica.failures = replica.failures.saturating_add(1);
            return self.judge(now, name);
        };
        replica.failures = 0;
        let incarnation = Incarnation(report.incarnation);
        if !self.safety.needs_fence(now, name, incarnation) {
            return self.accept(now, name, &report);
        }
        if replica.fencing || self.deposed {
            return;
        }
        replica.fencing = true;
        let Some(owner) = self.address.clone() else {
            return;
        };
        let (orders, token) = (self.reports.clone(), self.token());
        tokio::spawn(probes::fence(
            owner,
            orders,
            name.clone(),
            address,
            token,
            report,
        ));
    }

    pub(super) fn fenced(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        address: SocketAddr,
        asked: Moment,
        answer: Result<Fence, OrderError>,
        report: &Report,
    ) {
        let Some(replica) = self.replicas.get_mut(name).filter(|r| r.address == address) else {
            return;
        };
        replica.fencing = false;
        match answer {
            Ok(Fence::Highest(_)) => {
                self.safety
                    .confirm(asked, name, Incarnation(report.incarnation));
                self.accept(now, name, report);
            }
            Ok(Fence::Ignored) => {
                // Configured otherwise: nothing protects this engine's slots.
                slog::error!(self.shared.log, "engine ignores fencing tokens";
                    "pool" => %self.name, "replica" => %name);
            }
            Err(OrderError::Fenced) => self.depose(),
            Err(_) => {}
        }
    }

    // A report counts once the engine refuses earlier owners' orders.
    fn accept(&mut self, now: Moment, name: &ReplicaName, report: &Report) {
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let incarnation = Incarnation(report.incarnation);
        if replica.incarnation != incarnation {
            let detail = format!("incarnation {}", incarnation.0);
            replica.incarnation = incarnation;
            self.note(Kind::Health, None, name.as_str(), &detail);
        }
        if let Some(replica) = self.replicas.get_mut(name) {
            replica.leaving = report.leaving;
        }
        self.judge(now, name);
        self.pool.report(now, report.for_pool(name));
    }

    /// Judges all replicas; what was heard of them may have changed.
    pub(super) fn judge_replicas(&mut self, now: Moment) {
        let names: Vec<ReplicaName> = self.replicas.keys().cloned().collect();
        for name in names {
            self.judge(now, &name);
        }
        self.publish_leaving();
    }

    fn judge(&mut self, now: Moment, name: &ReplicaName) {
        let limit = self.local.settings.upstreams.failures;
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        let told = self
            .shared
            .board
            .leaving
            .borrow()
            .contains(&replica.address);
        let health = if replica.leaving || told {
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
        slog::info!(self.shared.log, "replica"; "pool" => %self.name, "replica" => %name,
            "health" => ?health);
        self.note(Kind::Health, None, name.as_str(), &format!("{health:?}"));
    }

    fn publish_leaving(&self) {
        let leaving: BTreeSet<SocketAddr> = self
            .replicas
            .values()
            .filter(|r| r.leaving)
            .map(|r| r.address)
            .collect();
        let news = self.local.reported.send_if_modified(|reported| {
            let known = reported.get(&self.name);
            let news = known.map_or(!leaving.is_empty(), |k| *k != leaving);
            if news {
                reported.insert(self.name.clone(), leaving);
            }
            news
        });
        if news {
            self.local.urgent.notify_one();
        }
    }

    /// The pool's state for operators.
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
