//! One process's contest for one lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::PoolName;
use crate::ids::Token;
use crate::ids::VmName;
use crate::lease::Candidate;
use crate::lease::Record;
use crate::pool::Moment;
use crate::pool::Span;

/// Own writes whose sending time is remembered, so that one that took effect
/// late can still be dated; more than are ever open at once.
const SENT_KEPT: usize = 8;

/// The lease's times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Times {
    /// How long a lease holds from its last write. Longer survives longer
    /// hiccups of the platform; shorter shortens the takeover after a kill.
    pub ttl: Span,
    /// How long after the last write the next is sent: a third of `ttl`, so
    /// that two may fail before the lease is lost.
    pub renew: Span,
    /// What the holder subtracts from its own count.
    pub margin: Span,
    /// How much later each further candidate tries, so that they do not all
    /// write at once; the conditional update decides in any case.
    pub stagger: Span,
    /// How long after a failed call the next is made.
    pub retry: Span,
    /// How long a grant lives unrenewed; told to successors.
    pub grant_ttl: Span,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            ttl: Span::from_millis(3_000),
            renew: Span::from_millis(1_000),
            margin: Span::from_millis(300),
            stagger: Span::from_millis(100),
            retry: Span::from_millis(200),
            grant_ttl: Span::from_millis(10_000),
        }
    }
}

/// What is known of the holder before this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Former {
    /// There never was one.
    None,
    /// It gave the lease up after its last grant and order. The entries that
    /// may hold its grants, when it knew them.
    Released(Option<BTreeSet<String>>),
    /// It was an earlier process at this VM and address, which has ended.
    Ended,
    /// It stopped renewing; it may be paused and unaware.
    Lapsed(VmName),
}

/// A lease that this process holds, or held when it last heard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tenure {
    /// The fencing token.
    pub token: Token,
    /// Until when it holds for certain, margin subtracted. After that it may
    /// have a successor; without the platform there can be none.
    pub until: Moment,
    /// When it was acquired, as far as this process knows.
    pub since: Moment,
    /// Who held it before.
    pub former: Former,
    /// The longest that a grant of the former holder lives unrenewed.
    pub former_ttl: Span,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Read the object and pass it to [`Contest::observe`].
    Read,
    /// Create the object, then call [`Contest::written`].
    Create(Record),
    /// Replace the object at this version, then call [`Contest::written`].
    Replace(String, Record),
}

/// How a write ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteEnd {
    /// Done; the new version.
    Done(String),
    /// It surely did nothing.
    Nothing,
    /// The object has another version: done by somebody, perhaps by an own
    /// write whose answer was lost.
    Conflict,
    /// It may have taken effect.
    Lost,
}

#[derive(Clone, Debug)]
struct Seen {
    record: Record,
    version: String,
    since: Moment,
}

#[derive(Clone, Debug)]
struct Attempt {
    record: Record,
    former: Former,
    former_ttl: Span,
}

/// One process's view of one lease.
#[derive(Clone, Debug)]
pub struct Contest {
    me: Candidate,
    times: Times,
    known: bool,
    since: Moment,
    seen: Option<Seen>,
    deleted: Option<Record>,
    attempt: Option<Attempt>,
    busy: bool,
    sent: BTreeMap<String, Moment>,
    order: u64,
    last: Moment,
    retry_at: Moment,
    tenure: Option<Tenure>,
    past: Option<(Former, Span)>,
}

impl Contest {
    /// A contest of which nothing is known yet.
    pub fn new(me: Candidate, times: Times) -> Self {
        Self {
            me,
            times,
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
        }
    }

