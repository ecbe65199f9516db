//! Placement: chooses the replica that runs a request or loads its adapter.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Fleet;
use super::Load;
use super::PrefillSpeed;
use super::Replica;
use super::withheld::Withheld;
use super::withheld::first_ready;
use crate::ids::BuildName;
use crate::ids::ReplicaName;
use crate::ids::ServiceName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::path::types::ReplicaInfo;
use crate::serving::path::types::SharedPrefix;
use crate::serving::path::types::Target;
use crate::serving::program::experiment::Mechanism;

/// Cost of each additional request in milliseconds: it takes a share of every
/// engine step.
const REQUEST_MS: f64 = 4.0;

/// Cost of each thousand tokens in the KV cache in milliseconds: they evict cached
/// prefixes.
const KTOKEN_MS: f64 = 0.4;

/// Fraction of an engine's KV cache that is filled: token estimates are inexact,
/// and an engine that runs out of memory preempts its newest runs.
const MEMORY_FRACTION: f64 = 0.9;

/// Queue length allowed at a replica of a service without inference engine, as a
/// multiple of its slots: a short queue keeps it busy, requests in a longer one
/// could not be withdrawn.
const QUEUE_FACTOR: f64 = 1.0;

/// Penalty for a replica in another zone in milliseconds: traffic between zones
/// is expensive, but queueing is worse.
const CROSS_ZONE_MS: f64 = 4.0;

/// Additional penalty per kilobyte of body.
const CROSS_ZONE_MS_PER_KB: f64 = 1.5;

/// Penalty for a replica whose recent runs all failed, in milliseconds: high
/// enough to avoid it unless the others are full.
const FAILING_MS: f64 = 400.0;

/// Fraction of a request's latency objective by which the holder of its adapter
/// may be busier than the least busy replica before a second copy is requested
/// there. Below it the requests still meet their objective, while a copy costs a
/// fetch and evicts another adapter.
const COPY_FRACTION: f64 = 0.75;

/// How much busier than the least busy replica an adapter's home may be, in
/// milliseconds: about the duration of a load. Otherwise a later replica in the
/// hash order may be idle.
const HOME_SLACK_MS: f64 = 250.0;

/// How long a request waits for a second copy, whatever this saves: about a load
/// plus the delay of its report. It waits longer if that saves more; see
/// `SAVED_FRACTION`.
const COPY_WAIT: Span = Span::from_millis(450);

/// Maximum wait for a second copy as a fraction of the time that it is expected
/// to save. Behind a queue of seconds a request waits longer than behind a short
/// one, and stays out of the engine's queue, from which it cannot be withdrawn.
const SAVED_FRACTION: f64 = 0.5;

/// Returns whether to keep waiting for a copy that saves `saved_ms`: up to
/// `COPY_WAIT`, or up to `SAVED_FRACTION` of the saving if that is longer.
fn is_worth_waiting(saved_ms: f64, waited: Span) -> bool {
    let max_wait = Span::from_millis((saved_ms.max(0.0) * SAVED_FRACTION) as u64);
    waited < COPY_WAIT || waited < max_wait
}

/// Returns whether a second copy can no longer serve a request within its objective, while the
/// loaded replica is not slower. Under high load a request with little time left would
/// otherwise miss its objective for a copy that gains it nothing. A copy is expected
/// `COPY_WAIT` after the wait began; one that is later than that may arrive at any time.
fn is_copy_late(loaded_ms: f64, copy_ms: f64, waited: Span, left: Option<Span>) -> bool {
    let load_ms = COPY_WAIT.0.saturating_sub(waited.0) as f64 / 1e3;
    let copy_ms = copy_ms + load_ms;
    left.is_some_and(|left| copy_ms > left.0 as f64 / 1e3 && loaded_ms <= copy_ms)
}

/// The builds at which a stream may begin.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmittedBuilds {
    /// Any of these. Requests wait until the ledger has a build whose replicas take requests.
    All(BTreeSet<BuildName>),
    /// Any of these, as long as a replica of one takes requests.
    Preferred(BTreeSet<BuildName>),
}

impl AdmittedBuilds {
    /// Whether a build is among them.
    fn has(&self, build: &BuildName) -> bool {
        match self {
            Self::All(builds) | Self::Preferred(builds) => builds.contains(build),
        }
    }
}

