//! The HTTP side that all stand-ins share: connections that can be cut, bodies
//! that can break off, and the control port.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// The connection is to be closed without an answer, or without its rest.
#[derive(Clone, Copy, Debug)]
pub struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the connection is cut on purpose")
    }
}

impl std::error::Error for Cut {}

/// The pieces of a streamed body.
pub type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, Cut>> + Send>>;

/// The body of an answer.
pub enum Body {
    /// All at once; `None` once it was sent.
    Whole(Option<Bytes>),
    /// Piece by piece; an error breaks it off.
    Stream(Pieces),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(pieces) => pieces
                .poll_next_unpin(cx)
                .map(|piece| piece.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Whole(Some(b)) => hyper::body::SizeHint::with_exact(b.len() as u64),
            Self::Whole(None) => hyper::body::SizeHint::with_exact(0),
            Self::Stream(_) => hyper::body::SizeHint::default(),
        }
    }
}

/// What a handler gives back.
pub type Reply = Result<Response<Body>, Cut>;

/// A JSON answer.
pub fn json_reply(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::Whole(Some(bytes.into())));
    *response.status_mut() = status;
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// An error answer in the engines' form.
pub fn error_reply(status: StatusCode, code: &str) -> Response<Body> {
    json_reply(status, &json!({"error": {"code": code, "message": code}}))
}

/// Reads a whole body.
///
/// # Errors
///
/// [`Cut`] when the caller's connection broke.
pub async fn read_body(body: Incoming) -> Result<Bytes, Cut> {
    Ok(body.collect().await.map_err(|_| Cut)?.to_bytes())
}

/// Reads a header as text; empty when it is missing.
pub fn header<'a>(request: &'a Request<Incoming>, name: &str) -> &'a str {
    let value = request.headers().get(name);
    value.and_then(|v| v.to_str().ok()).unwrap_or("")
}

/// Ways to end connections from outside.
#[derive(Debug, Default)]
pub struct Doors {
    /// Cancelled at a planned stop: no new connections, the others finish.
    pub stop: CancellationToken,
    reset: Mutex<CancellationToken>,
}

impl Doors {
    /// Cuts every connection, as the death of the process would.
    pub fn cut_all(&self) {
        std::mem::take(&mut *lock(&self.reset)).cancel();
    }

    fn reset_token(&self) -> CancellationToken {
        lock(&self.reset).clone()
    }
}

/// Locks, also after a panic elsewhere: the stand-ins' state stays usable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves connections until a planned stop, then until the last one ends.
pub async fn serve<H, F>(listener: TcpListener, doors: Arc<Doors>, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            () = doors.stop.cancelled() => break,
            Some(_) = tasks.join_next() => {}
            Ok((stream, _)) = listener.accept() => {
                tasks.spawn(connection(stream, doors.clone(), handle.clone()));
            }
        }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

async fn connection<H, F>(stream: TcpStream, doors: Arc<Doors>, handle: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Reply>,
{
    // A token is a small write that its caller waits for.
    let _ = stream.set_nodelay(true);
    let reset = doors.reset_token();
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(handle));
    tokio::pin!(served);
    tokio::select! {
        _ = served.as_mut() => return,
        () = reset.cancelled() => return,
        () = doors.stop.cancelled() => served.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = served => {}
        () = reset.cancelled() => {}
    }
}

/// A stand-in that runs in this process.
#[derive(Debug)]
pub struct Running {
    /// Where it serves.
    pub address: SocketAddr,
    /// Its control port.
    pub control: SocketAddr,
    doors: Arc<Doors>,
    task: JoinHandle<()>,
}

impl Running {
    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.doors.stop.cancel();
    }

    /// Begins a planned stop and waits for its end.
    pub async fn stop(self) {
        self.begin_stop();
        let _ = self.task.await;
    }
}

/// Binds both ports and runs `work` and the control port until `work` ends.
///
/// # Errors
///
/// When a port cannot be bound.
pub async fn start<W, F, C>(
    ports: (SocketAddr, SocketAddr),
    doors: Arc<Doors>,
    control: C,
    work: W,
) -> std::io::Result<Running>
where
    W: FnOnce(TcpListener) -> F,
    F: Future<Output = ()> + Send + 'static,
    C: Fn(&str, &str, Value) -> Result<Value, String> + Clone + Send + Sync + 'static,
{
    let data = TcpListener::bind(ports.0).await?;
    let side = TcpListener::bind(ports.1).await?;
    let address = data.local_addr()?;
    let control_address = side.local_addr()?;
    // The control port outlives a planned stop, so that history can be read.
    let answer = move |request: Request<Incoming>| control_call(request, control.clone());
    let work = work(data);
    let task = tokio::spawn(async move {
        tokio::select! {
            () = work => {}
            () = serve(side, Arc::default(), answer) => {}
        }
    });
    Ok(Running {
        address,
        control: control_address,
        doors,
        task,
    })
}

async fn control_call<C>(request: Request<Incoming>, control: C) -> Reply
where
    C: Fn(&str, &str, Value) -> Result<Value, String>,
{
    let (parts, body) = request.into_parts();
    let bytes = read_body(body).await?;
    let value = match bytes.is_empty() {
        true => Ok(Value::Null),
        false => serde_json::from_slice(&bytes).map_err(|e| e.to_string()),
    };
    let done = value.and_then(|v| control(parts.method.as_str(), parts.uri.path(), v));
    Ok(match done {
        Ok(answer) => json_reply(StatusCode::OK, &answer),
        Err(why) => json_reply(StatusCode::BAD_REQUEST, &json!({"error": why})),
    })
}

/// Sets the switches that `change` names and leaves the others.
///
/// # Errors
///
/// What is wrong with an unknown switch or a value of the wrong type.
pub fn set_faults<T>(faults: &mut T, change: Value) -> Result<Value, String>
where
    T: Serialize + DeserializeOwned,
{
    let mut all = serde_json::to_value(&*faults).map_err(|e| e.to_string())?;
    let Value::Object(change) = change else {
        return Err("a JSON object of switches is expected".to_owned());
    };
    if let Value::Object(map) = &mut all {
        map.extend(change);
    }
    *faults = serde_json::from_value(all.clone()).map_err(|e| e.to_string())?;
    Ok(all)
}

/// Takes one from a counter of faults still to come; false when none is left.
pub fn take_one(left: &mut u32) -> bool {
    let some = *left > 0;
    *left = left.saturating_sub(1);
    some
}
