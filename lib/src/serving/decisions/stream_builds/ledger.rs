//! The stored list of the builds at which streams may have begun.
//!
//! A VM that starts cannot have seen which builds were at work before. The ledger tells it, as no
//! stream begins at a build before the ledger has it, and a build leaves it only once no stream
//! can go on from there. With a single build in it there is no other that a stream can have begun
//! at, whatever replicas come and go meanwhile. With several, one of them is the default of the
//! service: streams that begin at another are kept in the store ahead of their first event, so
//! that one that is not there began at the default.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::MAX_STREAM_AGE;
use crate::ids::BuildName;
use crate::ids::ServiceName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::store::port::Era;
use crate::serving::store::port::StoreRevision;

/// How long after the store came back from an earlier copy the VMs add builds to the ledger that
/// the copy lacks. VMs that start do not go by it before.
pub(super) const RESTORE_TIME: Span = Span::from_millis(2_000);

/// The fraction of the notice for which a build is listed before it is admitted where no other has
/// a replica: longer than VMs may go by what they knew of the replicas.
const SHORT_NOTICE_FRACTION: f64 = 0.5;

/// The builds of each service.
pub type Builds = BTreeMap<ServiceName, BTreeSet<BuildName>>;

/// The number of replicas of each build that take requests, by service.
pub type BuildReplicas = BTreeMap<ServiceName, BTreeMap<BuildName, usize>>;

/// The builds of each service at which streams that may still go on can have begun, as the store
/// has them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BuildLedger {
    /// The era of the store in which it was written.
    pub era: u64,
    /// Whether VMs that start may go by it: after the store came back from an earlier copy the
    /// others need some time to add what that lacks.
    pub settled: bool,
    /// Whether every stream that is not kept in the store began at the default build: others may
    /// have been lost with an earlier era.
    pub exact: bool,
    /// The builds.
    pub services: Builds,
    /// The build of each service whose streams are not kept.
    pub defaults: BTreeMap<ServiceName, BuildName>,
}

impl BuildLedger {
    /// Returns the only build of a service, if the ledger proves that there is no other.
    ///
    /// ```
    /// use std::collections::{BTreeMap, BTreeSet};
    /// use banyangauge::serving::{BuildLedger, Era};
    /// let builds = BTreeSet::from(["v1".parse().unwrap()]);
    /// let services = BTreeMap::from([("llm".parse().unwrap(), builds)]);
    /// let ledger = BuildLedger { era: 1, settled: true, services, ..BuildLedger::default() };
    /// let sole = ledger.sole(Era(1), &"llm".parse().unwrap());
    /// assert_eq!(sole.unwrap().as_str(), "v1");
    /// assert!(ledger.sole(Era(2), &"llm".parse().unwrap()).is_none());
    /// ```
    pub fn sole(&self, era: Era, service: &ServiceName) -> Option<&BuildName> {
        let builds = self.services.get(service).filter(|_| self.binds(era))?;
        builds.first().filter(|_| builds.len() == 1)
    }

    /// Returns the build that began a stream of a service which is not kept in the store, if the
    /// ledger proves that.
    pub fn default_build(&self, era: Era, service: &ServiceName) -> Option<&BuildName> {
        let default = self.defaults.get(service);
        default.filter(|_| self.exact && self.binds(era))
    }

    /// Returns the ledger with a default for each service, out of its builds. As streams of the
    /// others are kept, any of them will do once the one before is gone.
    fn with_defaults(mut self) -> Self {
        let services = &self.services;
        let is_there = |service: &ServiceName, build: &BuildName| {
            services.get(service).is_some_and(|b| b.contains(build))
        };
        self.defaults
            .retain(|service, build| is_there(service, build));
        for (service, builds) in services {
            if let Some(first) = builds
                .first()
                .filter(|_| !self.defaults.contains_key(service))
            {
                self.defaults.insert(service.clone(), first.clone());
            }
        }
        self
    }

    /// Whether it holds all builds in an era of the store.
    pub fn binds(&self, era: Era) -> bool {
        self.settled && self.era == era.0
    }
}

/// What one VM knows of the ledger.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownLedger {
    /// The newest one, of any era.
    pub(super) newest: Option<BuildLedger>,
    /// The latest era.
    era: Era,
    /// Since when this VM has known a ledger of this era.
    since: Option<Moment>,
    /// The era in which the stored objects were last listed.
    listed_in: Option<Era>,
    /// The revision of the stored ledger; `None` if there is none.
    stored: Option<StoreRevision>,
}

impl KnownLedger {
    /// Records that the store is in an era. Returns whether it replaces an earlier one.
    pub(super) fn observe_era(&mut self, era: Era) -> bool {
        if era <= self.era {
            return false;
        }
        let replaced = self.era != Era::default();
        self.era = era;
        self.since = None;
        self.stored = None;
        replaced
    }

    /// Records that all objects were listed in an era, `found` if the ledger was among them.
    pub(super) fn mark_listed(&mut self, era: Era, found: bool) {
        self.observe_era(era);
        if era == self.era {
            self.listed_in = Some(era);
            self.stored = self.stored.filter(|_| found);
        }
    }

    /// Applies the stored ledger, or its absence. Returns whether it is a newer one.
    pub(super) fn apply(
        &mut self,
        now: Moment,
        ledger: Option<BuildLedger>,
        revision: StoreRevision,
    ) -> bool {
        self.observe_era(revision.era);
        if revision.era < self.era || self.stored.is_some_and(|s| s >= revision) {
            return false;
        }
        self.stored = ledger.as_ref().map(|_| revision);
        if ledger.is_some() {
            self.newest = ledger;
        }
        if self.present().is_some() {
            self.since.get_or_insert(now);
        }
        true
    }

