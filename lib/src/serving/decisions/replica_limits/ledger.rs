//! What the lender of replicas' limits was told, and what it lends.

use std::collections::BTreeMap;

use crate::ids::Incarnation;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::quota::LendReply;
use crate::serving::decisions::quota::LendRequest;
use crate::serving::decisions::quota::Lender;
use crate::serving::decisions::quota::Overshoot;
use crate::serving::decisions::replica_limits::Heard;
use crate::serving::decisions::replica_limits::Observation;
use crate::serving::decisions::replica_limits::StatedLimit;
use crate::serving::path::types::Instance;
use crate::serving::path::types::RateLimit;
use crate::serving::path::types::Weight;

/// Tolerated use beyond a replica's limit, in requests.
const OVERSHOOT: Overshoot = Overshoot {
    window_s: 4.0,
    ratio: 0.5,
    slack: 5.0,
};

/// Burst of a replica's bucket in seconds of its limit. The loans of a window, those still
/// valid at its start and the burst must stay within the limit and its overshoot.
const BURST_S: f64 = 0.25;

/// Minimum rate per second at which requests are sent. A replica that states zero would
/// otherwise get no request, and no response could end its limit.
const MIN_RATE: f64 = 0.25;

/// Maximum rate per second that counts as a limit, far above what a replica can serve.
const MAX_RATE: f64 = 1e6;

/// How long after it was last used or reported a limit is announced to all VMs.
const ANNOUNCED_FOR: Span = Span::from_millis(5_000);

/// How long after that a limit is remembered.
const REMEMBERED_FOR: Span = Span::from_millis(30_000);

/// Returns the token bucket of a stated limit.
pub(super) fn bucket(rate: f64) -> RateLimit {
    let rate = rate.clamp(MIN_RATE, MAX_RATE);
    RateLimit {
        rate,
        burst: (rate * BURST_S).max(1.0),
        weight: Weight::Request,
    }
}

/// Identifies a lender's reply. VMs return it with what they heard in response to requests
/// that they sent after it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantStamp {
    /// The lender.
    pub lender: VmName,
    /// The time of the reply on the lender's clock.
    pub at: Moment,
}

/// A lender's reply to a request for a token.
#[derive(Clone, Debug)]
pub struct LimitReply {
    /// The limit in force; `None` if there is none, and requests need no token.
    pub rate: Option<f64>,
    /// What is lent, if there is a limit.
    pub lend: LendReply,
    /// Identifies the reply.
    pub stamp: GrantStamp,
}

#[derive(Debug)]
struct Account {
    stated: StatedLimit,
    /// The newest observation of each VM.
    seen: BTreeMap<VmName, (Incarnation, u64)>,
    used_at: Moment,
    /// Whether this VM is the first lender.
    is_first: bool,
}

/// The limits that this VM lends.
///
/// Only the first lender of a limit keeps what it was told. A VM that stands in for it lends
/// by what the asking VM has heard, because the end of a limit is reported to the first one.
#[derive(Debug)]
pub struct LimitLedger {
    vm: VmName,
    lender: Lender<Instance>,
    accounts: BTreeMap<Instance, Account>,
}

impl LimitLedger {
    /// Creates a ledger that was told of no limit.
    pub fn new(vm: VmName) -> Self {
        Self {
            vm,
            lender: Lender::new(OVERSHOOT),
            accounts: BTreeMap::new(),
        }
    }

    /// Applies what a VM reports to have heard of a replica, for which this VM is the first
    /// lender. Repeated reports are ignored.
    pub fn apply_report(
        &mut self,
        now: Moment,
        replica: &Instance,
        vm: (&VmName, Incarnation),
        heard: &Observation,
    ) -> Heard {
        let unknown = !self.accounts.contains_key(replica);
        if heard.number == 0 || unknown && heard.rate.is_none() {
            return Heard::Confirmed;
        }
        let account = self
            .accounts
            .entry(replica.clone())
            .or_insert_with(|| Account {
                stated: StatedLimit::default(),
                seen: BTreeMap::new(),
                used_at: now,
                is_first: true,
            });
        let (vm, incarnation) = vm;
        let seen = account.seen.get(vm);
        if seen.is_some_and(|(i, number)| *i == incarnation && *number >= heard.number) {
            return Heard::Confirmed;
        }
        account.seen.insert(vm.clone(), (incarnation, heard.number));
        account.used_at = now;
        let grant = heard.grant.as_ref();
        let grant = grant.filter(|g| g.lender == self.vm && g.at <= now);
        let sent = grant.map_or(Moment(0), |g| g.at);
        account.stated.apply(now, sent, heard.rate)
    }

