//! The order in which waiting requests are tried.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::refusal::Departures;
use super::refusal::retry_after;
use super::shares::FairShares;
use crate::ids::OrganisationName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::adapter_planner::LoadNeed;
use crate::serving::path::types::Rank;
use crate::serving::path::types::Target;

/// Every how many served requests the one that has waited longest is tried first, so that none
/// starves.
const OLDEST_EVERY: u64 = 4;

/// Identifies a waiting request within its VM.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaitId(pub u64);

/// A request that waits for a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitEntry {
    /// Its urgency.
    pub rank: Rank,
    /// The organisation whose share it takes.
    pub organisation: Option<OrganisationName>,
    /// Its model or adapter.
    pub target: Option<Target>,
    /// When its wait began.
    pub arrival: Moment,
    /// When its response should begin, or continue if it has begun.
    pub objective: Moment,
    /// When its response must be complete.
    pub deadline: Moment,
    /// Its cost in tokens.
    pub tokens: u64,
    /// Size of its body in bytes.
    pub bytes: usize,
    /// Whether it was sent to a replica before. Such a request is never refused early.
    pub sent: bool,
    /// Whether it avoids some replicas. Its wait then says nothing about other requests for
    /// the same adapter.
    pub avoids: bool,
}

/// A new request, when it is decided whether it is queued.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Its urgency.
    pub rank: Rank,
    /// Whether it was sent to a replica before.
    pub sent: bool,
    /// When its response should begin, or continue if it has begun.
    pub objective: Moment,
    /// Until when it may wait.
    pub until: Moment,
    /// Whether there may be capacity for it.
    pub has_capacity: bool,
    /// Size of its body in bytes.
    pub bytes: usize,
}

/// Maximum size of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitBounds {
    /// Number of requests.
    pub requests: usize,
    /// Total size of their bodies in bytes.
    pub bytes: usize,
}

impl Default for WaitBounds {
    /// Bodies of waiting requests may take a quarter of a VM's 64 MB. 2,000 requests are more
    /// than a VM receives in the time that one may wait.
    fn default() -> Self {
        Self {
            requests: 2_000,
            bytes: 16 << 20,
        }
    }
}

/// The requests of one service that wait on this VM.
///
/// Under overload hundreds of requests wait for slots and loads. If each of them tries at each
/// change, the first to be scheduled wins, and each try scans all replicas. The queue gives the
/// order of the tries instead.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    bounds: WaitBounds,
    entries: BTreeMap<WaitId, WaitEntry>,
    bytes: usize,
    shares: BTreeMap<Rank, FairShares>,
    departures: Departures,
    /// Number of requests that left to be served.
    served: u64,
}

