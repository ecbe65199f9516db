//! A pool of connections to upstreams.
//!
//! The client of `hyper-util` may send a request again by itself, and does not report
//! whether a stale connection has sent it. This pool returns the request if no byte
//! of it was sent, which is the basis of every "not run".
//!
//! What is given up must not arrive later either. After an ordinary close the system goes on to
//! deliver what the peer has not acknowledged, for minutes if the link is cut meanwhile, so a
//! connection of this pool is reset unless it was returned to it.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Request;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::http::response;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpSocket;

use super::BodyChunks;
use super::bounded::BoundedStream;
use super::bounded::HeadBytes;
use super::delivery::Delivery;
use super::head::BodyEnd;
use super::head::HeadFault;
use super::head::check_head;

/// Timeout of a connection attempt; upstreams are about a millisecond away.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed. Upstreams close idle connections
/// after some tens of seconds, and using a stale one costs an attempt.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long before the idle timeout that an upstream gives in `Keep-Alive` its
/// connection is no longer used. A request
/// sent shortly before the upstream closes the connection may be lost.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum size of a connection's read buffer, and so of the head of a response.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Maximum idle connections per upstream; an engine's batch is a few dozen requests.
const MAX_IDLE_PER_UPSTREAM: usize = 128;

/// Error of a request that got no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have been sent.
    Broken(String),
    /// The request was sent, and the head of its response cannot be believed.
    InvalidHead(HeadFault),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(e) | Self::Broken(e) => f.write_str(e),
            Self::InvalidHead(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for SendError {}

/// Error of a response that ended before it was complete.
#[derive(Debug)]
pub enum BodyError {
    /// The connection broke.
    Broken(hyper::Error),
    /// The response ended with its connection before the upstream had received the request.
    RequestCut,
    /// The body is not what the head states.
    InvalidHead(HeadFault),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(e) => e.fmt(f),
            Self::RequestCut => f.write_str("ended before the whole request was received"),
            Self::InvalidHead(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for BodyError {}

/// An open connection.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<BodyChunks>,
    head_bytes: HeadBytes,
    delivery: Delivery,
}

/// The deadline of a response has passed.
#[derive(Clone, Copy, Debug)]
pub struct Overdue;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

type IdleConnections = Arc<Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>>;

/// Connections to all upstreams; clones share them.
#[derive(Clone, Debug)]
pub struct Upstreams {
    idle: IdleConnections,
    connect_timeout: Duration,
    default_idle_time: Duration,
    delivery_timeout: Option<Duration>,
}

impl Default for Upstreams {
    fn default() -> Self {
        Self::with_timeouts(CONNECT_TIMEOUT, IDLE_TIMEOUT)
    }
}

impl Upstreams {
    /// Returns a pool without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a pool without connections. An idle connection is kept for the time that
    /// its upstream names, or for `default_idle_time` if it names none.
    pub fn with_timeouts(connect_timeout: Duration, default_idle_time: Duration) -> Self {
        Self {
            idle: IdleConnections::default(),
            connect_timeout,
            default_idle_time,
            delivery_timeout: None,
        }
    }

    /// Returns the pool with a bound on the time in which the system delivers what is sent: it
    /// gives up what its peer has not acknowledged by then.
    ///
    /// Closing a connection gives up what it sent as well, but a process that is suspended closes
    /// none. A peer that is silent for so long loses its connections.
    ///
    /// ```
    /// use std::time::Duration;
    /// use banyangauge::upstream::Upstreams;
    /// let upstreams = Upstreams::new().with_delivery_timeout(Duration::from_millis(800));
    /// ```
    #[must_use]
    pub fn with_delivery_timeout(mut self, timeout: Duration) -> Self {
        self.delivery_timeout = Some(timeout);
        self
    }

    /// Sends a request once and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only if the upstream has received no byte of the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<BodyChunks>,
    ) -> Result<UpstreamResponse, SendError> {
        self.send_if(address, request, || true).await
    }

    /// Sends a request once, if `is_allowed` when a connection is open, and waits for the head of
    /// its response.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only if the upstream has received no byte of the request, also
    /// because it is not allowed any more.
    pub async fn send_if(
        &self,
        address: SocketAddr,
        mut request: Request<BodyChunks>,
        is_allowed: impl Fn() -> bool,
    ) -> Result<UpstreamResponse, SendError> {
        let check = || match is_allowed() {
            true => Ok(()),
            false => Err(SendError::NotSent("no longer allowed".to_owned())),
        };
        while let Some(connection) = self.take_idle(address) {
            check()?;
            match self.send_on(address, connection, request).await {
                Ok(response) => return Ok(response),
                Err((Some(unsent), _)) => request = unsent,
                Err((None, e)) => return Err(e),
            }
        }
        let connection = self.connect(address).await.map_err(SendError::NotSent)?;
        check()?;
        self.send_on(address, connection, request)
            .await
            .map_err(|(_, e)| e)
    }

    /// Opens a connection and keeps it for a request. Returns whether it could be opened and
    /// stayed open for `settle`.
    pub async fn probe(&self, address: SocketAddr, settle: Duration) -> bool {
        let Ok(connection) = self.connect(address).await else {
            return false;
        };
        tokio::time::sleep(settle).await;
        if connection.sender.is_closed() {
            return false;
        }
        let connection = PooledConnection {
            connection,
            address,
            idle: self.idle.clone(),
            idle_time: self.default_idle_time,
        };
        connection.keep();
        true
    }

    /// Sends a request on a connection. An error comes with the request if no byte of it was sent.
    async fn send_on(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        mut request: Request<BodyChunks>,
    ) -> Result<UpstreamResponse, (Option<Request<BodyChunks>>, SendError)> {
        request.body_mut().track(&connection.delivery);
        let method = request.method().clone();
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                // The body is read as its receiver takes it.
                connection.head_bytes.complete();
                let (mut head, body) = response.into_parts();
                let read = connection.head_bytes.body_bytes();
                let end = check_head(&method, &mut head)
                    .and_then(|end| end.check_excess(read).map(|()| end))
                    .map_err(|fault| (None, SendError::InvalidHead(fault)))?;
                let connection = PooledConnection {
                    connection,
                    address,
                    idle: self.idle.clone(),
                    idle_time: idle_time(&head).unwrap_or(self.default_idle_time),
                };
                Ok(UpstreamResponse {
                    head,
                    body,
                    connection: Some(connection),
                    end,
                })
            }
            Err(mut e) => {
                let unsent = e.take_message();
                let e = e.into_error();
                let error = match (&unsent, connection.head_bytes.fault()) {
                    (Some(_), _) => SendError::NotSent(e.to_string()),
                    (None, Some(fault)) => SendError::InvalidHead(fault),
                    (None, None) if e.is_parse() => {
                        SendError::InvalidHead(HeadFault::Malformed(e.to_string()))
                    }
                    (None, None) => SendError::Broken(e.to_string()),
                };
                Err((unsent, error))
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, String> {
        let timeout = self.connect_timeout;
        let work = async {
            let socket = open_socket(address, self.delivery_timeout).map_err(text)?;
            let stream = socket.connect(address).await.map_err(text)?;
            let (head_bytes, delivery) = (HeadBytes::default(), Delivery::default());
            let stream = BoundedStream::new(stream, head_bytes.clone(), delivery.clone());
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MAX_BUFFER_BYTES);
            let handshake = builder.handshake(TokioIo::new(stream));
            let (mut sender, connection) = handshake.await.map_err(text)?;
            // Errors of the connection are returned to the request that uses it.
            tokio::spawn(async move { connection.await.ok() });
            sender.ready().await.map_err(text)?;
            Ok(Connection {
                sender,
                head_bytes,
                delivery,
            })
        };
        tokio::time::timeout(timeout, work)
            .await
            .unwrap_or_else(|_| Err(format!("no connection within {timeout:?}")))
    }

    /// Takes the most recently used idle connection, so that surplus ones expire.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&address)?;
        let now = Instant::now();
        list.retain(|i| i.expires_at > now);
        // A connection that was just returned may not be ready yet.
        let index = list.iter().rposition(|i| i.connection.sender.is_ready())?;
        Some(list.remove(index).connection)
    }
}

