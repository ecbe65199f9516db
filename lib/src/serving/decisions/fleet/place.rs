//! Where a request runs, or where its adapter is loaded first.

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

/// Prompt tokens that an engine reads in a millisecond, about: what waits to
/// be read is what holds up those who come next and those who run.
const READ_A_MS: f64 = 40.0;

/// Milliseconds for each request more: it takes a part of every step.
const REQUEST_MS: f64 = 4.0;

/// Milliseconds for each thousand tokens held: they push kept parts out.
const HELD_MS: f64 = 0.4;

/// The part of an engine's KV memory that is filled: estimates are wrong, and
/// an engine without room preempts the newest of its runs.
const MEMORY_PART: f64 = 0.9;

/// Requests that a plain replica may hold beyond its slots, in slots: a short
/// queue there keeps it busy, a longer one could not be taken back.
const QUEUE_PART: f64 = 1.0;

/// How much longer a replica in another zone seems to take, in milliseconds:
/// bytes between zones are dear, but dearer is a queue.
const FAR_MS: f64 = 4.0;

/// The same for each kilobyte of body.
const FAR_MS_A_KB: f64 = 1.5;

/// How much longer a replica seems to take if all its runs failed lately: so
/// long that it is left out unless the others are full.
const FAILING_MS: f64 = 400.0;

/// The part of a request's objective by which its adapter's holder may seem
/// busier than the least busy replica before it asks for a second copy there:
/// with less its requests are in time all the same, and a copy takes the place
/// of another adapter and a fetch. Measured on three small deployments and a
/// fifth of a large one, at high load and with trouble, ten runs each: what
/// callers got less what it cost, of what was owed: 0.559 -> 0.593 with 0.6 s
/// in place of 0.25 s and a longer slack of owners, 0.587 with 0.9 s.
const COPY_PART: f64 = 0.75;

/// How much busier than the least busy replica an adapter's home may seem, in
/// milliseconds: about what a load takes. Farther on in its order there may be
/// one that is idle.
const HOME_ABOVE_MS: f64 = 250.0;

/// How long a request waits for a copy while another replica could run it,
/// later: about a load and the news of it.
const COPY_WAIT: Span = Span::from_millis(450);

/// The part of what a copy is expected to spare a request that it waits for it
/// at the most: behind a queue of seconds it waits longer than behind a short
/// one, and keeps out of the queue of an engine, where nothing can take it back.
const SPARED_PART: f64 = 0.5;

/// Whether a copy that spares a request so many milliseconds is worth waiting
/// for still.
fn is_worth_a_wait(spared: f64, waited: Span) -> bool {
    let longest = Span::from_millis((spared.max(0.0) * SPARED_PART) as u64);
    waited < COPY_WAIT || waited < longest
}

/// What a request needs.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    /// Its service.
    pub service: &'a ServiceName,
    /// Its model or adapter.
    pub target: Option<&'a Target>,
    /// What it will hold there.
    pub cost: Load,
    /// What its prompt shares with others.
    pub shared_prefix: Option<SharedPrefix>,
    /// Kilobytes of body.
    pub body_kb: f64,
    /// Within how long its answer should begin, in milliseconds.
    pub objective_ms: f64,
    /// How long it has waited for a load; none where it has no time to.
    pub waited: Option<Span>,
    /// Replicas that failed it.
    pub avoid: &'a BTreeSet<ReplicaName>,
}

/// The decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// Send it there.
    Send {
        /// Where.
        at: ReplicaName,
        /// Where a second copy of its adapter is wanted.
        copy: Option<ReplicaName>,
    },
    /// Have its adapter loaded there, and wait.
    Load {
        /// Where.
        at: ReplicaName,
    },
    /// Its adapter is on its way to this replica.
    Loading {
        /// Where.
        at: ReplicaName,
    },
    /// Those that could run it are full.
    Full,
    /// No replica could run it now.
    Unavailable,
}

impl Load {
    /// How busy it makes an engine, in milliseconds.
    pub fn busy_ms(&self) -> f64 {
        f64::from(self.requests) * REQUEST_MS
            + self.prefill as f64 / READ_A_MS
            + self.tokens as f64 / 1e3 * HELD_MS
    }
}

