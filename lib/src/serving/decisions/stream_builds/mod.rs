//! Which build of a service began a stream.
//!
//! What two builds generate does not fit together, so a stream goes on only at a replica of the
//! build that began it. The VM that began it may be gone by then. While there is a single build
//! nothing needs to be remembered but that there is no other, which the `ledger` in the store
//! says. While there are several, a few VMs are told of each stream that begins, and one of them
//! keeps it in the store (`kept`), in case all are killed.

mod kept;
mod ledger;
mod proof;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::BuildName;
use crate::ids::ServiceName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::store::port::Era;
use crate::serving::store::port::StoreRevision;

pub use kept::BatchWrite;
pub use kept::KeptGroup;
pub use kept::KeptStream;
pub use kept::StreamBatch;
pub use kept::StreamGroup;
pub use ledger::BuildLedger;
pub use ledger::BuildReplicas;
pub use ledger::Builds;
pub use ledger::LedgerView;
pub use proof::KnownAsOf;

use ledger::Build;
use ledger::KnownBuilds;
use ledger::KnownLedger;
use ledger::RESTORE_TIME;
use proof::Proof;

/// How long after it began a stream may go on: longer than the timeout of any request.
pub const MAX_STREAM_AGE: Span = Span::from_millis(30_000);

/// A build that was not listed for this long is announced again when it returns.
const MAX_LISTING_GAP: Span = Span::from_millis(1_500);

/// The maximum number of streams that are remembered. A stream that is forgotten does not go on
/// while there are several builds.
const MAX_RECORDS: usize = 65_536;

/// Identifies a stream by the ID of the request that began it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the identifier of the stream that a request began.
    ///
    /// ```
    /// use banyangauge::serving::StreamId;
    /// assert_eq!(StreamId::of("9c41"), StreamId::of("9c41"));
    /// assert_ne!(StreamId::of("9c41"), StreamId::of("9c42"));
    /// ```
    pub fn of(request: &str) -> Self {
        Self(xxh3_64(request.as_bytes()))
    }
}

/// What one VM knows of the build that began a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The stream began at this build.
    Recorded(BuildName),
    /// No other build was listed since the stream can have begun.
    Sole(BuildName),
    /// The VM has not heard of another build, but may have missed one.
    Presumed(BuildName),
    /// Several builds were listed since then, and the stream is not known.
    Several,
    /// The VM has not known the replicas for long enough.
    Unknown,
}

/// What one of several VMs knows of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// What it knows.
    pub origin: Origin,
    /// Whether it would have been told of the stream, had any VM been.
    pub would_know: bool,
}

impl Answer {
    /// Returns the build at which a stream may go on, by the answers of several VMs; `None` if
    /// that is not certain.
    ///
    /// That there was a single build is believed only if a VM says so that would have been told
    /// of the stream: others may not know yet of a build that has just been listed.
    ///
    /// ```
    /// use banyangauge::serving::{Origin, StreamAnswer};
    /// let build = |name: &str| name.parse().unwrap();
    /// let answer = |origin, would_know| StreamAnswer { origin, would_know };
    /// let (recorded, sole) = (Origin::Recorded(build("v1")), Origin::Sole(build("v2")));
    /// let answers = [answer(Origin::Several, true), answer(recorded, false)];
    /// assert_eq!(StreamAnswer::agree(&answers), Some(build("v1")));
    /// let answers = [answer(Origin::Unknown, true), answer(sole.clone(), true)];
    /// assert_eq!(StreamAnswer::agree(&answers), Some(build("v2")));
    /// assert_eq!(StreamAnswer::agree(&[answer(sole, false)]), None);
    /// ```
    pub fn agree(answers: &[Self]) -> Option<BuildName> {
        let mut recorded = BTreeSet::new();
        let mut sole = BTreeSet::new();
        for answer in answers {
            match &answer.origin {
                Origin::Recorded(build) => recorded.insert(build),
                Origin::Sole(build) => sole.insert(build),
                Origin::Presumed(_) | Origin::Several | Origin::Unknown => false,
            };
        }
        let is_sole = |a: &Self| a.would_know && matches!(a.origin, Origin::Sole(_));
        let several = answers.iter().any(|a| a.origin == Origin::Several);
        let mut certain = match recorded.is_empty() {
            false => recorded,
            true if several || !answers.iter().any(is_sole) => return None,
            true => sole,
        };
        let build = certain.pop_first()?;
        certain.is_empty().then(|| build.clone())
    }

