//! Starts and stops the tasks of a control process.

use std::fmt;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;

use banyangauge_proto as wire;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tonic::transport::server::Router;
use wire::feed_server::FeedServer;
use wire::grants_server::GrantsServer;
use wire::peers_server::PeersServer;
use wire::timeline_server::TimelineServer;

use crate::control::ControlSettings;
use crate::control::ControlState;
use crate::control::Gossip;
use crate::control::OwnershipState;
use crate::control::Shared;
use crate::control::config;
use crate::control::election;
use crate::control::feed::FeedService;
use crate::control::gossip;
use crate::control::operator::OperatorKeys;
use crate::control::operator::OperatorService;
use crate::control::owner;
use crate::control::owner::GrantsService;
use crate::control::owner::Registry;
use crate::control::service::PeersService;
use crate::control::usage;
use crate::control::vm_list;
use crate::ids::IdError;
use crate::ids::Incarnation;
use crate::link::Link;
use crate::link::LinkError;
use crate::platform::Platform;
use crate::telemetry;
use crate::timeline::EventFields;
use crate::timeline::EventKind;
use crate::timeline::Recorder;
use crate::timeline::TimelineService;

/// Capacity of the timeline in events of about 200 bytes.
const TIMELINE_EVENTS: usize = 16_384;

/// How long a planned stop waits for leases to be released; after that they
/// expire.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval and timeout of HTTP/2 keepalive pings. A lost entry is detected within
/// two of these, well before its grants expire.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a stop waits for the last usage writes.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a control process could not start.
#[derive(Debug)]
pub enum ControlError {
    /// An address, thread or signal handler is not available.
    System {
        /// The component that needs it.
        what: &'static str,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The metrics recorder cannot be installed.
    Metrics(String),
    /// The VM's name is invalid.
    Name(IdError),
    /// The keys for connections between our processes cannot be loaded.
    Link(LinkError),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System { what, error } => write!(f, "{what}: {error}"),
            Self::Metrics(e) => write!(f, "metrics: {e}"),
            Self::Name(e) => write!(f, "vm: {e}"),
            Self::Link(e) => write!(f, "link: {e}"),
        }
    }
}

impl std::error::Error for ControlError {}

fn system_error(what: &'static str) -> impl Fn(std::io::Error) -> ControlError {
    move |error| ControlError::System { what, error }
}

/// Runs a control process until a signal stops it.
///
/// # Errors
///
/// If an address cannot be bound, a thread cannot be started, or the settings
/// contain an invalid name or key.
pub fn run(settings: ControlSettings) -> Result<(), ControlError> {
    let runtime = runtime().map_err(system_error("main"))?;
    runtime.block_on(run_main(settings))
}

