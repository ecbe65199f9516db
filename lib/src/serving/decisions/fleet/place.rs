//! Placement: chooses the replica that runs a request or loads its adapter.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Fleet;
use super::Load;
use super::Replica;
use crate::ids::ReplicaName;
use crate::ids::ServiceName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::path::types::ReplicaInfo;
use crate::serving::path::types::SharedPrefix;
use crate::serving::path::types::Target;
use crate::serving::program::experiment::Mechanism;

/// Prompt tokens that an engine prefills per millisecond, approximately. Pending
/// prefill delays both queued and running requests.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;

/// Cost of each additional request in milliseconds: it takes a share of every
/// engine step.
const REQUEST_MS: f64 = 4.0;

/// Cost of each thousand tokens held in milliseconds: they evict cached
/// prefixes.
const HELD_MS: f64 = 0.4;

/// Fraction of an engine's KV cache that is filled: token estimates are inexact,
/// and an engine that runs out of memory preempts its newest runs.
const MEMORY_FRACTION: f64 = 0.9;

/// Queue length allowed at a plain replica as a multiple of its slots: a short
/// queue keeps it busy, requests in a longer one could not be withdrawn.
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
/// fetch and evicts another adapter. With 0.6 s instead of 0.25 s, and more
/// slack at the owners, the net value served rose from 0.559 to 0.593 of the
/// value due; with 0.9 s it was 0.587 (three small deployments and a fifth of a
/// large one, at high load and with faults, ten runs each).
const COPY_FRACTION: f64 = 0.75;

/// How much busier than the least busy replica an adapter's home may be, in
/// milliseconds: about the duration of a load. Otherwise a later replica in the
/// hash order may be idle.
const HOME_SLACK_MS: f64 = 250.0;

/// How long a request waits for a second copy although another replica could run
/// it later: about a load plus the delay of its report.
const COPY_WAIT: Span = Span::from_millis(450);

/// Maximum wait for a second copy as a fraction of the time that it is expected
/// to save. Behind a queue of seconds a request waits longer than behind a short
/// one, and stays out of the engine's queue, from which it cannot be withdrawn.
const SAVED_FRACTION: f64 = 0.5;

/// Returns whether a copy that saves `saved_ms` milliseconds is still worth
/// waiting for.
fn is_worth_waiting(saved_ms: f64, waited: Span) -> bool {
    let longest = Span::from_millis((saved_ms.max(0.0) * SAVED_FRACTION) as u64);
    waited < COPY_WAIT || waited < longest
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
    /// Replicas that failed to run it.
    pub avoid: &'a BTreeSet<ReplicaName>,
}

/// Result of a placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// Send the request to a replica.
    Send {
        /// The replica.
        at: ReplicaName,
        /// The replica that should load a second copy of the adapter.
        copy: Option<ReplicaName>,
    },
    /// Have the adapter loaded at a replica, and wait.
    Load {
        /// The replica.
        at: ReplicaName,
    },
    /// The adapter is already being loaded at a replica.
    Loading {
        /// The replica.
        at: ReplicaName,
    },
    /// The replicas that could run it are full.
    Full,
    /// No replica can run it now.
    Unavailable,
}