/// A request to be placed, with its needs.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    /// Its service.
    pub service: &'a ServiceName,
    /// Its model or adapter.
    pub target: Option<&'a Target>,
    /// Load that it will add to the replica.
    pub cost: Load,
    /// Prompt prefix that it shares with other requests.
    pub shared_prefix: Option<SharedPrefix>,
    /// Size of its body in kilobytes.
    pub body_kb: f64,
    /// Objective for the time to its first byte, in milliseconds.
    pub objective_ms: f64,
    /// How long it has waited for a load; `None` if it has no time to wait.
    pub waited: Option<Span>,
    /// Time until its objective, which limits the wait for a second copy; `None` for no limit.
    pub left: Option<Span>,
    /// Whether the weight store is busy, so that a fetch for a second copy delays others.
    pub store_busy: bool,
    /// The build that must run it; `None` for any.
    pub build: Option<&'a BuildName>,
    /// The builds that may run it; `None` for any.
    pub admitted: Option<&'a AdmittedBuilds>,
    /// Replicas that failed to run it.
    pub avoid: &'a BTreeSet<ReplicaName>,
}

/// Result of a placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// Send the request to a replica.
    Send {
        /// The replica.
        replica: ReplicaName,
        /// The replica that should load a second copy of the adapter.
        copy: Option<ReplicaName>,
    },
    /// Have the adapter loaded at a replica, and wait.
    Load {
        /// The replica.
        replica: ReplicaName,
    },
    /// The adapter is already being loaded at a replica.
    Loading {
        /// The replica.
        replica: ReplicaName,
    },
    /// The replicas that could run it are full.
    Full,
    /// The replicas that could run it get no requests for a while; the state of the first
    /// one that accepts requests again.
    Withheld(Withheld),
    /// No replica can run it now.
    Unavailable,
}

impl Load {
    /// Returns the estimated engine time that this load takes, in milliseconds.
    /// Pending prefill delays both queued and running requests.
    ///
    /// ```
    /// use banyangauge::serving::{Load, PrefillSpeed};
    /// let load = Load { requests: 1, tokens: 0, prefill: 8_000 };
    /// assert_eq!(load.busy_ms(PrefillSpeed::default()), 204.0);
    /// assert_eq!(load.busy_ms(PrefillSpeed::new(20.0)), 404.0);
    /// ```
    pub fn busy_ms(&self, speed: PrefillSpeed) -> f64 {
        f64::from(self.requests) * REQUEST_MS
            + speed.prefill_ms(self.prefill)
            + self.tokens as f64 / 1e3 * KTOKEN_MS
    }
}

