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

use super::Parts;

/// The longest wait for a connection; upstreams are about a millisecond away.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection unused for longer is closed: upstreams close theirs after
/// some tens of seconds, and a stale one costs a try.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

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
    sender: SendRequest<Parts>,
    since: Instant,
}

type Shelf = Arc<Mutex<BTreeMap<SocketAddr, Vec<Idle>>>>;

/// Connections to all upstreams; clones share them.
#[derive(Clone, Default)]
pub struct Upstreams {
    idle: Shelf,
}

impl Upstreams {
    /// No connections yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request once and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] when the upstream provably got nothing.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Parts>,
    ) -> Result<Answer, SendError> {
        while let Some(sender) = self.take(address) {
            match self.send_on(address, sender, request).await {
                Ok(answer) => return Ok(answer),
                Err((Some(back), _)) => request = back,
                Err((None, e)) => return Err(SendError::Broken(e)),
            }
        }
        let sender = connect(address).await.map_err(SendError::NotSent)?;
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
        mut sender: SendRequest<Parts>,
        request: Request<Parts>,
    ) -> Result<Answer, (Option<Request<Parts>>, String)> {
        match sender.try_send_request(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                Ok(Answer {
                    head,
                    body,
                    kept: Some((sender, address, self.idle.clone())),
                })
            }
            Err(mut e) => {
                let back = e.take_message();
                Err((back, e.into_error().to_string()))
            }
        }
    }

    /// The connection that was used last; the others age, and go.
    fn take(&self, address: SocketAddr) -> Option<SendRequest<Parts>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&address)?;
        // They stand in the order of their last use.
        let old = list.partition_point(|i| i.since.elapsed() >= IDLE_TIMEOUT);
        list.drain(..old);
        // One that has just been given back may not be ready yet.
        let at = list.iter().rposition(|i| i.sender.is_ready())?;
        Some(list.remove(at).sender)
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Parts>, String> {
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
    tokio::time::timeout(CONNECT_TIMEOUT, work)
        .await
        .unwrap_or_else(|_| Err("no connection in time".to_owned()))
}

fn text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

/// The head of an answer, with its body still to come. Dropping it before its
/// end closes the connection.
pub struct Answer {
    /// Status and headers.
    pub head: response::Parts,
    body: Incoming,
    kept: Option<(SendRequest<Parts>, SocketAddr, Shelf)>,
}

impl Answer {
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
        let Some((sender, address, shelf)) = self.kept.take() else {
            return;
        };
        let mut idle = shelf.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(address).or_default();
        if list.len() < MAX_IDLE && !sender.is_closed() {
            list.push(Idle {
                sender,
                since: Instant::now(),
            });
        }
    }
}
