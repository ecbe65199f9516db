//! Starts and stops the duties of a control process.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;

use banyangauge_proto as wire;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tonic::transport::server::Router;
use tonic::transport::server::TcpIncoming;
use wire::feed_server::FeedServer;
use wire::grants_server::GrantsServer;
use wire::operator_server::OperatorServer;
use wire::peers_server::PeersServer;
use wire::timeline_server::TimelineServer;

use crate::control::Board;
use crate::control::ControlSettings;
use crate::control::Local;
use crate::control::Peers;
use crate::control::Shared;
use crate::control::config;
use crate::control::election;
use crate::control::feed::FeedService;
use crate::control::operator::Keys;
use crate::control::operator::OperatorService;
use crate::control::owner;
use crate::control::owner::GrantsService;
use crate::control::owner::Registry;
use crate::control::peers;
use crate::control::service::PeersService;
use crate::control::usage;
use crate::control::vms;
use crate::ids::IdError;
use crate::ids::Incarnation;
use crate::platform::Platform;
use crate::telemetry;
use crate::timeline::About;
use crate::timeline::Kind;
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
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System { what, error } => write!(f, "{what}: {error}"),
            Self::Metrics(e) => write!(f, "metrics: {e}"),
            Self::Name(e) => write!(f, "vm: {e}"),
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
    // Bound before anything else: holding the address is what proves that an
    // earlier process of this VM has ended.
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(system("listen"))?;
    let mut term = signal(SignalKind::terminate()).map_err(system("signals"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(system("signals"))?;
    let metrics = settings.metrics;
    let shared = shared(&settings, log.clone());
    let duties = start(&shared, settings, listener)?;
    duty("metrics", async move {
        // Without an endpoint the process goes on unmeasured.
        let _ = telemetry::serve_metrics(metrics, handle).await;
    })?;
    slog::info!(log, "started"; "vm" => %shared.vm, "address" => %shared.address);
    shared.recorder.record(Kind::Process, About::default());
    stop_signal(&mut term, &mut int).await;
    slog::info!(log, "stopping"; "vm" => %shared.vm);
    tokio::select! {
        () = stop(&shared, duties) => {}
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

/// The duties that a stop waits for.
struct Duties {
    local: Arc<Local>,
    last: Vec<JoinHandle<()>>,
}

async fn stop(shared: &Shared, duties: Duties) {
    shared.board.stopping.send_replace(true);
    duties.local.urgent.notify_one();
    let mut released = duties.local.released.subscribe();
    // Leases that cannot be released lapse.
    let _ = tokio::time::timeout(RELEASE, released.wait_for(|r| *r)).await;
    let ended = async {
        while duties.last.iter().any(|t| !t.is_finished()) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let _ = tokio::time::timeout(LAST_WRITES, ended).await;
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
        board: Arc::new(Board::new()),
        recorder: Arc::new(Recorder::new(&format!("control {}", settings.vm), TIMELINE)),
        log,
    }
}

// Each duty has connections of its own: a connection is driven by the thread
// that opened it, and one duty's work must not hold up another's calls.
fn own(shared: &Shared, platform: SocketAddr) -> Shared {
    Shared {
        platform: Platform::new(platform),
        ..shared.clone()
    }
}

fn start(
    shared: &Shared,
    settings: ControlSettings,
    listener: TcpListener,
) -> Result<Duties, ControlError> {
    let platform = settings.platform;
    let keys = settings.operators.clone();
    let local = Arc::new(Local::new(settings));
    let registry = Arc::new(Registry::default());
    let members = Peers::new(own(shared, platform), Arc::clone(&local));
    let members = Arc::new(members.map_err(ControlError::Name)?);
    duty(
        "lease",
        election::run(own(shared, platform), Arc::clone(&local)),
    )?;
    duty("vms", vms::run(own(shared, platform), Arc::clone(&local)))?;
    duty("peers", peers::run(Arc::clone(&members)))?;
    duty(
        "owner",
        owner::run(
            own(shared, platform),
            Arc::clone(&local),
            Arc::clone(&registry),
        ),
    )?;
    duty("config", config::run(own(shared, platform)))?;
    let store = shared.board.usage.clone();
    let usage = duty("usage", usage::run(own(shared, platform), store))?;
    let router = services(&own(shared, platform), registry, members, keys);
    duty("listen", async move {
        // Ends with the process.
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let _ = router.serve_with_incoming(incoming).await;
    })?;
    Ok(Duties {
        local,
        last: vec![usage],
    })
}

fn services(shared: &Shared, registry: Arc<Registry>, members: Arc<Peers>, keys: Keys) -> Router {
    let grants = GrantsService::new(shared.clone(), registry);
    let peers = PeersService::new(shared.clone(), members);
    tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE))
        .add_service(GrantsServer::new(grants))
        .add_service(PeersServer::new(peers))
        .add_service(FeedServer::new(FeedService::new(shared.clone())))
        .add_service(OperatorServer::new(OperatorService::new(
            shared.clone(),
            keys,
        )))
        .add_service(TimelineServer::new(TimelineService::new(Arc::clone(
            &shared.recorder,
        ))))
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

fn duty(
    name: &'static str,
    work: impl Future<Output = ()> + Send + 'static,
) -> Result<JoinHandle<()>, ControlError> {
    let runtime = runtime().map_err(system(name))?;
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || runtime.block_on(work))
        .map_err(system(name))
}
