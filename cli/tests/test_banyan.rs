//! `banyan` against a control process's operator service and a platform stand-in.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Output;
use std::sync::Arc;

use banyangauge::catalog::Catalog;
use banyangauge::control::ControlState;
use banyangauge::control::Shared;
use banyangauge::control::operator::OperatorService;
use banyangauge::control::operator::hash_key;
use banyangauge::ids::Incarnation;
use banyangauge::platform::Platform;
use banyangauge::timeline::EventFields;
use banyangauge::timeline::EventKind;
use banyangauge::timeline::Recorder;
use banyangauge::timeline::TimelineService;
use banyangauge_proto as wire;
use banyangauge_standin::Running;
use banyangauge_standin::platform;
use banyangauge_standin::platform::PlatformArgs;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use wire::timeline_server::TimelineServer;

const KEY: &str = "a-key-of-ana";

const INTENT: &str = r#"
[[changes]]
change = "put_team"
team = "laundry"
keys = []
share = 1
"#;

/// The services of one control process, a platform stand-in and a directory for
/// files.
struct Rig {
    shared: Shared,
    address: SocketAddr,
    platform: Running,
    folder: TempDir,
}

async fn rig() -> Rig {
    let platform = platform::start(PlatformArgs::builder().build())
        .await
        .unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let shared = Shared {
        vm: "vm-1".parse().unwrap(),
        zone: "suva-a".parse().unwrap(),
        incarnation: Incarnation(1),
        address,
        peers: Arc::new([]),
        platform: Platform::new(platform.address),
        state: Arc::new(ControlState::new()),
        recorder: Arc::new(Recorder::new("control vm-1", 100)),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    };
    let keys = [("ana".to_owned(), hash_key(KEY))].into();
    let operator = OperatorService::new(shared.clone(), keys).server();
    let timeline = TimelineServer::new(TimelineService::new(shared.recorder.clone()));
    let router = tonic::transport::Server::builder()
        .add_service(operator)
        .add_service(timeline);
    tokio::spawn(router.serve_with_incoming(TcpListenerStream::new(listener)));
    Rig {
        shared,
        address,
        platform,
        folder: TempDir::new().unwrap(),
    }
}

impl Rig {
    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Runs `banyan` with the operator's key.
    async fn banyan(&self, arguments: &[&str]) -> Output {
        self.run(&self.address.to_string(), KEY, arguments).await
    }

    async fn run(&self, control: &str, key: &str, arguments: &[&str]) -> Output {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_banyan"));
        command
            .args(["--control", control, "--key", key])
            .args(arguments);
        tokio::task::spawn_blocking(move || command.output().unwrap())
            .await
            .unwrap()
    }

    /// Plans an intent and returns the path of the plan file.
    async fn plan(&self, name: &str, intent: &str) -> PathBuf {
        let (intent, plan) = (self.file("intent", intent), self.path(name));
        let output = self
            .banyan(&["plan", text(&intent), "--out", text(&plan)])
            .await;
        assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
        plan
    }
}

fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn json_output(output: &Output) -> Value {
    assert_eq!(exit_code(output), 0, "{}", stderr(output));
    serde_json::from_slice(&output.stdout).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn confirm_twice_then_conflict() {
    let rig = rig().await;
    let first = rig.plan("first", INTENT).await;
    let second = rig
        .plan("second", &INTENT.replace("share = 1", "share = 2"))
        .await;
    for _ in 0..2 {
        let output = rig.banyan(&["confirm", text(&first), "--json"]).await;
        assert_eq!(json_output(&output)["revision"], 1);
    }
    let output = rig.banyan(&["confirm", text(&second)]).await;
    assert_eq!(exit_code(&output), 4);
    assert!(
        stderr(&output).contains("team laundry was changed by ana in revision 1"),
        "{}",
        stderr(&output)
    );
    assert_eq!(
        json_output(&rig.banyan(&["status", "--json"]).await)["revision"],
        1
    );
    let reply = json_output(&rig.banyan(&["adapters", "--json"]).await);
    let catalog: Catalog = serde_json::from_value(reply).unwrap();
    assert_eq!(catalog, **rig.shared.state.catalog.borrow());
}

/// A plan with 14,000 adapters, the number that the system must support.
#[tokio::test(flavor = "multi_thread")]
async fn confirm_fourteen_thousand_adapters() {
    let rig = rig().await;
    let mut changes = vec![
        json!({"change": "put_team", "team": "laundry", "keys": [], "share": 1}),
        json!({"change": "put_pool", "pool": "assistant", "spec": {"kind": "engine",
            "base": "base-7b", "honours_token": true, "weighing": "stalls",
            "loads_per_s": 3.0, "step_us": 5_500, "replicas": []}}),
    ];
    for n in 0..14_000 {
        let name = format!("adapter-of-a-region-with-a-long-name-{n:05}");
        changes.push(json!({"change": "create_adapter", "adapter": name,
            "owner": "laundry", "pool": "assistant"}));
        changes.push(json!({"change": "add_version", "adapter": name, "version": 1}));
        changes.push(json!({"change": "serve", "adapter": name,
            "team": "laundry", "version": 1}));
    }
    let intent = json!({"changes": changes}).to_string();
    let plan = rig.plan("plan", &intent).await;
    let output = rig.banyan(&["confirm", text(&plan), "--json"]).await;
    assert_eq!(json_output(&output)["revision"], 1);
    assert_eq!(rig.shared.state.catalog.borrow().adapters.len(), 14_000);
}

/// The first control process of the list is unreachable.
#[tokio::test(flavor = "multi_thread")]
async fn control_tried_in_order() {
    let rig = rig().await;
    let unreachable = TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let both = format!("{unreachable},{}", rig.address);
    assert_eq!(exit_code(&rig.run(&both, KEY, &["status"]).await), 0);
    assert_eq!(
        exit_code(&rig.run(&unreachable.to_string(), KEY, &["status"]).await),
        3
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes() {
    let rig = rig().await;
    let plan = rig.plan("plan", INTENT).await;
    let status = rig
        .run(&rig.address.to_string(), "wrong", &["status"])
        .await;
    assert_eq!(exit_code(&status), 1);
    assert!(!stderr(&status).contains("wrong"));
    let share = rig.file("bad", &INTENT.replace("share = 1", "share = 0"));
    assert_eq!(exit_code(&rig.banyan(&["plan", text(&share)]).await), 1);
    let broken = rig.file("broken", "changes = 7");
    assert_eq!(exit_code(&rig.banyan(&["plan", text(&broken)]).await), 2);
    assert_eq!(
        exit_code(&rig.banyan(&["confirm", "/nonexistent"]).await),
        2
    );
    assert_eq!(exit_code(&rig.banyan(&["bogus"]).await), 2);
    rig.platform.begin_stop();
    let stopped = rig.banyan(&["confirm", text(&plan)]).await;
    assert_eq!(exit_code(&stopped), 3, "{}", stderr(&stopped));
    assert!(
        stderr(&stopped).contains("nothing changed"),
        "{}",
        stderr(&stopped)
    );
    assert_eq!(exit_code(&rig.banyan(&["usage"]).await), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_checked_and_used() {
    let rig = rig().await;
    let key = rig.file("key", &format!("{KEY}\n"));
    let good = format!(
        "control = [\"{}\"]\nkey_file = {:?}\n",
        rig.address,
        text(&key)
    );
    let good = rig.file("good.toml", &good);
    let bad = rig.file("bad.toml", "control = []\n");
    assert_eq!(
        exit_code(&rig.banyan(&["check-settings", text(&good)]).await),
        0
    );
    let settings = Path::new(env!("CARGO_MANIFEST_DIR")).join("../settings");
    for program in ["control", "entry"] {
        let file = settings.join(format!("{program}.toml"));
        let output = rig.banyan(&["check-settings", text(&file), "--json"]).await;
        assert_eq!(json_output(&output)["program"], format!("banyan-{program}"));
    }
    let output = rig.banyan(&["check-settings", text(&bad)]).await;
    assert_eq!(exit_code(&output), 2);
    assert!(
        stderr(&output).contains("control: found none"),
        "{}",
        stderr(&output)
    );
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_banyan"));
    command.args(["--settings", text(&good), "status"]);
    let output = tokio::task::spawn_blocking(move || command.output().unwrap());
    assert_eq!(exit_code(&output.await.unwrap()), 0);
}

/// The page contains every event, and event values are escaped.
#[tokio::test(flavor = "multi_thread")]
async fn timeline_html_escaped() {
    let rig = rig().await;
    for request in ["r-1", "<script>alert(1)</script>"] {
        let fields = EventFields {
            request: request.to_owned(),
            detail: "\"&'".to_owned(),
            ..EventFields::default()
        };
        rig.shared.recorder.record(EventKind::Received, fields);
    }
    let page = rig.path("page.html");
    let output = rig.banyan(&["timeline", "--html", text(&page)]).await;
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    let page = std::fs::read_to_string(page).unwrap();
    assert!(page.contains("r-1") && page.contains("&lt;script&gt;"));
    assert!(!page.contains("<script") && !page.contains("http://127"));
    let address = rig.address.to_string();
    let one = rig
        .banyan(&[
            "timeline",
            "--json",
            "--request",
            "r-1",
            "--processes",
            &address,
        ])
        .await;
    assert_eq!(json_output(&one)["events"].as_array().unwrap().len(), 1);
}
