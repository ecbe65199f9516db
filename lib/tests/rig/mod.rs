//! Shared fixtures: a platform stand-in, control process state, catalog changes
//! and peers.

use std::net::SocketAddr;
use std::sync::Arc;

use banyangauge::catalog::Catalog;
use banyangauge::catalog::Change;
use banyangauge::catalog::Plan;
use banyangauge::catalog::PoolKind;
use banyangauge::catalog::PoolSpec;
use banyangauge::catalog::Replica;
use banyangauge::control::ControlState;
use banyangauge::control::Shared;
use banyangauge::control::config;
use banyangauge::ids::Incarnation;
use banyangauge::platform::Platform;
use banyangauge::pool::Objective;
use banyangauge::serving::Era;
use banyangauge::serving::StoreRevision;
use banyangauge::timeline::Recorder;
use banyangauge_proto as wire;
use banyangauge_standin::Running;
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
use tokio_stream::wrappers::TcpListenerStream;
use wire::peers_server::Peers;
use wire::peers_server::PeersServer;

/// Maximum number of polls in [`wait_until`].
const MAX_POLLS: u32 = 1_000;

/// Starts a platform stand-in with rate limits that no test here reaches.
pub(crate) async fn platform() -> (Running, Platform) {
    let args = PlatformArgs::builder()
        .writes_per_s(100_000.0)
        .reads_per_s(100_000.0);
    let running = platform::start(args.build()).await.unwrap();
    let client = Platform::new(running.address);
    (running, client)
}

async fn control_call(running: &Running, line: &str, body: Value) -> Value {
    let (method, path) = line.split_once(' ').unwrap();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", running.control))
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.unwrap();
    assert!(response.status().is_success());
    let body = response.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap()
}

/// Sets the platform's fault switches.
pub(crate) async fn set_faults(running: &Running, switches: Value) {
    control_call(running, "POST /faults", switches).await;
}

/// Returns the platform's record of the calls that it received.
pub(crate) async fn history(running: &Running) -> Value {
    control_call(running, "GET /history", json!({})).await
}

/// Returns how many calls of an object kind and method the platform received.
pub(crate) async fn call_count(running: &Running, kind: &str, method: &str) -> u64 {
    history(running).await["calls"][kind][method]
        .as_u64()
        .unwrap_or(0)
}

/// Returns the state of a control process on `vm`.
pub(crate) fn shared(vm: &str, platform: &Platform, peers: &[SocketAddr]) -> Shared {
    Shared {
        vm: vm.parse().unwrap(),
        zone: "suva-a".parse().unwrap(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:1".parse().unwrap(),
        peers: peers.into(),
        platform: platform.clone(),
        state: Arc::new(ControlState::new()),
        recorder: Arc::new(Recorder::new(vm, 1_000)),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    }
}

/// Waits until the catalog has reached `revision`; see [`wait_until`].
pub(crate) async fn wait_for_revision(shared: &Shared, revision: u64) {
    wait_until(|| shared.state.catalog.borrow().revision.0 >= revision).await;
}

/// Polls until `condition` holds; panics after [`MAX_POLLS`] polls, 10 ms apart.
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    panic!("condition did not hold within {MAX_POLLS} polls");
}

pub(crate) fn put_team(team: &str) -> Change {
    Change::PutTeam {
        team: team.parse().unwrap(),
        keys: [format!("{:064x}", team.bytes().map(u64::from).sum::<u64>())].into(),
        share: 1,
    }
}

pub(crate) fn engine_pool(pool: &str, replicas: u16) -> Change {
    let number: u16 = pool.bytes().map(u16::from).sum::<u16>() % 200;
    let replica = |n: u16| Replica {
        name: format!("{pool}-replica-{n}").parse().unwrap(),
        address: SocketAddr::from(([10, number as u8, (n >> 8) as u8, n as u8], 8_000)),
        zone: "suva-a".parse().unwrap(),
        slots: 4,
        batch: 16,
    };
    Change::PutPool {
        pool: pool.parse().unwrap(),
        spec: PoolSpec {
            kind: PoolKind::Engine {
                base: "base-7b".to_owned(),
                honours_token: true,
                weighing: Objective::Stalls,
                loads_per_s: 3.0,
                step_us: 5_500,
            },
            replicas: (0..replicas).map(replica).collect(),
        },
    }
}

