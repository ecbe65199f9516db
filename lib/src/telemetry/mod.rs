//! Logs by `slog` and metrics by `metrics`, with a Prometheus endpoint.

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

use self::json_drain::LOG_RING;
use self::json_drain::Ring;

/// How logs are written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For a person at a terminal.
    #[default]
    Terminal,
    /// One JSON object a line.
    Json,
}

/// A logger for a program, writing to standard error.
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
            slog_async::Async::new(drain).chan_size(LOG_RING).build()
        }
        LogFormat::Json => return json_logger(program, std::io::stderr()),
    };
    slog::Logger::root(drain.fuse(), slog::o!("program" => program))
}

/// A logger that writes one JSON object a line to standard output, by a thread
/// of its own; lines that do not fit the ring are dropped and counted, so a
/// blocked output never holds up a request.
///
/// ```
/// let log = banyangauge::telemetry::stdout_logger("banyan-serve");
/// slog::info!(log, "started"; "vm" => "vm-1");
/// ```
pub fn stdout_logger(program: &'static str) -> slog::Logger {
    json_logger(program, std::io::stdout())
}

/// The same, to any output.
///
/// ```
/// let log = banyangauge::telemetry::json_logger("banyan-serve", std::io::sink());
/// slog::info!(log, "started"; "vm" => "vm-1");
/// ```
pub fn json_logger(
    program: &'static str,
    output: impl std::io::Write + Send + 'static,
) -> slog::Logger {
    match Ring::new(output) {
        Ok(ring) => slog::Logger::root(ring.fuse(), slog::o!("program" => program)),
        Err(e) => {
            let log = logger(program, LogFormat::Terminal);
            slog::error!(log, "no thread for the log"; "error" => %e);
            log
        }
    }
}

/// Installs the process's metrics recorder.
///
/// # Errors
///
/// When a recorder is installed already.
pub fn install_metrics() -> Result<PrometheusHandle, String> {
    PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| e.to_string())
}

/// Serves `GET /metrics` until the process ends.
///
/// # Errors
///
/// When the address cannot be listened on.
pub async fn serve_metrics(address: SocketAddr, handle: PrometheusHandle) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The usual cause is a lack of descriptors; it passes.
            tokio::task::yield_now().await;
            continue;
        };
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let text = handle.render();
                async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(text)))) }
            });
            // A scraper that hangs up is no matter of ours.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// How often recorded samples are folded into their summaries.
const METRICS_UPKEEP: Duration = Duration::from_secs(5);

/// Installs the recorder and serves it on an address, in tasks of their own.
///
/// # Errors
///
/// When a recorder is installed already.
pub fn start_metrics(address: SocketAddr, log: &slog::Logger) -> Result<(), String> {
    let handle = install_metrics()?;
    let upkeep = handle.clone();
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(METRICS_UPKEEP);
        loop {
            tick.tick().await;
            upkeep.run_upkeep();
        }
    });
    let log = log.clone();
    tokio::spawn(async move {
        if let Err(e) = serve_metrics(address, handle).await {
            slog::error!(log, "no metrics"; "address" => %address, "error" => %e);
        }
    });
    Ok(())
}
