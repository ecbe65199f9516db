//! What a serving process is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;

use crate::ids::VmName;
use crate::ids::ZoneName;
use crate::serving::decisions::budget::BudgetLimits;
use crate::serving::decisions::quota::Allowance;
use crate::serving::program::experiment::Experiment;

/// The settings of the serving process.
#[derive(Builder, Clone, Debug)]
pub struct ServeSettings {
    /// This VM; unlike a host name, never another machine's.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether we are ready.
    pub readiness_address: SocketAddr,
    /// Where datagrams of the other VMs come in.
    pub peer_address: SocketAddr,
    /// The store.
    pub store_address: SocketAddr,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// How long a leaving replica may still get requests.
    pub drain: Duration,
    /// Within how long a configuration is in force everywhere.
    pub config_apply: Duration,
    /// Within how long a new version of an adapter is used everywhere.
    pub version_apply: Duration,
    /// How long an ownership of a replica outlives its last use.
    pub lease: Duration,
    /// Whether replicas refuse orders with a lower fencing token.
    pub fencing: bool,
    /// Within how long a key that was taken away must be heeded by every VM,
    /// whether it reaches the store or not; `None` where only VMs that do must.
    pub key_revocation: Option<Duration>,
    /// What may be used beyond organisations' limits.
    pub allowance: Allowance,
    /// How many requests may be sent again.
    pub budget: BudgetLimits,
    /// What is switched off to measure it; nothing in service.
    #[builder(default)]
    pub experiment: Experiment,
}