impl WaitQueue {
    /// Creates an empty queue.
    ///
    /// ```
    /// use banyangauge::serving::{WaitBounds, WaitQueue};
    /// assert!(WaitQueue::new(WaitBounds::default()).is_empty());
    /// ```
    pub fn new(bounds: WaitBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Adds a request. Returns the requests that are removed to keep the bounds, the last in
    /// order first; it may itself be among them. A request that was already sent is not
    /// removed, nor is the only one.
    ///
    /// ```
    /// use banyangauge::pool::{Moment, Span};
    /// use banyangauge::serving::{Rank, Target, WaitBounds, WaitEntry, WaitId, WaitQueue};
    /// let target = Target::parse("base/rosters");
    /// let entry = |route| WaitEntry {
    ///     rank: Rank { organisation: 0, route },
    ///     organisation: None,
    ///     target: target.clone(),
    ///     arrival: Moment(0),
    ///     objective: Moment(800_000),
    ///     deadline: Moment(5_000_000),
    ///     tokens: 900,
    ///     bytes: 4_000,
    ///     sent: false,
    ///     avoids: false,
    /// };
    /// let bounds = WaitBounds { requests: 2, ..WaitBounds::default() };
    /// let mut queue = WaitQueue::new(bounds);
    /// assert!(queue.push(Moment(0), WaitId(1), entry(2)).is_empty());
    /// assert!(queue.push(Moment(0), WaitId(2), entry(1)).is_empty());
    /// assert_eq!(queue.push(Moment(0), WaitId(3), entry(0)), [WaitId(1)]);
    /// assert_eq!(queue.order(Moment(0)), [WaitId(3), WaitId(2)]);
    /// // The second one follows the first one, which waits for the same adapter.
    /// let mut pass = queue.begin_pass(Moment(0));
    /// assert_eq!(pass.next(&queue), Some(WaitId(3)));
    /// assert_eq!(pass.next(&queue), None);
    /// let need = queue.load_need(Moment(300_000), &target.unwrap()).unwrap();
    /// assert_eq!((need.waiting, need.left), (2, Some(Span::from_millis(500))));
    /// queue.leave(Moment(0), WaitId(3), true);
    /// assert_eq!(queue.len(), 1);
    /// ```
    pub fn push(&mut self, now: Moment, id: WaitId, entry: WaitEntry) -> Vec<WaitId> {
        if self.entries.is_empty() {
            self.departures.begin(now);
        }
        self.bytes += entry.bytes;
        let shares = self.shares.entry(entry.rank).or_default();
        shares.enter(&entry.organisation);
        self.entries.insert(id, entry);
        let mut removed = Vec::new();
        while self.exceeds_bounds() {
            let ranked = self.ranked(now).into_iter().rev();
            let last = ranked.filter(|id| self.get(*id).is_some_and(|e| !e.sent));
            let Some(last) = { last }.next() else {
                break;
            };
            self.leave(now, last, false);
            removed.push(last);
        }
        removed
    }

    fn exceeds_bounds(&self) -> bool {
        let len = self.entries.len();
        len > 1 && (len > self.bounds.requests || self.bytes > self.bounds.bytes)
    }

    /// Removes a request: it is served, or refused, or its caller disconnected. An unknown one
    /// is ignored, since it may have been removed to keep the bounds.
    pub fn leave(&mut self, now: Moment, id: WaitId, served: bool) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        self.bytes -= entry.bytes;
        if let Some(shares) = self.shares.get_mut(&entry.rank) {
            shares.leave(&entry.organisation, served.then_some(entry.tokens));
            if shares.is_idle() {
                self.shares.remove(&entry.rank);
            }
        }
        if served {
            self.served += 1;
            self.departures.record(now);
        }
        if self.entries.is_empty() {
            self.departures.clear();
        }
    }