    /// Answers a VM that asks for tokens of a replica's limit, after applying what it
    /// reports; `reachable` and `first` are as in [`Lender::lend`].
    ///
    /// A VM that is not the first lender goes by the rate that the asking VM has heard.
    /// Returns `None` if that VM has heard nothing: one that was only told of the limit
    /// cannot say how large it is.
    pub fn answer(
        &mut self,
        now: Moment,
        replica: &Instance,
        vm: (&VmName, Incarnation),
        ask: (&Observation, LendRequest),
        reachable: f64,
        first: bool,
    ) -> Option<LimitReply> {
        let (heard, request) = ask;
        if !first && heard.number == 0 {
            return None;
        }
        if first {
            self.apply_report(now, replica, vm, heard);
        }
        Some(self.lend(now, replica, reachable, first, request, heard.rate))
    }

    /// Lends tokens of a replica's limit.
    pub fn lend(
        &mut self,
        now: Moment,
        replica: &Instance,
        reachable: f64,
        first: bool,
        request: LendRequest,
        heard: Option<f64>,
    ) -> LimitReply {
        let stamp = GrantStamp {
            lender: self.vm.clone(),
            at: now,
        };
        let account = self.accounts.get_mut(replica).filter(|_| first);
        let known = account.and_then(|a| {
            a.used_at = now;
            a.is_first = true;
            a.stated.rate()
        });
        let rate = if first { known } else { heard };
        let lend = match rate {
            Some(rate) => {
                let limit = bucket(rate);
                self.lender
                    .lend(now, replica, &limit, reachable, first, request)
            }
            None => LendReply::Lent(request.need),
        };
        LimitReply { rate, lend, stamp }
    }

    /// Returns the limit that this VM lends of a replica, in requests per second.
    pub fn rate(&self, replica: &Instance) -> Option<f64> {
        self.accounts.get(replica)?.stated.rate()
    }

    /// Returns the limits in force, to be announced to all VMs.
    pub fn announced(&self, now: Moment) -> impl Iterator<Item = (&Instance, f64)> {
        let recent = move |a: &Account| a.is_first && now.since(a.used_at) < ANNOUNCED_FOR;
        let recent = self.accounts.iter().filter(move |(_, a)| recent(a));
        recent.filter_map(|(replica, a)| Some((replica, a.stated.rate()?)))
    }

    /// Returns the replicas of which limits are remembered.
    pub fn replicas(&self) -> impl Iterator<Item = &Instance> {
        self.accounts.keys()
    }

    /// Forgets unused limits and those of replicas for which `keep` returns false, and
    /// renews the terms of those in `first`, for which this VM is the first lender.
    pub fn renew(
        &mut self,
        now: Moment,
        reachable: f64,
        first: &[Instance],
        keep: impl Fn(&Instance) -> bool,
    ) {
        self.accounts
            .retain(|r, a| keep(r) && now.since(a.used_at) < REMEMBERED_FOR);
        for (replica, account) in &mut self.accounts {
            account.is_first = first.contains(replica);
        }
        let accounts = &self.accounts;
        self.lender.retain(|r| accounts.contains_key(r));
        let limits = first.iter().filter_map(|r| {
            let rate = accounts.get(r)?.stated.rate()?;
            Some((r, bucket(rate)))
        });
        let limits: Vec<_> = limits.collect();
        self.lender
            .renew(now, reachable, limits.iter().map(|(r, limit)| (*r, limit)));
    }
}
