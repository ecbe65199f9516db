//! Starts and stops the entry process.

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

/// Error that prevents the process from running.
#[derive(Debug)]
pub enum EntryError {
    /// Listening on an address failed.
    Listen(SocketAddr, std::io::Error),
    /// Setting up signals, metrics or keys failed.
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

/// A running entry.
pub struct Entry {
    /// Address for callers.
    pub address: SocketAddr,
    /// State shared by its tasks.
    pub state: Arc<State>,
    stopping: watch::Sender<bool>,
    accept_task: tokio::task::JoinHandle<()>,
}

impl Entry {
    /// Starts an entry that serves until [`Entry::stop`].
    ///
    /// # Errors
    ///
    /// If listening on an address or loading the keys fails.
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
        let state = State::new(settings, new_incarnation(), link.clone(), log);
        let state = Arc::new(state);
        let (stopping, stopped) = watch::channel(false);
        let timeline = TimelineService::new(state.recorder.clone());
        let timeline = TimelineServer::new(timeline);
        let router = tonic::transport::Server::builder().add_service(timeline);
        let timeline_link = link.clone();
        tokio::spawn(async move { timeline_link.serve(router, internal).await });
        let key_state = state.clone();
        tokio::spawn(async move { key_state.link.reload_periodically(&key_state.log).await });
        tokio::spawn(feed::follow(state.clone()));
        tokio::spawn(feed::report_usage(state.clone()));
        let accept_task = tokio::spawn(server::accept(state.clone(), listener, stopped));
        record_process_event(&state, "started");
        Ok(Self {
            address,
            state,
            stopping,
            accept_task,
        })
    }

    /// Stops accepting connections, waits for the requests in flight and sends the
    /// final usage report.
    pub async fn stop(self) {
        record_process_event(&self.state, "stopping");
        self.stopping.send_replace(true);
        // If the accept task has failed, no requests are in flight.
        self.accept_task.await.ok();
        feed::report_final_usage(self.state.clone()).await;
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .map_err(|e| EntryError::Listen(address, e))
}

fn record_process_event(state: &State, detail: &str) {
    let about = EventFields {
        detail: detail.to_owned(),
        ..EventFields::default()
    };
    state.recorder.record(EventKind::Process, about);
}

/// Returns an incarnation that differs at each start: the wall time in microseconds.
fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(now.map_or(1, |d| u64::try_from(d.as_micros()).unwrap_or(1)))
}

/// Runs `banyan-entry` until SIGTERM or SIGINT. A second signal ends the process
/// without waiting for requests in flight.
///
/// # Errors
///
/// If the entry cannot start.
pub async fn run(settings: EntrySettings) -> Result<(), EntryError> {
    let log = telemetry::logger("banyan-entry", settings.log);
    let start_error = |e: std::io::Error| EntryError::Start(e.to_string());
    let mut term = signal(SignalKind::terminate()).map_err(start_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(start_error)?;
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
        _ = term.recv() => slog::warn!(log, "stopped by a second signal without draining"),
        _ = interrupt.recv() => slog::warn!(log, "stopped by a second signal without draining"),
    }
    Ok(())
}
