//! Settings of `banyan-control`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::claims;
use crate::control::owner;
use crate::ids::VmName;
use crate::ids::ZoneName;
use crate::lease;
use crate::link::LinkSettings;
use crate::pool::Span;
use crate::settings::BadValue;
use crate::settings::Settings;
use crate::telemetry::LogFormat;

/// Settings of the control process. `settings/control.toml` describes each one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of this VM.
    pub vm: VmName,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Organisation that runs this VM; used in logs and metrics.
    pub organisation: String,
    /// Address for gRPC.
    pub listen: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Addresses of the control processes on other VMs.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// SHA-256 hash of each operator's key as lower-case hex, by operator name.
    #[serde(default)]
    pub operators: BTreeMap<String, String>,
    /// Keys for connections between our processes; plain connections if absent.
    pub link: Option<LinkSettings>,
    /// Format of the log.
    #[serde(default)]
    pub log: LogFormat,
    /// Timing of leases.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Timing of grants and of changes of owner.
    #[serde(default)]
    pub grants: GrantSettings,
    /// Timing of load reports and orders.
    #[serde(default)]
    pub upstreams: UpstreamSettings,
    /// Heartbeats between control processes.
    #[serde(default)]
    pub members: MemberSettings,
    /// The journal of keyed calls.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// Writing of usage to the platform.
    #[serde(default)]
    pub usage: UsageSettings,
}

/// Timing of leases, in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// Validity of a lease from its last write.
    pub ttl_ms: u64,
    /// Interval between renewals.
    pub renew_ms: u64,
    /// Safety margin that the holder subtracts from the validity.
    pub margin_ms: u64,
    /// Additional delay of each further candidate before it tries to acquire.
    pub stagger_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            ttl_ms: 3_000,
            renew_ms: 1_000,
            margin_ms: 300,
            stagger_ms: 100,
        }
    }
}

/// Timing of grants and of changes of owner, in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GrantSettings {
    /// Validity of a grant that is not renewed.
    pub ttl_ms: u64,
    /// Additional time for which the owner counts an expired grant as in use.
    pub margin_ms: u64,
    /// How long a new owner does not change the slots of engines that ignore
    /// fencing tokens, in case the previous owner is suspended and unaware of it.
    pub quarantine_ms: u64,
}

impl Default for GrantSettings {
    fn default() -> Self {
        Self {
            ttl_ms: 10_000,
            margin_ms: 2_000,
            quarantine_ms: 30_000,
        }
    }
}

/// Settings of load reports and orders; times in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Interval between load reports of a replica.
    pub poll_ms: u64,
    /// Time limit of a load report.
    pub report_ms: u64,
    /// Consecutive failed reports after which a replica is suspect.
    pub failures: u32,
    /// Time limit of an order.
    pub order_ms: u64,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            poll_ms: 250,
            report_ms: 500,
            failures: 3,
            order_ms: 10_000,
        }
    }
}

/// Settings of heartbeats between control processes; times in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberSettings {
    /// Interval between heartbeats.
    pub beat_ms: u64,
    /// Number of members that each heartbeat is exchanged with.
    pub fanout: usize,
    /// Time without a heartbeat after which a member is suspect.
    pub suspect_ms: u64,
    /// Time without a heartbeat after which a member is gone.
    pub gone_ms: u64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            beat_ms: 1_000,
            fanout: 2,
            suspect_ms: 4_000,
            gone_ms: 15_000,
        }
    }
}

/// Timing of the journal of keyed calls, in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// Retention time of a claim.
    pub retention_ms: u64,
    /// Minimum time between two commits of a pool.
    pub gap_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            retention_ms: 600_000,
            gap_ms: 100,
        }
    }
}

/// Writing of usage to the platform, in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UsageSettings {
    /// Interval between two writes of a VM.
    pub flush_ms: u64,
}

impl Default for UsageSettings {
    fn default() -> Self {
        Self { flush_ms: 10_000 }
    }
}

impl UsageSettings {
    /// Returns the interval between two writes of a VM.
    pub fn flush_interval(&self) -> Duration {
        Duration::from_millis(self.flush_ms)
    }
}

impl ControlSettings {
    /// Returns the timing of leases.
    pub fn lease_timing(&self) -> lease::Timing {
        lease::Timing {
            ttl: Span::from_millis(self.lease.ttl_ms),
            renew_interval: Span::from_millis(self.lease.renew_ms),
            margin: Span::from_millis(self.lease.margin_ms),
            stagger: Span::from_millis(self.lease.stagger_ms),
            grant_ttl: Span::from_millis(self.grants.ttl_ms),
            ..lease::Timing::default()
        }
    }

    /// Returns the limits of the journal of keyed calls.
    pub fn claim_limits(&self) -> claims::Limits {
        claims::Limits {
            retention: Span::from_millis(self.claims.retention_ms),
            write_interval: Span::from_millis(self.claims.gap_ms),
            ..claims::Limits::default()
        }
    }
}

// Key, value, minimum, maximum and description of the allowed range.
type Range = (&'static str, u64, u64, u64, &'static str);

impl Settings for ControlSettings {
    fn check(&self) -> Result<(), BadValue> {
        let l = &self.lease;
        let g = &self.grants;
        let u = &self.upstreams;
        let m = &self.members;
        let ranges: [Range; 15] = [
            ("lease.ttl_ms", l.ttl_ms, 200, 60_000, "200 to 60000"),
            (
                "lease.renew_ms",
                l.renew_ms,
                20,
                l.ttl_ms / 2,
                "20 to half of lease.ttl_ms",
            ),
            (
                "lease.margin_ms",
                l.margin_ms,
                1,
                l.ttl_ms / 4,
                "1 to a quarter of lease.ttl_ms",
            ),
            ("lease.stagger_ms", l.stagger_ms, 1, 1_000, "1 to 1000"),
            ("grants.ttl_ms", g.ttl_ms, 200, 60_000, "200 to 60000"),
            ("grants.margin_ms", g.margin_ms, 10, 60_000, "10 to 60000"),
            (
                "grants.quarantine_ms",
                g.quarantine_ms,
                g.ttl_ms + g.margin_ms + owner::MAJORITY_MAX_AGE.as_millis(),
                600_000,
                "grants.ttl_ms + grants.margin_ms + 2000 to 600000",
            ),
            ("upstreams.poll_ms", u.poll_ms, 20, 1_000, "20 to 1000"),
            ("upstreams.report_ms", u.report_ms, 20, 1_000, "20 to 1000"),
            ("upstreams.failures", u.failures.into(), 1, 100, "1 to 100"),
            (
                "upstreams.order_ms",
                u.order_ms,
                100,
                120_000,
                "100 to 120000",
            ),
            ("members.beat_ms", m.beat_ms, 20, 10_000, "20 to 10000"),
            ("members.fanout", m.fanout as u64, 1, 16, "1 to 16"),
            (
                "members.gone_ms",
                m.gone_ms,
                m.suspect_ms,
                600_000,
                "members.suspect_ms to 600000",
            ),
            (
                "usage.flush_ms",
                self.usage.flush_ms,
                100,
                600_000,
                "100 to 600000",
            ),
        ];
        for (key, found, min, max, allowed) in ranges {
            if found < min || found > max {
                return Err(BadValue {
                    key,
                    found: found.to_string(),
                    allowed,
                });
            }
        }
        Ok(())
    }
}
