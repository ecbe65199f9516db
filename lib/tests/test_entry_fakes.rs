//! Small fakes around an entry: an owner with its feed, an upstream and a
//! caller, all on 127.0.0.1 and all scripted.
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

/// What the owner says to an `Acquire`.
pub(crate) type Script = Arc<dyn Fn(&wire::Acquire) -> Option<FromOwner> + Send + Sync>;

#[derive(Clone)]
pub(crate) struct FakeOwner {
    pub(crate) heard: Arc<Mutex<Vec<ToOwner>>>,
    pub(crate) ttl_ms: u64,
    /// Whether renewals are answered.
    pub(crate) renews: bool,
    pub(crate) script: Script,
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
        let me = self.clone();
        // Like the real owner, it answers the call only after the hello.
        let mut next = inbox.message().await;
        tokio::spawn(async move {
            while let Ok(Some(message)) = next {
                let body = message.body.unwrap();
                let answer = me.answer(&body);
                me.heard.lock().unwrap().push(body);
                if let Some(answer) = answer {
                    let message = wire::OwnerMessage { body: Some(answer) };
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
    pub(crate) fn new(script: Script, ttl_ms: u64, renews: bool) -> Self {
        Self {
            heard: Arc::default(),
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
        // Never given twice, as the owner's tickets are not.
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
    /// How many reports are refused, as by a process that stops.
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
        let left = |n: usize| n.checked_sub(1);
        let refused = self
            .refusals
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, left);
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
    pub(crate) async fn start(script: Script) -> Self {
        Self::with(script, Limits::default(), 5_000, true).await
    }

    pub(crate) async fn with(script: Script, limits: Limits, ttl_ms: u64, renews: bool) -> Self {
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

    pub(crate) async fn ask(&self, head: &str, body: &str) -> Answer {
        ask(self.entry.address, head, body).await
    }

    /// Releases that the owner heard, once there are `count` of them.
    /// The releases in the order of their grants: one that waits for a cancel
    /// comes after that of the next try.
    pub(crate) async fn releases(&self, count: usize) -> Vec<wire::Release> {
        for _ in 0..300 {
            let mut list: Vec<_> = self.hear(|m| match m {
                ToOwner::Release(r) => Some(r.clone()),
                _ => None,
            });
            if list.len() >= count {
                list.sort_by_key(|r| r.grant);
                return list;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("{count} releases did not come");
    }

    pub(crate) fn hear<T>(&self, pick: impl Fn(&ToOwner) -> Option<T>) -> Vec<T> {
        let heard = self.owner.heard.lock().unwrap();
        heard.iter().filter_map(pick).collect()
    }

    pub(crate) fn acquires(&self) -> Vec<wire::Acquire> {
        self.hear(|m| match m {
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

/// A request as an upstream got it.
#[derive(Clone, Debug)]
pub(crate) struct Got {
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Got {
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

/// What an upstream does with a request, step by step.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    Write(String),
    Sleep(u64),
    /// Closes the connection at once.
    Cut,
}

pub(crate) struct FakeUpstream {
    pub(crate) address: SocketAddr,
    pub(crate) got: Arc<Mutex<Vec<Got>>>,
}

impl FakeUpstream {
    pub(crate) async fn start(script: impl Fn(&Got) -> Vec<Act> + Send + Sync + 'static) -> Self {
        let (listener, address) = bind().await;
        let got: Arc<Mutex<Vec<Got>>> = Arc::default();
        let script = Arc::new(script);
        let kept = got.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (script, got) = (script.clone(), kept.clone());
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
    got: Arc<Mutex<Vec<Got>>>,
    script: &(dyn Fn(&Got) -> Vec<Act> + Send + Sync),
) -> Option<()> {
    let mut buffer = Vec::new();
    loop {
        let (head, body) = read_message(&mut stream, &mut buffer).await?;
        let request = Got { head, body };
        got.lock().unwrap().push(request.clone());
        if request.head.starts_with("DELETE") {
            let done = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(done).await.ok()?;
            continue;
        }
        for act in script(&request) {
            match act {
                Act::Write(s) => stream.write_all(s.as_bytes()).await.ok()?,
                Act::Sleep(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                Act::Cut => return None,
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

fn model_of(got: &Got) -> String {
    let body: serde_json::Value = serde_json::from_str(&got.body).unwrap();
    body["model"].as_str().unwrap().to_owned()
}

pub(crate) fn identity(got: &Got) -> String {
    format!(
        "x-request-id: {}\r\nx-served-model: {}\r\nx-engine-incarnation: 7\r\n",
        got.header("x-request-id").unwrap(),
        model_of(got)
    )
}

pub(crate) fn sized(status: &str, headers: &str, body: &str) -> Act {
    Act::Write(format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

pub(crate) fn error_code(status: &str, code: &str) -> Act {
    sized(
        status,
        "",
        &format!("{{\"error\":{{\"code\":\"{code}\"}}}}"),
    )
}

/// A whole completion of three tokens.
pub(crate) fn whole(got: &Got) -> Act {
    sized("200 OK", &identity(got), &whole_body(got))
}

pub(crate) fn whole_body(got: &Got) -> String {
    serde_json::json!({
        "id": got.header("x-request-id").unwrap(),
        "model": model_of(got),
        "choices": [{"index": 0, "text": "a b c ", "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 4, "completion_tokens": 3},
    })
    .to_string()
}

pub(crate) fn stream_head(got: &Got) -> Act {
    Act::Write(format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{}transfer-encoding: chunked\r\n\r\n",
        identity(got)
    ))
}

pub(crate) fn chunk(data: &str) -> Act {
    Act::Write(format!("{:x}\r\n{data}\r\n", data.len()))
}

/// One token's event; the last has the usage.
pub(crate) fn token(got: &Got, index: u64, last: bool) -> Act {
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

pub(crate) fn stream_end() -> [Act; 2] {
    [chunk("data: [DONE]\n\n"), Act::Write("0\r\n\r\n".into())]
}

/// A whole stream of `tokens`, from `first` on.
pub(crate) fn stream(got: &Got, first: u64, tokens: u64) -> Vec<Act> {
    let mut acts = vec![stream_head(got)];
    acts.extend((first..tokens).map(|i| token(got, i, i + 1 == tokens)));
    acts.extend(stream_end());
    acts
}

/// An answer as a caller got it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether it ended as its head promised.
    pub(crate) whole: bool,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    pub(crate) fn error(&self) -> (u16, String, String) {
        let body: serde_json::Value = serde_json::from_str(&self.body).unwrap();
        let text = |k: &str| body["error"][k].as_str().unwrap().to_owned();
        (self.status, text("code"), text("ran"))
    }
}

/// Sends a request on a connection of its own; `head` is the request line and
/// headers, with `\n` between them.
pub(crate) async fn ask(address: SocketAddr, head: &str, body: &str) -> Answer {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let message = message(head, body);
    // A caller that is refused early may find the connection closed.
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

pub(crate) async fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut raw = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut raw));
    // A reset shows as an answer that is not whole.
    read.await.expect("an answer in 20 s").ok();
    let text = String::from_utf8(raw).unwrap();
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).map_or(0, |s| s.parse().unwrap());
    let (body, whole) = match header(head, "content-length") {
        Some(n) => (rest.to_owned(), rest.len() == n.parse::<usize>().unwrap()),
        None => unchunk(rest),
    };
    Answer {
        status,
        head: head.to_owned(),
        body,
        whole,
    }
}

fn unchunk(mut rest: &str) -> (String, bool) {
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

/// Head of a completion by the laundry team.
pub(crate) fn completion() -> String {
    format!("POST /v1/completions\nauthorization: Bearer {KEY}")
}

pub(crate) const PROMPT: &str = r#"{"model":"rosters@3","prompt":"Who is on?","max_tokens":3}"#;
pub(crate) const STREAM: &str =
    r#"{"model":"rosters","prompt":"Who is on?","max_tokens":3,"stream":true,"priority":0}"#;