impl Load {
    /// Returns the estimated engine time that this load takes, in milliseconds.
    pub fn busy_ms(&self) -> f64 {
        f64::from(self.requests) * REQUEST_MS
            + self.prefill as f64 / PREFILL_TOKENS_PER_MS
            + self.tokens as f64 / 1e3 * HELD_MS
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
        want: &PlacementRequest<'_>,
        loadable: impl Fn(&ReplicaName) -> bool,
    ) -> Placement {
        let mut service = self.replicas.iter();
        let member = |r: &Replica| r.listing.service == *want.service && r.usable();
        let members: Vec<_> = service.by_ref().filter(|(_, r)| member(r)).collect();
        let open = |name: &ReplicaName, r: &Replica| {
            !want.avoid.contains(name) && r.health.open(now, r.own.requests)
        };
        let open: Vec<_> = members.iter().filter(|(n, r)| open(n, r)).collect();
        if open.is_empty() {
            return Placement::Unavailable;
        }
        let score = |n: &ReplicaName, r: &Replica| self.score(now, want, n, r);
        let Some(target) = want.target else {
            let fit = open.iter().filter(|(n, r)| self.has_room(now, want, n, r));
            let fit = fit.map(|(n, r)| (score(n, r), *n));
            let fit = fit.min_by(|a, b| a.0.total_cmp(&b.0));
            let fit = fit.map(|(_, at)| at.clone());
            return fit.map_or(Placement::Full, |at| Placement::Send { at, copy: None });
        };
        let holders = open.iter().filter(|(n, r)| self.serves(now, target, n, r));
        let holders: Vec<_> = holders.collect();
        let mut fit = holders
            .iter()
            .filter(|(n, r)| self.has_room(now, want, n, r));
        let shared = want
            .shared_prefix
            .filter(|_| self.experiment.is_enabled(Mechanism::KeptPrompts));
        let kept = shared.and_then(|shared| {
            let first = holders
                .iter()
                .max_by_key(|(_, r)| prefix_rank(shared, r.seed));
            first.map(|(name, _)| (*name, f64::from(shared.tokens) / PREFILL_TOKENS_PER_MS))
        });
        let saved = |n: &ReplicaName| match kept {
            Some((name, saved)) if name == n => saved,
            _ => 0.0,
        };
        let fit = fit
            .by_ref()
            .map(|(n, r)| (score(n, r), *n))
            .map(|(score, n)| (score - saved(n), score, n));
        let fit = fit.min_by(|a, b| a.0.total_cmp(&b.0));
        let fit = fit.map(|(_, score, name)| (score, name.clone()));
        if target.adapter.is_none() {
            return fit.map_or(Placement::Full, |(_, at)| Placement::Send {
                at,
                copy: None,
            });
        }
        let base = target.model.target();
        let roomy = || -> Vec<_> {
            let roomy = open.iter().filter(|(n, r)| {
                self.has_room(now, want, n, r)
                    && !self.serves(now, target, n, r)
                    && r.holds(now, &base).is_some()
                    && loadable(n)
            });
            roomy.map(|(n, r)| (*n, *r, score(n, r))).collect()
        };
        let copy_slack = want.objective_ms * COPY_FRACTION;
        if let Some((held, at)) = fit {
            // No replica is less busy than an idle one, so the score alone shows
            // that no copy is needed.
            if held <= copy_slack || !self.experiment.is_enabled(Mechanism::SecondCopies) {
                return Placement::Send { at, copy: None };
            }
            let roomy = roomy();
            let least = roomy.iter().map(|(_, _, score)| *score);
            let least = least.min_by(f64::total_cmp);
            let copy = least.filter(|least| held > least + copy_slack);
            let copy = copy.and_then(|_| self.home(now, want, target, &roomy));
            let waited = want
                .waited
                .filter(|_| self.experiment.is_enabled(Mechanism::CopyWaits));
            let wait = waited.zip(least);
            let wait = wait.is_some_and(|(waited, least)| is_worth_waiting(held - least, waited));
            return match copy {
                Some(at) if wait => Placement::Load { at },
                copy => Placement::Send { at, copy },
            };
        }
        let coming = open.iter().find(|(_, r)| r.is_loading(now, target));
        if let Some((at, _)) = coming {
            let at = (*at).clone();
            return Placement::Loading { at };
        }
        match self.home(now, want, target, &roomy()) {
            Some(at) => Placement::Load { at },
            None if holders.is_empty() => Placement::Unavailable,
            None => Placement::Full,
        }
    }

