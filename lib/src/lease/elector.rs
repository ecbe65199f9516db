//! The state machine of one process for one lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::FencingToken;
use crate::lease::Candidate;
use crate::lease::HeldLease;
use crate::lease::Predecessor;
use crate::lease::Record;
use crate::lease::Step;
use crate::lease::Timing;
use crate::lease::WriteOutcome;
use crate::pool::Moment;
use crate::pool::Span;

/// Number of writes whose sending time is kept, so that the lease's expiry is known
/// when a write takes effect late; more than are ever in flight at once.
const MAX_SENT: usize = 8;

/// The latest known state of the lease object.
#[derive(Clone, Debug)]
struct Observed {
    record: Record,
    version: String,
    // When this version was first observed.
    since: Moment,
}

/// Acquires, renews and releases one lease for one process.
#[derive(Clone, Debug)]
pub struct Elector {
    me: Candidate,
    timing: Timing,
    // Whether the state of the object is known: false until it is observed, also
    // after a write that conflicted or whose answer was lost.
    synced: bool,
    // When the object was first observed or found deleted; the delay before
    // creating it counts from here.
    stagger_from: Moment,
    observed: Option<Observed>,
    // The last record of an object that was deleted.
    deleted: Option<Record>,
    // The record of the last write, until its effect is known.
    pending: Option<Record>,
    call_in_flight: bool,
    // When each of the latest writes was sent, by operation.
    sent: BTreeMap<String, Moment>,
    write_count: u64,
    last_write: Moment,
    // No call is made before this time.
    retry_at: Moment,
    held: Option<HeldLease>,
    // What is known of the previous holder, and whether grants of earlier holders
    // may still be in use; and the previous holder's grant TTL. Set when this
    // process sends a write to take the lease over, and taken when it observes
    // that it holds the lease.
    takeover: Option<(Predecessor, Span)>,
    // No grant of an earlier holder can be in use any more.
    settled: bool,
    // The token of the lease that was given up without a release.
    abandoned_token: Option<FencingToken>,
}

impl Elector {
    /// Creates an elector that has not read the lease yet.
    pub fn new(me: Candidate, timing: Timing) -> Self {
        Self {
            me,
            timing,
            synced: false,
            stagger_from: Moment(0),
            observed: None,
            deleted: None,
            pending: None,
            call_in_flight: false,
            sent: BTreeMap::new(),
            write_count: 0,
            last_write: Moment(0),
            retry_at: Moment(0),
            held: None,
            takeover: None,
            settled: false,
            abandoned_token: None,
        }
    }

    /// Returns the lease if this process holds it. The caller checks whether it
    /// has expired.
    pub fn lease(&self) -> Option<&HeldLease> {
        self.held.as_ref()
    }

    /// Returns the last observed record.
    pub fn record(&self) -> Option<&Record> {
        self.observed.as_ref().map(|o| &o.record)
    }

    /// Processes the current state of the object; `None` if there is none.
    ///
    /// Versions older than the last observed one are ignored.
    pub fn observe(&mut self, now: Moment, object: Option<(Record, String)>) {
        if !self.synced {
            self.synced = true;
            self.stagger_from = now;
        }
        let Some((record, version)) = object else {
            if let Some(observed) = self.observed.take() {
                self.stagger_from = now;
                self.deleted = Some(observed.record);
            }
            self.pending = None;
            self.held = None;
            return;
        };
        if self
            .observed
            .as_ref()
            .is_some_and(|o| is_older(&version, o))
        {
            // The watch lags behind the answer of a write.
            return;
        }
        if self.observed.as_ref().is_some_and(|o| o.version == version) {
            // A write whose answer was lost has not taken effect; the next step
            // decides again.
            self.pending = None;
            return;
        }
        self.update_held(now, &record);
        self.observed = Some(Observed {
            record,
            version,
            since: now,
        });
        self.pending = None;
    }

    /// Records that no grant of an earlier holder can be in use any more; the
    /// next write stores it.
    pub fn set_settled(&mut self, token: FencingToken) {
        if self.held.as_ref().is_some_and(|t| t.token == token) {
            self.settled = true;
        }
    }

