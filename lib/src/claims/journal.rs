//! The owner's view of its pool's journal.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::claims::ClaimKey;
use crate::claims::ClaimResult;
use crate::claims::Claimant;
use crate::claims::Durability;
use crate::claims::Limits;
use crate::claims::Segment;
use crate::claims::State;
use crate::claims::Write;
use crate::claims::WriteOutcome;
use crate::ids::Token;
use crate::pool::Moment;

#[derive(Clone, Debug)]
struct Claim {
    who: Option<Claimant>,
    state: State,
    // The segment that holds it, once it is recorded.
    place: Option<u64>,
    // It may have run: never free again.
    touched: bool,
    at: Moment,
}

#[derive(Clone, Debug, Default)]
struct Place {
    version: Option<String>,
    // Since when a change waits to be written.
    dirty: Option<Moment>,
}

/// The journal of one pool in the hands of one owner.
#[derive(Clone, Debug)]
pub struct Journal {
    limits: Limits,
    token: Token,
    claims: BTreeMap<ClaimKey, Claim>,
    places: BTreeMap<u64, Place>,
    head: u64,
    pending: BTreeSet<ClaimKey>,
    // The segment that is being written and the claims that are new in it.
    flying: Option<(u64, BTreeMap<ClaimKey, Option<Claimant>>)>,
    last: Moment,
    orders: u64,
    ready: bool,
    deposed: bool,
}

impl Journal {
    /// A journal that has read nothing yet and grants nothing.
    pub fn new(token: Token, limits: Limits) -> Self {
        Self {
            limits,
            token,
            claims: BTreeMap::new(),
            places: BTreeMap::new(),
            head: 0,
            pending: BTreeSet::new(),
            flying: None,
            last: Moment(0),
            orders: 0,
            ready: false,
            deposed: false,
        }
    }

    /// Takes in all segments of the pool as read now.
    ///
    /// A claim that an earlier owner left running is `Unknown` from here on:
    /// its outcome goes to the owner that granted it. Then [`Journal::seal`]
    /// gives the writes that keep the earlier owner from adding claims.
    pub fn recover(&mut self, now: Moment, segments: &[(Segment, String)]) {
        self.claims.clear();
        self.places.clear();
        for (segment, version) in segments {
            let place = Place {
                version: Some(version.clone()),
                dirty: None,
            };
            self.places.insert(segment.number, place);
            for (key, state) in &segment.claims {
                let state = match state {
                    State::Running => State::Unknown,
                    other => *other,
                };
                let claim = Claim {
                    who: None,
                    state,
                    place: Some(segment.number),
                    touched: true,
                    at: now,
                };
                self.claims.insert(key.clone(), claim);
            }
        }
        self.head = self.places.keys().last().copied().unwrap_or(0);
    }

    /// The writes that shut an earlier owner out, in this order: the last
    /// segment is replaced, so that its next commit conflicts; the following
    /// one is created, so that it cannot be by anyone else.
    ///
    /// All must be `Done`; otherwise the journal is read again.
    pub fn seal(&mut self) -> Vec<Write> {
        let old = self.places.get(&self.head).and_then(|p| p.version.clone());
        let mut writes = Vec::new();
        if let Some(version) = old {
            writes.push(Write {
                version: Some(version),
                segment: self.content(self.head),
            });
        }
        let number = self.head + 1;
        writes.push(Write {
            version: None,
            segment: self.content(number),
        });
        writes
    }

    /// The writes of [`Journal::seal`] are done, with these versions in order.
    pub fn seal_done(&mut self, versions: &[String]) {
        let old = versions.len().saturating_sub(1);
        if let Some(version) = versions.first().filter(|_| old > 0)
            && let Some(place) = self.places.get_mut(&self.head)
        {
            place.version = Some(version.clone());
        }
        self.head += 1;
        let place = Place {
            version: versions.last().cloned(),
            dirty: None,
        };
        self.places.insert(self.head, place);
        self.ready = true;
    }

