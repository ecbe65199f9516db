//! Callers' connections: how many, how slow, and their end.

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

/// The pause after a failed accept; the usual cause is a lack of descriptors,
/// which the end of other connections mends.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long a refused connection may take to read why.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Refused connections that are told why at the same time; more are closed
/// without a word, so that refusing costs less than serving.
const MOST_REFUSALS: usize = 64;

/// Streams of one HTTP/2 connection at the same time.
const MOST_STREAMS: u32 = 256;

/// Serves callers until `stopping` is true, then sees requests in flight
/// through; each is bounded by its deadline.
pub(super) async fn accept(
    state: Arc<State>,
    listener: TcpListener,
    mut stopping: watch::Receiver<bool>,
) {
    let limits = &state.settings.limits;
    let door = Arc::new(Door {
        room: Arc::new(Semaphore::new(limits.connections)),
        refusals: Arc::new(Semaphore::new(MOST_REFUSALS)),
        per_address: limits.per_address,
        peers: Mutex::default(),
    });
    let graceful = GracefulShutdown::new();
    loop {
        let (stream, address) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(_) => {
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            () = told(&mut stopping) => break,
        };
        match door.enter(address.ip()) {
            Some(guest) => {
                let work = connection(state.clone(), stream, graceful.watcher(), guest);
                tokio::spawn(work);
            }
            None => door.refuse(stream),
        }
    }
    drop(listener);
    let most = Duration::from_millis(state.settings.limits.most_deadline_ms);
    if tokio::time::timeout(most, graceful.shutdown())
        .await
        .is_err()
    {
        slog::warn!(state.log, "connections were still open at the end");
    }
}

async fn told(stopping: &mut watch::Receiver<bool>) {
    // Without a sender there is nobody to serve for either.
    stopping.wait_for(|s| *s).await.ok();
}

struct Door {
    room: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
    per_address: usize,
    peers: Mutex<BTreeMap<IpAddr, usize>>,
}

struct Guest {
    door: Arc<Door>,
    peer: IpAddr,
    _room: OwnedSemaphorePermit,
}

impl Door {
    fn enter(self: &Arc<Self>, peer: IpAddr) -> Option<Guest> {
        let room = self.room.clone().try_acquire_owned().ok()?;
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let open = peers.entry(peer).or_default();
        if *open >= self.per_address {
            return None;
        }
        *open += 1;
        Some(Guest {
            door: self.clone(),
            peer,
            _room: room,
        })
    }

    fn refuse(&self, stream: TcpStream) {
        metrics::counter!("entry_connections_refused_total").increment(1);
        let Ok(permit) = self.refusals.clone().try_acquire_owned() else {
            return;
        };
        tokio::spawn(async move {
            tokio::time::timeout(REFUSAL_TIME, refuse(stream))
                .await
                .ok();
            drop(permit);
        });
    }
}

impl Drop for Guest {
    fn drop(&mut self) {
        let mut peers = self
            .door
            .peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(open) = peers.get_mut(&self.peer) {
            *open -= 1;
            if *open == 0 {
                peers.remove(&self.peer);
            }
        }
    }
}

async fn refuse(mut stream: TcpStream) -> std::io::Result<()> {
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
    // Closing with unread bytes would reset the connection before the caller
    // has read why.
    let mut sink = [0; 1_024];
    while stream.read(&mut sink).await? > 0 {}
    Ok(())
}

async fn connection(state: Arc<State>, stream: TcpStream, watcher: Watcher, guest: Guest) {
    // Small answers must not wait for more to send; a socket that refuses
    // this still works.
    stream.set_nodelay(true).ok();
    let limits = state.settings.limits.clone();
    let builder = builder(&limits);
    let begun = Arc::new(AtomicBool::new(false));
    let service = service_fn({
        let begun = begun.clone();
        move |request| {
            begun.store(true, Ordering::Relaxed);
            serve(state.clone(), request)
        }
    });
    let served = watcher.watch(
        builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned(),
    );
    tokio::pin!(served);
    let first = tokio::time::timeout(limits.header_wait(), &mut served).await;
    // The library's own limit begins with the first byte; a caller that sends
    // none, or half of an HTTP/2 preface, is sent away by this one.
    if first.is_err() && begun.load(Ordering::Relaxed) {
        // How a connection ends is told by its requests.
        served.await.ok();
    }
    drop(guest);
}

fn builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_wait())
        .max_buf_size(limits.header);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(limits.header_wait())
        .max_header_list_size(u32::try_from(limits.header).unwrap_or(u32::MAX))
        .max_concurrent_streams(MOST_STREAMS);
    builder
}