impl Fleet {
    /// Chooses where a request runs.
    ///
    /// Thousands of adapters with skewed demand share a few dozen slots. Requests
    /// for an adapter go to a replica that holds it, unless that replica is much
    /// busier than the others; shared prompt prefixes are cached there as well.
    /// An adapter that no replica holds is loaded at its home, the first replica
    /// in a rendezvous hash order, so that all VMs choose the same one without
    /// coordination. `loadable` says whether an owner can load at a replica now.
    pub fn place(
        &self,
        now: Moment,
        request: &PlacementRequest<'_>,
        loadable: impl Fn(&ReplicaName) -> bool,
    ) -> Placement {
        let mut replicas = self.replicas.iter();
        let is_member = |r: &Replica| {
            r.listing.service == *request.service
                && r.is_usable()
                && request.build.is_none_or(|build| r.listing.build == *build)
        };
        let mut members: Vec<_> = replicas.by_ref().filter(|(_, r)| is_member(r)).collect();
        let is_admitted = |r: &Replica| {
            let admitted = request.admitted;
            admitted.is_none_or(|builds| builds.has(&r.listing.build))
        };
        if members.iter().any(|(_, r)| is_admitted(r)) {
            members.retain(|(_, r)| is_admitted(r));
        } else if !members.is_empty() && matches!(request.admitted, Some(AdmittedBuilds::All(_))) {
            return Placement::Full;
        }
        let accepts = |name: &ReplicaName, r: &Replica| {
            !request.avoid.contains(name) && r.health.allows_request(now, r.local_load.requests)
        };
        let accepting: Vec<_> = members.iter().filter(|(n, r)| accepts(n, r)).collect();
        let is_withheld = |r: &Replica| r.withheld_at(now).is_some();
        let available = accepting.iter().filter(|(_, r)| !is_withheld(r));
        let available: Vec<_> = available.copied().collect();
        let none_accepts = || {
            let withheld = first_ready(now, accepting.iter().map(|(_, r)| *r));
            withheld.map_or(Placement::Unavailable, Placement::Withheld)
        };
        if available.is_empty() {
            return none_accepts();
        }
        let score = |n: &ReplicaName, r: &Replica| self.score(now, request, n, r);
        let Some(target) = request.target else {
            let with_room = available
                .iter()
                .filter(|(n, r)| self.has_room(now, request, n, r));
            let scored = with_room.map(|(n, r)| (score(n, r), *n));
            let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
            let best = best.map(|(_, at)| at.clone());
            return best.map_or(Placement::Full, |at| Placement::Send {
                replica: at,
                copy: None,
            });
        };
        let holders = available
            .iter()
            .filter(|(n, r)| self.serves(now, target, n, r));
        let holders: Vec<_> = holders.collect();
        let mut with_room = holders
            .iter()
            .filter(|(n, r)| self.has_room(now, request, n, r));
        let shared = request
            .shared_prefix
            .filter(|_| self.experiment.is_enabled(Mechanism::KeptPrompts));
        let cached_prefix = shared.and_then(|shared| {
            let ranked_first = holders
                .iter()
                .max_by_key(|(_, r)| prefix_rank(shared, r.seed));
            ranked_first.map(|(name, r)| {
                let speed = self.speed_of(now, r);
                (*name, speed.prefill_ms(u64::from(shared.tokens)))
            })
        });
        let saved_ms = |n: &ReplicaName| match cached_prefix {
            Some((name, saved_ms)) if name == n => saved_ms,
            _ => 0.0,
        };
        let scored = with_room
            .by_ref()
            .map(|(n, r)| (score(n, r), *n))
            .map(|(score, n)| (score - saved_ms(n), score, n));
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        let best = best.map(|(_, score, name)| (score, name.clone()));
        if target.adapter.is_none() {
            let best = best.map(|(_, at)| Placement::Send {
                replica: at,
                copy: None,
            });
            return best.unwrap_or_else(|| match none_accepts() {
                withheld @ Placement::Withheld(_) if holders.is_empty() => withheld,
                _ => Placement::Full,
            });
        }
        let base = target.model.target();
        let load_candidates = || -> Vec<_> {
            let can_load = available.iter().filter(|(n, r)| {
                self.has_room(now, request, n, r)
                    && !self.serves(now, target, n, r)
                    && r.holds(now, &base).is_some()
                    && loadable(n)
            });
            can_load.map(|(n, r)| (*n, *r, score(n, r))).collect()
        };
        let copy_slack = request.objective_ms * COPY_FRACTION;
        if let Some((best_score, at)) = best {
            // No replica is less busy than an idle one, so the score alone shows
            // that no copy is needed.
            let may_copy = self.experiment.is_enabled(Mechanism::SecondCopies)
                && self.is_copy_worth_it(request, target, &holders);
            if best_score <= copy_slack || !may_copy {
                return Placement::Send {
                    replica: at,
                    copy: None,
                };
            }
            let candidates = load_candidates();
            let scores = candidates.iter().map(|(_, _, score)| *score);
            let min_score = scores.min_by(f64::total_cmp);
            let copy = min_score.filter(|min_score| best_score > min_score + copy_slack);
            let copy = copy.and_then(|_| self.home(now, request, target, &candidates, false));
            let waited = request
                .waited
                .filter(|_| self.experiment.is_enabled(Mechanism::CopyWaits));
            let wait = waited.zip(min_score);
            let wait = wait.is_some_and(|(waited, min_score)| {
                is_worth_waiting(best_score - min_score, waited)
                    && !is_copy_late(best_score, min_score, waited, request.left)
            });
            return match copy {
                Some(at) if wait => Placement::Load { replica: at },
                copy => Placement::Send { replica: at, copy },
            };
        }
        // A holder that accepts requests again before a load ends is worth waiting for.
        let may_wait = |ready: Moment| {
            let waited = request.waited.filter(|waited| *waited < COPY_WAIT);
            waited.is_some_and(|waited| ready.since(now).0 < COPY_WAIT.0 - waited.0)
        };
        let holders_withheld = accepting.iter().map(|(n, r)| (*n, *r));
        let holders_withheld =
            holders_withheld.filter(|(n, r)| is_withheld(r) && self.serves(now, target, n, r));
        let returns = first_ready(now, holders_withheld.map(|(_, r)| r));
        if let Some(withheld) = returns.filter(|w| may_wait(w.ready)) {
            return Placement::Withheld(withheld);
        }
        let loading = available.iter().find(|(_, r)| r.is_loading(now, target));
        if let Some((at, _)) = loading {
            let at = (*at).clone();
            return Placement::Loading { replica: at };
        }
        match self.home(now, request, target, &load_candidates(), true) {
            Some(at) => Placement::Load { replica: at },
            None if holders.is_empty() => none_accepts(),
            None => Placement::Full,
        }
    }