impl Fleet {
    /// Where a request runs.
    ///
    /// Made for thousands of adapters on a few dozen slots with skewed demand.
    /// Requests of one adapter go where it is, as long as that replica is not
    /// much busier than the others: there the shared parts of its prompts are
    /// kept as well. An adapter that is nowhere is loaded at its home, the
    /// first in the order of a hash over adapter and replica, so that all VMs
    /// ask for it at the same place without a word between them. `loadable`
    /// says whether somebody can load there now.
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
            first.map(|(name, _)| (*name, f64::from(shared.tokens) / READ_A_MS))
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
        let copy_above = want.objective_ms * COPY_PART;
        if let Some((held, at)) = fit {
            // No replica seems less busy than not at all.
            if held <= copy_above || !self.experiment.is_enabled(Mechanism::SecondCopies) {
                return Placement::Send { at, copy: None };
            }
            let roomy = roomy();
            let least = roomy.iter().map(|(_, _, score)| *score);
            let least = least.min_by(f64::total_cmp);
            let copy = least.filter(|least| held > least + copy_above);
            let copy = copy.and_then(|_| self.home(now, want, target, &roomy));
            let waited = want
                .waited
                .filter(|_| self.experiment.is_enabled(Mechanism::CopyWaits));
            let wait = waited.zip(least);
            let wait = wait.is_some_and(|(waited, least)| is_worth_a_wait(held - least, waited));
            return match copy {
                Some(at) if wait => Placement::Load { at },
                copy => Placement::Send { at, copy },
            };
        }
        let coming = open.iter().find(|(_, r)| r.awaits(now, target));
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

    /// Whether a run for this target may begin there, once those before it have
    /// been read: one that waits in the queue of a crowded engine begins on the
    /// version that is there then.
    fn serves(&self, now: Moment, target: &Target, name: &ReplicaName, r: &Replica) -> bool {
        let Some(version) = r.holds(now, target) else {
            return false;
        };
        let wait = Span::from_millis(self.load(now, name, r).busy_ms() as u64);
        let required = self.versions.required(now.after(wait), target);
        required.is_none_or(|v| target.adapter.is_none() || version >= v)
    }

    /// How busy a replica seems for a request, in milliseconds of its engine.
    fn score(
        &self,
        now: Moment,
        want: &PlacementRequest<'_>,
        name: &ReplicaName,
        r: &Replica,
    ) -> f64 {
        let load = self.load(now, name, r);
        let near = r.listing.zone == self.zone || !self.experiment.is_enabled(Mechanism::NearZone);
        let far = match near {
            true => 0.0,
            false => FAR_MS + FAR_MS_A_KB * want.body_kb,
        };
        let busy = load.busy_ms();
        let failing = match self.experiment.is_enabled(Mechanism::FailureWeight) {
            true => FAILING_MS * r.health.failed,
            false => 0.0,
        };
        busy + far + failing
    }

    /// Whether a replica has room for an adapter, or holds one that no request
    /// uses.
    fn is_vacant(&self, now: Moment, name: &ReplicaName, r: &Replica) -> bool {
        let used = self.load(now, name, r).requests as usize + r.coming(now);
        used < self.engine_slots(&r.listing) as usize
    }

    /// Whether a replica can begin a request soon.
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
                let memory = first || tokens <= engine.kv_tokens as f64 * MEMORY_PART;
                memory && f64::from(load.requests) < slots
            }
            None => f64::from(load.requests) < slots * (1.0 + QUEUE_PART),
        }
    }

    /// The first replica for an adapter in the order of the hash, of those that
    /// are not much busier than the least loaded one; each with how busy it seems.
    ///
    /// A request that has waited in vain for longer than a load takes looks for
    /// one that has an adapter to give away.
    ///
    /// Made for many requests for rare adapters, when each replica runs more of
    /// them than it holds adapters: where all of them are in use, a load waits
    /// until one is not, while other replicas have one to give away.
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
            true => HOME_ABOVE_MS,
            false => 0.0,
        };
        let fit = list.iter().filter(|(_, _, score)| *score <= least + above);
        let first = fit.max_by_key(|(_, r, _)| rank(target, r.seed));
        first.map(|(name, _, _)| (*name).clone())
    }
}

/// The hash of a replica's address, which stands for the replica: after a
/// restart there it still has the adapter's weights on its disk.
pub(super) fn address_seed(listing: &ReplicaInfo) -> u64 {
    xxh3_64_with_seed(listing.address.to_string().as_bytes(), 0)
}

/// The rank of a replica for a shared beginning: requests that share it meet
/// where it is kept, as far as several replicas hold their adapter.
fn prefix_rank(shared: SharedPrefix, seed: u64) -> u64 {
    xxh3_64_with_seed(&seed.to_le_bytes(), shared.key)
}

/// The rank of a replica for an adapter.
fn rank(target: &Target, seed: u64) -> u64 {
    let adapter = target.adapter.as_ref().map_or("", |a| a.as_str());
    xxh3_64_with_seed(adapter.as_bytes(), seed)
}
