//! Test rig: control processes inside the test process, with stand-ins for the
//! platform and the engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use banyangauge::catalog::Catalog;
use banyangauge::catalog::Change;
use banyangauge::control::Control;
use banyangauge::control::ControlSettings;
use banyangauge::control::config;
use banyangauge::ids::PoolName;
use banyangauge_proto as wire;
use banyangauge_standin::Running;
use banyangauge_standin::engine;
use banyangauge_standin::engine::EngineArgs;
use banyangauge_standin::platform;
use banyangauge_standin::platform::PlatformArgs;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_stream::wrappers::ReceiverStream;
use wire::entry_message::Body as EntryBody;
use wire::owner_message::Body as OwnerBody;

/// The timeout of every wait: far above the times measured, so that a slow machine
/// fails no test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) const POOL: &str = "p";

/// Settings with times of a tenth of the defaults or less.
const FAST_SETTINGS: &str = r#"
[lease]
ttl_ms = 600
renew_ms = 200
margin_ms = 60
stagger_ms = 20
[grants]
ttl_ms = 1000
margin_ms = 200
quarantine_ms = 3500
[upstreams]
poll_ms = 50
[members]
beat_ms = 50
suspect_ms = 500
gone_ms = 5000
[claims]
gap_ms = 20
"#;

/// The size and kind of a rig.
pub(crate) struct Plan {
    pub(crate) controls: usize,
    pub(crate) engines: usize,
    pub(crate) slots: u32,
    pub(crate) honours_token: bool,
}

pub(crate) struct Rig {
    pub(crate) platform: Running,
    pub(crate) engines: Vec<Running>,
    pub(crate) controls: Vec<Option<Control>>,
    /// Each control's connection to the platform.
    pub(crate) links: Vec<Link>,
    plan: Plan,
}

impl Rig {
    pub(crate) async fn start(plan: Plan) -> Self {
        let args = PlatformArgs::builder().list_lag_ms(50).build();
        let platform = platform::start(args).await.unwrap();
        let mut engines = Vec::new();
        for _ in 0..plan.engines {
            let args = EngineArgs::builder()
                .slots(plan.slots as usize)
                .honours_token(plan.honours_token)
                .report_lag_ms(0)
                .build();
            engines.push(engine::start(args).await.unwrap());
        }
        let catalog = catalog(&plan, &engines);
        let mut listeners = Vec::new();
        let mut links = Vec::new();
        for _ in 0..plan.controls {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
            links.push(Link::start(platform.address).await);
        }
        let all: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        let mut controls = Vec::new();
        for (n, listener) in listeners.into_iter().enumerate() {
            let peers = all.iter().filter(|a| **a != all[n]);
            let peers: Vec<String> = peers.map(|a| format!("{a:?}")).collect();
            let text = format!(
                "vm = \"vm-{n}\"\nzone = \"z\"\norganisation = \"o\"\nlisten = \"{}\"\n\
                 metrics = \"127.0.0.1:0\"\nplatform = \"{}\"\npeers = {peers:?}\n{FAST_SETTINGS}",
                all[n], links[n].address
            );
            let settings: ControlSettings = toml::from_str(&text).unwrap();
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let control = Control::start_on(listener, settings, log).unwrap();
            config::activate(&control.shared, catalog.clone(), &[]);
            controls.push(Some(control));
        }
        Self {
            platform,
            engines,
            controls,
            links,
            plan,
        }
    }

    pub(crate) fn control(&self, n: usize) -> &Control {
        self.controls[n].as_ref().unwrap()
    }

    /// Waits until the platform's lease is held with a token of at least this;
    /// returns the index of its holder.
    pub(crate) async fn owner(&self, token: u64) -> usize {
        let holder = until(async || {
            let lease = self.object("leases", "pool-p").await?;
            let held = lease["token"].as_u64()? >= token && lease["released"] == false;
            held.then(|| lease["holder"].as_str().map(str::to_owned))?
        })
        .await;
        holder.strip_prefix("vm-").unwrap().parse().unwrap()
    }

    /// Returns the content of an object on the platform.
    pub(crate) async fn object(&self, kind: &str, name: &str) -> Option<Value> {
        let path = format!("/apis/banyangauge.dev/v1/{kind}/{name}");
        let answer = call(self.platform.address, "GET", &path, "").await;
        answer.get("spec").cloned()
    }

