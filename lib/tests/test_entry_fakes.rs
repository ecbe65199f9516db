//! Scripted fakes for tests of the entry: an owner, a control feed, an upstream and a
//! caller, all on 127.0.0.1.
#![expect(
    clippy::unwrap_used,
    reason = "a fake that cannot work must fail its test"
)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use banyangauge::catalog::Catalog;
use banyangauge::entry::Entry;
use banyangauge::entry::EntrySettings;
use banyangauge::entry::Limits;
use banyangauge_proto as wire;
use futures_util::Stream;
use futures_util::StreamExt;
use sha2::Digest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Status;
use wire::entry_message::Body as ToOwner;
use wire::owner_message::Body as FromOwner;

pub(crate) const KEY: &str = "key-of-laundry";
pub(crate) const OTHER_KEY: &str = "key-of-letters";

/// Returns the owner's reply to an `Acquire`; `None` leaves the request waiting.
pub(crate) type OwnerScript = Arc<dyn Fn(&wire::Acquire) -> Option<FromOwner> + Send + Sync>;

#[derive(Clone)]
pub(crate) struct FakeOwner {
    pub(crate) received: Arc<Mutex<Vec<ToOwner>>>,
    pub(crate) ttl_ms: u64,
    /// Whether the owner answers renewals.
    pub(crate) renews: bool,
    pub(crate) script: OwnerScript,
}

type Answers<T> = std::pin::Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

#[tonic::async_trait]
impl wire::grants_server::Grants for FakeOwner {
    type SessionStream = Answers<wire::OwnerMessage>;

    async fn session(
        &self,
        request: tonic::Request<tonic::Streaming<wire::EntryMessage>>,
    ) -> Result<tonic::Response<Self::SessionStream>, Status> {
        let mut inbox = request.into_inner();
        let (out, answers) = mpsc::channel(1_000);
        let owner = self.clone();
        // Like the real owner, answers the call only after it has read the hello.
        let mut next = inbox.message().await;
        tokio::spawn(async move {
            while let Ok(Some(message)) = next {
                let body = message.body.unwrap();
                let response = owner.answer(&body);
                owner.received.lock().unwrap().push(body);
                if let Some(response) = response {
                    let message = wire::OwnerMessage {
                        body: Some(response),
                    };
                    if out.send(Ok(message)).await.is_err() {
                        return;
                    }
                }
                next = inbox.message().await;
            }
        });
        Ok(tonic::Response::new(Box::pin(ReceiverStream::new(answers))))
    }
}

impl FakeOwner {
    pub(crate) fn new(script: OwnerScript, ttl_ms: u64, renews: bool) -> Self {
        Self {
            received: Arc::default(),
            ttl_ms,
            renews,
            script,
        }
    }

    pub(crate) async fn serve(&self) -> SocketAddr {
        let (listener, address) = bind().await;
        let service = wire::grants_server::GrantsServer::new(self.clone());
        tokio::spawn(
            tonic::transport::Server::builder()
                .serve_with_incoming(service, TcpListenerStream::new(listener)),
        );
        address
    }

    fn answer(&self, body: &ToOwner) -> Option<FromOwner> {
        match body {
            ToOwner::Hello(_) => Some(FromOwner::Welcome(wire::Welcome {
                token: 1,
                ttl_ms: self.ttl_ms,
            })),
            ToOwner::Acquire(a) => (self.script)(a),
            ToOwner::Renew(r) if self.renews => Some(FromOwner::Renewed(wire::Renewed {
                grants: r.grants.clone(),
                unknown: vec![],
            })),
            _ => None,
        }
    }
}

pub(crate) fn grant(a: &wire::Acquire, address: SocketAddr, ttl_ms: u64) -> FromOwner {
    FromOwner::Granted(wire::Grant {
        request: a.request,
        // Unique, like the ticket numbers of the real owner.
        grant: a.request + 1_000 * (1 + u64::from(a.attempt)),
        replica: format!("replica-{}", address.port()),
        address: address.to_string(),
        incarnation: 7,
        adapter: a.adapter.clone(),
        version: a.version,
        token: 1,
        ttl_ms,
        priority: 3,
        team: a.team.clone(),
        ..wire::Grant::default()
    })
}

pub(crate) fn refuse(a: &wire::Acquire, reason: &str, claim_state: &str) -> FromOwner {
    FromOwner::Refused(wire::Refusal {
        request: a.request,
        reason: reason.into(),
        retry_after_ms: 1_500,
        claim_state: claim_state.into(),
    })
}