async fn run_main(settings: ControlSettings) -> Result<(), ControlError> {
    let log = telemetry::logger("banyan-control", settings.log);
    let handle = telemetry::install_metrics().map_err(ControlError::Metrics)?;
    let mut term = signal(SignalKind::terminate()).map_err(system_error("signals"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(system_error("signals"))?;
    let metrics = settings.metrics;
    let control = Control::start(settings, log.clone()).await?;
    let endpoint = async move {
        // The process runs without metrics if the endpoint cannot be served.
        let _ = telemetry::serve_metrics(metrics, handle).await;
    };
    control.spawn("metrics", endpoint)?;
    let shared = &control.shared;
    slog::info!(log, "started"; "vm" => %shared.vm, "address" => %shared.address);
    shared
        .recorder
        .record(EventKind::Process, EventFields::default());
    stop_signal(&mut term, &mut int).await;
    slog::info!(log, "stopping"; "vm" => %shared.vm);
    tokio::select! {
        () = control.stop() => {}
        () = stop_signal(&mut term, &mut int) => {}
    }
    Ok(())
}

async fn stop_signal(term: &mut Signal, int: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// The tasks of a control process, each on its own thread. Dropping this aborts
/// them without cleanup, as a crash of the process would.
pub struct Control {
    /// State shared by the tasks.
    pub shared: Shared,
    ownership: Arc<OwnershipState>,
    aborted: watch::Sender<bool>,
    final_tasks: Vec<JoinHandle<()>>,
}

impl Drop for Control {
    fn drop(&mut self) {
        self.aborted.send_replace(true);
    }
}

impl Control {
    /// Binds the address and starts all tasks.
    ///
    /// # Errors
    ///
    /// See [`run`].
    pub async fn start(settings: ControlSettings, log: slog::Logger) -> Result<Self, ControlError> {
        // Bind first: holding the address proves that an earlier control process
        // of this VM has ended.
        let listener = TcpListener::bind(settings.listen)
            .await
            .map_err(system_error("listen"))?;
        Self::start_on(listener, settings, log)
    }

    /// Starts all tasks with a bound listener, whose address overrides that of the
    /// settings.
    ///
    /// # Errors
    ///
    /// If a thread cannot be started or the settings contain an invalid name or
    /// key.
    pub fn start_on(
        listener: TcpListener,
        mut settings: ControlSettings,
        log: slog::Logger,
    ) -> Result<Self, ControlError> {
        settings.listen = listener.local_addr().map_err(system_error("listen"))?;
        let link = match &settings.link {
            Some(keys) => Link::load(keys).map_err(ControlError::Link)?,
            None => Link::plain(),
        };
        let mut control = Self {
            shared: shared(&settings, log),
            ownership: Arc::new(OwnershipState::new(settings)),
            aborted: watch::Sender::new(false),
            final_tasks: Vec::new(),
        };
        // Cannot fail: the state is new and its link not set yet.
        let _ = control.shared.state.link.set(link);
        control.start_tasks(listener)?;
        Ok(control)
    }

    /// Releases all leases and waits for the last usage writes, within time limits.
    pub async fn stop(&self) {
        self.shared.state.stopping.send_replace(true);
        self.ownership.gossip_wake.notify_one();
        let mut released = self.ownership.released.subscribe();
        // Leases that are not released in time expire.
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, released.wait_for(|r| *r)).await;
        let ended = async {
            while self.final_tasks.iter().any(|t| !t.is_finished()) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let _ = tokio::time::timeout(FINAL_WRITE_TIMEOUT, ended).await;
    }

    fn start_tasks(&mut self, listener: TcpListener) -> Result<(), ControlError> {
        let ownership = || Arc::clone(&self.ownership);
        let registry = Arc::new(Registry::default());
        let gossip = Gossip::new(self.handles(), ownership()).map_err(ControlError::Name)?;
        let gossip = Arc::new(gossip);
        self.spawn("lease", election::run(self.handles(), ownership()))?;
        self.spawn("vms", vm_list::run(self.handles(), ownership()))?;
        self.spawn("peers", gossip::run(Arc::clone(&gossip)))?;
        let owners = owner::run(self.handles(), ownership(), Arc::clone(&registry));
        self.spawn("owner", owners)?;
        self.spawn("config", config::run(self.handles()))?;
        let store = self.shared.state.usage.clone();
        let interval = self.ownership.settings.usage.flush_interval();
        let usage = self.spawn("usage", usage::run(self.handles(), store, interval))?;
        let keys = self.ownership.settings.operators.clone();
        let router = services(&self.handles(), registry, gossip, keys);
        let link = self.shared.state.link();
        let log = self.shared.log.clone();
        self.spawn("listen", async move {
            // Both run for the lifetime of the process.
            tokio::select! {
                _ = link.serve(router, listener) => {}
                () = link.reload_periodically(&log) => {}
            }
        })?;
        self.final_tasks.push(usage);
        Ok(())
    }

    // Returns handles with a separate platform client. A connection is driven by
    // the thread that opened it, so a shared one would let one task's work delay
    // another's calls.
    fn handles(&self) -> Shared {
        Shared {
            platform: Platform::new(self.ownership.settings.platform),
            ..self.shared.clone()
        }
    }

    fn spawn(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> Result<JoinHandle<()>, ControlError> {
        let runtime = runtime().map_err(system_error(name))?;
        let mut aborted = self.aborted.subscribe();
        let task = async move {
            tokio::select! {
                () = task => {}
                _ = aborted.wait_for(|a| *a) => {}
            }
        };
        std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || runtime.block_on(task))
            .map_err(system_error(name))
    }
}

fn shared(settings: &ControlSettings, log: slog::Logger) -> Shared {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Shared {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        // Must be greater than the incarnation of any earlier start.
        incarnation: Incarnation(time.map_or(1, |d| d.as_micros() as u64)),
        address: settings.listen,
        peers: settings.peers.clone().into(),
        platform: Platform::new(settings.platform),
        state: Arc::new(ControlState::new()),
        recorder: Arc::new(Recorder::new(
            &format!("control {}", settings.vm),
            TIMELINE_EVENTS,
        )),
        log,
    }
}

fn services(
    shared: &Shared,
    registry: Arc<Registry>,
    gossip: Arc<Gossip>,
    keys: OperatorKeys,
) -> Router {
    let grants = GrantsService::new(shared.clone(), registry);
    let peers = PeersService::new(shared.clone(), gossip);
    tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_INTERVAL))
        .add_service(GrantsServer::new(grants))
        .add_service(PeersServer::new(peers))
        .add_service(FeedServer::new(FeedService::new(shared.clone())))
        .add_service(OperatorService::new(shared.clone(), keys).server())
        .add_service(TimelineServer::new(TimelineService::new(Arc::clone(
            &shared.recorder,
        ))))
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}
