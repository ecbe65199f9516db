//! The state machine of a pool's claim journal.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::claims::ClaimKey;
use crate::claims::ClaimResult;
use crate::claims::Claimant;
use crate::claims::Limits;
use crate::claims::RecordResult;
use crate::claims::Segment;
use crate::claims::State;
use crate::claims::Write;
use crate::claims::WriteOutcome;
use crate::ids::FencingToken;
use crate::pool::Moment;

/// A claim, and where it is recorded.
#[derive(Clone, Debug)]
struct Claim {
    // `None` if an earlier owner recorded the claim.
    claimant: Option<Claimant>,
    state: State,
    // The segment that contains the claim, once it is durable.
    segment: Option<u64>,
    // The call may have run, so its key must not be freed.
    started: bool,
    updated_at: Moment,
}

/// The write state of one segment.
#[derive(Clone, Debug, Default)]
struct SegmentState {
    // `None` until the segment is created.
    version: Option<String>,
    // When the oldest unwritten change was made.
    dirty_since: Option<Moment>,
}

/// The claim journal of one pool, as kept by one owner.
#[derive(Clone, Debug)]
pub struct Journal {
    limits: Limits,
    token: FencingToken,
    claims: BTreeMap<ClaimKey, Claim>,
    segments: BTreeMap<u64, SegmentState>,
    // The segment that takes new claims.
    head: u64,
    // Claims to be made durable by the next commits.
    pending: BTreeSet<ClaimKey>,
    // The segment that is being written and the claims that are new in it.
    in_flight: Option<(u64, BTreeMap<ClaimKey, Option<Claimant>>)>,
    last_write: Moment,
    write_count: u64,
    ready: bool,
    deposed: bool,
}

impl Journal {
    /// Creates a journal that has not been read yet and admits no claims.
    pub fn new(token: FencingToken, limits: Limits) -> Self {
        Self {
            limits,
            token,
            claims: BTreeMap::new(),
            segments: BTreeMap::new(),
            head: 0,
            pending: BTreeSet::new(),
            in_flight: None,
            last_write: Moment(0),
            write_count: 0,
            ready: false,
            deposed: false,
        }
    }

    /// Loads all segments of the pool, as just read from the platform.
    ///
    /// Claims that an earlier owner left running become `Unknown`, since their
    /// outcome is reported to the owner that granted them. Afterwards
    /// [`Journal::seal`] returns the writes that keep the earlier owner from
    /// adding claims.
    pub fn recover(&mut self, now: Moment, segments: &[(Segment, String)]) {
        self.claims.clear();
        self.segments.clear();
        for (segment, version) in segments {
            let loaded = SegmentState {
                version: Some(version.clone()),
                dirty_since: None,
            };
            self.segments.insert(segment.number, loaded);
            for (key, state) in &segment.claims {
                let state = match state {
                    State::Running => State::Unknown,
                    other => *other,
                };
                let claim = Claim {
                    claimant: None,
                    state,
                    segment: Some(segment.number),
                    started: true,
                    updated_at: now,
                };
                self.claims.insert(key.clone(), claim);
            }
        }
        self.head = self.segments.keys().last().copied().unwrap_or(0);
    }

    /// Returns the writes that fence off an earlier owner, in order: the last
    /// segment is replaced, so that the earlier owner's next commit conflicts,
    /// and the following one is created, so that nobody else can create it.
    ///
    /// All must succeed; otherwise the journal is read again.
    pub fn seal(&mut self) -> Vec<Write> {
        let old = self
            .segments
            .get(&self.head)
            .and_then(|s| s.version.clone());
        let mut writes = Vec::new();
        if let Some(version) = old {
            writes.push(Write {
                version: Some(version),
                segment: self.segment_content(self.head),
            });
        }
        let number = self.head + 1;
        writes.push(Write {
            version: None,
            segment: self.segment_content(number),
        });
        writes
    }

    /// Records that the writes of [`Journal::seal`] succeeded, with the new
    /// versions in the same order.
    pub fn seal_done(&mut self, versions: &[String]) {
        let old = versions.len().saturating_sub(1);
        if let Some(version) = versions.first().filter(|_| old > 0)
            && let Some(sealed) = self.segments.get_mut(&self.head)
        {
            sealed.version = Some(version.clone());
        }
        self.head += 1;
        let created = SegmentState {
            version: versions.last().cloned(),
            dirty_since: None,
        };
        self.segments.insert(self.head, created);
        self.ready = true;
    }