    /// Returns the build at which a stream may go on while the store proves nothing: the only one
    /// of which any of `vms` VMs has heard, if all of them answer, this one among them. A VM that
    /// does not answer may have begun streams at another build.
    ///
    /// ```
    /// use banyangauge::serving::{Origin, StreamAnswer};
    /// let origin = Origin::Presumed("v1".parse().unwrap());
    /// let answer = StreamAnswer { origin, would_know: true };
    /// let answers = [answer.clone(), answer];
    /// assert!(StreamAnswer::presume(&answers, 2).is_some());
    /// assert_eq!(StreamAnswer::presume(&answers, 3), None);
    /// assert_eq!(StreamAnswer::presume(&answers[..1], 1), None);
    /// ```
    pub fn presume(answers: &[Self], vms: usize) -> Option<BuildName> {
        if answers.len() < vms.max(2) {
            return None;
        }
        let presumed = answers.iter().cloned().map(|a| Self {
            origin: match a.origin {
                Origin::Presumed(build) => Origin::Sole(build),
                origin => origin,
            },
            ..a
        });
        Self::agree(&presumed.collect::<Vec<_>>())
    }
}

/// A stream that began.
#[derive(Clone, Debug)]
struct Record {
    service: ServiceName,
    build: BuildName,
    began: Moment,
    /// Whether it began at this VM and is not complete.
    open: bool,
    /// Whether other VMs were told.
    told: bool,
}

/// The streams that one VM knows of, and the builds of each service.
#[derive(Debug, Default)]
pub struct StreamBuilds {
    records: BTreeMap<StreamId, Record>,
    known: KnownBuilds,
    /// The streams that the store has: when they were last read there, and the builds.
    kept: BTreeMap<StreamId, (Moment, BTreeSet<(ServiceName, BuildName)>)>,
    /// When this VM first knew of replicas.
    since: Option<Moment>,
    ledger: KnownLedger,
    proof: Proof,
    /// Whether the whole system starts for the first time, so that no stream began before.
    first_start: bool,
    /// Whether no stream began before this VM started.
    starts_all: bool,
    /// Whether this VM knows the builds before its start.
    knows_past: bool,
    /// Since when the ledger has needed a change.
    change_due: Option<Moment>,
}

impl StreamBuilds {
    /// Creates the state of a VM that starts. `first_start` is set if the whole system starts for
    /// the first time, so that a store without a ledger lost none.
    pub fn new(first_start: bool) -> Self {
        Self {
            first_start,
            ..Self::default()
        }
    }

    /// Records that a replica of a build is listed now.
    pub fn list(&mut self, now: Moment, service: &ServiceName, build: &BuildName) {
        self.since.get_or_insert(now);
        let build = self.build(now, service, build);
        build.listed.get_or_insert(now);
        if build.shown.is_none() || now.since(build.last) >= MAX_LISTING_GAP {
            build.shown = Some(now);
        }
        build.last = now;
    }

    /// Returns what is known of a build, which is known from now on.
    fn build(&mut self, now: Moment, service: &ServiceName, build: &BuildName) -> &mut Build {
        if !self.known.contains_key(service) {
            self.known.insert(service.clone(), BTreeMap::new());
        }
        let new = Build {
            listed: None,
            shown: None,
            last: now,
            begun: None,
        };
        let builds = self.known.entry(service.clone()).or_default();
        builds.entry(build.clone()).or_insert(new)
    }

