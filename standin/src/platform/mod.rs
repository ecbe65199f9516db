//! The stand-in of the platform's object API and VM list.

mod limits;
mod store;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use argh::FromArgs;
use bon::Builder;
use bytes::Bytes;
use futures_util::stream;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::http;
use crate::http::Body;
use crate::http::Cut;
use crate::http::Doors;
use crate::http::Reply;
use crate::http::Running;
use limits::Bucket;
use store::Store;
use store::StoreError;

/// Where the API's paths begin.
const ROOT: &str = "/apis/banyangauge.dev/v1/";

/// The largest object, in bytes.
const OBJECT_MOST: usize = 1 << 20;

/// How often a quiet watch gets a bookmark.
const BOOKMARK: Duration = Duration::from_secs(5);

/// Kinds whose accepted writes the history keeps with their content.
const KEPT_KINDS: [&str; 3] = ["catalogs", "claims", "leases"];

/// Accepted writes that are kept.
const WRITES_MOST: usize = 100_000;

/// Settings of the platform; starts a stand-in of the platform.
#[derive(Builder, Clone, Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// where to serve; port 0 takes a free one
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub listen: SocketAddr,
    /// where the control port listens
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub control: SocketAddr,
    /// not used; every stand-in takes a seed
    #[argh(option, default = "1")]
    #[builder(default = 1)]
    pub seed: u64,
    /// writes a second that are accepted
    #[argh(option, default = "300.0")]
    #[builder(default = 300.0)]
    pub writes_per_s: f64,
    /// reads a second that are accepted
    #[argh(option, default = "2000.0")]
    #[builder(default = 2_000.0)]
    pub reads_per_s: f64,
    /// how late the VM list follows, in milliseconds
    #[argh(option, default = "1000")]
    #[builder(default = 1_000)]
    pub list_lag_ms: u64,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Refuse every call and end every watch.
    down: bool,
    /// Lengthen each call by so much.
    slow_ms: u64,
    /// The next so many writes take effect and lose their answer.
    lose_after_write: u32,
}

#[derive(Serialize)]
struct Write {
    at_ms: u64,
    method: &'static str,
    object: Value,
}

#[derive(Serialize)]
struct Seen {
    /// Calls by kind and method; a watch counts once.
    calls: BTreeMap<String, BTreeMap<String, u64>>,
    /// Calls refused over the rate or in an outage.
    refused: u64,
    /// Bytes of the bodies of calls and answers, by kind.
    bytes: BTreeMap<String, u64>,
    writes: Vec<Write>,
}

struct Inner {
    store: Store,
    faults: Faults,
    seen: Seen,
    writes: Bucket,
    reads: Bucket,
}

struct Platform {
    inner: Mutex<Inner>,
    /// The highest version; watches follow it.
    version: watch::Sender<u64>,
    down: watch::Sender<bool>,
    doors: Arc<Doors>,
    start: Instant,
    lag: Duration,
}

/// Starts a platform stand-in in this process.
///
/// # Errors
///
/// When a port cannot be bound.
pub async fn start(args: PlatformArgs) -> std::io::Result<Running> {
    let doors = Arc::new(Doors::default());
    let now = Instant::now();
    let platform = Arc::new(Platform {
        inner: Mutex::new(Inner {
            store: Store::default(),
            faults: Faults::default(),
            seen: Seen {
                calls: BTreeMap::new(),
                refused: 0,
                bytes: BTreeMap::new(),
                writes: Vec::new(),
            },
            writes: Bucket::new(args.writes_per_s, now),
            reads: Bucket::new(args.reads_per_s, now),
        }),
        version: watch::Sender::new(0),
        down: watch::Sender::new(false),
        doors: doors.clone(),
        start: now,
        lag: Duration::from_millis(args.list_lag_ms),
    });
    let side = platform.clone();
    let control =
        move |method: &str, path: &str, body: Value| control_call(&side, method, path, body);
    let shared = doors.clone();
    http::start((args.listen, args.control), doors, control, move |l| {
        http::serve(l, shared, move |request| handle(platform.clone(), request))
    })
    .await
}

