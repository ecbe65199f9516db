//! The VM that lends parts of an organisation's limit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::OrganisationName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::quota::Bucket;
use crate::serving::decisions::quota::LONGEST_WAIT;
use crate::serving::path::types::RateLimit;

/// What may be used beyond the limits, over all VMs in any window.
#[derive(Clone, Copy, Debug)]
pub struct Overshoot {
    /// The window, in seconds.
    pub window: f64,
    /// The part of the limit beyond it.
    pub over: f64,
    /// What may be used beyond that.
    pub slack: f64,
}

/// The part of the allowance that a VM which begins to lend gives out at once,
/// as it does not know what its predecessor lent: so many such changes may fall
/// into one window.
const START_PART: f64 = 0.1;

/// The part of the bucket that stays for requests at hand when a borrower asks
/// for what its next ones will need.
const AHEAD_RESERVE: f64 = 0.5;

/// The longest queue that is told to those who are to come back, in seconds of
/// the limit's rate: later ones would have left.
const LONGEST_QUEUE: f64 = 3.0;

/// What a borrower asks for.
#[derive(Clone, Copy, Debug)]
pub struct LendRequest {
    /// For a request at hand.
    pub need: f64,
    /// For its next ones.
    pub ahead: f64,
}

/// What it is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LendReply {
    /// So much is lent.
    Lent(f64),
    /// The limit is used up; the caller may come back after this time.
    Exhausted(Span),
}

/// How long a VM that was not seen to be the first in the order still counts as
/// that; after longer another one may have lent in its place.
const PLACE_KEPT: Span = Span::from_millis(2_000);

/// The time in which a VM that has become the first in the order, and the one
/// before it, may both take themselves for that: each hears most of the VMs as of
/// a moment ago.
const SETTLED: Span = Span::from_millis(1_600);

/// The part of the rate that is lent until then.
const UNSETTLED_PART: f64 = 0.5;

/// A span in which this VM is the first in the order.
#[derive(Clone, Copy, Debug)]
struct Term {
    since: Moment,
    last: Moment,
}

#[derive(Debug)]
struct Account {
    bucket: Bucket,
    /// What those who were told to come back will need.
    queued: f64,
    term: Option<Term>,
}

impl Account {
    fn new(now: Moment, start: f64) -> Self {
        Self {
            bucket: Bucket {
                level: start,
                at: now,
            },
            queued: 0.0,
            term: None,
        }
    }

    /// Time passes; gives the part of the rate that flows in.
    fn pass(&mut self, now: Moment, limit: &RateLimit, start: f64, heard: f64, first: bool) -> f64 {
        let term = self.term.filter(|t| now.since(t.last) < PLACE_KEPT);
        let term = term.filter(|_| first);
        let since = term.map_or(now, |t| t.since);
        self.term = first.then_some(Term { since, last: now });
        let part = match now.since(since) < SETTLED {
            true => heard * UNSETTLED_PART,
            false => heard,
        };
        if term.is_some() {
            let seconds = now.since(self.bucket.at).0 as f64 / 1e6;
            self.queued = (self.queued - seconds * limit.rate * part).max(0.0);
            self.bucket.fill(now, limit, part);
        } else {
            // Whoever lent meanwhile had what flowed in.
            self.bucket.level = self.bucket.level.min(start);
            self.bucket.at = now;
        }
        part
    }
}

/// The buckets of the organisations that this VM lends for.
#[derive(Debug)]
pub struct Lender {
    allowance: Overshoot,
    accounts: BTreeMap<OrganisationName, Account>,
}

impl Lender {
    /// Nothing is lent yet.
    pub fn new(allowance: Overshoot) -> Self {
        Self {
            allowance,
            accounts: BTreeMap::new(),
        }
    }

    /// What is given out before anything has flowed in.
    fn start(&self, limit: &RateLimit) -> f64 {
        let a = &self.allowance;
        let beyond = a.over * (limit.rate * a.window + limit.burst) + a.slack;
        limit.burst.min(beyond * START_PART)
    }

    fn account(&mut self, now: Moment, name: &OrganisationName, start: f64) -> &mut Account {
        let account = self.accounts.entry(name.clone());
        account.or_insert_with(|| Account::new(now, start))
    }

    /// A VM asks for a part of the limit.
    ///
    /// `heard` is the part of the VMs that this one hears: the others may be cut
    /// off and use their own parts. `first` says whether it is the VM that lends
    /// for this organisation; a VM that is asked in place of one that does not
    /// answer lends what it may give out at once, and no more.
    pub fn lend(
        &mut self,
        now: Moment,
        name: &OrganisationName,
        limit: &RateLimit,
        heard: f64,
        first: bool,
        ask: LendRequest,
    ) -> LendReply {
        let start = self.start(limit);
        let account = self.account(now, name, start);
        let part = account.pass(now, limit, start, heard, first);
        let bucket = &mut account.bucket;
        if bucket.holds(limit, ask.need) {
            bucket.level -= ask.need;
            let spare = bucket.level - limit.burst * AHEAD_RESERVE;
            let ahead = ask.ahead.min(spare).max(0.0);
            bucket.level -= ahead;
            return LendReply::Lent(ask.need + ahead);
        }
        let queue = Span((account.queued / limit.rate.max(f64::MIN_POSITIVE) * 1e6) as u64);
        let wait = Span(bucket.wait(limit, part, ask.need).0 + queue.0);
        let longest = limit.rate * LONGEST_QUEUE;
        account.queued = (account.queued + ask.need).min(longest);
        LendReply::Exhausted(wait.min(LONGEST_WAIT))
    }

    /// Time passes while this VM lends for these organisations and for no others:
    /// they were not taken over by another one, even if nobody asked.
    pub fn renew<'a>(
        &mut self,
        now: Moment,
        heard: f64,
        kept: impl Iterator<Item = (&'a OrganisationName, &'a RateLimit)>,
    ) {
        let mut firsts = BTreeSet::new();
        for (name, limit) in kept {
            let start = self.start(limit);
            let account = self.account(now, name, start);
            account.pass(now, limit, start, heard, true);
            firsts.insert(name);
        }
        let others = self.accounts.iter_mut();
        let others = others.filter(|(name, _)| !firsts.contains(name));
        others.for_each(|(_, account)| account.term = None);
    }
}
