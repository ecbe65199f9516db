//! Settings of `banyan-entry`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::ids::VmName;
use crate::ids::ZoneName;
use crate::link::LinkSettings;
use crate::settings::BadValue;
use crate::settings::Settings;
use crate::telemetry::LogFormat;

/// Settings of `banyan-entry`; `settings/entry.toml` explains each.
///
/// ```
/// use banyangauge::entry::EntrySettings;
/// let text = r#"
/// vm = "vm-1"
/// zone = "suva-a"
/// organisation = "tavuki"
/// listen = "127.0.0.1:8080"
/// internal = "127.0.0.1:8081"
/// controls = ["127.0.0.1:8090"]
/// "#;
/// let s: EntrySettings = toml::from_str(text).unwrap();
/// assert_eq!(s.limits.retries, 3);
/// ```
#[derive(Clone, Debug, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this VM.
    pub vm: VmName,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Organisation that this entry serves.
    #[builder(into)]
    pub organisation: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address that serves the timeline to other processes.
    pub internal: SocketAddr,
    /// Address that serves metrics; metrics are off if it is missing.
    pub metrics: Option<SocketAddr>,
    /// Addresses of control processes: this VM's first, then peers.
    pub controls: Vec<SocketAddr>,
    /// Worker threads.
    #[serde(default = "default_threads")]
    #[builder(default = default_threads())]
    pub threads: usize,
    /// Keys for connections between processes of the system; they are not encrypted
    /// if this is missing.
    pub link: Option<LinkSettings>,
    /// Log format.
    #[serde(default)]
    #[builder(default)]
    pub log: LogFormat,
    /// Limits for callers.
    #[serde(default)]
    #[builder(default)]
    pub limits: Limits,
}

/// With more threads, wake-ups between them cost more: a request takes a fifth less
/// CPU time with 4 threads than with 12, and if another process keeps one core
/// busy, three threads remain.
const fn default_threads() -> usize {
    4
}

/// Limits for callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum size of a request head, in bytes.
    pub header: usize,
    /// Maximum size of a response that is not a stream, in bytes.
    pub answer: usize,
    /// Maximum open connections of callers.
    pub connections: usize,
    /// Maximum open connections from one address.
    pub per_address: usize,
    /// Maximum requests in flight.
    pub requests: usize,
    /// Timeout for reading a request head, in milliseconds.
    pub header_ms: u64,
    /// Default deadline of a request, in milliseconds.
    pub default_deadline_ms: u64,
    /// Maximum deadline of a request, in milliseconds.
    pub most_deadline_ms: u64,
    /// Maximum retries of a request.
    pub retries: u32,
    /// Maximum events kept by the timeline.
    pub events: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 1 << 20,
            header: 16 << 10,
            answer: 8 << 20,
            connections: 4_096,
            per_address: 2_048,
            requests: 4_096,
            header_ms: 10_000,
            default_deadline_ms: 30_000,
            most_deadline_ms: 600_000,
            retries: 3,
            events: 20_000,
        }
    }
}

impl Limits {
    /// Returns the timeout for reading a request head.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_ms)
    }
}

impl Settings for EntrySettings {
    fn check(&self) -> Result<(), BadValue> {
        let l = &self.limits;
        check_range("controls", self.controls.len(), 1..=64, "1 to 64 addresses")?;
        check_range("threads", self.threads, 1..=64, "1 to 64")?;
        check_range("limits.body", l.body, 1 << 10..=64 << 20, "1 KiB to 64 MiB")?;
        check_range(
            "limits.header",
            l.header,
            8 << 10..=1 << 20,
            "8 KiB to 1 MiB",
        )?;
        check_range(
            "limits.answer",
            l.answer,
            1 << 10..=64 << 20,
            "1 KiB to 64 MiB",
        )?;
        check_range(
            "limits.connections",
            l.connections,
            1..=65_536,
            "1 to 65536",
        )?;
        check_range(
            "limits.per_address",
            l.per_address,
            1..=65_536,
            "1 to 65536",
        )?;
        check_range("limits.requests", l.requests, 1..=65_536, "1 to 65536")?;
        check_range(
            "limits.header_ms",
            l.header_ms,
            100..=60_000,
            "100 to 60000",
        )?;
        check_range(
            "limits.most_deadline_ms",
            l.most_deadline_ms,
            100..=3_600_000,
            "100 to 3600000",
        )?;
        check_range(
            "limits.default_deadline_ms",
            l.default_deadline_ms,
            1..=l.most_deadline_ms,
            "1 to limits.most_deadline_ms",
        )?;
        check_range("limits.retries", l.retries, 0..=10, "0 to 10")?;
        check_range("limits.events", l.events, 100..=1_000_000, "100 to 1000000")
    }
}

fn check_range<T: PartialOrd + ToString>(
    key: &'static str,
    found: T,
    range: std::ops::RangeInclusive<T>,
    allowed: &'static str,
) -> Result<(), BadValue> {
    match range.contains(&found) {
        true => Ok(()),
        false => Err(BadValue {
            key,
            found: found.to_string(),
            allowed,
        }),
    }
}
