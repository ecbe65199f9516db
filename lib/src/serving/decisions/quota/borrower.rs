//! The borrowing side of organisations' quotas.

use std::collections::BTreeMap;

use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::quota::Bucket;
use crate::serving::decisions::quota::lender::LendReply;
use crate::serving::decisions::quota::lender::LendRequest;
use crate::serving::path::types::RateLimit;

/// Lifetime of lent tokens; the lender counts them as used when it lends them.
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

/// Fraction of the limit's rate that all VMs together may use if no lender answers. A lender that cannot reach them reduces what it lends, but only
/// after it has detected that.
const LOCAL_RATE: f64 = 0.5;

/// The same fraction for the limit's burst.
const LOCAL_BURST: f64 = 0.25;

/// Result of taking a request's tokens from those borrowed.
#[derive(Clone, Copy, Debug)]
pub enum Spend {
    /// The borrowed tokens suffice: the request may run.
    Spent,
    /// Too few tokens are borrowed: the lender must be asked.
    Ask(LendRequest),
    /// The lender replied a moment ago that the limit is exhausted; the caller
    /// may retry after this time.
    Exhausted(Span),
}

/// Tokens that this VM has borrowed of one limit.
#[derive(Debug)]
struct Account {
    /// Borrowed tokens that are not used yet.
    lent: f64,
    /// When these tokens expire.
    expires_at: Moment,
    /// Moving average of the use per second, as of `used_at`.
    rate: f64,
    used_at: Moment,
    /// The lender's last reply that the limit is exhausted: the minimum weight of
    /// the requests that it applies to, until when it is cached, and the retry
    /// delay.
    exhausted: Option<(f64, Moment, Span)>,
    /// This VM's local share of the limit, for when no lender answers.
    local: Option<Bucket>,
}

impl Account {
    fn new(now: Moment) -> Self {
        Self {
            lent: 0.0,
            expires_at: now,
            rate: 0.0,
            used_at: now,
            exhausted: None,
            local: None,
        }
    }

    /// Adds a request to the moving average of the use.
    fn record_use(&mut self, now: Moment, weight: f64) {
        let elapsed_us = now.since(self.used_at).0 as f64;
        let decay = (-elapsed_us / RATE_WINDOW.0 as f64).exp();
        self.rate = self.rate * decay + weight * 1e6 / RATE_WINDOW.0 as f64;
        self.used_at = now;
    }

    /// Returns how many tokens to borrow ahead after a request of this weight.
    fn ahead(&self, weight: f64) -> f64 {
        let ahead = self.rate * AHEAD.0 as f64 / 1e6;
        match ahead >= weight * MIN_AHEAD {
            true => ahead,
            false => 0.0,
        }
    }
}

/// Tracks the tokens that this VM has borrowed of each limit. `K` identifies a limit, such as
/// the name of an organisation.
#[derive(Debug)]
pub struct Borrower<K> {
    accounts: BTreeMap<K, Account>,
}

impl<K> Default for Borrower<K> {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> Borrower<K> {
    fn account(&mut self, now: Moment, name: &K) -> &mut Account {
        let account = self.accounts.entry(name.clone());
        account.or_insert_with(|| Account::new(now))
    }

    /// Takes the tokens for a request of this weight, if enough were borrowed.
    pub fn spend(&mut self, now: Moment, name: &K, weight: f64) -> Spend {
        let account = self.account(now, name);
        if account.expires_at <= now {
            account.lent = 0.0;
        }
        if account.lent >= weight {
            account.lent -= weight;
            account.record_use(now, weight);
            return Spend::Spent;
        }
        if let Some((min_weight, until, after)) = account.exhausted
            && weight >= min_weight
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
    pub fn apply_reply(&mut self, now: Moment, name: &K, weight: f64, reply: LendReply) -> bool {
        let account = self.account(now, name);
        match reply {
            LendReply::Lent(tokens) => {
                if account.expires_at <= now {
                    account.lent = 0.0;
                }
                account.exhausted = None;
                account.lent += tokens;
                account.expires_at = now.after(LOAN_TTL);
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

    /// Gives back the tokens of a request that did not run, for use by this VM.
    pub fn refund(&mut self, now: Moment, name: &K, weight: f64) {
        let account = self.account(now, name);
        if account.expires_at <= now {
            account.lent = 0.0;
        }
        account.lent += weight;
        account.expires_at = account.expires_at.max(now.after(LOAN_TTL));
    }

    /// Takes the tokens for a request from this VM's local share among `vms` VMs,
    /// for when no lender answers. Returns whether the request may run. A lender
    /// that cannot reach this VM reduces what it lends accordingly. There is no
    /// share while the number of VMs is not known (`None`): each of them would
    /// take the whole limit for itself.
    pub fn spend_local(
        &mut self,
        now: Moment,
        name: &K,
        limit: &RateLimit,
        vms: Option<usize>,
        weight: f64,
    ) -> bool {
        let Some(vms) = vms else {
            return false;
        };
        let account = self.account(now, name);
        let share = 1.0 / vms.max(1) as f64;
        let limit = RateLimit {
            rate: limit.rate * LOCAL_RATE,
            burst: limit.burst * LOCAL_BURST,
            ..*limit
        };
        let local = account.local.get_or_insert(Bucket {
            level: limit.burst * share,
            updated_at: now,
        });
        local.fill(now, &limit, share);
        if local.level < weight {
            return false;
        }
        local.level -= weight;
        true
    }

    /// Removes the limits for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.accounts.retain(|name, _| keep(name));
    }
}
