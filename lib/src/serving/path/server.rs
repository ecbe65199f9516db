//! Callers' connections, and the balancer's question whether we are ready.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::serving::path::response::full_body;
use crate::serving::path::serve::serve;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The pause after a failed accept; the usual cause is a lack of descriptors,
/// which the end of other connections mends.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time for a head to come while no configuration says otherwise.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a head while no configuration says otherwise.
const DEFAULT_HEADER_BYTES: usize = 64 << 10;

/// The least buffer of a connection that the HTTP library takes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Listens on an address.
///
/// # Errors
///
/// When it cannot be listened on.
pub(in crate::serving) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves callers until the process ends.
pub(in crate::serving) async fn serve_callers(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(node.clone(), stream));
            }
            Err(e) => {
                slog::warn!(node.log, "accept failed"; "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    if let Err(e) = stream.set_nodelay(true) {
        slog::debug!(node.log, "no nodelay"; "error" => %e);
    }
    let limits = node.state().active.as_ref().map(|a| a.config.limits);
    // One timer serves for the head and for the idle time before it.
    let head_time = limits.map_or(DEFAULT_HEADER_TIMEOUT, |l| {
        l.header_timeout.max(l.idle_timeout)
    });
    let head_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |l| l.header_bytes * 2);
    let shared = node.clone();
    let service = service_fn(move |request| {
        let node = shared.clone();
        async move { Ok::<_, Infallible>(serve(node, request).await) }
    });
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(head_time)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES));
    let served = server.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let mut phase = node.phase.subscribe();
    let closing = phase.wait_for(|p| *p == Phase::Draining);
    tokio::select! {
        // Callers break off as they like; their requests end with them.
        _ = &mut served => return,
        _ = closing => {}
    }
    served.as_mut().graceful_shutdown();
    served.await.ok();
}

/// Whether callers are served; those with keys are refused where it is not
/// known that their keys still hold, so they should come to another VM.
fn is_ready(node: &Node) -> bool {
    let mut b = node.state();
    b.is_ready() && b.keys_valid(now())
}

/// Answers the balancer until the process ends.
pub(in crate::serving) async fn serve_readiness(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
                let ready = node.phase() == Phase::Serving && is_ready(&node);
                let asked = request.uri().path() == node.codec.ready_path;
                let mut answer = Response::new(full_body(Bytes::new()));
                *answer.status_mut() = match (asked, ready) {
                    (true, true) => StatusCode::OK,
                    (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                    (false, _) => StatusCode::NOT_FOUND,
                };
                async move { Ok::<_, Infallible>(answer) }
            });
            // The balancer asks again on another connection.
            let server = http1::Builder::new();
            server
                .serve_connection(TokioIo::new(stream), service)
                .await
                .ok();
        });
    }
}
