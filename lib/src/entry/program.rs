//! Starts and stops the process.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use banyangauge_proto::timeline_server::TimelineServer;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use super::EntrySettings;
use super::feed;
use super::server;
use super::state::State;
use crate::ids::Incarnation;
use crate::link::Link;
use crate::telemetry;
use crate::timeline::EventFields;
use crate::timeline::EventKind;
use crate::timeline::TimelineService;

/// Why the process could not run.
#[derive(Debug)]
pub enum EntryError {
    /// An address cannot be listened on.
    Listen(SocketAddr, std::io::Error),
    /// Signals or metrics cannot be set up.
    Start(String),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, e) => write!(f, "cannot listen on {address}: {e}"),
            Self::Start(e) => write!(f, "cannot start: {e}"),
        }
    }
}

impl std::error::Error for EntryError {}

/// An entry that runs inside this process.
pub struct Entry {
    /// Where callers connect.
    pub address: SocketAddr,
    /// What its tasks share.
    pub state: Arc<State>,
    stopping: watch::Sender<bool>,
    accepting: tokio::task::JoinHandle<()>,
}

impl Entry {
    /// Listens, and serves until [`Entry::stop`].
    ///
    /// # Errors
    ///
    /// When an address cannot be listened on.
    pub async fn start(settings: EntrySettings, log: slog::Logger) -> Result<Self, EntryError> {
        let listener = listen(settings.listen).await?;
        let internal = listen(settings.internal).await?;
        let address = listener
            .local_addr()
            .map_err(|e| EntryError::Listen(settings.listen, e))?;
        let link = match &settings.link {
            Some(keys) => Link::load(keys).map_err(|e| EntryError::Start(e.to_string()))?,
            None => Link::plain(),
        };
        let state = State::new(settings, incarnation(), link.clone(), log);
        let state = Arc::new(state);
        let (stopping, stopped) = watch::channel(false);
        let timeline = TimelineService::new(state.recorder.clone());
        let timeline = TimelineServer::new(timeline);
        let router = tonic::transport::Server::builder().add_service(timeline);
        let events = link.clone();
        tokio::spawn(async move { events.serve(router, internal).await });
        let keys = state.clone();
        tokio::spawn(async move { keys.link.reload_periodically(&keys.log).await });
        tokio::spawn(feed::follow(state.clone()));
        tokio::spawn(feed::report_usage(state.clone()));
        let accepting = tokio::spawn(server::accept(state.clone(), listener, stopped));
        process_event(&state, "started");
        Ok(Self {
            address,
            state,
            stopping,
            accepting,
        })
    }

    /// Takes no more connections, sees requests in flight through and reports
    /// usage a last time.
    pub async fn stop(self) {
        process_event(&self.state, "stopping");
        self.stopping.send_replace(true);
        // A task that failed has nothing in flight any more.
        self.accepting.await.ok();
        feed::report_final_usage(self.state.clone()).await;
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .map_err(|e| EntryError::Listen(address, e))
}

fn process_event(state: &State, detail: &str) {
    let about = EventFields {
        detail: detail.to_owned(),
        ..EventFields::default()
    };
    state.recorder.record(EventKind::Process, about);
}

/// Differs at each start: microseconds of wall time.
fn incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(now.map_or(1, |d| u64::try_from(d.as_micros()).unwrap_or(1)))
}

/// Runs `banyan-entry` until SIGTERM or SIGINT; a second one ends it at once.
///
/// # Errors
///
/// When it cannot start.
pub async fn run(settings: EntrySettings) -> Result<(), EntryError> {
    let log = telemetry::logger("banyan-entry", settings.log);
    let start = |e: std::io::Error| EntryError::Start(e.to_string());
    let mut term = signal(SignalKind::terminate()).map_err(start)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(start)?;
    if let Some(address) = settings.metrics {
        telemetry::start_metrics(address, &log).map_err(EntryError::Start)?;
    }
    let entry = Entry::start(settings, log.clone()).await?;
    slog::info!(log, "started"; "listen" => %entry.address, "vm" => %entry.state.settings.vm);
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    slog::info!(log, "stopping");
    tokio::select! {
        () = entry.stop() => slog::info!(log, "stopped"),
        _ = term.recv() => slog::warn!(log, "stopped at once"),
        _ = interrupt.recv() => slog::warn!(log, "stopped at once"),
    }
    Ok(())
}
