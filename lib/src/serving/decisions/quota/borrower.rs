//! The borrowing side of organisations' quotas.

use std::collections::BTreeMap;

use crate::ids::OrganisationName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::quota::Bucket;
use crate::serving::decisions::quota::lender::LendReply;
use crate::serving::decisions::quota::lender::LendRequest;
use crate::serving::path::types::RateLimit;

/// How long lent tokens may be used; the lender counts them as used at once.
const LOAN_TTL: Span = Span::from_millis(1_000);

/// Time constant of the moving average of an organisation's use.
const RATE_WINDOW: Span = Span::from_millis(1_000);

/// Period for which tokens are borrowed ahead.
const AHEAD: Span = Span::from_millis(400);

/// Minimum number of requests expected in that period for borrowing ahead: if
/// requests are rare, tokens lent ahead expire unused.
const MIN_AHEAD: f64 = 2.0;

/// How long a VM caches a lender's reply that the limit is exhausted. Otherwise
/// each request of an organisation over its limit would cause a remote call.
const EXHAUSTED_TTL: Span = Span::from_millis(100);

/// Fractions of the rate and of the burst that all VMs together may use if no
/// lender answers. A lender that cannot reach them lends that much less, but
/// only once it has detected that.
const LOCAL_RATE: f64 = 0.5;
const LOCAL_BURST: f64 = 0.25;

/// Whether a request is covered by borrowed tokens.
#[derive(Clone, Copy, Debug)]
pub enum Spend {
    /// Enough was borrowed: the request may run.
    Spent,
    /// The lender must be asked.
    Ask(LendRequest),
    /// The lender replied a moment ago that the limit is exhausted; the caller
    /// may retry after this time.
    Exhausted(Span),
}

#[derive(Debug)]
struct Account {
    /// Tokens that were lent and are not used, and when they expire.
    lent: f64,
    until: Moment,
    /// Moving average of the use per second, as of `used_at`.
    rate: f64,
    used_at: Moment,
    /// The limit is exhausted for requests of at least this weight until this
    /// time; the span is the retry delay.
    exhausted: Option<(f64, Moment, Span)>,
    /// This VM's local share of the limit, for when no lender answers.
    local: Option<Bucket>,
}

impl Account {
    fn new(now: Moment) -> Self {
        Self {
            lent: 0.0,
            until: now,
            rate: 0.0,
            used_at: now,
            exhausted: None,
            local: None,
        }
    }

    fn record_use(&mut self, now: Moment, weight: f64) {
        let span = now.since(self.used_at).0 as f64;
        let kept = (-span / RATE_WINDOW.0 as f64).exp();
        self.rate = self.rate * kept + weight * 1e6 / RATE_WINDOW.0 as f64;
        self.used_at = now;
    }

    fn ahead(&self, weight: f64) -> f64 {
        let ahead = self.rate * AHEAD.0 as f64 / 1e6;
        match ahead >= weight * MIN_AHEAD {
            true => ahead,
            false => 0.0,
        }
    }
}

/// Tracks the tokens that this VM was lent of each organisation's limit.
#[derive(Debug, Default)]
pub struct Borrower {
    accounts: BTreeMap<OrganisationName, Account>,
}

impl Borrower {
    fn account(&mut self, now: Moment, name: &OrganisationName) -> &mut Account {
        let account = self.accounts.entry(name.clone());
        account.or_insert_with(|| Account::new(now))
    }

    /// Takes the tokens for a request of this weight, if enough were borrowed.
    pub fn spend(&mut self, now: Moment, name: &OrganisationName, weight: f64) -> Spend {
        let account = self.account(now, name);
        if account.until <= now {
            account.lent = 0.0;
        }
        if account.lent >= weight {
            account.lent -= weight;
            account.record_use(now, weight);
            return Spend::Spent;
        }
        if let Some((least, until, after)) = account.exhausted
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

    /// Applies the lender's reply for a request of this weight. Returns whether
    /// the request may run.
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
                account.exhausted = None;
                account.lent += tokens;
                account.until = now.after(LOAN_TTL);
                // A concurrent request may have used the remaining tokens.
                if account.lent < weight {
                    return false;
                }
                account.lent -= weight;
                account.record_use(now, weight);
                true
            }
            LendReply::Exhausted(after) => {
                let until = now.after(after.min(EXHAUSTED_TTL));
                account.exhausted = Some((weight, until, after));
                false
            }
        }
    }

    /// Returns the tokens of a request that did not run.
    pub fn refund(&mut self, now: Moment, name: &OrganisationName, weight: f64) {
        let account = self.account(now, name);
        if account.until <= now {
            account.lent = 0.0;
        }
        account.lent += weight;
        account.until = account.until.max(now.after(LOAN_TTL));
    }

    /// Takes the tokens for a request from this VM's local share among `vms` VMs,
    /// for when no lender answers. Returns whether the request may run. A lender
    /// that cannot reach this VM lends that much less.
    pub fn spend_local(
        &mut self,
        now: Moment,
        name: &OrganisationName,
        limit: &RateLimit,
        vms: usize,
        weight: f64,
    ) -> bool {
        let account = self.account(now, name);
        let share = 1.0 / vms.max(1) as f64;
        let limit = RateLimit {
            rate: limit.rate * LOCAL_RATE,
            burst: limit.burst * LOCAL_BURST,
            ..*limit
        };
        let local = account.local.get_or_insert(Bucket {
            level: limit.burst * share,
            at: now,
        });
        local.fill(now, &limit, share);
        if local.level < weight {
            return false;
        }
        local.level -= weight;
        true
    }

    /// Removes the organisations for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&OrganisationName) -> bool) {
        self.accounts.retain(|name, _| keep(name));
    }
}