    /// Whether keyed calls can be granted.
    pub fn is_ready(&self) -> bool {
        self.ready && !self.deposed
    }

    /// Whether a later owner has shut this one out.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// A request with a key arrives. A fresh key is the request's from now on,
    /// in memory only; nothing was written.
    pub fn claim(&mut self, now: Moment, key: &ClaimKey, who: &Claimant) -> ClaimResult {
        match self.claims.get(key) {
            Some(claim) if claim.who.as_ref() == Some(who) => match claim.touched {
                false => ClaimResult::Claimed,
                true => ClaimResult::Duplicate(State::Unknown),
            },
            Some(claim) => ClaimResult::Duplicate(claim.state),
            None if self.is_full() => ClaimResult::Full,
            None => {
                let claim = Claim {
                    who: Some(who.clone()),
                    state: State::Running,
                    place: None,
                    touched: false,
                    at: now,
                };
                self.claims.insert(key.clone(), claim);
                ClaimResult::Claimed
            }
        }
    }

    /// The pool granted the request. `Durable` when its claim is durable
    /// already (a second try of the same request); otherwise it waits for a
    /// commit.
    pub fn record(&mut self, key: &ClaimKey) -> Durability {
        match self.claims.get(key) {
            Some(claim) if claim.place.is_some() => Durability::Durable,
            Some(_) => {
                self.pending.insert(key.clone());
                Durability::Pending
            }
            None => Durability::Missing,
        }
    }

    /// A dispatch of the request may have run.
    pub fn mark_started(&mut self, key: &ClaimKey) {
        if let Some(claim) = self.claims.get_mut(key) {
            claim.touched = true;
        }
    }

    /// The request was refused: its key is free again, unless an earlier
    /// dispatch of it may have run.
    pub fn free(&mut self, now: Moment, key: &ClaimKey) {
        self.pending.remove(key);
        if self.claims.get(key).is_some_and(|c| c.touched) {
            self.set_outcome(now, key, State::Unknown);
            return;
        }
        if let Some(claim) = self.claims.remove(key) {
            self.soil(now, claim.place);
        }
    }