    /// Returns a waiting request.
    pub fn get(&self, id: WaitId) -> Option<&WaitEntry> {
        self.entries.get(&id)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the waiting requests' bodies in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether another request than `id` waits for the same target.
    pub fn has_follower(&self, id: WaitId) -> bool {
        let target = self.get(id).and_then(|e| e.target.as_ref());
        let mut others = self.entries.iter().filter(|(other, _)| **other != id);
        target.is_some_and(|target| others.any(|(_, e)| e.target.as_ref() == Some(target)))
    }

    /// Returns the waiting requests by objective, rank, share and arrival.
    fn ranked(&self, now: Moment) -> Vec<WaitId> {
        let class = |e: &WaitEntry| (e.objective <= now, e.rank);
        let mut by_arrival: Vec<_> = self.entries.iter().collect();
        by_arrival.sort_by_key(|(id, e)| (class(e), e.arrival, **id));
        // The virtual start time follows from the requests of the organisation before it.
        let mut starts = BTreeMap::new();
        let mut ranked = Vec::with_capacity(by_arrival.len());
        for (id, e) in by_arrival {
            let key = (e.rank, &e.organisation);
            let shares = self.shares.get(&e.rank);
            let first = || shares.map_or(0, |s| s.start(&e.organisation));
            let start = starts.entry(key).or_insert_with(first);
            ranked.push((class(e), *start, e.arrival, *id));
            *start = start.saturating_add(e.tokens.max(1));
        }
        ranked.sort();
        ranked.into_iter().map(|(_, _, _, id)| id).collect()
    }

    /// Returns the waiting requests in the order in which they are tried: as they rank, but
    /// after every three the one that has waited longest. The position continues from the
    /// requests served so far, so that the longest wait also ends where each wake-up serves
    /// one request only.
    pub fn order(&self, now: Moment) -> Vec<WaitId> {
        let mut ranked: VecDeque<_> = self.ranked(now).into();
        let mut oldest: Vec<_> = self
            .entries
            .iter()
            .map(|(id, e)| (e.arrival, *id))
            .collect();
        oldest.sort();
        let mut oldest: VecDeque<_> = oldest.into_iter().map(|(_, id)| id).collect();
        let mut taken = BTreeSet::new();
        let mut order = Vec::with_capacity(ranked.len());
        for position in self.served.. {
            let next = match position % OLDEST_EVERY == OLDEST_EVERY - 1 {
                true => &mut oldest,
                false => &mut ranked,
            };
            while next.front().is_some_and(|id| taken.contains(id)) {
                next.pop_front();
            }
            let Some(id) = next.pop_front() else {
                break;
            };
            taken.insert(id);
            order.push(id);
        }
        order
    }

    /// Begins to try the waiting requests.
    pub fn begin_pass(&self, now: Moment) -> WaitPass {
        WaitPass {
            order: self.order(now).into(),
            first: BTreeMap::new(),
        }
    }

    /// Returns what waits for a target; `None` if nothing does.
    pub fn load_need(&self, now: Moment, target: &Target) -> Option<LoadNeed> {
        let entries = self.entries.values();
        let waiting = entries.filter(|e| e.target.as_ref() == Some(target));
        let needs = waiting.map(|e| LoadNeed {
            waiting: 1,
            rank: e.rank,
            left: Some(e.objective.since(now)),
        });
        needs.reduce(|a, b| LoadNeed {
            waiting: a.waiting + b.waiting,
            rank: a.rank.min(b.rank),
            left: a.left.max(b.left),
        })
    }

    /// Returns the expected wait of a new request of a rank, from the requests before it and
    /// the rate at which requests left to be served; `None` without a few seconds of
    /// observation. Requests that have missed their objective are not before it.
    pub fn expected_wait(&self, now: Moment, rank: Rank) -> Option<Span> {
        let entries = self.entries.values();
        let before = entries.filter(|e| e.rank <= rank && e.objective > now);
        self.departures.time_for(now, before.count())
    }

    /// Returns whether a request for the same target goes before a new one and still waits. The
    /// new one must then not take capacity that has just become free: callers that return at
    /// once would otherwise take each slot before a waiting request tries.
    ///
    /// It is false for a full queue, as the new request would be refused there while there is
    /// capacity.
    pub fn has_before(&self, now: Moment, target: Option<&Target>, arrival: &Arrival) -> bool {
        let class = (arrival.objective <= now, arrival.rank);
        let mut same = self
            .entries
            .values()
            .filter(|e| e.target.as_ref() == target);
        let has_room = self.entries.len() < self.bounds.requests
            && self.bytes.saturating_add(arrival.bytes) <= self.bounds.bytes;
        has_room && same.any(|e| !e.avoids && (e.objective <= now, e.rank) <= class)
    }

    /// Returns whether a new request would wait for longer than it may, so that it is better
    /// refused at once.
    pub fn is_too_late(&self, now: Moment, arrival: &Arrival) -> bool {
        let expected = self.expected_wait(now, arrival.rank);
        !arrival.sent
            && !arrival.has_capacity
            && !self.is_empty()
            && expected.is_some_and(|wait| wait > arrival.until.since(now))
    }

    /// Returns the `Retry-After` for a request that is refused, or `None` without a few
    /// seconds of observation. `left` is the time until the caller's deadline; `seed` spreads
    /// the callers and should differ between requests.
    pub fn retry_after(&self, now: Moment, rank: Rank, left: Span, seed: u64) -> Option<Span> {
        let expected = self.expected_wait(now, rank)?;
        let is_first = self.entries.values().all(|e| e.rank >= rank);
        Some(retry_after(expected, left, is_first, seed))
    }
}

/// One pass over the waiting requests, in order.
#[derive(Clone, Debug)]
pub struct WaitPass {
    order: VecDeque<WaitId>,
    /// The last request for each target that was tried.
    first: BTreeMap<Target, WaitId>,
}

impl WaitPass {
    /// Returns the next request to be tried. Requests that follow one for the same target which
    /// was tried and still waits are left out, as they would not be placed either.
    pub fn next(&mut self, queue: &WaitQueue) -> Option<WaitId> {
        while let Some(id) = self.order.pop_front() {
            let Some(entry) = queue.get(id) else {
                continue;
            };
            let Some(target) = entry.target.as_ref().filter(|_| !entry.avoids) else {
                return Some(id);
            };
            let first = self.first.get(target);
            if first.is_some_and(|first| queue.get(*first).is_some()) {
                continue;
            }
            self.first.insert(target.clone(), id);
            return Some(id);
        }
        None
    }
}