    /// Returns whether a second copy of an adapter is worth its fetch.
    ///
    /// When many rare adapters are requested at once, the weight store is the bottleneck, and
    /// a copy for a single request delays the first copy of another adapter. Then only
    /// adapters get one that are requested often at a replica that holds them.
    fn is_copy_worth_it(
        &self,
        request: &PlacementRequest<'_>,
        target: &Target,
        holders: &[&&(&ReplicaName, &Replica)],
    ) -> bool {
        let is_hot = |r: &Replica| {
            let report = r.residency.as_ref().map(|(_, report)| report);
            report.is_some_and(|report| report.hot.contains(target))
        };
        !request.store_busy
            || !self.experiment.is_enabled(Mechanism::CopyDemand)
            || holders.iter().any(|(_, r)| is_hot(r))
    }

    /// Returns whether a replica holds a target in a version that a run may still
    /// begin on after the estimated wait in the engine's queue: by then a newer
    /// version may be required.
    fn serves(&self, now: Moment, target: &Target, name: &ReplicaName, r: &Replica) -> bool {
        let Some(version) = r.holds(now, target) else {
            return false;
        };
        let wait = Span::from_millis(self.busy_ms(now, name, r) as u64);
        let required = self.versions.required(now.after(wait), target);
        required.is_none_or(|v| target.adapter.is_none() || version >= v)
    }

    /// Returns how long a replica is busy with the requests of all VMs, in milliseconds.
    fn busy_ms(&self, now: Moment, name: &ReplicaName, r: &Replica) -> f64 {
        self.load(now, name, r).busy_ms(self.speed_of(now, r))
    }

    /// Returns the cost of placing a request at a replica, in milliseconds of
    /// engine time; lower is better.
    fn score(
        &self,
        now: Moment,
        request: &PlacementRequest<'_>,
        name: &ReplicaName,
        r: &Replica,
    ) -> f64 {
        let same_zone =
            r.listing.zone == self.zone || !self.experiment.is_enabled(Mechanism::NearZone);
        let cross_zone_ms = match same_zone {
            true => 0.0,
            false => CROSS_ZONE_MS + CROSS_ZONE_MS_PER_KB * request.body_kb,
        };
        let busy_ms = self.busy_ms(now, name, r);
        let failing_ms = match self.experiment.is_enabled(Mechanism::FailureWeight) {
            true => FAILING_MS * r.health.failure_rate,
            false => 0.0,
        };
        busy_ms + cross_zone_ms + failing_ms
    }

    /// Returns whether a replica has a free adapter slot, or one whose adapter no
    /// request uses: by its owner's report, or else by an estimate.
    fn is_vacant(&self, now: Moment, target: &Target, name: &ReplicaName, r: &Replica) -> bool {
        if let Some(vacant) = self.reported_vacancy(now, target, r) {
            return vacant;
        }
        let in_use = self.load(now, name, r).requests as usize + r.loading_count(now);
        in_use < self.engine_slots(&r.listing) as usize
    }

    /// Returns whether a replica has a vacancy for an adapter by a fresh report of its owner;
    /// `None` if the owner does not say.
    fn reported_vacancy(&self, now: Moment, target: &Target, r: &Replica) -> Option<bool> {
        let enabled = self.experiment.is_enabled(Mechanism::Vacancies);
        let (until, _) = r.residency.as_ref().filter(|_| enabled)?;
        let fresh = *until > now;
        fresh.then(|| r.vacancies.has_one_for(now, target))?
    }

    /// Returns whether a replica of a service could load an adapter at once: it has a free
    /// adapter slot, or one whose adapter no request uses.
    pub fn has_vacancy(&self, now: Moment, service: &ServiceName, target: &Target) -> bool {
        let is_member = |r: &Replica| r.listing.service == *service && r.is_usable();
        let accepts = |r: &Replica| {
            r.health.allows_request(now, r.local_load.requests) && r.withheld_at(now).is_none()
        };
        let mut replicas = self.replicas.iter();
        replicas.any(|(n, r)| is_member(r) && accepts(r) && self.is_vacant(now, target, n, r))
    }