    /// Gives up a lease without releasing it, after the owner found that an
    /// engine or a peer knows a higher token; the lease then expires.
    pub fn resign(&mut self, token: FencingToken) {
        if self.held.as_ref().is_some_and(|t| t.token == token) {
            self.held = None;
            self.abandoned_token = Some(token);
        }
    }

    /// Restarts the TTL of the current holder when the platform is reachable again
    /// after an outage, during which the holder could not renew either. Otherwise
    /// every pool would change its owner at the end of each outage.
    pub fn restart_ttl(&mut self, now: Moment) {
        if let Some(observed) = &mut self.observed {
            observed.since = now;
        }
    }

    /// Returns the next call to make. `rank` returns this process's position
    /// among the candidates, 0 first, and is called only while contending.
    /// `stop` releases the lease, with the entries that may hold grants.
    pub fn step(
        &mut self,
        now: Moment,
        rank: impl FnOnce() -> u64,
        stop: Option<&Option<BTreeSet<String>>>,
    ) -> Step {
        if self.call_in_flight || now < self.retry_at {
            return Step::Wait;
        }
        if !self.synced {
            self.call_in_flight = true;
            return Step::Read;
        }
        if self.held.is_some() {
            return self.step_held(now, stop);
        }
        if stop.is_some() {
            return Step::Wait;
        }
        self.step_contending(now, rank)
    }

    /// Records that a read failed.
    pub fn read_failed(&mut self, now: Moment) {
        self.call_in_flight = false;
        self.retry_at = now.after(self.timing.retry_delay);
    }

    /// Records that a read succeeded; the answer is then passed to `observe`.
    pub fn read_done(&mut self) {
        self.call_in_flight = false;
    }

    /// Records the outcome of the write of the last step.
    pub fn write_done(&mut self, now: Moment, outcome: WriteOutcome) {
        self.call_in_flight = false;
        match outcome {
            WriteOutcome::Done(version) => {
                if let Some(record) = self.pending.take() {
                    self.update_held(now, &record);
                    self.observed = Some(Observed {
                        record,
                        version,
                        since: now,
                    });
                }
            }
            WriteOutcome::NotApplied => {
                self.pending = None;
                self.retry_at = now.after(self.timing.retry_delay);
            }
            WriteOutcome::Conflict | WriteOutcome::Unknown => {
                self.synced = false;
                self.retry_at = match outcome {
                    WriteOutcome::Unknown => now.after(self.timing.retry_delay),
                    _ => now,
                };
            }
        }
    }

    // Updates the held lease from a new record.
    fn update_held(&mut self, now: Moment, record: &Record) {
        let abandoned = self.abandoned_token == Some(record.token);
        if !record.is_held_by(&self.me) || record.released || abandoned {
            self.held = None;
            return;
        }
        // Without the sending time of the write the expiry of the lease is unknown,
        // so the lease is not valid before its next renewal.
        let sent = self.sent.get(&record.operation).copied();
        let valid_until = sent.map_or(Moment(0), |s| {
            Moment(s.0 + self.timing.ttl.0 - self.margin())
        });
        match &mut self.held {
            Some(t) if t.token == record.token => t.valid_until = t.valid_until.max(valid_until),
            _ => {
                let takeover = self.takeover.take();
                let (predecessor, predecessor_ttl) =
                    takeover.unwrap_or((Predecessor::Unsettled, self.timing.grant_ttl));
                self.settled = predecessor == Predecessor::None;
                self.held = Some(HeldLease {
                    token: record.token,
                    valid_until,
                    acquired_at: now,
                    predecessor,
                    predecessor_ttl,
                });
            }
        }
    }

    // Returns the margin of the lease's expiry in microseconds, at most the TTL.
    fn margin(&self) -> u64 {
        self.timing.margin.0.min(self.timing.ttl.0)
    }

    // Returns the next write of the holder: a renewal, or the release.
    //
    // `stop` is `None` while the lease is to be kept. If it is to be released, the
    // inner option has the entries that may hold grants, or `None` if that set is
    // not known.
    fn step_held(&mut self, now: Moment, stop: Option<&Option<BTreeSet<String>>>) -> Step {
        let Some(observed) = self.observed.clone() else {
            return Step::Wait;
        };
        if stop.is_none() && now < self.last_write.after(self.timing.renew_interval) {
            return Step::Wait;
        }
        let mut record = observed.record;
        record.released = stop.is_some();
        record.unsettled = !self.settled;
        record.entries = stop.cloned().flatten();
        self.send(now, Some(observed.version), record, None)
    }

