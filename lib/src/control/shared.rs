//! State and handles shared by the tasks of a control process.

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

/// The latest known owner of a pool: the one with the highest token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The owning VM.
    pub vm: VmName,
    /// Address of its control process.
    pub address: SocketAddr,
    /// Its fencing token.
    pub token: FencingToken,
}

/// State that some tasks publish and others watch. Writers use
/// `send_if_modified` where a value may be unchanged, to avoid waking readers.
#[derive(Debug)]
pub struct ControlState {
    /// The active catalog; written by `config`. Its revision never decreases.
    pub catalog: watch::Sender<Arc<Catalog>>,
    /// Owners of pools; written by `election` and `gossip`.
    pub owners: watch::Sender<BTreeMap<PoolName, Owner>>,
    /// Blocked poison requests and the end of each block, on the clock of
    /// [`uptime_ms`]; written by `owner` and `gossip`.
    pub blocked: watch::Sender<BTreeMap<Fingerprint, u64>>,
    /// This VM's view of the members; written by `gossip`.
    pub members: watch::Sender<BTreeMap<VmName, wire::Member>>,
    /// Addresses of upstreams that are leaving; written by `gossip`.
    pub leaving: watch::Sender<std::collections::BTreeSet<SocketAddr>>,
    /// Status of the pools owned by this process; written by `owner`.
    pub pools: watch::Sender<BTreeMap<PoolName, wire::PoolStatus>>,
    /// Whether the last call to the platform succeeded; written by `config`.
    pub platform_up: watch::Sender<bool>,
    /// True once a shutdown has been requested.
    pub stopping: watch::Sender<bool>,
    /// The latest change sets, for processes that lag behind; written by
    /// `config` together with `catalog`.
    pub history: History,
    /// The usage counters held by this process.
    pub usage: usage::UsageStore,
    /// Connections to our other processes; set once at the start, plain until
    /// then.
    pub link: OnceLock<Link>,
}

impl ControlState {
    /// Creates the initial, empty state.
    pub fn new() -> Self {
        Self {
            catalog: watch::Sender::new(Arc::default()),
            owners: watch::Sender::default(),
            blocked: watch::Sender::default(),
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

    /// Returns the link for connections to our other processes.
    pub fn link(&self) -> Link {
        self.link.get().cloned().unwrap_or_default()
    }
}

impl Default for ControlState {
    fn default() -> Self {
        Self::new()
    }
}

/// Handles and identity that every task of the process holds.
#[derive(Clone)]
pub struct Shared {
    /// This VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Address on which this process serves gRPC.
    pub address: SocketAddr,
    /// Configured addresses of control processes on other VMs.
    pub peers: Arc<[SocketAddr]>,
    /// Client of the platform's object API.
    pub platform: Platform,
    /// State published by the tasks.
    pub state: Arc<ControlState>,
    /// Recorder of the timeline.
    pub recorder: Arc<Recorder>,
    /// Logger of the process.
    pub log: slog::Logger,
}

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the milliseconds since the first call in this process. This is the
/// clock of [`ControlState::blocked`].
///
/// ```
/// use banyangauge::control::uptime_ms;
/// assert!(uptime_ms() <= uptime_ms());
/// ```
pub fn uptime_ms() -> u64 {
    START.elapsed().as_millis() as u64
}