pub(crate) fn create(adapter: &str, owner: &str, pool: &str) -> Change {
    Change::CreateAdapter {
        adapter: adapter.parse().unwrap(),
        owner: owner.parse().unwrap(),
        pool: pool.parse().unwrap(),
    }
}

pub(crate) fn add(adapter: &str, version: u32) -> Change {
    Change::AddVersion {
        adapter: adapter.parse().unwrap(),
        version,
    }
}

pub(crate) fn serve(team: &str, adapter: &str, version: u32) -> Change {
    Change::Serve {
        team: team.parse().unwrap(),
        adapter: adapter.parse().unwrap(),
        version,
    }
}

/// Changes that add a team, a pool and two adapters, each with versions 1 to 3.
pub(crate) fn base_changes() -> Vec<Change> {
    let mut changes = vec![put_team("laundry"), engine_pool("assistant", 2)];
    for adapter in ["rosters", "dryers"] {
        changes.push(create(adapter, "laundry", "assistant"));
        changes.extend((1..=3).map(|v| add(adapter, v)));
    }
    changes
}

pub(crate) fn plan(catalog: &Catalog, changes: Vec<Change>) -> Plan {
    Plan::new(catalog, changes).unwrap()
}

/// A peer that serves its configuration, as a control process does.
struct Peer(Shared);

#[tonic::async_trait]
impl Peers for Peer {
    async fn exchange(
        &self,
        request: tonic::Request<wire::Digest>,
    ) -> Result<tonic::Response<wire::Digest>, tonic::Status> {
        Ok(tonic::Response::new(request.into_inner()))
    }

    async fn fetch_catalog(
        &self,
        request: tonic::Request<wire::FetchRequest>,
    ) -> Result<tonic::Response<wire::Snapshot>, tonic::Status> {
        let reply = config::fetch_catalog(&self.0, request.get_ref());
        Ok(tonic::Response::new(reply))
    }

    async fn fetch_changes(
        &self,
        request: tonic::Request<wire::FetchRequest>,
    ) -> Result<tonic::Response<wire::Changes>, tonic::Status> {
        let reply = config::fetch_changes(&self.0, request.get_ref());
        Ok(tonic::Response::new(reply))
    }

    async fn hold_usage(
        &self,
        request: tonic::Request<wire::UsageReport>,
    ) -> Result<tonic::Response<wire::UsageReply>, tonic::Status> {
        let reply = self.0.state.usage.hold_copy(request.into_inner());
        let reply = reply.ok_or_else(|| tonic::Status::unavailable("stopping"))?;
        Ok(tonic::Response::new(reply))
    }
}

/// Serves a control process's `Peers` service until the test's runtime ends.
pub(crate) async fn serve_peer(shared: &Shared) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = PeersServer::new(Peer(shared.clone()));
    let router = tonic::transport::Server::builder().add_service(service);
    tokio::spawn(router.serve_with_incoming(TcpListenerStream::new(listener)));
    address
}

/// Returns a control process as the other members see it.
pub(crate) fn member(shared: &Shared, address: SocketAddr, zone: &str) -> wire::Member {
    wire::Member {
        vm: shared.vm.to_string(),
        address: address.to_string(),
        zone: zone.to_owned(),
        incarnation: 1,
        heartbeat: 1,
        state: 0,
        revision: shared.state.catalog.borrow().revision.0,
    }
}

/// A revision of a store that states no era.
pub(crate) fn rev(number: u64) -> StoreRevision {
    StoreRevision::new(Era::default(), number)
}
