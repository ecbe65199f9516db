//! What the duties of a control process share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::OnceLock;
use std::time::Instant;

use banyangauge_proto as wire;
use tokio::sync::watch;

use super::config::History;
use super::usage;
use crate::catalog::Catalog;
use crate::ids::FencingToken;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::PoolName;
use crate::ids::VmName;
use crate::ids::ZoneName;
use crate::link::Link;
use crate::platform::Platform;
use crate::timeline::Recorder;

/// Who owns a pool, as far as this VM knows; a higher token wins.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The owning VM.
    pub vm: VmName,
    /// Where its control process listens.
    pub address: SocketAddr,
    /// Its fencing token.
    pub token: FencingToken,
}

/// Values that one duty sets and others follow. Each sender has one duty that
/// writes it; `send_if_modified` and friends keep readers from waking for
/// nothing.
#[derive(Debug)]
pub struct ControlState {
    /// The catalog in force here; written by `config`, never to a lower revision.
    pub catalog: watch::Sender<Arc<Catalog>>,
    /// Owners of pools; written by `lease` and `peers`.
    pub owners: watch::Sender<BTreeMap<PoolName, Owner>>,
    /// Convicted requests and when (milliseconds since the start of this
    /// process) each verdict ends; written by `owner` and `peers`.
    pub verdicts: watch::Sender<BTreeMap<Fingerprint, u64>>,
    /// Members as this VM sees them; written by `peers`.
    pub members: watch::Sender<BTreeMap<VmName, wire::Member>>,
    /// Upstreams that are leaving, by address; written by `peers` and `vms`.
    pub leaving: watch::Sender<std::collections::BTreeSet<SocketAddr>>,
    /// The state of the pools owned here, for `banyan status`; written by `owner`.
    pub pools: watch::Sender<BTreeMap<PoolName, wire::PoolStatus>>,
    /// Whether the platform answered last time; written by `config`.
    pub platform_up: watch::Sender<bool>,
    /// True from the first SIGTERM on.
    pub stopping: watch::Sender<bool>,
    /// The last change sets in force here, for those who follow; written by
    /// `config` together with `catalog`.
    pub history: History,
    /// The usage counters that this process holds.
    pub usage: usage::UsageStore,
    /// How our processes connect to each other; set once at the start, plain
    /// connections until then.
    pub link: OnceLock<Link>,
}

impl ControlState {
    /// A board on which nothing is known yet.
    pub fn new() -> Self {
        Self {
            catalog: watch::Sender::new(Arc::default()),
            owners: watch::Sender::default(),
            verdicts: watch::Sender::default(),
            members: watch::Sender::default(),
            leaving: watch::Sender::default(),
            pools: watch::Sender::default(),
            platform_up: watch::Sender::new(false),
            stopping: watch::Sender::new(false),
            history: History::default(),
            usage: usage::UsageStore::new(),
            link: OnceLock::new(),
        }
    }

    /// How to connect to our other processes.
    pub fn link(&self) -> Link {
        self.link.get().cloned().unwrap_or_default()
    }
}

impl Default for ControlState {
    fn default() -> Self {
        Self::new()
    }
}

/// What every duty of the process holds.
#[derive(Clone)]
pub struct Shared {
    /// This VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// Where this process listens for gRPC.
    pub address: SocketAddr,
    /// Control processes on other VMs, from the settings.
    pub peers: Arc<[SocketAddr]>,
    /// The platform.
    pub platform: Platform,
    /// Shared values.
    pub state: Arc<ControlState>,
    /// The time line.
    pub recorder: Arc<Recorder>,
    /// The log.
    pub log: slog::Logger,
}

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Milliseconds since this process first asked, the clock of
/// [`ControlState::verdicts`].
///
/// ```
/// use banyangauge::control::uptime_ms;
/// assert!(uptime_ms() <= uptime_ms());
/// ```
pub fn uptime_ms() -> u64 {
    START.elapsed().as_millis() as u64
}