    /// Returns whether a run for this target may begin at a replica after the
    /// prefills queued before it: a run that waits in the queue of a busy engine
    /// begins on the version that is loaded by then.
    fn serves(&self, now: Moment, target: &Target, name: &ReplicaName, r: &Replica) -> bool {
        let Some(version) = r.holds(now, target) else {
            return false;
        };
        let wait = Span::from_millis(self.load(now, name, r).busy_ms() as u64);
        let required = self.versions.required(now.after(wait), target);
        required.is_none_or(|v| target.adapter.is_none() || version >= v)
    }

    /// Returns the cost of placing a request at a replica, in milliseconds of
    /// engine time; lower is better.
    fn score(
        &self,
        now: Moment,
        want: &PlacementRequest<'_>,
        name: &ReplicaName,
        r: &Replica,
    ) -> f64 {
        let load = self.load(now, name, r);
        let same_zone =
            r.listing.zone == self.zone || !self.experiment.is_enabled(Mechanism::NearZone);
        let cross_zone = match same_zone {
            true => 0.0,
            false => CROSS_ZONE_MS + CROSS_ZONE_MS_PER_KB * want.body_kb,
        };
        let busy = load.busy_ms();
        let failing = match self.experiment.is_enabled(Mechanism::FailureWeight) {
            true => FAILING_MS * r.health.failed,
            false => 0.0,
        };
        busy + cross_zone + failing
    }

    /// Returns whether a replica has a free adapter slot, or one whose adapter no
    /// request uses.
    fn is_vacant(&self, now: Moment, name: &ReplicaName, r: &Replica) -> bool {
        let used = self.load(now, name, r).requests as usize + r.loading_count(now);
        used < self.engine_slots(&r.listing) as usize
    }

    /// Returns whether a replica can begin a request soon.
    fn has_room(
        &self,
        now: Moment,
        want: &PlacementRequest<'_>,
        name: &ReplicaName,
        r: &Replica,
    ) -> bool {
        let load = self.load(now, name, r);
        let slots = f64::from(r.listing.slots);
        let service = self.services.get(&r.listing.service);
        match service.and_then(|s| s.engine.as_ref()) {
            Some(engine) => {
                let tokens = (load.tokens + want.cost.tokens) as f64;
                let first = load.requests == 0;
                let memory = first || tokens <= engine.kv_tokens as f64 * MEMORY_FRACTION;
                memory && f64::from(load.requests) < slots
            }
            None => f64::from(load.requests) < slots * (1.0 + QUEUE_FACTOR),
        }
    }

    /// Returns the first replica for an adapter in hash order among those not
    /// much busier than the least busy one. `all` holds the candidates with their
    /// scores.
    ///
    /// Under many requests for rare adapters a replica may run more requests than
    /// it holds adapters. If all its adapters are in use, a load waits until one
    /// is idle, while other replicas may have an idle one. A request that has
    /// waited for longer than a load takes is therefore placed only where an
    /// adapter can be evicted, if there is such a replica.
    fn home(
        &self,
        now: Moment,
        want: &PlacementRequest<'_>,
        target: &Target,
        all: &[(&ReplicaName, &Replica, f64)],
    ) -> Option<ReplicaName> {
        let late = want.waited.is_some_and(|waited| waited >= COPY_WAIT);
        let vacant = all
            .iter()
            .filter(|(n, r, _)| late && self.is_vacant(now, n, r));
        let vacant: Vec<_> = vacant.copied().collect();
        let list = match vacant.is_empty() {
            true => all,
            false => &vacant,
        };
        let least = list.iter().map(|(_, _, score)| *score);
        let least = least.min_by(f64::total_cmp)?;
        let above = match self.experiment.is_enabled(Mechanism::Homes) {
            true => HOME_SLACK_MS,
            false => 0.0,
        };
        let fit = list.iter().filter(|(_, _, score)| *score <= least + above);
        let first = fit.max_by_key(|(_, r, _)| rank(target, r.seed));
        first.map(|(name, _, _)| (*name).clone())
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
