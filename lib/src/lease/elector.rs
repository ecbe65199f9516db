//! One process's contest for one lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::Token;
use crate::lease::Candidate;
use crate::lease::HeldLease;
use crate::lease::Predecessor;
use crate::lease::Record;
use crate::lease::Step;
use crate::lease::Timing;
use crate::lease::WriteOutcome;
use crate::pool::Moment;
use crate::pool::Span;

/// Own writes whose sending time is remembered, so that one that took effect
/// late can still be dated; more than are ever open at once.
const SENT_KEPT: usize = 8;

#[derive(Clone, Debug)]
struct Seen {
    record: Record,
    version: String,
    since: Moment,
}

/// One process's view of one lease.
#[derive(Clone, Debug)]
pub struct Elector {
    me: Candidate,
    timing: Timing,
    known: bool,
    since: Moment,
    seen: Option<Seen>,
    deleted: Option<Record>,
    attempt: Option<Record>,
    busy: bool,
    sent: BTreeMap<String, Moment>,
    order: u64,
    last: Moment,
    retry_at: Moment,
    tenure: Option<HeldLease>,
    past: Option<(Predecessor, Span)>,
    settled: bool,
    resigned: Option<Token>,
}

impl Elector {
    /// A contest of which nothing is known yet.
    pub fn new(me: Candidate, timing: Timing) -> Self {
        Self {
            me,
            timing,
            known: false,
            since: Moment(0),
            seen: None,
            deleted: None,
            attempt: None,
            busy: false,
            sent: BTreeMap::new(),
            order: 0,
            last: Moment(0),
            retry_at: Moment(0),
            tenure: None,
            past: None,
            settled: false,
            resigned: None,
        }
    }

    /// The lease held, if it is; whether it is past its end is for the caller
    /// to compare.
    pub fn lease(&self) -> Option<&HeldLease> {
        self.tenure.as_ref()
    }

    /// What the platform last said.
    pub fn record(&self) -> Option<&Record> {
        self.seen.as_ref().map(|s| &s.record)
    }

    /// Takes in what the platform holds now; `None` when there is no object.
    ///
    /// Older versions than the one known are passed over.
    pub fn observe(&mut self, now: Moment, object: Option<(Record, String)>) {
        if !self.known {
            self.known = true;
            self.since = now;
        }
        let Some((record, version)) = object else {
            if let Some(seen) = self.seen.take() {
                self.since = now;
                self.deleted = Some(seen.record);
            }
            self.attempt = None;
            self.tenure = None;
            return;
        };
        if self.seen.as_ref().is_some_and(|s| is_older(&version, s)) {
            // A watch that lags behind an answer; it must not undo it.
            return;
        }
        if self.seen.as_ref().is_some_and(|s| s.version == version) {
            // A lost write that has not taken effect: the next step decides anew.
            self.attempt = None;
            return;
        }
        self.settle(now, &record);
        self.seen = Some(Seen {
            record,
            version,
            since: now,
        });
        self.attempt = None;
    }

    /// No earlier owner's grant can be in use any more; the next write says so.
    pub fn set_settled(&mut self, token: Token) {
        if self.tenure.as_ref().is_some_and(|t| t.token == token) {
            self.settled = true;
        }
    }

    /// The owner found that an engine or a peer knows a higher token: the lease
    /// is worth nothing, and is let lapse.
    pub fn resign(&mut self, token: Token) {
        if self.tenure.as_ref().is_some_and(|t| t.token == token) {
            self.tenure = None;
            self.resigned = Some(token);
        }
    }

    /// The platform is back after it could not be followed: the holder could
    /// not renew either, and gets a whole `ttl` to do so. Without this every
    /// pool would change its owner at the end of each outage.
    pub fn restart_ttl(&mut self, now: Moment) {
        if let Some(seen) = &mut self.seen {
            seen.since = now;
        }
    }

    /// What to do now. `rank` is this process's place among the candidates, 0
    /// first, and is asked for only when it matters; `stop` gives the lease up with the entries that may hold grants.
    pub fn step(
        &mut self,
        now: Moment,
        rank: impl FnOnce() -> u64,
        stop: Option<&Option<BTreeSet<String>>>,
    ) -> Step {
        if self.busy || now < self.retry_at {
            return Step::Wait;
        }
        if !self.known {
            self.busy = true;
            return Step::Read;
        }
        if self.tenure.is_some() {
            return self.step_holding(now, stop);
        }
        if stop.is_some() {
            return Step::Wait;
        }
        self.step_contending(now, rank)
    }

    /// A read ended without an answer.
    pub fn read_failed(&mut self, now: Moment) {
        self.busy = false;
        self.retry_at = now.after(self.timing.retry_delay);
    }

    /// A read ended with an answer, which is then passed to `observe`.
    pub fn read_done(&mut self) {
        self.busy = false;
    }

    /// The write of the last step ended.
    pub fn write_done(&mut self, now: Moment, end: WriteOutcome) {
        self.busy = false;
        match end {
            WriteOutcome::Done(version) => {
                if let Some(record) = self.attempt.take() {
                    self.settle(now, &record);
                    self.seen = Some(Seen {
                        record,
                        version,
                        since: now,
                    });
                }
            }
            WriteOutcome::NotApplied => {
                self.attempt = None;
                self.retry_at = now.after(self.timing.retry_delay);
            }
            WriteOutcome::Conflict | WriteOutcome::Unknown => {
                self.known = false;
                self.retry_at = match end {
                    WriteOutcome::Unknown => now.after(self.timing.retry_delay),
                    _ => now,
                };
            }
        }
    }