    pub(crate) async fn faults(&self, faults: Value) {
        let body = faults.to_string();
        call(self.platform.control, "POST", "/faults", &body).await;
    }

    /// Returns the orders of one kind that an engine carried out, as (model, token).
    pub(crate) async fn orders(&self, engine: usize, kind: &str) -> Vec<(String, u64)> {
        let history = call(self.engines[engine].control, "GET", "/history", "").await;
        let orders = history["orders"].as_array().unwrap().iter();
        let done = orders.filter(|o| o["kind"] == kind && o["status"] == 200);
        done.map(|o| {
            let model = o["model"].as_str().unwrap().to_owned();
            (model, o["token"].as_u64().unwrap())
        })
        .collect()
    }

    /// Applies a catalog revision with only these replicas on every control.
    pub(crate) fn list_replicas(&self, names: &[&str]) {
        for control in self.controls.iter().flatten() {
            let mut next = Catalog::clone(&control.shared.state.catalog.borrow());
            let all = catalog(&self.plan, &self.engines);
            let mut spec = all.pools[&pool()].clone();
            spec.replicas.retain(|r| names.contains(&r.name.as_str()));
            let pool = pool();
            next.apply(&[Change::PutPool { pool, spec }]).unwrap();
            assert!(config::activate(&control.shared, next, &[]));
        }
    }

    /// Opens an entry's session at a control, waiting until it is the owner.
    pub(crate) async fn open_session(&self, n: usize, entry: &str, held: &[wire::Grant]) -> Entry {
        let address = self.control(n).shared.address;
        until(async || Entry::open(address, entry, held).await).await
    }
}

fn catalog(plan: &Plan, engines: &[Running]) -> Catalog {
    let replicas: Vec<Value> = engines
        .iter()
        .enumerate()
        .map(|(n, e)| {
            json!({"name": format!("r-{n}"), "address": e.address, "zone": "z",
                   "slots": plan.slots, "batch": 8})
        })
        .collect();
    let mut changes = vec![
        json!({"change": "put_team", "team": "t", "keys": ["0".repeat(64)], "share": 1}),
        json!({"change": "put_pool", "pool": POOL, "spec": {
            "kind": "engine", "base": "m", "honours_token": plan.honours_token,
            "weighing": "stalls", "loads_per_s": 50.0, "step_us": 1000,
            "replicas": replicas}}),
    ];
    for name in ["a", "b", "c"] {
        changes
            .push(json!({"change": "create_adapter", "adapter": name, "owner": "t", "pool": POOL}));
        changes.push(json!({"change": "add_version", "adapter": name, "version": 1}));
    }
    let changes: Vec<Change> = changes
        .into_iter()
        .map(|c| serde_json::from_value(c).unwrap())
        .collect();
    let mut catalog = Catalog::default();
    catalog.apply(&changes).unwrap();
    catalog
}

/// An entry's session with an owner.
pub(crate) struct Entry {
    pub(crate) token: u64,
    out: mpsc::Sender<wire::EntryMessage>,
    messages: tonic::Streaming<wire::OwnerMessage>,
}

impl Entry {
    /// Returns `None` if the process is not the owner or not reachable.
    pub(crate) async fn open(
        address: SocketAddr,
        entry: &str,
        held: &[wire::Grant],
    ) -> Option<Self> {
        let (out, sent) = mpsc::channel(64);
        let hello = wire::Hello {
            pool: POOL.to_owned(),
            entry: entry.to_owned(),
            incarnation: 1,
            held: held.to_vec(),
        };
        let first = wire::EntryMessage {
            body: Some(EntryBody::Hello(hello)),
        };
        out.send(first).await.unwrap();
        let target = format!("http://{address}");
        let mut client = wire::grants_client::GrantsClient::connect(target)
            .await
            .ok()?;
        let messages = client.session(ReceiverStream::new(sent)).await.ok()?;
        let mut entry = Self {
            token: 0,
            out,
            messages: messages.into_inner(),
        };
        match entry.next().await {
            Some(OwnerBody::Welcome(w)) => entry.token = w.token,
            _ => return None,
        }
        Some(entry)
    }

