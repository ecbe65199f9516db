//! What a VM may use of organisations' limits.

use std::collections::BTreeMap;

use crate::ids::OrganisationName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::quota::Bucket;
use crate::serving::decisions::quota::lender::LendReply;
use crate::serving::decisions::quota::lender::LendRequest;
use crate::serving::path::types::RateLimit;

/// How long what was lent may be used; the lender counts it as used at once.
const LEASE: Span = Span::from_millis(1_000);

/// The time over which the use of an organisation is averaged.
const AVERAGED: Span = Span::from_millis(1_000);

/// How much is asked for ahead: the use of so long.
const AHEAD: Span = Span::from_millis(400);

/// Requests within that time from which more is asked for than the one at hand
/// needs: where they come seldom, what is lent ahead ends unused.
const LEAST_AHEAD: f64 = 2.0;

/// How long a VM goes by a lender's word that the limit is used up: without it
/// each request of an organisation that sends too many would be a question.
const SHORT_KEPT: Span = Span::from_millis(100);

/// The parts of the rate and of the burst that all VMs together may use when no
/// lender answers. A lender that does not hear them lends that much less, but
/// only once it misses them.
const OWN_RATE: f64 = 0.5;
const OWN_BURST: f64 = 0.25;

/// What becomes of a request by what this VM knows.
#[derive(Clone, Copy, Debug)]
pub enum Spend {
    /// It was lent enough: the request may run.
    Spent,
    /// The lender is to be asked.
    Ask(LendRequest),
    /// The lender said a moment ago that the limit is used up.
    Exhausted(Span),
}

#[derive(Debug)]
struct Account {
    /// What was lent and is not used, until it ends.
    lent: f64,
    until: Moment,
    /// Use a second, averaged, as of a moment.
    rate: f64,
    used_at: Moment,
    /// The limit is used up for requests of this weight or more, until then.
    short: Option<(f64, Moment, Span)>,
    /// This VM's own part of the limit, for when no lender answers.
    own: Option<Bucket>,
}

impl Account {
    fn new(now: Moment) -> Self {
        Self {
            lent: 0.0,
            until: now,
            rate: 0.0,
            used_at: now,
            short: None,
            own: None,
        }
    }

    fn note_use(&mut self, now: Moment, weight: f64) {
        let span = now.since(self.used_at).0 as f64;
        let kept = (-span / AVERAGED.0 as f64).exp();
        self.rate = self.rate * kept + weight * 1e6 / AVERAGED.0 as f64;
        self.used_at = now;
    }

    fn ahead(&self, weight: f64) -> f64 {
        let ahead = self.rate * AHEAD.0 as f64 / 1e6;
        match ahead >= weight * LEAST_AHEAD {
            true => ahead,
            false => 0.0,
        }
    }
}

/// What this VM was lent of each organisation's limit.
#[derive(Debug, Default)]
pub struct Borrower {
    accounts: BTreeMap<OrganisationName, Account>,
}

impl Borrower {
    fn account(&mut self, now: Moment, name: &OrganisationName) -> &mut Account {
        let account = self.accounts.entry(name.clone());
        account.or_insert_with(|| Account::new(now))
    }

    /// A request of this weight wants to run.
    pub fn spend(&mut self, now: Moment, name: &OrganisationName, weight: f64) -> Spend {
        let account = self.account(now, name);
        if account.until <= now {
            account.lent = 0.0;
        }
        if account.lent >= weight {
            account.lent -= weight;
            account.note_use(now, weight);
            return Spend::Spent;
        }
        if let Some((least, until, after)) = account.short
            && weight >= least
            && now < until
        {
            return Spend::Exhausted(after);
        }
        Spend::Ask(LendRequest {
            need: weight - account.lent,
            ahead: account.ahead(weight),
        })
    }

    /// The lender answered what was asked for a request of this weight; gives
    /// whether it may run.
    pub fn apply_reply(
        &mut self,
        now: Moment,
        name: &OrganisationName,
        weight: f64,
        answer: LendReply,
    ) -> bool {
        let account = self.account(now, name);
        match answer {
            LendReply::Lent(tokens) => {
                if account.until <= now {
                    account.lent = 0.0;
                }
                account.short = None;
                account.lent += tokens;
                account.until = now.after(LEASE);
                // Another request may have used what was here before.
                if account.lent < weight {
                    return false;
                }
                account.lent -= weight;
                account.note_use(now, weight);
                true
            }
            LendReply::Exhausted(after) => {
                let until = now.after(after.min(SHORT_KEPT));
                account.short = Some((weight, until, after));
                false
            }
        }
    }

    /// A request did not run: what it took may be used by another one.
    pub fn refund(&mut self, now: Moment, name: &OrganisationName, weight: f64) {
        let account = self.account(now, name);
        if account.until <= now {
            account.lent = 0.0;
        }
        account.lent += weight;
        account.until = account.until.max(now.after(LEASE));
    }

    /// No lender answers: whether a request fits this VM's own part among
    /// `vms`, which is all that it may use then. The lender, if there is one
    /// that does not hear us, lends that much less.
    pub fn spend_local(
        &mut self,
        now: Moment,
        name: &OrganisationName,
        limit: &RateLimit,
        vms: usize,
        weight: f64,
    ) -> bool {
        let account = self.account(now, name);
        let part = 1.0 / vms.max(1) as f64;
        let limit = RateLimit {
            rate: limit.rate * OWN_RATE,
            burst: limit.burst * OWN_BURST,
            ..*limit
        };
        let own = account.own.get_or_insert(Bucket {
            level: limit.burst * part,
            at: now,
        });
        own.fill(now, &limit, part);
        if own.level < weight {
            return false;
        }
        own.level -= weight;
        true
    }

    /// Forgets organisations that are no more.
    pub fn retain(&mut self, keep: impl Fn(&OrganisationName) -> bool) {
        self.accounts.retain(|name, _| keep(name));
    }
}