    /// Forgets streams and builds that no stream can go on from.
    pub fn expire(&mut self, now: Moment) {
        let is_recent = |at: Moment| now.since(at) < MAX_STREAM_AGE;
        for builds in self.known.values_mut() {
            builds.retain(|_, b| is_recent(b.last) || b.has_streams(now));
        }
        self.known.retain(|_, builds| !builds.is_empty());
        self.records.retain(|_, r| is_recent(r.began));
        self.kept.retain(|_, (at, _)| is_recent(*at));
    }

    /// Records that the store is in an era.
    pub fn observe_era(&mut self, now: Moment, era: Era) {
        if self.ledger.observe_era(era) {
            self.proof.restart(now.after(RESTORE_TIME));
        }
    }

    /// Records as of when the entries of the store are known. The ledger counts once it has all
    /// builds of its era.
    pub fn prove(&mut self, known: &KnownAsOf) {
        let ledger = known.ledger.filter(|_| self.ledger.is_settled());
        self.proof.advance(&KnownAsOf { ledger, ..*known });
    }

    /// Returns how long ago all listed replicas, and the ledger, were known.
    pub fn proof_ages(&self, now: Moment) -> (Option<Span>, Option<Span>) {
        self.proof.ages(now)
    }

    /// Records that all stored objects were listed in an era, `found` if the ledger was among
    /// them.
    pub fn mark_listed(&mut self, era: Era, found: bool) {
        self.ledger.mark_listed(era, found);
        self.starts_all |= self.first_start && self.ledger.newest.is_none();
        self.knows_past |= self.starts_all || self.ledger.is_trusted();
    }

    /// Applies the stored ledger, or its absence. Returns whether it is newer than the known one.
    pub fn apply_ledger(
        &mut self,
        now: Moment,
        ledger: Option<BuildLedger>,
        revision: StoreRevision,
    ) -> bool {
        let builds = ledger.as_ref().map(|l| l.services.clone());
        if !self.ledger.apply(now, ledger, revision) {
            return false;
        }
        for (service, builds) in builds.iter().flatten() {
            for build in builds {
                self.build(now, service, build);
            }
        }
        self.knows_past |= self.ledger.is_trusted();
        self.change_due = None;
        true
    }

    /// Returns the revision of the stored ledger, or `None` if there is none.
    pub fn stored_ledger(&self) -> Option<StoreRevision> {
        self.ledger.stored()
    }

    /// Whether the ledger has all builds of the store's era.
    pub fn is_settled(&self) -> bool {
        self.ledger.is_settled()
    }

    /// Returns the builds of a service at which new streams may begin; `None` for any.
    pub fn admitted(&self, service: &ServiceName) -> Option<&BTreeSet<BuildName>> {
        self.ledger.newest.as_ref()?.services.get(service)
    }

    /// Returns the build of a service whose streams need not be kept in the store.
    pub fn default_build(&self, service: &ServiceName) -> Option<&BuildName> {
        self.ledger.newest.as_ref()?.defaults.get(service)
    }

    /// Whether a stream that begins at a build must be kept in the store before its first event.
    pub fn must_keep(&self, service: &ServiceName, build: &BuildName) -> bool {
        self.default_build(service)
            .is_some_and(|default| default != build)
    }

