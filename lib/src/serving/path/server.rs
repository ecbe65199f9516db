//! Servers for callers' connections and for the load balancer's readiness check.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::serving::path::connections::Activity;
use crate::serving::path::connections::GuardedBody;
use crate::serving::path::connections::Holder;
use crate::serving::path::connections::TrackedStream;
use crate::serving::path::linger::LINGER_TIME;
use crate::serving::path::linger::SharedStream;
use crate::serving::path::relay::serve_relayed;
use crate::serving::path::response::full_body;
use crate::serving::path::serve::serve;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::program::node::to_span;

/// Length of the queue of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Pause after a failed accept. The usual cause is a lack of file descriptors, which lasts
/// until other connections close.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Maximum time to receive the headers while there is no configuration.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of the headers in bytes while there is no configuration.
const DEFAULT_HEADER_BYTES: usize = 64 << 10;

/// Minimum buffer size in bytes that hyper accepts for a connection.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Listens on a TCP address.
///
/// # Errors
///
/// If the address cannot be bound.
pub(in crate::serving) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Who opens the connections to an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::serving) enum Peer {
    Caller,
    /// Another VM, which hands requests to this one.
    Vm,
}

/// Serves callers or other VMs until the process ends.
pub(in crate::serving) async fn serve_connections(
    node: Rc<Node>,
    listener: TcpListener,
    peer: Peer,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (id, closed) = node.state().memory.connect(now());
                node.close(&closed);
                let Some(id) = id else {
                    node.record_closed("refused", 1);
                    continue;
                };
                let holder = Holder::new(&node, id);
                tokio::task::spawn_local(serve_connection(node.clone(), holder, stream, peer));
            }
            Err(e) => {
                slog::warn!(node.log, "could not accept a connection"; "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection, and shuts it down gracefully when the process drains.
async fn serve_connection(node: Rc<Node>, holder: Holder, stream: TcpStream, peer: Peer) {
    let _open = node.track_connection();
    if let Err(e) = stream.set_nodelay(true) {
        slog::debug!(node.log, "could not set TCP_NODELAY on a connection"; "error" => %e);
    }
    let limits = node.state().active.as_ref().map(|a| a.config.limits);
    // hyper has one timer for the idle time and the headers that follow it.
    let header_timeout = limits.map_or(DEFAULT_HEADER_TIMEOUT, |l| {
        l.header_timeout.max(l.idle_timeout)
    });
    let buffer_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |l| l.header_bytes * 2);
    let activity = Activity::new(holder);
    let (shared, served_on) = (node.clone(), activity.clone());
    let service = service_fn(move |mut request: Request<Incoming>| {
        let node = shared.clone();
        let running = served_on.begin_request();
        request.extensions_mut().insert(served_on.holder.id);
        async move {
            let response = match peer {
                Peer::Caller => serve(node, request).await,
                Peer::Vm => serve_relayed(node, request).await,
            };
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, running)))
        }
    });
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(buffer_bytes.max(MIN_BUFFER_BYTES));
    let stream = SharedStream::new(stream);
    {
        let tracked = TrackedStream::new(stream.clone(), activity.clone());
        let served = server.serve_connection(TokioIo::new(tracked), service);
        tokio::pin!(served);
        let mut phase = node.phase.subscribe();
        let closing = phase.wait_for(|p| *p >= Phase::Draining);
        let has_ended = tokio::select! {
            // What gives way may end its request at the same time: then the response is to be read.
            biased;
            () = activity.holder.displaced() => {
                if !activity.is_busy() {
                    return;
                }
                false
            }
            // Errors are disconnects, which end the caller's requests as well.
            _ = &mut served => true,
            _ = closing => false,
        };
        if !has_ended {
            served.as_mut().graceful_shutdown();
            served.await.ok();
        }
    }
    // Without a response that its caller may have yet to read, a request that crosses the close
    // stays unread: its caller may send it again.
    if !activity.wrote_within(to_span(LINGER_TIME)) {
        return;
    }
    tokio::select! {
        () = stream.close() => {}
        () = activity.holder.displaced() => {}
    }
}

/// Returns whether callers should be routed to this VM. While it cannot tell whether API keys
/// are still valid it refuses callers with keys, so they should go to another VM.
fn is_ready(node: &Node) -> bool {
    let mut state = node.state();
    let now = now();
    state.is_ready(now) && state.keys_valid(now)
}

/// Answers the load balancer's readiness checks until the process ends.
pub(in crate::serving) async fn serve_readiness(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let ready = node.phase() == Phase::Serving && is_ready(&node);
                let is_check = request.uri().path() == node.codec.ready_path;
                let mut response = Response::new(full_body(Bytes::new()));
                *response.status_mut() = match (is_check, ready) {
                    (true, true) => StatusCode::OK,
                    (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                    (false, _) => StatusCode::NOT_FOUND,
                };
                async move { Ok::<_, Infallible>(response) }
            });
            // After an error the balancer checks again on another connection.
            let server = http1::Builder::new();
            server
                .serve_connection(TokioIo::new(stream), service)
                .await
                .ok();
        });
    }
}