    /// Returns whether calls with a key can be granted.
    pub fn is_ready(&self) -> bool {
        self.ready && !self.deposed
    }

    /// Returns whether a segment written by a later owner was found.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Claims a key for a request, in memory only. [`Journal::record`] makes the
    /// claim durable.
    pub fn claim(&mut self, now: Moment, key: &ClaimKey, claimant: &Claimant) -> ClaimResult {
        match self.claims.get(key) {
            Some(claim) if claim.claimant.as_ref() == Some(claimant) => match claim.started {
                false => ClaimResult::Claimed,
                true => ClaimResult::Duplicate(State::Unknown),
            },
            Some(claim) => ClaimResult::Duplicate(claim.state),
            None if self.is_full() => ClaimResult::Full,
            None => {
                let claim = Claim {
                    claimant: Some(claimant.clone()),
                    state: State::Running,
                    segment: None,
                    started: false,
                    updated_at: now,
                };
                self.claims.insert(key.clone(), claim);
                ClaimResult::Claimed
            }
        }
    }

    /// Queues the claim of a granted request for the next commit, unless it is
    /// durable already from an earlier attempt of the same request.
    pub fn record(&mut self, key: &ClaimKey) -> RecordResult {
        match self.claims.get(key) {
            Some(claim) if claim.segment.is_some() => RecordResult::Durable,
            Some(_) => {
                self.pending.insert(key.clone());
                RecordResult::Pending
            }
            None => RecordResult::Missing,
        }
    }

    /// Records that a dispatch of the request may have run.
    pub fn mark_started(&mut self, key: &ClaimKey) {
        if let Some(claim) = self.claims.get_mut(key) {
            claim.started = true;
        }
    }

    /// Frees the key of a request that was refused, cancelled or not run, so that it
    /// can be claimed again. If an earlier dispatch of the request may have run, the
    /// claim becomes `Unknown` instead.
    pub fn free(&mut self, now: Moment, key: &ClaimKey) {
        self.pending.remove(key);
        if self.claims.get(key).is_some_and(|c| c.started) {
            self.set_outcome(now, key, State::Unknown);
            return;
        }
        if let Some(claim) = self.claims.remove(key) {
            self.mark_dirty(now, claim.segment);
        }
    }