    /// The request ended.
    pub fn set_outcome(&mut self, now: Moment, key: &ClaimKey, state: State) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        claim.state = state;
        claim.touched = true;
        claim.at = now;
        let place = claim.place;
        self.soil(now, place);
    }

    /// The next write, when one is due. Its end goes to [`Journal::write_done`].
    pub fn next_write(&mut self, now: Moment) -> Option<Write> {
        if !self.is_ready()
            || self.flying.is_some()
            || now < self.last.after(self.limits.write_interval)
        {
            return None;
        }
        let number = match self.pending.is_empty() {
            false => self.place_pending(),
            true => self.oldest_dirty(now)?,
        };
        let keys = self.take_pending(number);
        self.last = now;
        let segment = self.content_with(number, &keys);
        let who = |key: &ClaimKey| self.claims.get(key).and_then(|c| c.who.clone());
        let flying = keys.iter().map(|k| (k.clone(), who(k))).collect();
        self.flying = Some((number, flying));
        Some(Write {
            version: self.places.get(&number).and_then(|p| p.version.clone()),
            segment,
        })
    }

    /// When [`Journal::next_write`] is wanted next.
    pub fn next_wake(&self) -> Option<Moment> {
        if !self.is_ready() || self.flying.is_some() {
            return None;
        }
        let paced = self.last.after(self.limits.write_interval);
        if !self.pending.is_empty() {
            return Some(paced);
        }
        let oldest = self.places.values().filter_map(|p| p.dirty).min()?;
        Some(oldest.after(self.limits.outcome_delay).max(paced))
    }

    /// A write ended: the keys it was to record, and whether it did.
    ///
    /// Those that it did not record are free again; should the lost write take
    /// effect later, the next write to the segment leaves them out.
    pub fn write_done(&mut self, now: Moment, end: WriteOutcome) -> (Vec<ClaimKey>, bool) {
        let Some((number, keys)) = self.flying.take() else {
            return (Vec::new(), false);
        };
        let done = match end {
            WriteOutcome::Done(version) => {
                let place = self.places.entry(number).or_default();
                place.version = Some(version);
                place.dirty = None;
                true
            }
            WriteOutcome::Unconfirmed(found) => {
                self.adopt(number, found);
                false
            }
        };
        for (key, who) in &keys {
            // Another request may hold the key by now; recorded is recorded.
            if done && let Some(claim) = self.claims.get_mut(key) {
                claim.place = Some(number);
                continue;
            }
            self.soil(now, Some(number));
            if !done && self.claims.get(key).is_some_and(|c| c.who == *who) {
                self.claims.remove(key);
            }
        }
        (keys.into_keys().collect(), done)
    }

    /// Drops claims that ended a retention ago; gives segments that can be
    /// deleted.
    pub fn expire(&mut self, now: Moment) -> Vec<u64> {
        let retention = self.limits.retention;
        self.claims
            .retain(|_, c| c.state == State::Running || now < c.at.after(retention));
        let used: BTreeSet<u64> = self.claims.values().filter_map(|c| c.place).collect();
        let flying = self.flying.as_ref().map(|(n, _)| *n);
        let head = self.head;
        let empty: Vec<u64> = self
            .places
            .keys()
            .copied()
            .filter(|n| *n != head && Some(*n) != flying && !used.contains(n))
            .collect();
        for number in &empty {
            self.places.remove(number);
        }
        empty
    }

    fn is_full(&self) -> bool {
        self.claims.len() >= self.limits.segment_size * self.limits.max_segments
    }

    fn soil(&mut self, now: Moment, place: Option<u64>) {
        if let Some(place) = place.and_then(|n| self.places.get_mut(&n)) {
            place.dirty = place.dirty.or(Some(now));
        }
    }

    fn count(&self, number: u64) -> usize {
        let here = |c: &&Claim| c.place == Some(number);
        self.claims.values().filter(here).count()
    }

    // The segment for new claims; a full one gives way to the next.
    fn place_pending(&mut self) -> u64 {
        if self.count(self.head) >= self.limits.segment_size {
            self.head += 1;
            self.places.insert(self.head, Place::default());
        }
        self.head
    }

    fn oldest_dirty(&self, now: Moment) -> Option<u64> {
        self.places
            .iter()
            .filter_map(|(n, p)| Some((p.dirty?, *n)))
            .min()
            .filter(|(at, _)| now >= at.after(self.limits.outcome_delay))
            .map(|(_, n)| n)
    }

    fn take_pending(&mut self, number: u64) -> BTreeSet<ClaimKey> {
        if number != self.head {
            return BTreeSet::new();
        }
        let room = self.limits.segment_size.saturating_sub(self.count(number));
        let keys: BTreeSet<_> = self.pending.iter().take(room).cloned().collect();
        self.pending.retain(|k| !keys.contains(k));
        keys
    }

    fn content(&mut self, number: u64) -> Segment {
        self.content_with(number, &BTreeSet::new())
    }

    fn content_with(&mut self, number: u64, keys: &BTreeSet<ClaimKey>) -> Segment {
        self.orders += 1;
        let claims = self
            .claims
            .iter()
            .filter(|(key, c)| c.place == Some(number) || keys.contains(*key))
            .map(|(key, c)| (key.clone(), c.state))
            .collect();
        Segment {
            token: self.token,
            number,
            operation: format!("{}-{}", self.token.0, self.orders),
            claims,
        }
    }

    // An own write may have taken effect late: then only its version is new.
    fn adopt(&mut self, number: u64, found: Option<(Segment, String)>) {
        let Some((segment, version)) = found else {
            return;
        };
        if segment.token > self.token {
            self.deposed = true;
            return;
        }
        self.places.entry(number).or_default().version = Some(version);
    }
}