/// Returns how long the connection may be reused: the idle time in the response's
/// `Keep-Alive` header less `CLOSE_MARGIN`; `None` if it names none.
fn idle_time(head: &response::Parts) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = value.split(',').map(str::trim);
    let seconds = fields.find_map(|f| f.strip_prefix("timeout="))?;
    let time = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(time.saturating_sub(CLOSE_MARGIN))
}

/// Opens a socket whose connection is reset when it is closed.
fn open_socket(
    address: SocketAddr,
    delivery_timeout: Option<Duration>,
) -> std::io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let options = SockRef::from(&socket);
    options.set_linger(Some(Duration::ZERO))?;
    options.set_tcp_user_timeout(delivery_timeout)?;
    options.set_tcp_nodelay(true)?;
    Ok(socket)
}

fn text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

/// A response whose head was read. The connection returns to the pool once the body
/// is read to its end; dropping the response before closes the connection.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status and headers.
    pub head: response::Parts,
    body: Incoming,
    connection: Option<PooledConnection>,
    end: BodyEnd,
}

/// A connection that returns to the pool at the end of a response.
#[derive(Debug)]
struct PooledConnection {
    connection: Connection,
    address: SocketAddr,
    idle: IdleConnections,
    idle_time: Duration,
}

impl UpstreamResponse {
    /// Polls the next chunk of the body; `None` at its end.
    pub fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let frame = ready!(std::pin::Pin::new(&mut self.body).poll_frame(cx));
            match frame {
                None => {
                    let Some(connection) = self.connection.take() else {
                        return Poll::Ready(None);
                    };
                    let is_cut = connection.connection.delivery.is_cut();
                    if self.end == BodyEnd::Connection && is_cut {
                        return Poll::Ready(Some(Err(BodyError::RequestCut)));
                    }
                    connection.keep();
                    return Poll::Ready(None);
                }
                Some(Err(e)) => {
                    self.connection = None;
                    return Poll::Ready(Some(Err(BodyError::Broken(e))));
                }
                Some(Ok(frame)) => {
                    // Trailers are ignored.
                    if let Ok(data) = frame.into_data() {
                        let connection = self.connection.as_ref();
                        let checked = connection.map_or(Ok(()), |c| c.check_excess(self.end));
                        return Poll::Ready(Some(checked.map(|()| data)));
                    }
                }
            }
        }
    }

    /// Returns the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// If the connection broke before the end, or ended before the request had been received.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        std::future::poll_fn(|cx| self.poll_chunk(cx)).await
    }

    /// Returns the next chunk if it comes before `deadline`, which also ends a body whose chunks
    /// come without a pause.
    ///
    /// # Errors
    ///
    /// [`Overdue`] once the deadline has passed.
    pub async fn next_chunk_before(
        &mut self,
        deadline: tokio::time::Instant,
    ) -> Result<Option<Result<Bytes, BodyError>>, Overdue> {
        if tokio::time::Instant::now() >= deadline {
            return Err(Overdue);
        }
        // A chunk that is there needs no timer.
        let chunk = tokio::time::timeout_at(deadline, self.next_chunk());
        chunk.await.map_err(|_| Overdue)
    }

    /// Returns whether the end of the response is that of its connection.
    pub fn is_unframed(&self) -> bool {
        self.end == BodyEnd::Connection
    }

    /// Returns the value of a header if it is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }
}

impl PooledConnection {
    /// Checks that the upstream has sent no more than the body.
    fn check_excess(&self, end: BodyEnd) -> Result<(), BodyError> {
        let read = self.connection.head_bytes.body_bytes();
        end.check_excess(read).map_err(BodyError::InvalidHead)
    }

    /// Returns the connection to the pool.
    fn keep(self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(self.address).or_default();
        if list.len() < MAX_IDLE_PER_UPSTREAM && !self.connection.sender.is_closed() {
            self.connection.head_bytes.renew();
            list.push(IdleConnection {
                connection: self.connection,
                expires_at: Instant::now() + self.idle_time,
            });
        }
    }
}