    /// Records the final state of a request.
    pub fn set_outcome(&mut self, now: Moment, key: &ClaimKey, state: State) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        claim.state = state;
        claim.started = true;
        claim.updated_at = now;
        let segment = claim.segment;
        self.mark_dirty(now, segment);
    }

    /// Returns the next write, if one is due. The caller reports its outcome to
    /// [`Journal::write_done`].
    pub fn next_write(&mut self, now: Moment) -> Option<Write> {
        if !self.is_ready()
            || self.in_flight.is_some()
            || now < self.last_write.after(self.limits.write_interval)
        {
            return None;
        }
        let number = match self.pending.is_empty() {
            false => self.segment_for_pending(),
            true => self.oldest_dirty(now)?,
        };
        let keys = self.take_pending(number);
        self.last_write = now;
        let segment = self.segment_with(number, &keys);
        let claimant = |key: &ClaimKey| self.claims.get(key).and_then(|c| c.claimant.clone());
        let in_flight = keys.iter().map(|k| (k.clone(), claimant(k))).collect();
        self.in_flight = Some((number, in_flight));
        Some(Write {
            version: self.segments.get(&number).and_then(|s| s.version.clone()),
            segment,
        })
    }

    /// Returns when [`Journal::next_write`] is to be called next.
    pub fn next_wake(&self) -> Option<Moment> {
        if !self.is_ready() || self.in_flight.is_some() {
            return None;
        }
        let earliest = self.last_write.after(self.limits.write_interval);
        if !self.pending.is_empty() {
            return Some(earliest);
        }
        let oldest = self.segments.values().filter_map(|s| s.dirty_since).min()?;
        Some(oldest.after(self.limits.outcome_delay).max(earliest))
    }

    /// Processes the outcome of a write. Returns the keys that it was to make
    /// durable, and whether it did.
    ///
    /// If it did not, the keys are free again; if the write takes effect later, the
    /// next write to the segment removes them.
    pub fn write_done(&mut self, now: Moment, outcome: WriteOutcome) -> (Vec<ClaimKey>, bool) {
        let Some((number, keys)) = self.in_flight.take() else {
            return (Vec::new(), false);
        };
        let done = match outcome {
            WriteOutcome::Done(version) => {
                let written = self.segments.entry(number).or_default();
                written.version = Some(version);
                written.dirty_since = None;
                true
            }
            WriteOutcome::Unconfirmed(found) => {
                self.update_version(number, found);
                false
            }
        };
        for (key, claimant) in &keys {
            // This includes a key that another request has claimed since: the written
            // segment contains it.
            if done && let Some(claim) = self.claims.get_mut(key) {
                claim.segment = Some(number);
                continue;
            }
            self.mark_dirty(now, Some(number));
            if !done
                && self
                    .claims
                    .get(key)
                    .is_some_and(|c| c.claimant == *claimant)
            {
                self.claims.remove(key);
            }
        }
        (keys.into_keys().collect(), done)
    }

    /// Drops claims whose retention has passed; returns the numbers of segments
    /// that can be deleted.
    pub fn expire(&mut self, now: Moment) -> Vec<u64> {
        let retention = self.limits.retention;
        self.claims
            .retain(|_, c| c.state == State::Running || now < c.updated_at.after(retention));
        let used: BTreeSet<u64> = self.claims.values().filter_map(|c| c.segment).collect();
        let in_flight = self.in_flight.as_ref().map(|(n, _)| *n);
        let head = self.head;
        let empty: Vec<u64> = self
            .segments
            .keys()
            .copied()
            .filter(|n| *n != head && Some(*n) != in_flight && !used.contains(n))
            .collect();
        for number in &empty {
            self.segments.remove(number);
        }
        empty
    }

    // Returns whether the journal has as many claims as all segments can hold.
    fn is_full(&self) -> bool {
        self.claims.len() >= self.limits.segment_size * self.limits.max_segments
    }

    // Marks a segment as changed since its last write.
    fn mark_dirty(&mut self, now: Moment, segment: Option<u64>) {
        if let Some(segment) = segment.and_then(|n| self.segments.get_mut(&n)) {
            segment.dirty_since = segment.dirty_since.or(Some(now));
        }
    }

    fn claim_count(&self, number: u64) -> usize {
        let in_segment = |c: &&Claim| c.segment == Some(number);
        self.claims.values().filter(in_segment).count()
    }

    // Returns the segment for new claims; starts another when the head is full.
    fn segment_for_pending(&mut self) -> u64 {
        if self.claim_count(self.head) >= self.limits.segment_size {
            self.head += 1;
            self.segments.insert(self.head, SegmentState::default());
        }
        self.head
    }

    // Returns the segment that has been dirty for the longest time, if that is at least
    // `outcome_delay`.
    fn oldest_dirty(&self, now: Moment) -> Option<u64> {
        self.segments
            .iter()
            .filter_map(|(n, s)| Some((s.dirty_since?, *n)))
            .min()
            .filter(|(at, _)| now >= at.after(self.limits.outcome_delay))
            .map(|(_, n)| n)
    }

    // Removes and returns the pending claims that still fit into a segment; only the
    // head takes new claims.
    fn take_pending(&mut self, number: u64) -> BTreeSet<ClaimKey> {
        if number != self.head {
            return BTreeSet::new();
        }
        let room = self
            .limits
            .segment_size
            .saturating_sub(self.claim_count(number));
        let keys: BTreeSet<_> = self.pending.iter().take(room).cloned().collect();
        self.pending.retain(|k| !keys.contains(k));
        keys
    }

    fn segment_content(&mut self, number: u64) -> Segment {
        self.segment_with(number, &BTreeSet::new())
    }

    // Returns a segment for a write of its claims and those of `keys`.
    fn segment_with(&mut self, number: u64, keys: &BTreeSet<ClaimKey>) -> Segment {
        self.write_count += 1;
        let claims = self
            .claims
            .iter()
            .filter(|(key, c)| c.segment == Some(number) || keys.contains(*key))
            .map(|(key, c)| (key.clone(), c.state))
            .collect();
        Segment {
            token: self.token,
            number,
            operation: format!("{}-{}", self.token.0, self.write_count),
            claims,
        }
    }

    // Adopts the version that was read back: an earlier write of this owner may have
    // taken effect late. A higher token in the segment deposes this owner.
    fn update_version(&mut self, number: u64, found: Option<(Segment, String)>) {
        let Some((segment, version)) = found else {
            return;
        };
        if segment.token > self.token {
            self.deposed = true;
            return;
        }
        self.segments.entry(number).or_default().version = Some(version);
    }
}