    // Returns the write that acquires the lease once it is free and this process's
    // stagger delay has passed.
    fn step_contending(&mut self, now: Moment, rank: impl FnOnce() -> u64) -> Step {
        let step = self.timing.stagger.0;
        let stagger = || Span(step * rank());
        let Some(observed) = self.observed.clone() else {
            if now < self.stagger_from.after(stagger()) {
                return Step::Wait;
            }
            return self.send_create(now);
        };
        let old = &observed.record;
        let restarted = !old.released && old.is_held_by_earlier_process(&self.me);
        let (wait, predecessor) = if old.released {
            (Span(0), Predecessor::Released(old.entries.clone()))
        } else if restarted {
            (Span(0), Predecessor::Ended)
        } else {
            let ttl = Span::from_millis(old.ttl_ms);
            (ttl, Predecessor::Lapsed(old.holder.clone()))
        };
        let predecessor = match old.unsettled {
            true => Predecessor::Unsettled,
            false => predecessor,
        };
        let due = observed.since.after(wait);
        if now < due || !restarted && now < due.after(stagger()) {
            return Step::Wait;
        }
        let ttl = Span::from_millis(old.granted_ttl);
        let record = self.new_record(FencingToken(old.token.0 + 1));
        self.send(
            now,
            Some(observed.version),
            record,
            Some((predecessor, ttl)),
        )
    }

    // If the object was deleted, tokens continue after the last one that this
    // process observed; engines would refuse a lower one.
    fn send_create(&mut self, now: Moment) -> Step {
        let (token, takeover) = match &self.deleted {
            None => (FencingToken(1), (Predecessor::None, Span(0))),
            Some(old) => (
                FencingToken(old.token.0 + 1),
                (
                    Predecessor::Lapsed(old.holder.clone()),
                    Span::from_millis(old.granted_ttl),
                ),
            ),
        };
        let mut record = self.new_record(token);
        record.unsettled = takeover.0 != Predecessor::None;
        self.send(now, None, record, Some(takeover))
    }

    // Returns a record that names this process as the holder; `send` sets its
    // operation.
    fn new_record(&self, token: FencingToken) -> Record {
        Record {
            holder: self.me.vm.clone(),
            address: self.me.address,
            incarnation: self.me.incarnation,
            token,
            ttl_ms: self.timing.ttl.as_millis(),
            released: false,
            granted_ttl: self.timing.grant_ttl.as_millis(),
            unsettled: true,
            operation: String::new(),
            entries: None,
        }
    }

    // Returns the step that creates the object, or replaces its `version`, and keeps
    // what is needed to process the outcome of the write.
    fn send(
        &mut self,
        now: Moment,
        version: Option<String>,
        mut record: Record,
        takeover: Option<(Predecessor, Span)>,
    ) -> Step {
        self.write_count += 1;
        record.operation = format!(
            "{}-{:x}-{}",
            self.me.vm, self.me.incarnation.0, self.write_count
        );
        self.sent.insert(record.operation.clone(), now);
        while self.sent.len() > MAX_SENT {
            let oldest = self.sent.iter().min_by_key(|(_, at)| **at);
            let Some(key) = oldest.map(|(k, _)| k.clone()) else {
                break;
            };
            self.sent.remove(&key);
        }
        self.last_write = now;
        self.call_in_flight = true;
        // Kept until this process observes that it holds the lease: by the answer to
        // the write, by a watch event before it, or by a read after the answer was
        // lost.
        if takeover.is_some() {
            self.takeover = takeover;
        }
        self.pending = Some(record.clone());
        match version {
            Some(v) => Step::Replace(v, record),
            None => Step::Create(record),
        }
    }
}

// Versions on the platform are increasing integers. If one does not parse, it
// counts as newer, and only the token shows who holds the lease.
fn is_older(version: &str, observed: &Observed) -> bool {
    match (version.parse::<u64>(), observed.version.parse::<u64>()) {
        (Ok(new), Ok(known)) => new < known,
        _ => false,
    }
}
