//! Connections to upstreams, kept for reuse.
//!
//! The client of `hyper-util` sends a request again by itself, or hides
//! whether a stale connection took it. This one gives the request back when
//! not a byte of it was sent, which is what "not run" rests on.

use std::collections::BTreeMap;
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
use tokio::net::TcpStream;

use super::BodyChunks;

/// The longest wait for a connection; upstreams are about a millisecond away.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection unused for longer is closed: upstreams close theirs after
/// some tens of seconds, and a stale one costs a try.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// An upstream that names the time for which it keeps an idle connection
/// closes it around then; a request sent so shortly before may get lost.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);

/// Idle connections an upstream; an engine's batch is a few dozen.
const MAX_IDLE: usize = 128;

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// Not a byte was sent.
    NotSent(String),
    /// Something may have been sent.
    Broken(String),
}

struct Idle {
    sender: SendRequest<BodyChunks>,
    until: Instant,
}

type Shelf = Arc<Mutex<BTreeMap<SocketAddr, Vec<Idle>>>>;

/// Connections to all upstreams; clones share them.
#[derive(Clone)]
pub struct Upstreams {
    idle: Shelf,
    connect: Duration,
    keep: Duration,
}

impl Default for Upstreams {
    fn default() -> Self {
        Self::with_timeouts(CONNECT_TIMEOUT, IDLE_TIMEOUT)
    }
}

impl Upstreams {
    /// No connections yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// No connections yet; one is waited for as long as `connect`, and kept
    /// unused as long as the upstream says, or `keep` where it says nothing.
    pub fn with_timeouts(connect: Duration, keep: Duration) -> Self {
        Self {
            idle: Shelf::default(),
            connect,
            keep,
        }
    }

    /// Sends a request once and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] when the upstream provably got nothing.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<BodyChunks>,
    ) -> Result<UpstreamResponse, SendError> {
        while let Some(sender) = self.take(address) {
            match self.send_on(address, sender, request).await {
                Ok(answer) => return Ok(answer),
                Err((Some(back), _)) => request = back,
                Err((None, e)) => return Err(SendError::Broken(e)),
            }
        }
        let sender = connect(address, self.connect)
            .await
            .map_err(SendError::NotSent)?;
        self.send_on(address, sender, request)
            .await
            .map_err(|(back, e)| match back {
                Some(_) => SendError::NotSent(e),
                None => SendError::Broken(e),
            })
    }

    async fn send_on(
        &self,
        address: SocketAddr,
        mut sender: SendRequest<BodyChunks>,
        request: Request<BodyChunks>,
    ) -> Result<UpstreamResponse, (Option<Request<BodyChunks>>, String)> {
        match sender.try_send_request(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                let kept = Kept {
                    sender,
                    address,
                    shelf: self.idle.clone(),
                    time: idle_time(&head).unwrap_or(self.keep),
                };
                Ok(UpstreamResponse {
                    head,
                    body,
                    kept: Some(kept),
                })
            }
            Err(mut e) => {
                let back = e.take_message();
                Err((back, e.into_error().to_string()))
            }
        }
    }

    /// The connection that was used last; the others age, and go.
    fn take(&self, address: SocketAddr) -> Option<SendRequest<BodyChunks>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&address)?;
        let now = Instant::now();
        list.retain(|i| i.until > now);
        // One that has just been given back may not be ready yet.
        let at = list.iter().rposition(|i| i.sender.is_ready())?;
        Some(list.remove(at).sender)
    }
}

/// How long the upstream keeps the connection, less the time in which it may
/// close it while a request is on its way.
fn idle_time(head: &response::Parts) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = value.split(',').map(str::trim);
    let seconds = fields.find_map(|f| f.strip_prefix("timeout="))?;
    let time = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(time.saturating_sub(CLOSE_MARGIN))
}

async fn connect(
    address: SocketAddr,
    longest: Duration,
) -> Result<SendRequest<BodyChunks>, String> {
    let work = async {
        let stream = TcpStream::connect(address).await.map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(text)?;
        // An error of the connection reaches the request that runs on it.
        tokio::spawn(async move { connection.await.ok() });
        sender.ready().await.map_err(text)?;
        Ok(sender)
    };
    tokio::time::timeout(longest, work)
        .await
        .unwrap_or_else(|_| Err("no connection in time".to_owned()))
}

fn text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

/// The head of an answer, with its body still to come. Dropping it before its
/// end closes the connection.
pub struct UpstreamResponse {
    /// Status and headers.
    pub head: response::Parts,
    body: Incoming,
    kept: Option<Kept>,
}

/// A connection that goes back to the shelf after the answer's end.
struct Kept {
    sender: SendRequest<BodyChunks>,
    address: SocketAddr,
    shelf: Shelf,
    time: Duration,
}

impl UpstreamResponse {
    /// The next piece of the body; `None` at its proper end.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        loop {
            let frame = ready!(std::pin::Pin::new(&mut self.body).poll_frame(cx));
            match frame {
                None => {
                    self.keep();
                    return Poll::Ready(None);
                }
                Some(Err(e)) => {
                    self.kept = None;
                    return Poll::Ready(Some(Err(e)));
                }
                Some(Ok(frame)) => {
                    // Trailers carry nothing of ours.
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
            }
        }
    }

    /// The next piece of the body; `None` at its proper end.
    ///
    /// # Errors
    ///
    /// When the connection broke before the end.
    pub async fn data(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        std::future::poll_fn(|cx| self.poll_data(cx)).await
    }

    /// The value of a header, if it is readable text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    fn keep(&mut self) {
        let Some(kept) = self.kept.take() else {
            return;
        };
        let mut idle = kept.shelf.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(kept.address).or_default();
        if list.len() < MAX_IDLE && !kept.sender.is_closed() {
            list.push(Idle {
                sender: kept.sender,
                until: Instant::now() + kept.time,
            });
        }
    }
}