#[derive(Clone)]
pub(crate) struct FakeFeed {
    pub(crate) messages: Vec<wire::FeedMessage>,
    pub(crate) reports: Arc<Mutex<Vec<wire::UsageReport>>>,
    /// Number of reports to refuse, as a process that is stopping does.
    pub(crate) refusals: Arc<AtomicUsize>,
}

#[tonic::async_trait]
impl wire::feed_server::Feed for FakeFeed {
    type SubscribeStream = Answers<wire::FeedMessage>;

    async fn subscribe(
        &self,
        _: tonic::Request<wire::FeedRequest>,
    ) -> Result<tonic::Response<Self::SubscribeStream>, Status> {
        let messages = self.messages.clone().into_iter().map(Ok);
        let stream = futures_util::stream::iter(messages).chain(futures_util::stream::pending());
        Ok(tonic::Response::new(Box::pin(stream)))
    }

    async fn report_usage(
        &self,
        request: tonic::Request<wire::UsageReport>,
    ) -> Result<tonic::Response<wire::UsageReply>, Status> {
        let decrement = |n: usize| n.checked_sub(1);
        let refused = self
            .refusals
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement);
        if refused.is_ok() {
            return Err(Status::unavailable("stopping"));
        }
        let report = request.into_inner();
        let sequence = report.sequence;
        self.reports.lock().unwrap().push(report);
        Ok(tonic::Response::new(wire::UsageReply { sequence }))
    }
}

pub(crate) async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

pub(crate) fn catalog() -> Catalog {
    let hash = |key: &str| {
        let digest: [u8; 32] = sha2::Sha256::digest(key).into();
        digest
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect::<String>()
    };
    serde_json::from_value(serde_json::json!({
        "revision": 5,
        "teams": {
            "laundry": {"keys": [hash(KEY)], "share": 1},
            "letters": {"keys": [hash(OTHER_KEY)], "share": 1},
        },
        "adapters": {
            "rosters": {"owner": "laundry", "pool": "assistant", "versions": [1, 2, 3],
                        "serving": {"laundry": 2}},
        },
        "pools": {
            "assistant": {"kind": "engine", "base": "b", "honours_token": true,
                "weighing": "stalls", "loads_per_s": 3.0, "step_us": 5500, "replicas": []},
            "booking": {"kind": "service", "prefix": "/booking/", "idempotent": ["GET"],
                "replicas": []},
        },
    }))
    .unwrap()
}

pub(crate) fn feed_message(body: wire::feed_message::Body) -> wire::FeedMessage {
    wire::FeedMessage { body: Some(body) }
}

pub(crate) fn snapshot(catalog: &Catalog) -> wire::FeedMessage {
    feed_message(wire::feed_message::Body::Snapshot(wire::Snapshot {
        revision: catalog.revision.0,
        catalog: serde_json::to_vec(catalog).unwrap().into(),
    }))
}

fn owners(address: SocketAddr) -> wire::FeedMessage {
    let owner = |pool: &str| wire::Owner {
        pool: pool.into(),
        vm: "vm-1".into(),
        address: address.to_string(),
        token: 1,
    };
    feed_message(wire::feed_message::Body::Owners(wire::Owners {
        owners: vec![owner("assistant"), owner("booking")],
    }))
}

pub(crate) struct World {
    pub(crate) entry: Entry,
    pub(crate) owner: FakeOwner,
    pub(crate) feed: FakeFeed,
}

impl World {
    pub(crate) async fn start(script: OwnerScript) -> Self {
        Self::with(script, Limits::default(), 5_000, true).await
    }