    /// Returns the revision of the stored ledger, or `None` if there is none.
    pub(super) fn stored(&self) -> Option<StoreRevision> {
        self.stored
    }

    /// Returns the latest era of the store if the stored objects were listed in it.
    pub(super) fn listed_era(&self) -> Option<Era> {
        self.listed_in.filter(|era| *era == self.era)
    }

    /// Returns the newest ledger if it is of the latest era.
    pub(super) fn present(&self) -> Option<&BuildLedger> {
        let ledger = self.newest.as_ref();
        ledger.filter(|l| l.era == self.era.0 && self.stored.is_some())
    }

    /// Whether the newest ledger has all builds of the latest era.
    pub(super) fn is_settled(&self) -> bool {
        self.present().is_some_and(|l| l.settled)
    }

    /// Whether this VM may go by the stored ledger for what was before it started.
    pub(super) fn is_trusted(&self) -> bool {
        let era = self.listed_era();
        era.is_some_and(|era| self.present().is_some_and(|l| l.binds(era)))
    }

    /// Returns the stored ledger, or the one that replaces it in a new era: with the builds of
    /// the one that the store lost.
    pub(super) fn base(&self) -> Option<BuildLedger> {
        let era = self.listed_era()?;
        if let Some(ledger) = self.present() {
            return Some(ledger.clone());
        }
        let lost = self.newest.clone()?;
        Some(BuildLedger {
            era: era.0,
            settled: false,
            exact: false,
            ..lost
        })
    }

    /// Returns for how long this VM has known a ledger of this era.
    pub(super) fn age(&self, now: Moment) -> Option<Span> {
        self.since.map(|since| now.since(since))
    }
}

/// Returns the ledger with the marks that hold at its age.
pub(super) fn mark(mut ledger: BuildLedger, age: Option<Span>) -> BuildLedger {
    ledger.settled |= age.is_some_and(|age| age >= RESTORE_TIME);
    ledger.exact |= age.is_some_and(|age| age >= MAX_STREAM_AGE);
    ledger.with_defaults()
}

/// What one VM knows of a build.
#[derive(Clone, Copy, Debug)]
pub(super) struct Build {
    /// Since when replicas have been listed under it; `None` if it is known from elsewhere.
    pub(super) listed: Option<Moment>,
    /// The same, without a time in which none was.
    pub(super) shown: Option<Moment>,
    /// When they were last listed, or when it was first known.
    pub(super) last: Moment,
    /// When a stream last began there, as far as this VM knows.
    pub(super) begun: Option<Moment>,
}

impl Build {
    /// Whether a stream that began there may still go on.
    pub(super) fn has_streams(&self, now: Moment) -> bool {
        self.begun.is_some_and(|at| now.since(at) < MAX_STREAM_AGE)
    }
}

/// The builds that one VM knows, by service.
pub(super) type KnownBuilds = BTreeMap<ServiceName, BTreeMap<BuildName, Build>>;

/// What a change of the ledger depends on.
#[derive(Debug)]
pub struct LedgerView<'a> {
    /// How long a build is listed before streams begin there, so that all VMs know of it and
    /// have noted the streams of the other builds.
    pub notice: Span,
    /// How long a stream may last.
    pub stream_time: Span,
    /// The replicas that take requests.
    pub usable: &'a BuildReplicas,
}

/// Returns the ledger with the builds that it lacks: at once those at which streams began already
/// and those of services that it does not have, after half the notice those of services without
/// another replica, and the rest after the notice.
///
/// If VMs were killed of late (`may_have_lost`), nobody has noted their streams, which go on only
/// as long as there is no second build. It then waits until they are over, unless most replicas of
/// the service would take no streams meanwhile.
pub(super) fn admit(
    mut ledger: BuildLedger,
    now: Moment,
    view: &LedgerView<'_>,
    known: &KnownBuilds,
    may_have_lost: bool,
) -> BuildLedger {
    for (service, builds) in known {
        let usable = view.usable.get(service);
        let count = |build: &BuildName| usable.and_then(|u| u.get(build)).copied().unwrap_or(0);
        let short_notice = match ledger.services.contains_key(service) {
            true => Span((view.notice.0 as f64 * SHORT_NOTICE_FRACTION) as u64),
            false => Span(0),
        };
        let admitted = ledger.services.get(service).into_iter().flatten();
        let serving: usize = admitted.map(count).sum();
        let all: usize = builds.keys().map(count).sum();
        let waits = may_have_lost && serving * 2 >= all;
        let is_usable = |build: &BuildName| count(build) > 0;
        let is_announced = |build: &Build| {
            let shown = build.shown;
            shown.is_some_and(|at| {
                let listed = now.since(at);
                serving == 0 && listed >= short_notice || !waits && listed >= view.notice
            })
        };
        let due = builds
            .iter()
            .filter(|(name, b)| b.has_streams(now) || is_usable(name) && is_announced(b));
        let due: Vec<_> = due.map(|(name, _)| name.clone()).collect();
        if !due.is_empty() {
            let admitted = ledger.services.entry(service.clone()).or_default();
            admitted.extend(due);
        }
    }
    ledger
}

/// Returns the ledger without the builds that were not listed for as long as a stream may go on.
pub(super) fn retire(mut ledger: BuildLedger, now: Moment, known: &KnownBuilds) -> BuildLedger {
    for (service, builds) in &mut ledger.services {
        let known = known.get(service);
        builds.retain(|build| {
            let build = known.and_then(|k| k.get(build));
            build.is_some_and(|b| now.since(b.last) < MAX_STREAM_AGE || b.has_streams(now))
        });
    }
    ledger.services.retain(|_, builds| !builds.is_empty());
    ledger
}