    // Decides from a new content who holds the lease.
    fn settle(&mut self, now: Moment, record: &Record) {
        let resigned = self.resigned == Some(record.token);
        if !record.is_of(&self.me) || record.released || resigned {
            self.tenure = None;
            return;
        }
        // An own write of unknown date holds nothing until it is renewed.
        let sent = self.sent.get(&record.operation).copied();
        let until = sent.map_or(Moment(0), |s| {
            Moment(s.0 + self.timing.ttl.0 - self.margin())
        });
        match &mut self.tenure {
            Some(t) if t.token == record.token => t.valid_until = t.valid_until.max(until),
            _ => {
                let past = self.past.take();
                let (predecessor, predecessor_ttl) =
                    past.unwrap_or((Predecessor::Unsettled, self.timing.grant_ttl));
                self.settled = predecessor == Predecessor::None;
                self.tenure = Some(HeldLease {
                    token: record.token,
                    valid_until: until,
                    acquired_at: now,
                    predecessor,
                    predecessor_ttl,
                });
            }
        }
    }

    fn margin(&self) -> u64 {
        self.timing.margin.0.min(self.timing.ttl.0)
    }

    fn step_holding(&mut self, now: Moment, stop: Option<&Option<BTreeSet<String>>>) -> Step {
        let Some(seen) = self.seen.clone() else {
            return Step::Wait;
        };
        if stop.is_none() && now < self.last.after(self.timing.renew_interval) {
            return Step::Wait;
        }
        let mut record = seen.record;
        record.released = stop.is_some();
        record.unsettled = !self.settled;
        record.entries = stop.cloned().flatten();
        self.send(now, Some(seen.version), record, None)
    }

    fn step_contending(&mut self, now: Moment, rank: impl FnOnce() -> u64) -> Step {
        let step = self.timing.stagger.0;
        let stagger = || Span(step * rank());
        let Some(seen) = self.seen.clone() else {
            if now < self.since.after(stagger()) {
                return Step::Wait;
            }
            return self.send_first(now);
        };
        let old = &seen.record;
        let ended = !old.released && old.is_of_predecessor(&self.me);
        let (wait, predecessor) = if old.released {
            (Span(0), Predecessor::Released(old.entries.clone()))
        } else if ended {
            (Span(0), Predecessor::Ended)
        } else {
            let ttl = Span::from_millis(old.ttl_ms);
            (ttl, Predecessor::Lapsed(old.holder.clone()))
        };
        let predecessor = match old.unsettled {
            true => Predecessor::Unsettled,
            false => predecessor,
        };
        let due = seen.since.after(wait);
        if now < due || !ended && now < due.after(stagger()) {
            return Step::Wait;
        }
        let ttl = Span::from_millis(old.granted_ttl);
        let record = self.fresh(Token(old.token.0 + 1));
        self.send(now, Some(seen.version), record, Some((predecessor, ttl)))
    }

    // Tokens go on rising after somebody deleted the object, as far as this
    // process knows; engines would refuse a lower one.
    fn send_first(&mut self, now: Moment) -> Step {
        let (token, past) = match &self.deleted {
            None => (Token(1), (Predecessor::None, Span(0))),
            Some(old) => (
                Token(old.token.0 + 1),
                (
                    Predecessor::Lapsed(old.holder.clone()),
                    Span::from_millis(old.granted_ttl),
                ),
            ),
        };
        let mut record = self.fresh(token);
        record.unsettled = past.0 != Predecessor::None;
        self.send(now, None, record, Some(past))
    }

    fn fresh(&self, token: Token) -> Record {
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

    fn send(
        &mut self,
        now: Moment,
        version: Option<String>,
        mut record: Record,
        past: Option<(Predecessor, Span)>,
    ) -> Step {
        self.order += 1;
        record.operation = format!("{}-{:x}-{}", self.me.vm, self.me.incarnation.0, self.order);
        self.sent.insert(record.operation.clone(), now);
        while self.sent.len() > SENT_KEPT {
            let oldest = self.sent.iter().min_by_key(|(_, at)| **at);
            let Some(key) = oldest.map(|(k, _)| k.clone()) else {
                break;
            };
            self.sent.remove(&key);
        }
        self.last = now;
        self.busy = true;
        // Kept until the lease is seen to be held: by the answer, by the watch
        // before the answer, or by reading back after it was lost.
        if past.is_some() {
            self.past = past;
        }
        self.attempt = Some(record.clone());
        match version {
            Some(v) => Step::Replace(v, record),
            None => Step::Create(record),
        }
    }
}

// The platform's versions are whole numbers that rise; should they ever be
// something else, only the token tells.
fn is_older(version: &str, seen: &Seen) -> bool {
    match (version.parse::<u64>(), seen.version.parse::<u64>()) {
        (Ok(new), Ok(known)) => new < known,
        _ => false,
    }
}