    pub(crate) async fn with(
        script: OwnerScript,
        limits: Limits,
        ttl_ms: u64,
        renews: bool,
    ) -> Self {
        let owner = FakeOwner::new(script, ttl_ms, renews);
        let owner_address = owner.serve().await;
        let feed = FakeFeed {
            messages: vec![snapshot(&catalog()), owners(owner_address)],
            reports: Arc::default(),
            refusals: Arc::default(),
        };
        let control = serve_feed(&feed).await;
        let entry = start_entry(control, limits).await;
        for _ in 0..500 {
            if entry.state.view().revision().0 == 5 && !entry.state.owners.borrow().is_empty() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(entry.state.view().revision().0, 5);
        Self { entry, owner, feed }
    }

    pub(crate) async fn send(&self, head: &str, body: &str) -> CallerResponse {
        send_request(self.entry.address, head, body).await
    }

    /// Waits until the owner has received `count` releases and returns them in the
    /// order of their grants. They may arrive in another order: a release that waits
    /// for a cancellation comes after that of the next attempt.
    pub(crate) async fn releases(&self, count: usize) -> Vec<wire::Release> {
        for _ in 0..300 {
            let mut list: Vec<_> = self.owner_messages(|m| match m {
                ToOwner::Release(r) => Some(r.clone()),
                _ => None,
            });
            if list.len() >= count {
                list.sort_by_key(|r| r.grant);
                return list;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the owner did not receive {count} releases");
    }

    pub(crate) fn owner_messages<T>(&self, pick: impl Fn(&ToOwner) -> Option<T>) -> Vec<T> {
        let received = self.owner.received.lock().unwrap();
        received.iter().filter_map(pick).collect()
    }

    pub(crate) fn acquires(&self) -> Vec<wire::Acquire> {
        self.owner_messages(|m| match m {
            ToOwner::Acquire(a) => Some(a.clone()),
            _ => None,
        })
    }
}

pub(crate) async fn serve_feed(feed: &FakeFeed) -> SocketAddr {
    let (listener, address) = bind().await;
    let service = wire::feed_server::FeedServer::new(feed.clone());
    tokio::spawn(
        tonic::transport::Server::builder()
            .serve_with_incoming(service, TcpListenerStream::new(listener)),
    );
    address
}

pub(crate) async fn start_entry(control: SocketAddr, limits: Limits) -> Entry {
    let settings = EntrySettings::builder()
        .vm("vm-1".parse().unwrap())
        .zone("suva-a".parse().unwrap())
        .organisation("tavuki")
        .listen("127.0.0.1:0".parse().unwrap())
        .internal("127.0.0.1:0".parse().unwrap())
        .controls(vec![control])
        .limits(limits)
        .build();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Entry::start(settings, log).await.unwrap()
}

/// A request as the upstream received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) head: String,
    pub(crate) body: String,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|l| {
        let (n, v) = l.split_once(": ")?;
        n.eq_ignore_ascii_case(name).then_some(v)
    })
}

/// An action of an upstream in response to a request.
#[derive(Clone, Debug)]
pub(crate) enum UpstreamAction {
    Write(String),
    Sleep(u64),
    /// Closes the connection at once.
    Cut,
}

pub(crate) struct FakeUpstream {
    pub(crate) address: SocketAddr,
    pub(crate) got: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl FakeUpstream {
    pub(crate) async fn start(
        script: impl Fn(&ReceivedRequest) -> Vec<UpstreamAction> + Send + Sync + 'static,
    ) -> Self {
        let (listener, address) = bind().await;
        let got: Arc<Mutex<Vec<ReceivedRequest>>> = Arc::default();
        let script = Arc::new(script);
        let shared = got.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (script, got) = (script.clone(), shared.clone());
                tokio::spawn(async move { serve_upstream(stream, got, &*script).await });
            }
        });
        Self { address, got }
    }

    pub(crate) fn count(&self, method: &str) -> usize {
        let got = self.got.lock().unwrap();
        got.iter().filter(|g| g.head.starts_with(method)).count()
    }
}