    /// Returns the ledger that should replace the stored one, and since when it has been due;
    /// `None` if the stored one is right, or this VM cannot know.
    pub fn ledger_change(
        &mut self,
        now: Moment,
        view: &LedgerView<'_>,
    ) -> Option<(BuildLedger, Moment)> {
        let certain = self.knows_past(now);
        let base = self.ledger.base().or_else(|| self.first_ledger(now));
        let base = base.filter(|_| certain || self.ledger.present().is_some())?;
        let is_new = self.since.is_none_or(|s| now.since(s) < view.stream_time);
        let may_have_lost = is_new && !self.starts_all;
        let mut ledger = ledger::admit(base, now, view, &self.known, may_have_lost);
        let is_old = self.since.is_some_and(|s| now.since(s) >= MAX_STREAM_AGE);
        // A VM that stood still takes builds for gone that may have returned meanwhile.
        if is_old && self.proof.is_recent(now) {
            ledger = ledger::retire(ledger, now, &self.known);
        }
        let ledger = ledger::mark(ledger, self.ledger.age(now).filter(|_| certain));
        if self.ledger.present() == Some(&ledger) || ledger.services.is_empty() {
            self.change_due = None;
            return None;
        }
        let due = *self.change_due.get_or_insert(now);
        Some((ledger, due))
    }

    /// Returns the ledger of a store that never had one, if this VM may write it.
    fn first_ledger(&self, now: Moment) -> Option<BuildLedger> {
        let era = self
            .ledger
            .listed_era()
            .filter(|_| self.ledger.newest.is_none())?;
        Some(BuildLedger {
            era: era.0,
            settled: true,
            exact: self.starts_all,
            services: self.recent_builds(now),
            defaults: BTreeMap::new(),
        })
    }

    /// Returns the builds that were listed for as long as a stream may go on.
    fn recent_builds(&self, now: Moment) -> Builds {
        let is_recent = |b: &Build| now.since(b.last) < MAX_STREAM_AGE;
        let services = self.known.iter().map(|(service, builds)| {
            let builds = builds.iter().filter(|(_, b)| is_recent(b));
            (
                service.clone(),
                builds.map(|(name, _)| name.clone()).collect(),
            )
        });
        services.collect()
    }

    /// Whether this VM knows at which builds streams began that may still go on, also before it
    /// started.
    fn knows_past(&self, now: Moment) -> bool {
        self.knows_past || self.since.is_some_and(|s| now.since(s) >= MAX_STREAM_AGE)
    }

    /// Returns what is known of the builds of a service, other than of single streams.
    fn history(&self, now: Moment, service: &ServiceName) -> Origin {
        match self.admitted(service) {
            Some(admitted) => self.admitted_history(now, service, admitted),
            None => self.listed_history(now, service),
        }
    }

    /// Returns what is known of the builds of a service in the ledger.
    fn admitted_history(
        &self,
        now: Moment,
        service: &ServiceName,
        admitted: &BTreeSet<BuildName>,
    ) -> Origin {
        let known = self.known.get(service).into_iter().flatten();
        let begun = known.filter(|(_, b)| b.has_streams(now));
        let builds: BTreeSet<_> = begun.map(|(name, _)| name).chain(admitted).collect();
        match builds.first() {
            Some(build) if builds.len() == 1 && self.knows_past(now) => {
                Origin::Sole((*build).clone())
            }
            _ if builds.len() > 1 => Origin::Several,
            _ => Origin::Unknown,
        }
    }

    /// Returns what the lists of replicas say of the builds of a service.
    fn listed_history(&self, now: Moment, service: &ServiceName) -> Origin {
        let builds = self.known.get(service).into_iter().flatten();
        let recent = |b: &Build| now.since(b.last) < MAX_STREAM_AGE;
        let builds: Vec<_> = builds.filter(|(_, b)| recent(b)).collect();
        let is_old = |at: Moment| now.since(at) >= MAX_STREAM_AGE;
        match builds[..] {
            [(name, build)] if build.listed.is_some_and(is_old) => Origin::Sole(name.clone()),
            [] | [_] => Origin::Unknown,
            _ => Origin::Several,
        }
    }

    /// Whether replicas of a service are listed under a build at which no stream may begin yet.
    fn awaits_build(&self, now: Moment, service: &ServiceName) -> bool {
        let (Some(admitted), Some(builds)) = (self.admitted(service), self.known.get(service))
        else {
            return false;
        };
        let is_listed = |b: &Build| b.listed.is_some() && now.since(b.last) < MAX_STREAM_AGE;
        builds
            .iter()
            .any(|(name, b)| is_listed(b) && !admitted.contains(name))
    }

