//! The lending side of an organisation's quota.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::quota::Bucket;
use crate::serving::decisions::quota::MAX_RETRY_DELAY;
use crate::serving::path::types::RateLimit;

/// Permitted use beyond the limits, over all VMs in any window.
#[derive(Clone, Copy, Debug)]
pub struct Overshoot {
    /// Window length in seconds.
    pub window_s: f64,
    /// Permitted overshoot as a fraction of the limit.
    pub ratio: f64,
    /// Additional permitted overshoot, in the unit of the limit.
    pub slack: f64,
}

/// Maximum initial level of a new lender's bucket as a fraction of the permitted
/// overshoot. The lender does not know what its predecessor lent, and several
/// changes of the lender may fall into one window.
const START_FRACTION: f64 = 0.1;

/// Fraction of the bucket that is reserved for current requests when a borrower
/// asks for tokens ahead of its next ones.
const AHEAD_RESERVE: f64 = 0.5;

/// Maximum queue from which retry delays are computed, in seconds of the limit's
/// rate: callers further back would have left.
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
/// order of lenders; after that another VM may have lent instead.
const TERM_TTL: Span = Span::from_millis(2_000);

/// How long a new lender and its predecessor may both consider themselves first:
/// each uses its own, slightly outdated view of the live VMs.
const OVERLAP: Span = Span::from_millis(1_600);

/// Fraction of the rate that is lent during that overlap.
const OVERLAP_FRACTION: f64 = 0.5;

/// A period in which this VM is first in the order of lenders.
#[derive(Clone, Copy, Debug)]
struct Term {
    since: Moment,
    /// When it was last confirmed.
    confirmed_at: Moment,
}

/// State of one limit at its lender.
#[derive(Debug)]
struct Account {
    bucket: Bucket,
    /// Tokens needed by the callers that were given a retry delay.
    queued: f64,
    term: Option<Term>,
}

impl Account {
    fn new(now: Moment, start: f64) -> Self {
        Self {
            bucket: Bucket {
                level: start,
                updated_at: now,
            },
            queued: 0.0,
            term: None,
        }
    }

    /// Advances the bucket to `now`, and returns the fraction of the rate at which
    /// it is refilled. `start` is the level of a new lender, `reachable` the
    /// fraction of the VMs that can be reached, and `first` whether this VM is
    /// first in the order of lenders.
    fn advance(
        &mut self,
        now: Moment,
        limit: &RateLimit,
        start: f64,
        reachable: f64,
        first: bool,
    ) -> f64 {
        let term = self.term.filter(|t| now.since(t.confirmed_at) < TERM_TTL);
        let term = term.filter(|_| first);
        let since = term.map_or(now, |t| t.since);
        self.term = first.then_some(Term {
            since,
            confirmed_at: now,
        });
        let fraction = match now.since(since) < OVERLAP {
            true => reachable * OVERLAP_FRACTION,
            false => reachable,
        };
        if term.is_some() {
            let seconds = now.since(self.bucket.updated_at).0 as f64 / 1e6;
            self.queued = (self.queued - seconds * limit.rate * fraction).max(0.0);
            self.bucket.fill(now, limit, fraction);
        } else {
            // The refill of this period belongs to the VM that lent in it.
            self.bucket.level = self.bucket.level.min(start);
            self.bucket.updated_at = now;
        }
        fraction
    }
}

/// Holds the buckets of the limits that this VM lends. `K` identifies a limit, such as the
/// name of an organisation.
#[derive(Debug)]
pub struct Lender<K> {
    overshoot: Overshoot,
    accounts: BTreeMap<K, Account>,
}

impl<K: Ord + Clone> Lender<K> {
    /// Creates a lender that has lent nothing.
    pub fn new(overshoot: Overshoot) -> Self {
        Self {
            overshoot,
            accounts: BTreeMap::new(),
        }
    }

    /// Returns the initial level of a new lender's bucket: a small part of the
    /// permitted overshoot, at most the burst, as it does not know what its
    /// predecessor lent.
    fn start(&self, limit: &RateLimit) -> f64 {
        let o = &self.overshoot;
        let permitted = o.ratio * (limit.rate * o.window_s + limit.burst) + o.slack;
        limit.burst.min(permitted * START_FRACTION)
    }

    fn account(&mut self, now: Moment, name: &K, start: f64) -> &mut Account {
        let account = self.accounts.entry(name.clone());
        account.or_insert_with(|| Account::new(now, start))
    }

    /// Lends tokens of the limit to a VM.
    ///
    /// `reachable` is the fraction of the VMs that this one can reach: the others may
    /// be partitioned and use their local shares. `first` says whether this VM is
    /// first in the order of the limit's lenders. A VM that replaces an
    /// unresponsive lender lends its initial level and no more.
    pub fn lend(
        &mut self,
        now: Moment,
        name: &K,
        limit: &RateLimit,
        reachable: f64,
        first: bool,
        request: LendRequest,
    ) -> LendReply {
        let start = self.start(limit);
        let account = self.account(now, name, start);
        let fraction = account.advance(now, limit, start, reachable, first);
        let bucket = &mut account.bucket;
        if bucket.holds(limit, request.need) {
            bucket.level -= request.need;
            let spare = bucket.level - limit.burst * AHEAD_RESERVE;
            let ahead = request.ahead.min(spare).max(0.0);
            bucket.level -= ahead;
            return LendReply::Lent(request.need + ahead);
        }
        let queue = Span((account.queued / limit.rate.max(f64::MIN_POSITIVE) * 1e6) as u64);
        let wait = Span(bucket.wait(limit, fraction, request.need).0 + queue.0);
        let max_queued = limit.rate * MAX_QUEUE_S;
        account.queued = (account.queued + request.need).min(max_queued);
        LendReply::Exhausted(wait.min(MAX_RETRY_DELAY))
    }

    /// Renews the terms of the limits for which this VM is first, and ends all
    /// others. A term thereby continues even if no VM borrows.
    pub fn renew<'a>(
        &mut self,
        now: Moment,
        reachable: f64,
        limits: impl Iterator<Item = (&'a K, &'a RateLimit)>,
    ) where
        K: 'a,
    {
        let mut renewed = BTreeSet::new();
        for (name, limit) in limits {
            let start = self.start(limit);
            let account = self.account(now, name, start);
            account.advance(now, limit, start, reachable, true);
            renewed.insert(name);
        }
        let ended = self.accounts.iter_mut();
        let ended = ended.filter(|(name, _)| !renewed.contains(name));
        ended.for_each(|(_, account)| account.term = None);
    }

    /// Removes the limits for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.accounts.retain(|name, _| keep(name));
    }
}