fn control_call(
    platform: &Arc<Platform>,
    method: &str,
    path: &str,
    body: Value,
) -> Result<Value, String> {
    match (method, path) {
        ("POST", "/faults") => {
            let mut inner = http::lock(&platform.inner);
            let set = http::set_faults(&mut inner.faults, body)?;
            platform.down.send_replace(inner.faults.down);
            Ok(set)
        }
        ("POST", "/vms") => {
            let vms: Vec<Vm> = serde_json::from_value(body).map_err(|e| e.to_string())?;
            let platform = platform.clone();
            tokio::spawn(async move {
                tokio::time::sleep(platform.lag).await;
                platform.show_vms(vms);
            });
            Ok(json!({}))
        }
        ("GET", "/history") => {
            serde_json::to_value(&http::lock(&platform.inner).seen).map_err(|e| e.to_string())
        }
        _ => Err(format!("no {method} {path} here")),
    }
}

/// One VM of the list, as the control port takes it.
#[derive(Deserialize)]
struct Vm {
    name: String,
    address: String,
    zone: String,
    state: String,
}

impl Platform {
    /// Makes the VM list what was set a lag ago.
    fn show_vms(&self, vms: Vec<Vm>) {
        let mut inner = http::lock(&self.inner);
        let wanted: BTreeMap<String, Value> = vms
            .into_iter()
            .map(|v| {
                let spec = json!({"address": v.address, "zone": v.zone, "state": v.state});
                (v.name, spec)
            })
            .collect();
        inner.store.set_all("vms", &wanted);
        self.version.send_replace(inner.store.version());
    }
}

/// A call, taken apart.
struct Call<'a> {
    method: &'static str,
    kind: &'a str,
    name: &'a str,
    query: &'a str,
}

impl<'a> Call<'a> {
    fn parse(method: &Method, path: &'a str, query: &'a str) -> Option<Self> {
        let rest = path.strip_prefix(ROOT)?;
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let watches = query.split('&').any(|part| part == "watch=1");
        let method = match (method.as_str(), name.is_empty()) {
            ("GET", true) if watches => "watch",
            ("GET", true) => "list",
            ("GET", false) => "get",
            ("POST", true) => "create",
            ("PUT", false) => "replace",
            ("DELETE", false) => "delete",
            _ => return None,
        };
        let reads_only = kind == "vms" && matches!(method, "create" | "replace" | "delete");
        (!reads_only).then_some(Self {
            method,
            kind,
            name,
            query,
        })
    }

    fn is_write(&self) -> bool {
        matches!(self.method, "create" | "replace" | "delete")
    }
}

