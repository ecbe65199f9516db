//! The VM that lends parts of an organisation's limit.

use std::collections::BTreeMap;

use crate::ids::OrganisationName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::quota::Bucket;
use crate::serving::decisions::quota::LONGEST_WAIT;
use crate::serving::path::model::UseLimit;

/// What may be used beyond the limits, over all VMs in any window.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
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
pub struct Ask {
    /// For a request at hand.
    pub need: f64,
    /// For its next ones.
    pub ahead: f64,
}

/// What it is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// So much is lent.
    Lent(f64),
    /// The limit is used up; the caller may come back after this time.
    Short(Span),
}

#[derive(Debug)]
struct Account {
    bucket: Bucket,
    /// What those who were told to come back will need.
    queued: f64,
}

/// The buckets of the organisations that this VM lends for.
#[derive(Debug)]
pub struct Lender {
    allowance: Allowance,
    accounts: BTreeMap<OrganisationName, Account>,
    /// When it last lent as the first in the order.
    first: BTreeMap<OrganisationName, Moment>,
}

/// A VM that was not asked for so long may have lost its place to another one,
/// which has lent meanwhile.
const PLACE_KEPT: Span = Span::from_millis(2_000);

impl Lender {
    /// Nothing is lent yet.
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            accounts: BTreeMap::new(),
            first: BTreeMap::new(),
        }
    }

    /// What is given out before anything has flowed in.
    fn start(&self, limit: &UseLimit) -> f64 {
        let a = &self.allowance;
        let beyond = a.over * (limit.rate * a.window + limit.burst) + a.slack;
        limit.burst.min(beyond * START_PART)
    }

    fn account(&mut self, now: Moment, name: &OrganisationName, start: f64) -> &mut Account {
        let account = self.accounts.entry(name.clone());
        account.or_insert(Account {
            bucket: Bucket {
                level: start,
                at: now,
            },
            queued: 0.0,
        })
    }

    /// A VM asks for a part of the limit.
    ///
    /// `part` is the part of the VMs that this one hears: the others may be cut
    /// off and use their own parts. `first` says whether it is the VM that lends
    /// for this organisation; a VM that is asked in place of one that does not
    /// answer lends what it may give out at once, and no more.
    pub fn ask(
        &mut self,
        now: Moment,
        name: &OrganisationName,
        limit: &UseLimit,
        part: f64,
        first: bool,
        ask: Ask,
    ) -> Answer {
        let start = self.start(limit);
        let last = self.first.get(name);
        let kept = last.is_some_and(|last| now.since(*last) < PLACE_KEPT);
        if first {
            self.first.insert(name.clone(), now);
        }
        let account = self.account(now, name, start);
        let bucket = &mut account.bucket;
        let before = bucket.at;
        if first && kept {
            bucket.fill(now, limit, part);
        } else {
            // Whoever lent meanwhile had what flowed in.
            bucket.level = bucket.level.min(start);
            bucket.at = now;
        }
        let drained = now.since(before).0 as f64 / 1e6 * limit.rate * part;
        account.queued = (account.queued - drained).max(0.0);
        if bucket.holds(limit, ask.need) {
            bucket.level -= ask.need;
            let spare = bucket.level - limit.burst * AHEAD_RESERVE;
            let ahead = ask.ahead.min(spare).max(0.0);
            bucket.level -= ahead;
            return Answer::Lent(ask.need + ahead);
        }
        let queue = Span((account.queued / limit.rate.max(f64::MIN_POSITIVE) * 1e6) as u64);
        let wait = Span(bucket.wait(limit, part, ask.need).0 + queue.0);
        let longest = limit.rate * LONGEST_QUEUE;
        account.queued = (account.queued + ask.need).min(longest);
        Answer::Short(wait.min(LONGEST_WAIT))
    }

    /// Time passes while this VM lends for these organisations: they were not
    /// taken over by another one, even if nobody asked.
    pub fn keep<'a>(
        &mut self,
        now: Moment,
        part: f64,
        kept: impl Iterator<Item = (&'a OrganisationName, &'a UseLimit)>,
    ) {
        let mut firsts = BTreeMap::new();
        for (name, limit) in kept {
            let last = self.first.get(name);
            let kept = last.is_some_and(|last| now.since(*last) < PLACE_KEPT);
            let start = self.start(limit);
            let account = self.account(now, name, start);
            if kept {
                account.bucket.fill(now, limit, part);
            }
            firsts.insert(name.clone(), now);
        }
        self.first = firsts;
    }
}
