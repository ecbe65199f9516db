//! Settings that the serving process gets at its start.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;

use crate::ids::VmName;
use crate::ids::ZoneName;
use crate::serving::decisions::quota::Overshoot;
use crate::serving::decisions::retry_budget::RetryLimits;
use crate::serving::decisions::waiting::WaitBounds;
use crate::serving::program::experiment::Experiment;

/// The settings of the serving process.
#[derive(Builder, Clone, Debug)]
pub struct ServeSettings {
    /// Name of this VM; unlike a host name, it is never reused for another machine.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address on which callers connect.
    pub caller_address: SocketAddr,
    /// Address of the load balancer's readiness check.
    pub readiness_address: SocketAddr,
    /// Address for the other VMs: UDP for datagrams, TCP for requests that they hand over.
    pub peer_address: SocketAddr,
    /// Bytes per second that the link of this VM carries; `None` if that is not known.
    pub link_rate: Option<u64>,
    /// Bytes of memory above which the process is killed; `None` if that is not known.
    pub memory: Option<u64>,
    /// Descriptors that the process may open; `None` if that is not known.
    pub max_fds: Option<usize>,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Whether the whole system starts for the first time.
    #[builder(default)]
    pub first_start: bool,
    /// Time between the stop signal and the kill.
    pub grace: Duration,
    /// How long a draining replica may still get requests.
    pub drain: Duration,
    /// Interval at which replicas renew their entries in the store.
    pub heartbeat: Duration,
    /// Maximum time until a new configuration is in force on every VM.
    pub config_apply: Duration,
    /// Maximum time until a new adapter version is used on every VM.
    pub version_apply: Duration,
    /// Minimum time between the end of a replica's ownership by one VM and the first order of
    /// its next owner.
    pub lease: Duration,
    /// Whether replicas refuse orders with a lower fencing token.
    pub fencing: bool,
    /// Maximum time until every VM refuses a revoked API key, whether or not the VM can
    /// reach the store; `None` if the bound holds only for VMs that can.
    pub key_revocation: Option<Duration>,
    /// Usage that is tolerated above the organisations' limits.
    pub allowance: Overshoot,
    /// Retry budget: how many requests may be sent again.
    pub budget: RetryLimits,
    /// Maximum size of a queue of requests that wait for a replica.
    #[builder(default)]
    pub waiting: WaitBounds,
    /// Mechanisms that are switched off for measurements; none in production.
    #[builder(default)]
    pub experiment: Experiment,
}
