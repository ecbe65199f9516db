//! Starts and stops the duties of a control process.

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

/// Events that the time line keeps, about 200 bytes each.
const TIMELINE: usize = 16_384;

/// The longest that a planned stop waits for leases to be released; after it
/// they lapse by themselves.
const RELEASE: Duration = Duration::from_secs(5);

/// How often a quiet stream is probed: an entry that vanished without a word
/// is noticed within two of these, well before its grants lapse.
const KEEPALIVE: Duration = Duration::from_secs(2);

/// The longest that a stop waits for the duties' last writes.
const LAST_WRITES: Duration = Duration::from_secs(2);

/// Why the process could not start or go on.
#[derive(Debug)]
pub enum ControlError {
    /// An address cannot be listened on, or a thread or signal be had.
    System {
        /// What for.
        what: &'static str,
        /// What the system said.
        error: std::io::Error,
    },
    /// The metrics recorder.
    Metrics(String),
    /// The VM's name.
    Name(IdError),
    /// The keys for connections between our processes.
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

fn system(what: &'static str) -> impl Fn(std::io::Error) -> ControlError {
    move |error| ControlError::System { what, error }
}

/// Runs a control process until it is stopped by a signal.
///
/// # Errors
///
/// When an address cannot be listened on or a thread not be started.
pub fn run(settings: ControlSettings) -> Result<(), ControlError> {
    let runtime = runtime().map_err(system("main"))?;
    runtime.block_on(run_main(settings))
}

async fn run_main(settings: ControlSettings) -> Result<(), ControlError> {
    let log = telemetry::logger("banyan-control", settings.log);
    let handle = telemetry::install_metrics().map_err(ControlError::Metrics)?;
    let mut term = signal(SignalKind::terminate()).map_err(system("signals"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(system("signals"))?;
    let metrics = settings.metrics;
    let control = Control::start(settings, log.clone()).await?;
    let endpoint = async move {
        // Without an endpoint the process goes on unmeasured.
        let _ = telemetry::serve_metrics(metrics, handle).await;
    };
    control.duty("metrics", endpoint)?;
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

/// The duties of a control process, each on its thread. They end when this is
/// dropped, as they would by the death of the process.
pub struct Control {
    /// What the duties share.
    pub shared: Shared,
    local: Arc<OwnershipState>,
    ended: watch::Sender<bool>,
    last: Vec<JoinHandle<()>>,
}

impl Drop for Control {
    fn drop(&mut self) {
        self.ended.send_replace(true);
    }
}

impl Control {
    /// Binds the address and starts all duties.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on or a thread not be started.
    pub async fn start(settings: ControlSettings, log: slog::Logger) -> Result<Self, ControlError> {
        // Bound before anything else: holding the address is what proves that
        // an earlier process of this VM has ended.
        let listener = TcpListener::bind(settings.listen)
            .await
            .map_err(system("listen"))?;
        Self::start_on(listener, settings, log)
    }

    /// Starts all duties on a bound address, which overrides the settings'.
    ///
    /// # Errors
    ///
    /// When a thread cannot be started.
    pub fn start_on(
        listener: TcpListener,
        mut settings: ControlSettings,
        log: slog::Logger,
    ) -> Result<Self, ControlError> {
        settings.listen = listener.local_addr().map_err(system("listen"))?;
        let link = match &settings.link {
            Some(keys) => Link::load(keys).map_err(ControlError::Link)?,
            None => Link::plain(),
        };
        let mut control = Self {
            shared: shared(&settings, log),
            local: Arc::new(OwnershipState::new(settings)),
            ended: watch::Sender::new(false),
            last: Vec::new(),
        };
        // Nobody has set it: the board is a moment old.
        let _ = control.shared.state.link.set(link);
        control.start_duties(listener)?;
        Ok(control)
    }

    /// Hands over what is owned and makes the last writes.
    pub async fn stop(&self) {
        self.shared.state.stopping.send_replace(true);
        self.local.gossip_wake.notify_one();
        let mut released = self.local.released.subscribe();
        // Leases that cannot be released lapse.
        let _ = tokio::time::timeout(RELEASE, released.wait_for(|r| *r)).await;
        let ended = async {
            while self.last.iter().any(|t| !t.is_finished()) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let _ = tokio::time::timeout(LAST_WRITES, ended).await;
    }

    fn start_duties(&mut self, listener: TcpListener) -> Result<(), ControlError> {
        let local = || Arc::clone(&self.local);
        let registry = Arc::new(Registry::default());
        let members = Gossip::new(self.own(), local()).map_err(ControlError::Name)?;
        let members = Arc::new(members);
        self.duty("lease", election::run(self.own(), local()))?;
        self.duty("vms", vm_list::run(self.own(), local()))?;
        self.duty("peers", gossip::run(Arc::clone(&members)))?;
        let owners = owner::run(self.own(), local(), Arc::clone(&registry));
        self.duty("owner", owners)?;
        self.duty("config", config::run(self.own()))?;
        let store = self.shared.state.usage.clone();
        let every = self.local.settings.usage.every();
        let usage = self.duty("usage", usage::run(self.own(), store, every))?;
        let keys = self.local.settings.operators.clone();
        let router = services(&self.own(), registry, members, keys);
        let link = self.shared.state.link();
        let log = self.shared.log.clone();
        self.duty("listen", async move {
            // Both end with the process.
            tokio::select! {
                _ = link.serve(router, listener) => {}
                () = link.reload_periodically(&log) => {}
            }
        })?;
        self.last.push(usage);
        Ok(())
    }

    // Each duty has connections of its own: a connection is driven by the
    // thread that opened it, and one duty's work must not hold up another's
    // calls.
    fn own(&self) -> Shared {
        Shared {
            platform: Platform::new(self.local.settings.platform),
            ..self.shared.clone()
        }
    }

    fn duty(
        &self,
        name: &'static str,
        work: impl Future<Output = ()> + Send + 'static,
    ) -> Result<JoinHandle<()>, ControlError> {
        let runtime = runtime().map_err(system(name))?;
        let mut ended = self.ended.subscribe();
        let work = async move {
            tokio::select! {
                () = work => {}
                _ = ended.wait_for(|e| *e) => {}
            }
        };
        std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || runtime.block_on(work))
            .map_err(system(name))
    }
}

fn shared(settings: &ControlSettings, log: slog::Logger) -> Shared {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Shared {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        // Only has to differ from, and exceed, that of an earlier start.
        incarnation: Incarnation(since.map_or(1, |d| d.as_micros() as u64)),
        address: settings.listen,
        peers: settings.peers.clone().into(),
        platform: Platform::new(settings.platform),
        state: Arc::new(ControlState::new()),
        recorder: Arc::new(Recorder::new(&format!("control {}", settings.vm), TIMELINE)),
        log,
    }
}

fn services(
    shared: &Shared,
    registry: Arc<Registry>,
    members: Arc<Gossip>,
    keys: OperatorKeys,
) -> Router {
    let grants = GrantsService::new(shared.clone(), registry);
    let peers = PeersService::new(shared.clone(), members);
    tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE))
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
