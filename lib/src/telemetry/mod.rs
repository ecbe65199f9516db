//! Logging with `slog`, and metrics with a Prometheus endpoint.

mod json_drain;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Deserialize;
use serde::Serialize;
use slog::Drain;
use tokio::net::TcpListener;

use self::json_drain::JsonDrain;
use self::json_drain::MAX_PENDING_LINES;

/// The format of log output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable, with colours on a terminal.
    #[default]
    Terminal,
    /// One JSON object per line.
    Json,
}

/// Returns a logger for a program that writes to standard error.
///
/// ```
/// use banyangauge::telemetry::{LogFormat, logger};
/// let log = logger("banyan-entry", LogFormat::Json);
/// slog::info!(log, "started"; "vm" => "vm-1");
/// ```
pub fn logger(program: &'static str, format: LogFormat) -> slog::Logger {
    let drain = match format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(drain)
                .chan_size(MAX_PENDING_LINES)
                .build()
        }
        LogFormat::Json => return json_logger(program, std::io::stderr()),
    };
    slog::Logger::root(drain.fuse(), slog::o!("program" => program))
}

/// Returns a logger that writes one JSON object per line to standard output.
///
/// A separate thread writes the lines. Lines that do not fit its queue are
/// dropped and counted, so a blocked output never delays a request.
///
/// ```
/// let log = banyangauge::telemetry::stdout_logger("banyan-serve");
/// slog::info!(log, "started"; "vm" => "vm-1");
/// ```
pub fn stdout_logger(program: &'static str) -> slog::Logger {
    json_logger(program, std::io::stdout())
}

/// Like [`stdout_logger`], but writes to `output`.
///
/// Falls back to a terminal logger on standard error when the writer thread
/// cannot be started.
///
/// ```
/// let log = banyangauge::telemetry::json_logger("banyan-serve", std::io::sink());
/// slog::info!(log, "started"; "vm" => "vm-1");
/// ```
pub fn json_logger(
    program: &'static str,
    output: impl std::io::Write + Send + 'static,
) -> slog::Logger {
    match JsonDrain::new(output) {
        Ok(drain) => slog::Logger::root(drain.fuse(), slog::o!("program" => program)),
        Err(e) => {
            let log = logger(program, LogFormat::Terminal);
            slog::error!(log, "cannot start the log writer thread; logging to standard error"; "error" => %e);
            log
        }
    }
}

/// Logs and counts each panic of the process from now on, beside what was done before.
///
/// The runtime ends only the task that panics, so that a process may go on to serve without
/// one that it needs.
///
/// ```
/// let log = banyangauge::telemetry::json_logger("banyan-serve", std::io::sink());
/// banyangauge::telemetry::log_panics(log);
/// ```
pub fn log_panics(log: slog::Logger) {
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        metrics::counter!("serve_panics_total").increment(1);
        let at = panic.location().map(ToString::to_string);
        let message = panic.payload_as_str().unwrap_or_default();
        slog::crit!(log, "task ended by a panic"; "at" => at,
            "error" => %format_args!("{message:.300}"));
        previous(panic);
    }));
}

/// Installs the process-wide metrics recorder.
///
/// # Errors
///
/// When a recorder is already installed.
pub fn install_metrics() -> Result<PrometheusHandle, String> {
    PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| e.to_string())
}

/// Serves the metrics in Prometheus format, on every path, until the process
/// ends.
///
/// # Errors
///
/// When binding to the address fails.
pub async fn serve_metrics(address: SocketAddr, handle: PrometheusHandle) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Usually a temporary lack of file descriptors.
            tokio::task::yield_now().await;
            continue;
        };
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let text = handle.render();
                async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(text)))) }
            });
            // A scraper that disconnects early is not an error.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Interval at which recorded samples are aggregated into their histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the metrics recorder and serves it on `address` in the background.
///
/// # Errors
///
/// When a recorder is already installed.
pub fn start_metrics(address: SocketAddr, log: &slog::Logger) -> Result<(), String> {
    let handle = install_metrics()?;
    let upkeep = handle.clone();
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(UPKEEP_INTERVAL);
        loop {
            interval.tick().await;
            upkeep.run_upkeep();
        }
    });
    let log = log.clone();
    tokio::spawn(async move {
        if let Err(e) = serve_metrics(address, handle).await {
            slog::error!(log, "cannot serve metrics"; "address" => %address, "error" => %e);
        }
    });
    Ok(())
}