    /// Returns whether a replica can begin a request soon.
    fn has_room(
        &self,
        now: Moment,
        request: &PlacementRequest<'_>,
        name: &ReplicaName,
        r: &Replica,
    ) -> bool {
        let load = self.load(now, name, r);
        let slots = f64::from(r.listing.slots);
        let service = self.services.get(&r.listing.service);
        match service.and_then(|s| s.engine.as_ref()) {
            Some(engine) => {
                let tokens = (load.tokens + request.cost.tokens) as f64;
                let is_idle = load.requests == 0;
                let fits_memory = is_idle || tokens <= engine.kv_tokens as f64 * MEMORY_FRACTION;
                fits_memory && f64::from(load.requests) < slots
            }
            None => f64::from(load.requests) < slots * (1.0 + QUEUE_FACTOR),
        }
    }

    /// Returns the replica that loads an adapter. `all` holds the candidates with
    /// their scores, and `rare` says that no replica holds the adapter.
    ///
    /// The home of an adapter is the first replica in hash order among those not much
    /// busier than the least busy one.
    ///
    /// Under many requests for rare adapters a replica may run more requests than
    /// it holds adapters. If all its adapters are in use, a load waits until one
    /// is idle, while other replicas may have an idle one. A rare adapter is therefore
    /// loaded where the owner reports a vacancy, at its home if that has one. If owners
    /// report none, a request that has waited for longer than a load takes is placed only
    /// where an adapter can be evicted, if there is such a replica.
    fn home(
        &self,
        now: Moment,
        request: &PlacementRequest<'_>,
        target: &Target,
        all: &[(&ReplicaName, &Replica, f64)],
        rare: bool,
    ) -> Option<ReplicaName> {
        let waited_long = request.waited.is_some_and(|waited| waited >= COPY_WAIT);
        let reported = |r: &Replica| match rare {
            true => self.reported_vacancy(now, target, r),
            false => None,
        };
        // Otherwise the adapter would be loaded at two replicas.
        let under_way = |r: &Replica| r.vacancies.is_taken_by(now, target);
        let mut requested = all.iter().filter(|(_, r, _)| reported(r).is_some());
        if let Some((name, ..)) = requested.find(|(_, r, _)| under_way(r)) {
            return Some((*name).clone());
        }
        let home = self.first_in_order(target, all)?;
        if reported(home.1) == Some(true) {
            return Some(home.0.clone());
        }
        let is_candidate = |n: &ReplicaName, r: &Replica| {
            reported(r).unwrap_or_else(|| waited_long && self.is_vacant(now, target, n, r))
        };
        let vacant = all.iter().filter(|(n, r, _)| is_candidate(n, r));
        let vacant: Vec<_> = vacant.copied().collect();
        let chosen = self.first_in_order(target, &vacant).unwrap_or(home);
        Some(chosen.0.clone())
    }

    /// Returns the first replica for an adapter in hash order among those not much busier
    /// than the least busy one.
    fn first_in_order<'r>(
        &self,
        target: &Target,
        candidates: &[(&'r ReplicaName, &'r Replica, f64)],
    ) -> Option<(&'r ReplicaName, &'r Replica)> {
        let scores = candidates.iter().map(|(_, _, score)| *score);
        let min_score = scores.min_by(f64::total_cmp)?;
        let slack_ms = match self.experiment.is_enabled(Mechanism::Homes) {
            true => HOME_SLACK_MS,
            false => 0.0,
        };
        let near_best = candidates
            .iter()
            .filter(|(_, _, score)| *score <= min_score + slack_ms);
        let ranked_first = near_best.max_by_key(|(_, r, _)| rank(target, r.seed));
        ranked_first.map(|(name, r, _)| (*name, *r))
    }
}

/// Returns the hash of a replica's address, by which the replica is ranked: after
/// a restart at the same address it still has the adapter's weights on its disk.
pub(super) fn address_seed(listing: &ReplicaInfo) -> u64 {
    xxh3_64_with_seed(listing.address.to_string().as_bytes(), 0)
}

/// Returns the rank of a replica for a shared prompt prefix: if several replicas
/// hold the adapter, requests with the same prefix go where it is cached.
fn prefix_rank(shared: SharedPrefix, seed: u64) -> u64 {
    xxh3_64_with_seed(&seed.to_le_bytes(), shared.key)
}

/// Returns the rank of a replica for an adapter.
fn rank(target: &Target, seed: u64) -> u64 {
    let adapter = target.adapter.as_ref().map_or("", |a| a.as_str());
    xxh3_64_with_seed(adapter.as_bytes(), seed)
}