async fn serve_upstream(
    mut stream: TcpStream,
    got: Arc<Mutex<Vec<ReceivedRequest>>>,
    script: &(dyn Fn(&ReceivedRequest) -> Vec<UpstreamAction> + Send + Sync),
) -> Option<()> {
    let mut buffer = Vec::new();
    loop {
        let (head, body) = read_message(&mut stream, &mut buffer).await?;
        let request = ReceivedRequest { head, body };
        got.lock().unwrap().push(request.clone());
        if request.head.starts_with("DELETE") {
            let done = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(done).await.ok()?;
            continue;
        }
        for act in script(&request) {
            match act {
                UpstreamAction::Write(s) => stream.write_all(s.as_bytes()).await.ok()?,
                UpstreamAction::Sleep(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                UpstreamAction::Cut => return None,
            }
        }
    }
}

async fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, String)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8(buffer[..end + 2].to_vec()).unwrap();
            let length = header(&head, "content-length").map_or(0, |v| v.parse().unwrap());
            if buffer.len() >= end + 4 + length {
                let message: Vec<u8> = buffer.drain(..end + 4 + length).collect();
                return Some((
                    head,
                    String::from_utf8(message[end + 4..].to_vec()).unwrap(),
                ));
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

fn model_of(got: &ReceivedRequest) -> String {
    let body: serde_json::Value = serde_json::from_str(&got.body).unwrap();
    body["model"].as_str().unwrap().to_owned()
}

pub(crate) fn identity(got: &ReceivedRequest) -> String {
    format!(
        "x-request-id: {}\r\nx-served-model: {}\r\nx-engine-incarnation: 7\r\n",
        got.header("x-request-id").unwrap(),
        model_of(got)
    )
}

pub(crate) fn sized(status: &str, headers: &str, body: &str) -> UpstreamAction {
    UpstreamAction::Write(format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

pub(crate) fn error_code(status: &str, code: &str) -> UpstreamAction {
    sized(
        status,
        "",
        &format!("{{\"error\":{{\"code\":\"{code}\"}}}}"),
    )
}

/// A full completion of three tokens.
pub(crate) fn full_response(got: &ReceivedRequest) -> UpstreamAction {
    sized("200 OK", &identity(got), &full_body(got))
}

pub(crate) fn full_body(got: &ReceivedRequest) -> String {
    serde_json::json!({
        "id": got.header("x-request-id").unwrap(),
        "model": model_of(got),
        "choices": [{"index": 0, "text": "a b c ", "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 4, "completion_tokens": 3},
    })
    .to_string()
}

pub(crate) fn stream_head(got: &ReceivedRequest) -> UpstreamAction {
    UpstreamAction::Write(format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{}transfer-encoding: chunked\r\n\r\n",
        identity(got)
    ))
}

pub(crate) fn chunk(data: &str) -> UpstreamAction {
    UpstreamAction::Write(format!("{:x}\r\n{data}\r\n", data.len()))
}

/// The event of one token; the last one contains the usage.
pub(crate) fn token(got: &ReceivedRequest, index: u64, last: bool) -> UpstreamAction {
    let mut event = serde_json::json!({
        "id": got.header("x-request-id").unwrap(),
        "model": model_of(got),
        "token_index": index,
        "choices": [{"index": 0, "text": format!("t{index} "), "finish_reason": null}],
    });
    if last {
        event["choices"][0]["finish_reason"] = "stop".into();
        event["usage"] = serde_json::json!({"prompt_tokens": 4, "completion_tokens": index + 1});
    }
    chunk(&format!("data: {event}\n\n"))
}

pub(crate) fn stream_end() -> [UpstreamAction; 2] {
    [
        chunk("data: [DONE]\n\n"),
        UpstreamAction::Write("0\r\n\r\n".into()),
    ]
}

/// A complete stream of `tokens` tokens that starts at index `first`.
pub(crate) fn stream(got: &ReceivedRequest, first: u64, tokens: u64) -> Vec<UpstreamAction> {
    let mut acts = vec![stream_head(got)];
    acts.extend((first..tokens).map(|i| token(got, i, i + 1 == tokens)));
    acts.extend(stream_end());
    acts
}

/// A response as the caller received it.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the body ended as announced by the head.
    pub(crate) complete: bool,
}

impl CallerResponse {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    pub(crate) fn error(&self) -> (u16, String, String) {
        let body: serde_json::Value = serde_json::from_str(&self.body).unwrap();
        let text = |k: &str| body["error"][k].as_str().unwrap().to_owned();
        (self.status, text("code"), text("ran"))
    }
}

/// Sends a request on a new connection; `head` is the request line and the headers,
/// separated by `\n`.
pub(crate) async fn send_request(address: SocketAddr, head: &str, body: &str) -> CallerResponse {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let message = message(head, body);
    // The entry may refuse the request and close the connection before all is sent.
    stream.write_all(message.as_bytes()).await.ok();
    read_answer(&mut stream).await
}

pub(crate) fn message(head: &str, body: &str) -> String {
    let (line, headers) = head.split_once('\n').unwrap_or((head, ""));
    let headers: String = headers.lines().map(|l| format!("{l}\r\n")).collect();
    format!(
        "{line} HTTP/1.1\r\nhost: x\r\n{headers}connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub(crate) async fn read_answer(stream: &mut TcpStream) -> CallerResponse {
    let mut raw = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut raw));
    // A reset shows as an incomplete response.
    read.await.expect("no response within 20 s").ok();
    let text = String::from_utf8(raw).unwrap();
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).map_or(0, |s| s.parse().unwrap());
    let (body, complete) = match header(head, "content-length") {
        Some(n) => (rest.to_owned(), rest.len() == n.parse::<usize>().unwrap()),
        None => decode_chunks(rest),
    };
    CallerResponse {
        status,
        head: head.to_owned(),
        body,
        complete,
    }
}

fn decode_chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return (body, true);
        }
        let Some(piece) = after.get(..size) else {
            break;
        };
        body.push_str(piece);
        rest = after.get(size + 2..).unwrap_or("");
    }
    (body, false)
}

/// Returns the head of a completion request of the team `laundry`.
pub(crate) fn completion() -> String {
    format!("POST /v1/completions\nauthorization: Bearer {KEY}")
}

pub(crate) const PROMPT: &str = r#"{"model":"rosters@3","prompt":"Who is on?","max_tokens":3}"#;
pub(crate) const STREAM: &str =
    r#"{"model":"rosters","prompt":"Who is on?","max_tokens":3,"stream":true,"priority":0}"#;