    /// Whether a stream of a service with a single build can have begun at no other.
    fn is_proven(&self, now: Moment, service: &ServiceName) -> bool {
        self.proof.holds(now) && !self.awaits_build(now, service)
    }

    /// Records that a stream began, or went on, at a build. Returns whether other VMs must be
    /// told: one that takes the stream up could not tell the build otherwise.
    pub fn begin(
        &mut self,
        now: Moment,
        stream: StreamId,
        service: &ServiceName,
        build: &BuildName,
    ) -> bool {
        let certain = Origin::Sole(build.clone());
        let told = self.history(now, service) != certain || self.awaits_build(now, service);
        self.build(now, service, build).begun = Some(now);
        let record = Record {
            service: service.clone(),
            build: build.clone(),
            began: now,
            open: true,
            told,
        };
        self.insert(stream, record);
        told
    }

    /// Records a stream that another VM began.
    pub fn learn(
        &mut self,
        now: Moment,
        stream: StreamId,
        service: &ServiceName,
        build: &BuildName,
    ) {
        self.build(now, service, build).begun = Some(now);
        let record = Record {
            service: service.clone(),
            build: build.clone(),
            began: now,
            open: false,
            told: true,
        };
        self.insert(stream, record);
    }

    /// Records a stream that the store has. It may have begun long ago, or at another build in a
    /// later attempt.
    pub fn learn_kept(
        &mut self,
        now: Moment,
        stream: StreamId,
        service: &ServiceName,
        build: &BuildName,
    ) {
        let kept = self.kept.entry(stream).or_insert((now, BTreeSet::new()));
        kept.0 = now;
        kept.1.insert((service.clone(), build.clone()));
    }

    /// Returns the builds of a service with which the store has a stream. If there are several, it
    /// is not known which of them sent the first event.
    pub fn kept_builds(&self, stream: StreamId, service: &ServiceName) -> Vec<&BuildName> {
        let kept = self.kept.get(&stream).into_iter();
        let builds = kept.flat_map(|(_, builds)| builds);
        let builds = builds.filter(|(s, _)| s == service);
        builds.map(|(_, build)| build).collect()
    }

    fn insert(&mut self, stream: StreamId, record: Record) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&stream) {
            self.records.insert(stream, record);
        }
    }

    /// Records that a stream is complete.
    pub fn complete(&mut self, stream: StreamId) {
        self.records.remove(&stream);
    }

    /// Returns what this VM knows of the build that began a stream; `stream` is `None` if the
    /// caller does not name it.
    pub fn origin(&self, now: Moment, stream: Option<StreamId>, service: &ServiceName) -> Origin {
        let record = stream.and_then(|stream| self.records.get(&stream));
        let record =
            record.filter(|r| r.service == *service && now.since(r.began) < MAX_STREAM_AGE);
        match record.map(|r| r.build.clone()) {
            Some(build) => Origin::Recorded(build),
            None => match self.history(now, service) {
                Origin::Sole(build) if !self.is_proven(now, service) => Origin::Presumed(build),
                origin => origin,
            },
        }
    }

    /// Takes the streams of this VM that the others must be told of now, as a second build of
    /// their service is listed since they began.
    pub fn take_untold(&mut self, now: Moment) -> Vec<(StreamId, ServiceName, BuildName)> {
        let services: BTreeSet<_> = self.records.values().map(|r| r.service.clone()).collect();
        let mixed: BTreeSet<_> = services
            .into_iter()
            .filter(|s| self.history(now, s) == Origin::Several || self.awaits_build(now, s))
            .collect();
        let untold = self
            .records
            .iter_mut()
            .filter(|(_, r)| r.open && !r.told && mixed.contains(&r.service));
        untold
            .map(|(stream, record)| {
                record.told = true;
                (*stream, record.service.clone(), record.build.clone())
            })
            .collect()
    }
}