    /// The lease held, if it is; whether it is past its end is for the caller
    /// to compare.
    pub fn tenure(&self) -> Option<&Tenure> {
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

    /// The platform is back after it could not be followed: the holder could
    /// not renew either, and gets a whole `ttl` to do so. Without this every
    /// pool would change its owner at the end of each outage.
    pub fn resume(&mut self, now: Moment) {
        if let Some(seen) = &mut self.seen {
            seen.since = now;
        }
    }

    /// What to do now. `rank` is this process's place among the candidates, 0
    /// first; `stop` gives the lease up with the entries that may hold grants.
    pub fn step(
        &mut self,
        now: Moment,
        rank: u64,
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
    pub fn unread(&mut self, now: Moment) {
        self.busy = false;
        self.retry_at = now.after(self.times.retry);
    }

    /// A read ended with an answer, which is then passed to `observe`.
    pub fn read(&mut self) {
        self.busy = false;
    }

    /// The write of the last step ended.
    pub fn written(&mut self, now: Moment, end: WriteEnd) {
        self.busy = false;
        match end {
            WriteEnd::Done(version) => {
                if let Some(attempt) = self.attempt.take() {
                    let record = attempt.record;
                    self.past = Some((attempt.former, attempt.former_ttl));
                    self.settle(now, &record);
                    self.seen = Some(Seen {
                        record,
                        version,
                        since: now,
                    });
                }
            }
            WriteEnd::Nothing => {
                self.attempt = None;
                self.retry_at = now.after(self.times.retry);
            }
            WriteEnd::Conflict | WriteEnd::Lost => {
                if let Some(attempt) = &self.attempt {
                    self.past = Some((attempt.former.clone(), attempt.former_ttl));
                }
                self.known = false;
                self.retry_at = match end {
                    WriteEnd::Lost => now.after(self.times.retry),
                    _ => now,
                };
            }
        }
    }

    // Decides from a new content who holds the lease.
    fn settle(&mut self, now: Moment, record: &Record) {
        if !record.is_of(&self.me) || record.released {
            self.tenure = None;
            return;
        }
        // An own write of unknown date holds nothing until it is renewed.
        let sent = self.sent.get(&record.operation).copied();
        let until = sent.map_or(Moment(0), |s| {
            Moment(s.0 + self.times.ttl.0 - self.margin())
        });
        match &mut self.tenure {
            Some(t) if t.token == record.token => t.until = t.until.max(until),
            _ => {
                let (former, former_ttl) = self
                    .past
                    .take()
                    .unwrap_or((Former::Ended, self.times.grant_ttl));
                self.tenure = Some(Tenure {
                    token: record.token,
                    until,
                    since: now,
                    former,
                    former_ttl,
                });
            }
        }
    }

    fn margin(&self) -> u64 {
        self.times.margin.0.min(self.times.ttl.0)
    }

    fn step_holding(&mut self, now: Moment, stop: Option<&Option<BTreeSet<String>>>) -> Step {
        let Some(seen) = self.seen.clone() else {
            return Step::Wait;
        };
        if stop.is_none() && now < self.last.after(self.times.renew) {
            return Step::Wait;
        }
        let mut record = seen.record;
        record.released = stop.is_some();
        record.entries = stop.cloned().flatten();
        self.send(now, Some(seen.version), record, None)
    }

    fn step_contending(&mut self, now: Moment, rank: u64) -> Step {
        let stagger = Span(self.times.stagger.0 * rank);
        let Some(seen) = self.seen.clone() else {
            if now < self.since.after(stagger) {
                return Step::Wait;
            }
            return self.send_first(now);
        };
        let old = &seen.record;
        let (wait, former) = if old.released {
            (Span(0), Former::Released(old.entries.clone()))
        } else if old.is_of_predecessor(&self.me) {
            (Span(0), Former::Ended)
        } else {
            let ttl = Span::from_millis(old.ttl_ms);
            (ttl, Former::Lapsed(old.holder.clone()))
        };
        let late = match former {
            Former::Ended => Span(0),
            _ => stagger,
        };
        if now < seen.since.after(wait).after(late) {
            return Step::Wait;
        }
        let ttl = Span::from_millis(old.granted_ttl);
        let record = self.fresh(Token(old.token.0 + 1));
        self.send(now, Some(seen.version), record, Some((former, ttl)))
    }

    // Tokens go on rising after somebody deleted the object, as far as this
    // process knows; engines would refuse a lower one.
    fn send_first(&mut self, now: Moment) -> Step {
        let (token, past) = match &self.deleted {
            None => (Token(1), (Former::None, Span(0))),
            Some(old) => (
                Token(old.token.0 + 1),
                (
                    Former::Lapsed(old.holder.clone()),
                    Span::from_millis(old.granted_ttl),
                ),
            ),
        };
        let record = self.fresh(token);
        self.send(now, None, record, Some(past))
    }

    fn fresh(&self, token: Token) -> Record {
        Record {
            holder: self.me.vm.clone(),
            address: self.me.address,
            incarnation: self.me.incarnation,
            token,
            ttl_ms: self.times.ttl.as_millis(),
            released: false,
            granted_ttl: self.times.grant_ttl.as_millis(),
            operation: String::new(),
            entries: None,
        }
    }

    fn send(
        &mut self,
        now: Moment,
        version: Option<String>,
        mut record: Record,
        past: Option<(Former, Span)>,
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
        let (former, former_ttl) = past.unwrap_or((Former::Ended, Span(0)));
        self.attempt = Some(Attempt {
            record: record.clone(),
            former,
            former_ttl,
        });
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

/// A candidate's place in the order in which candidates try for a pool.
///
/// Made for many pools and few VMs: a rendezvous hash spreads pools evenly and
/// moves only a lost VM's pools; without it one VM would win all of them. The
/// order is advice, the conditional update decides.
///
/// ```
/// use banyangauge::ids::{PoolName, VmName};
/// let pool = PoolName::new("assistant").unwrap();
/// let (a, b) = (VmName::new("a").unwrap(), VmName::new("b").unwrap());
/// let ranks = [&a, &b].map(|me| banyangauge::lease::rank(&pool, me, [&a, &b]));
/// assert_eq!(ranks.iter().sum::<u64>(), 1);
/// ```
pub fn rank<'a>(pool: &PoolName, me: &VmName, live: impl IntoIterator<Item = &'a VmName>) -> u64 {
    let score = |vm: &VmName| {
        let text = format!("{pool}/{vm}");
        (xxhash_rust::xxh3::xxh3_64(text.as_bytes()), vm.clone())
    };
    let mine = score(me);
    live.into_iter()
        .filter(|vm| *vm != me && score(vm) > mine)
        .count() as u64
}
