//! Accepts callers' connections, limits their number and idle time, and shuts them
//! down gracefully.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::server::graceful::Watcher;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use super::CallerError;
use super::Code;
use super::serve::serve;
use super::settings::Limits;
use super::state::State;

/// Delay after a failed accept. The usual cause is a lack of file descriptors,
/// which ends as other connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time that a refused connection has to read the error.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum concurrent refusals with an error response. Further connections are
/// closed without one, so that a refusal stays cheaper than a request.
const MAX_REFUSALS: usize = 64;

/// Maximum concurrent streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;

/// Accepts connections until `stopping` is true, then waits for the requests in
/// flight, each of which is bounded by its deadline.
pub(super) async fn accept(
    state: Arc<State>,
    listener: TcpListener,
    mut stopping: watch::Receiver<bool>,
) {
    let limits = &state.settings.limits;
    let limiter = Arc::new(ConnectionLimiter {
        permits: Arc::new(Semaphore::new(limits.connections)),
        refusals: Arc::new(Semaphore::new(MAX_REFUSALS)),
        per_address: limits.per_address,
        open_by_address: Mutex::default(),
    });
    let graceful = GracefulShutdown::new();
    loop {
        let (stream, address) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(_) => {
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            () = stop_requested(&mut stopping) => break,
        };
        match limiter.admit(address.ip()) {
            Some(permit) => {
                let work = serve_connection(state.clone(), stream, graceful.watcher(), permit);
                tokio::spawn(work);
            }
            None => limiter.refuse(stream),
        }
    }
    drop(listener);
    let max_drain = Duration::from_millis(state.settings.limits.most_deadline_ms);
    if tokio::time::timeout(max_drain, graceful.shutdown())
        .await
        .is_err()
    {
        slog::warn!(
            state.log,
            "connections still open after the longest deadline"
        );
    }
}

async fn stop_requested(stopping: &mut watch::Receiver<bool>) {
    // A dropped sender means that the entry is gone, which stops the server too.
    stopping.wait_for(|s| *s).await.ok();
}

/// Limits the open connections in total and per address.
struct ConnectionLimiter {
    permits: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
    per_address: usize,
    open_by_address: Mutex<BTreeMap<IpAddr, usize>>,
}

/// Permit of one open connection.
struct ConnectionPermit {
    limiter: Arc<ConnectionLimiter>,
    address: IpAddr,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionLimiter {
    fn admit(self: &Arc<Self>, address: IpAddr) -> Option<ConnectionPermit> {
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        let mut open_by_address = self
            .open_by_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let open = open_by_address.entry(address).or_default();
        if *open >= self.per_address {
            return None;
        }
        *open += 1;
        Some(ConnectionPermit {
            limiter: self.clone(),
            address,
            _permit: permit,
        })
    }

    fn refuse(&self, stream: TcpStream) {
        metrics::counter!("entry_connections_refused_total").increment(1);
        let Ok(permit) = self.refusals.clone().try_acquire_owned() else {
            return;
        };
        tokio::spawn(async move {
            tokio::time::timeout(REFUSAL_TIMEOUT, send_refusal(stream))
                .await
                .ok();
            drop(permit);
        });
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut open_by_address = self
            .limiter
            .open_by_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(open) = open_by_address.get_mut(&self.address) {
            *open -= 1;
            if *open == 0 {
                open_by_address.remove(&self.address);
            }
        }
    }
}

async fn send_refusal(mut stream: TcpStream) -> std::io::Result<()> {
    let e = CallerError::new(Code::TooMany, "too many connections").with_retry_after(1_000);
    let body = e.body();
    let head = format!(
        "HTTP/1.1 429 Too Many Requests\r\ncontent-type: application/json\r\n\
         retry-after: 1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&body).await?;
    stream.shutdown().await?;
    // Closing a socket with unread bytes resets the connection, possibly before
    // the caller has read the response.
    let mut sink = [0; 1_024];
    while stream.read(&mut sink).await? > 0 {}
    Ok(())
}

async fn serve_connection(
    state: Arc<State>,
    stream: TcpStream,
    watcher: Watcher,
    permit: ConnectionPermit,
) {
    // Small responses must not wait for more data. An error here only costs
    // latency.
    stream.set_nodelay(true).ok();
    let limits = state.settings.limits.clone();
    let builder = builder(&limits);
    let has_request = Arc::new(AtomicBool::new(false));
    let service = service_fn({
        let has_request = has_request.clone();
        move |request| {
            has_request.store(true, Ordering::Relaxed);
            serve(state.clone(), request)
        }
    });
    let served = watcher.watch(
        builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned(),
    );
    tokio::pin!(served);
    let first = tokio::time::timeout(limits.header_timeout(), &mut served).await;
    // The header timeout of hyper starts with the first byte. This one also closes
    // connections that send nothing or only a part of an HTTP/2 preface.
    if first.is_err() && has_request.load(Ordering::Relaxed) {
        // Errors of the connection are reported by its requests.
        served.await.ok();
    }
    drop(permit);
}

fn builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout())
        .max_buf_size(limits.header);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(limits.header_timeout())
        .max_header_list_size(u32::try_from(limits.header).unwrap_or(u32::MAX))
        .max_concurrent_streams(MAX_STREAMS);
    builder
}
