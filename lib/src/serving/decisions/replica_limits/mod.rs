//! Rate limits that replicas state for all VMs together.
//!
//! A replica in need states on its responses how many requests per second it accepts. The
//! limit is a fraction of a request per VM and second, so VMs cannot divide it among
//! themselves: a bucket in each of them would hold a request each, and all of them might
//! send it at the same time. One VM lends the limit, as for organisations
//! ([`quota`](super::quota)), and a request is sent only with a token.
//!
//! | module | |
//! |---|---|
//! | `stated` | [`StatedLimit`]: orders statements, which overtake each other |
//! | `known` | [`ReplicaLimits`]: what a VM knows and has borrowed |
//! | `ledger` | [`LimitLedger`]: what the lender was told and lends |
//!
//! VMs report to the lender what replicas state; the lender orders the reports by the
//! grants that preceded them, and announces the limits in force to the VMs that have not
//! heard of them.

mod known;
mod ledger;
mod stated;

pub use known::Observation;
pub use known::Outcome;
pub use known::ReplicaLimits;
pub use known::SendStamp;
pub use ledger::GrantStamp;
pub use ledger::LimitLedger;
pub use ledger::LimitReply;
pub use stated::Heard;
pub use stated::StatedLimit;
