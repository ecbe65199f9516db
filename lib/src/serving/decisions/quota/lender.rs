//! The lending side of an organisation's quota.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::OrganisationName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::quota::Bucket;
use crate::serving::decisions::quota::MAX_RETRY_DELAY;
use crate::serving::path::types::RateLimit;

/// Permitted use beyond the limits, over all VMs in any window.
#[derive(Clone, Copy, Debug)]
pub struct Overshoot {
    /// Window length in seconds.
    pub window: f64,
    /// Permitted overshoot as a fraction of the limit.
    pub over: f64,
    /// Permitted overshoot in addition, as a constant amount.
    pub slack: f64,
}

/// Fraction of the permitted overshoot that a new lender gives out at once, as
/// it does not know what its predecessor lent: up to ten changes of the lender
/// may fall into one window.
const START_FRACTION: f64 = 0.1;

/// Fraction of the bucket that is reserved for current requests when a borrower
/// asks for tokens ahead of its next ones.
const AHEAD_RESERVE: f64 = 0.5;

/// Maximum queue from which retry delays are computed, in seconds of the limit's
/// rate: later callers would have left.
const MAX_QUEUE_S: f64 = 3.0;

/// A borrower's request for tokens.
#[derive(Clone, Copy, Debug)]
pub struct LendRequest {
    /// Tokens for the current request.
    pub need: f64,
    /// Tokens ahead of the next requests.
    pub ahead: f64,
}

/// The lender's reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LendReply {
    /// This many tokens are lent.
    Lent(f64),
    /// The limit is exhausted; the caller may retry after this time.
    Exhausted(Span),
}

/// How long a lender keeps its term without confirming that it is first in the
/// order of lenders; after that another VM may have lent in its place.
const TERM_TTL: Span = Span::from_millis(2_000);

/// How long a new lender and its predecessor may both consider themselves first:
/// each goes by a slightly outdated view of the live VMs.
const OVERLAP: Span = Span::from_millis(1_600);

/// Fraction of the rate that is lent during that overlap.
const OVERLAP_FRACTION: f64 = 0.5;

/// A period in which this VM is first in the order of lenders.
#[derive(Clone, Copy, Debug)]
struct Term {
    since: Moment,
    last: Moment,
}

#[derive(Debug)]
struct Account {
    bucket: Bucket,
    /// Tokens that callers with a retry delay will need.
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

    /// Advances the bucket to `now`. Returns the fraction of the rate at which it
    /// is refilled.
    fn advance(
        &mut self,
        now: Moment,
        limit: &RateLimit,
        start: f64,
        reachable: f64,
        first: bool,
    ) -> f64 {
        let term = self.term.filter(|t| now.since(t.last) < TERM_TTL);
        let term = term.filter(|_| first);
        let since = term.map_or(now, |t| t.since);
        self.term = first.then_some(Term { since, last: now });
        let fraction = match now.since(since) < OVERLAP {
            true => reachable * OVERLAP_FRACTION,
            false => reachable,
        };
        if term.is_some() {
            let seconds = now.since(self.bucket.at).0 as f64 / 1e6;
            self.queued = (self.queued - seconds * limit.rate * fraction).max(0.0);
            self.bucket.fill(now, limit, fraction);
        } else {
            // The refill since then belonged to the VM that lent meanwhile.
            self.bucket.level = self.bucket.level.min(start);
            self.bucket.at = now;
        }
        fraction
    }
}

/// Holds the buckets of the organisations that this VM lends for.
#[derive(Debug)]
pub struct Lender {
    overshoot: Overshoot,
    accounts: BTreeMap<OrganisationName, Account>,
}

impl Lender {
    /// Creates a lender that has lent nothing.
    pub fn new(overshoot: Overshoot) -> Self {
        Self {
            overshoot,
            accounts: BTreeMap::new(),
        }
    }

    /// Returns the initial level of a new lender's bucket.
    fn start(&self, limit: &RateLimit) -> f64 {
        let a = &self.overshoot;
        let beyond = a.over * (limit.rate * a.window + limit.burst) + a.slack;
        limit.burst.min(beyond * START_FRACTION)
    }

    fn account(&mut self, now: Moment, name: &OrganisationName, start: f64) -> &mut Account {
        let account = self.accounts.entry(name.clone());
        account.or_insert_with(|| Account::new(now, start))
    }

    /// Lends tokens of the limit to a VM.
    ///
    /// `reachable` is the fraction of the VMs that this one can reach: the others may
    /// be partitioned and use their local shares. `first` says whether this VM is
    /// the lender of the organisation. A VM that stands in for an unresponsive
    /// lender lends its initial level and no more.
    pub fn lend(
        &mut self,
        now: Moment,
        name: &OrganisationName,
        limit: &RateLimit,
        reachable: f64,
        first: bool,
        ask: LendRequest,
    ) -> LendReply {
        let start = self.start(limit);
        let account = self.account(now, name, start);
        let fraction = account.advance(now, limit, start, reachable, first);
        let bucket = &mut account.bucket;
        if bucket.holds(limit, ask.need) {
            bucket.level -= ask.need;
            let spare = bucket.level - limit.burst * AHEAD_RESERVE;
            let ahead = ask.ahead.min(spare).max(0.0);
            bucket.level -= ahead;
            return LendReply::Lent(ask.need + ahead);
        }
        let queue = Span((account.queued / limit.rate.max(f64::MIN_POSITIVE) * 1e6) as u64);
        let wait = Span(bucket.wait(limit, fraction, ask.need).0 + queue.0);
        let longest = limit.rate * MAX_QUEUE_S;
        account.queued = (account.queued + ask.need).min(longest);
        LendReply::Exhausted(wait.min(MAX_RETRY_DELAY))
    }

    /// Renews the terms of the organisations in `kept` and ends all others. A
    /// term thereby continues even if no VM borrows.
    pub fn renew<'a>(
        &mut self,
        now: Moment,
        reachable: f64,
        kept: impl Iterator<Item = (&'a OrganisationName, &'a RateLimit)>,
    ) {
        let mut firsts = BTreeSet::new();
        for (name, limit) in kept {
            let start = self.start(limit);
            let account = self.account(now, name, start);
            account.advance(now, limit, start, reachable, true);
            firsts.insert(name);
        }
        let others = self.accounts.iter_mut();
        let others = others.filter(|(name, _)| !firsts.contains(name));
        others.for_each(|(_, account)| account.term = None);
    }
}
