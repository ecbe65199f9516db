//! What a VM knows of replicas' limits, and what it has borrowed of them.

use std::collections::BTreeMap;

use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::quota::Borrower;
use crate::serving::decisions::quota::LendReply;
use crate::serving::decisions::quota::Spend;
use crate::serving::decisions::replica_limits::GrantStamp;
use crate::serving::decisions::replica_limits::Heard;
use crate::serving::decisions::replica_limits::LimitReply;
use crate::serving::decisions::replica_limits::StatedLimit;
use crate::serving::decisions::replica_limits::ledger::bucket;
use crate::serving::path::types::Instance;

/// When a request was sent, and the lender's last grant before it.
#[derive(Clone, Debug)]
pub struct SendStamp {
    /// Send time on this VM's clock.
    pub at: Moment,
    /// The last grant for the replica before that.
    pub grant: Option<GrantStamp>,
}

/// The newest statement of a replica that a VM has heard, as reported to the lender.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// Increases with each statement that the VM heard; 0 before the first one.
    pub number: u64,
    /// The stated limit; `None` if the replica stated none.
    pub rate: Option<f64>,
    /// The lender's last grant before the request was sent.
    pub grant: Option<GrantStamp>,
}

/// What a lender's reply means for the request that asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It may be sent.
    Granted,
    /// The limit is exhausted for this time.
    Exhausted(Span),
    /// The reply is outdated: another statement was heard, or another request used the
    /// tokens.
    AskAgain,
}

/// What is known of one replica.
#[derive(Debug, Default)]
struct Known {
    stated: StatedLimit,
    heard: Observation,
    /// The lender's announcement.
    announced: Option<Announcement>,
    /// The lender's last grant.
    grant: Option<GrantStamp>,
}

#[derive(Clone, Copy, Debug)]
struct Announcement {
    at: Moment,
    until: Moment,
    rate: f64,
}

/// The replicas' limits as one VM knows them.
#[derive(Debug, Default)]
pub struct ReplicaLimits {
    known: BTreeMap<Instance, Known>,
    /// Number of the last observation of any replica; the lender would take a number that is
    /// used again for a repeated report.
    last_number: u64,
    borrower: Borrower<Instance>,
}

impl ReplicaLimits {
    /// Applies the limit, or its absence, on the response to a request.
    pub fn observe(
        &mut self,
        now: Moment,
        replica: &Instance,
        sent: &SendStamp,
        rate: Option<f64>,
    ) -> Heard {
        if rate.is_none() && !self.known.contains_key(replica) {
            return Heard::Confirmed;
        }
        let known = self.known.entry(replica.clone()).or_default();
        let heard = known.stated.apply(now, sent.at, rate);
        if heard == Heard::Overtaken {
            return heard;
        }
        self.last_number += 1;
        known.heard = Observation {
            number: self.last_number,
            rate,
            grant: sent.grant.clone(),
        };
        if rate.is_none() {
            known.announced = known.announced.filter(|a| a.at > sent.at);
        }
        heard
    }

    /// Applies a lender's announcement that a limit is in force; it is valid for `ttl`.
    /// Returns whether this VM knew of no limit.
    pub fn apply_announcement(
        &mut self,
        now: Moment,
        replica: &Instance,
        rate: f64,
        ttl: Span,
    ) -> bool {
        let is_new = self.rate(now, replica).is_none();
        let known = self.known.entry(replica.clone()).or_default();
        known.announced = Some(Announcement {
            at: now,
            until: now.after(ttl),
            rate,
        });
        is_new
    }

    /// Returns whether no replica is known to have a limit.
    pub fn is_empty(&self) -> bool {
        let mut known = self.known.values();
        known.all(|k| k.stated.rate().is_none() && k.announced.is_none())
    }

    /// Returns a replica's limit in requests per second for all VMs; `None` if it has none.
    pub fn rate(&self, now: Moment, replica: &Instance) -> Option<f64> {
        let known = self.known.get(replica)?;
        let announced = known.announced.filter(|a| a.until > now);
        known.stated.rate().or(announced.map(|a| a.rate))
    }

    /// Takes the token for a request, if one was borrowed.
    pub fn spend(&mut self, now: Moment, replica: &Instance) -> Spend {
        self.borrower.spend(now, replica, 1.0)
    }

    /// Returns the newest statement, to be reported to the lender.
    pub fn observation(&self, replica: &Instance) -> Observation {
        let known = self.known.get(replica);
        known.map(|k| k.heard.clone()).unwrap_or_default()
    }

    /// Returns the stamp of a request that is sent now.
    pub fn stamp(&self, now: Moment, replica: &Instance) -> SendStamp {
        SendStamp {
            at: now,
            grant: self.known.get(replica).and_then(|k| k.grant.clone()),
        }
    }

    /// Applies the lender's reply to a call that reported the observation `asked`.
    pub fn apply_reply(
        &mut self,
        now: Moment,
        replica: &Instance,
        asked: u64,
        reply: &LimitReply,
    ) -> Outcome {
        let Some(known) = self.known.get_mut(replica) else {
            return Outcome::AskAgain;
        };
        if reply.rate.is_none() {
            // A newer statement than this VM's ended the limit, unless it has heard
            // another one since.
            if known.heard.number != asked {
                return Outcome::AskAgain;
            }
            self.known.remove(replica);
            return Outcome::Granted;
        }
        known.grant = Some(reply.stamp.clone());
        let applied = self.borrower.apply_reply(now, replica, 1.0, reply.lend);
        match reply.lend {
            LendReply::Lent(_) if applied => Outcome::Granted,
            LendReply::Lent(_) => Outcome::AskAgain,
            LendReply::Exhausted(after) => Outcome::Exhausted(after),
        }
    }

    /// Takes the token for a request from this VM's local share among `vms` VMs, for when
    /// no lender answers. There is no share while the number of VMs is not known.
    pub fn spend_local(&mut self, now: Moment, replica: &Instance, vms: Option<usize>) -> bool {
        let Some(rate) = self.rate(now, replica) else {
            return true;
        };
        self.borrower
            .spend_local(now, replica, &bucket(rate), vms, 1.0)
    }

    /// Removes the replicas for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Instance) -> bool) {
        self.known.retain(|replica, _| keep(replica));
        self.borrower.retain(keep);
    }
}