async fn handle(platform: Arc<Platform>, request: Request<Incoming>) -> Reply {
    let (parts, body) = request.into_parts();
    let query = parts.uri.query().unwrap_or("");
    let Some(call) = Call::parse(&parts.method, parts.uri.path(), query) else {
        return Ok(failed(StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed"));
    };
    let body = http::read_body(body).await?;
    let slow = {
        let mut inner = http::lock(&platform.inner);
        if let Err((status, reason)) = inner.let_in(&call, body.len()) {
            return Ok(failed(status, reason));
        }
        Duration::from_millis(inner.faults.slow_ms)
    };
    if !slow.is_zero() {
        tokio::time::sleep(slow).await;
    }
    if call.method == "watch" {
        return Ok(platform.watch(&call));
    }
    let mut inner = http::lock(&platform.inner);
    let reply = inner.answer(&platform, &call, &body);
    let changed = call.is_write() && reply.status().is_success();
    if changed && http::take_one(&mut inner.faults.lose_after_write) {
        return Err(Cut);
    }
    Ok(reply)
}

impl Inner {
    /// Counts a call and checks outage, rate and size.
    fn let_in(&mut self, call: &Call<'_>, size: usize) -> Result<(), (StatusCode, &'static str)> {
        let of_kind = self.seen.calls.entry(call.kind.to_owned()).or_default();
        *of_kind.entry(call.method.to_owned()).or_default() += 1;
        *self.seen.bytes.entry(call.kind.to_owned()).or_default() += size as u64;
        let bucket = match call.is_write() {
            true => &mut self.writes,
            false => &mut self.reads,
        };
        let refusal = if self.faults.down {
            (StatusCode::SERVICE_UNAVAILABLE, "ServiceUnavailable")
        } else if !bucket.take(Instant::now()) {
            (StatusCode::TOO_MANY_REQUESTS, "TooManyRequests")
        } else if size > OBJECT_MOST {
            (StatusCode::PAYLOAD_TOO_LARGE, "TooLarge")
        } else {
            return Ok(());
        };
        self.seen.refused += 1;
        Err(refusal)
    }

    fn answer(&mut self, platform: &Platform, call: &Call<'_>, body: &[u8]) -> Response<Body> {
        let done = match call.method {
            "get" => self.store.get(call.kind, call.name),
            "list" => Ok(self.store.list(call.kind)),
            "delete" => self.store.delete(call.kind, call.name),
            "create" => self.store.create(call.kind, body),
            _ => self.store.replace(call.kind, call.name, body),
        };
        let object = match done {
            Ok(object) => object,
            Err(e) => return store_failed(&e),
        };
        if call.is_write() {
            platform.version.send_replace(self.store.version());
            self.keep_write(platform, call, &object);
        }
        let status = match call.method {
            "create" => StatusCode::CREATED,
            _ => StatusCode::OK,
        };
        http::json_reply(status, &object)
    }

    fn keep_write(&mut self, platform: &Platform, call: &Call<'_>, object: &Value) {
        if KEPT_KINDS.contains(&call.kind) && self.seen.writes.len() < WRITES_MOST {
            self.seen.writes.push(Write {
                at_ms: platform.start.elapsed().as_millis() as u64,
                method: call.method,
                object: object.clone(),
            });
        }
    }
}

fn failed(status: StatusCode, reason: &str) -> Response<Body> {
    http::json_reply(status, &json!({"kind": "Status", "reason": reason}))
}

fn store_failed(error: &StoreError) -> Response<Body> {
    match error {
        StoreError::NotFound => failed(StatusCode::NOT_FOUND, "NotFound"),
        StoreError::Exists => failed(StatusCode::CONFLICT, "AlreadyExists"),
        StoreError::Conflict => failed(StatusCode::CONFLICT, "Conflict"),
        StoreError::Expired => failed(StatusCode::GONE, "Expired"),
        StoreError::Malformed => failed(StatusCode::BAD_REQUEST, "BadRequest"),
    }
}

/// One watch, and how far it is.
struct Watching {
    platform: Arc<Platform>,
    kind: String,
    after: u64,
    versions: watch::Receiver<u64>,
    down: watch::Receiver<bool>,
}

impl Platform {
    fn watch(self: &Arc<Self>, call: &Call<'_>) -> Response<Body> {
        let part = call
            .query
            .split('&')
            .find_map(|part| part.strip_prefix("resourceVersion="));
        let after = part.and_then(|n| n.parse().ok()).unwrap_or(0);
        let early = http::lock(&self.inner).store.events(call.kind, after);
        if let Err(e) = early {
            return store_failed(&e);
        }
        let watching = Watching {
            platform: self.clone(),
            kind: call.kind.to_owned(),
            after,
            versions: self.version.subscribe(),
            down: self.down.subscribe(),
        };
        let pieces = stream::unfold(watching, next_lines);
        Response::new(Body::Stream(Box::pin(pieces)))
    }
}

/// The next lines of a watch; `None` ends it.
async fn next_lines(mut w: Watching) -> Option<(Result<Bytes, Cut>, Watching)> {
    loop {
        if *w.down.borrow() {
            return None;
        }
        w.versions.mark_unchanged();
        let (lines, newest) = {
            let inner = http::lock(&w.platform.inner);
            let lines = inner.store.events(&w.kind, w.after);
            (lines, inner.store.version())
        };
        // A watch that fell behind the kept events ends; its reader lists again.
        let lines = lines.ok()?;
        w.after = newest;
        if !lines.is_empty() {
            return Some((Ok(lines), w));
        }
        let stop = w.platform.doors.stop.clone();
        tokio::select! {
            _ = w.versions.changed() => {}
            _ = w.down.changed() => {}
            () = stop.cancelled() => return None,
            () = tokio::time::sleep(BOOKMARK) => {
                let mark = json!({"type": "BOOKMARK", "object": {"kind": w.kind,
                    "metadata": {"name": "", "resourceVersion": w.after.to_string()}}});
                return Some((Ok(Bytes::from(format!("{mark}\n"))), w));
            }
        }
    }
}