    pub(crate) async fn send(&self, body: EntryBody) {
        let message = wire::EntryMessage { body: Some(body) };
        self.out.send(message).await.unwrap();
    }

    pub(crate) async fn acquire(&self, request: u64, adapter: &str, claim: &str) {
        self.send(EntryBody::Acquire(wire::Acquire {
            request,
            team: "t".to_owned(),
            adapter: adapter.to_owned(),
            version: 1,
            deadline_ms: 20_000,
            max_tokens: 4,
            idempotent: claim.is_empty(),
            fingerprint: request,
            claim: claim.to_owned(),
            ..wire::Acquire::default()
        }))
        .await;
    }

    pub(crate) async fn release(&self, grant: &wire::Grant, outcome: u32, claim: &str) {
        self.send(EntryBody::Release(wire::Release {
            request: grant.request,
            grant: grant.grant,
            outcome,
            claim_outcome: claim.to_owned(),
            ..wire::Release::default()
        }))
        .await;
    }

    /// Releases an adopted grant whose call has a key and was answered.
    pub(crate) async fn release_answered(&self, grant: &wire::Grant, claim: &str) {
        self.send(EntryBody::Release(wire::Release {
            request: grant.request,
            grant: grant.grant,
            claim_outcome: "answered".to_owned(),
            claim: claim.to_owned(),
            ..wire::Release::default()
        }))
        .await;
    }

    pub(crate) async fn renew(&self, grants: &[u64]) {
        let grants = grants.to_vec();
        self.send(EntryBody::Renew(wire::Renew { grants })).await;
    }

    /// Returns the next message; `None` once the stream has ended.
    pub(crate) async fn next(&mut self) -> Option<OwnerBody> {
        let message = tokio::time::timeout(WAIT_TIMEOUT, self.messages.message());
        message.await.unwrap().ok()??.body
    }

    pub(crate) async fn granted(&mut self) -> wire::Grant {
        loop {
            match self.next().await {
                Some(OwnerBody::Granted(grant)) => return grant,
                Some(OwnerBody::Renewed(_)) => {}
                other => panic!("expected a grant, got {other:?}"),
            }
        }
    }

    /// Acquires with a key, and retries until the owner has read its journal.
    pub(crate) async fn granted_keyed(
        &mut self,
        request: u64,
        adapter: &str,
        claim: &str,
    ) -> wire::Grant {
        let acquire = async {
            loop {
                self.acquire(request, adapter, claim).await;
                match self.next().await {
                    Some(OwnerBody::Granted(grant)) => return grant,
                    Some(OwnerBody::Refused(r)) if r.reason == "platform_down" => {}
                    other => panic!("expected a grant, got {other:?}"),
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, acquire).await.unwrap()
    }

    pub(crate) async fn refused(&mut self) -> wire::Refusal {
        loop {
            match self.next().await {
                Some(OwnerBody::Refused(refusal)) => return refusal,
                Some(OwnerBody::Renewed(_)) => {}
                other => panic!("expected a refusal, got {other:?}"),
            }
        }
    }
}

/// A TCP proxy to the platform that can be cut.
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    cut: Arc<watch::Sender<bool>>,
}

impl Link {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let cut = Arc::new(watch::Sender::new(false));
        let sender = Arc::clone(&cut);
        tokio::spawn(async move {
            while let Ok((mut client, _)) = listener.accept().await {
                let mut cut = sender.subscribe();
                tokio::spawn(async move {
                    if *cut.borrow() {
                        return;
                    }
                    let Ok(mut server) = TcpStream::connect(to).await else {
                        return;
                    };
                    tokio::select! {
                        _ = tokio::io::copy_bidirectional(&mut client, &mut server) => {}
                        _ = cut.wait_for(|c| *c) => {}
                    }
                });
            }
        });
        Self { address, cut }
    }

    pub(crate) fn cut(&self) {
        self.cut.send_replace(true);
    }
}

/// Waits until `check` returns a value.
pub(crate) async fn until<T>(check: impl AsyncFn() -> Option<T>) -> T {
    let wait = async {
        loop {
            if let Some(found) = check().await {
                return found;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait).await.unwrap()
}

/// The pool that all tests use.
pub(crate) fn pool() -> PoolName {
    PoolName::new(POOL).unwrap()
}

async fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Value {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap_or(Value::Null)
}
