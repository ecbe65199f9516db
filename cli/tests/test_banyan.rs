//! `banyan` against a control process's operator service and a platform.

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

/// One control process's services, a platform, a folder for files.
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

    /// Makes a plan of an intent and gives its file.
    async fn plan(&self, name: &str, intent: &str) -> PathBuf {
        let (intent, plan) = (self.file("intent", intent), self.path(name));
        let end = self
            .banyan(&["plan", text(&intent), "--out", text(&plan)])
            .await;
        assert_eq!(code(&end), 0, "{}", error(&end));
        plan
    }
}

fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn error(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn answer(output: &Output) -> Value {
    assert_eq!(code(output), 0, "{}", error(output));
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
        let end = rig.banyan(&["confirm", text(&first), "--json"]).await;
        assert_eq!(answer(&end)["revision"], 1);
    }
    let end = rig.banyan(&["confirm", text(&second)]).await;
    assert_eq!(code(&end), 4);
    assert!(
        error(&end).contains("team laundry was changed by ana in revision 1"),
        "{}",
        error(&end)
    );
    assert_eq!(
        answer(&rig.banyan(&["status", "--json"]).await)["revision"],
        1
    );
    let whole = answer(&rig.banyan(&["adapters", "--json"]).await);
    let catalog: Catalog = serde_json::from_value(whole).unwrap();
    assert_eq!(catalog, **rig.shared.state.catalog.borrow());
}

/// All adapters of the letter in one plan.
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
    let end = rig.banyan(&["confirm", text(&plan), "--json"]).await;
    assert_eq!(answer(&end)["revision"], 1);
    assert_eq!(rig.shared.state.catalog.borrow().adapters.len(), 14_000);
}

/// The first control process of the list is gone.
#[tokio::test(flavor = "multi_thread")]
async fn control_tried_in_order() {
    let rig = rig().await;
    let gone = TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let both = format!("{gone},{}", rig.address);
    assert_eq!(code(&rig.run(&both, KEY, &["status"]).await), 0);
    assert_eq!(code(&rig.run(&gone.to_string(), KEY, &["status"]).await), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes() {
    let rig = rig().await;
    let plan = rig.plan("plan", INTENT).await;
    let status = rig
        .run(&rig.address.to_string(), "wrong", &["status"])
        .await;
    assert_eq!(code(&status), 1);
    assert!(!error(&status).contains("wrong"));
    let share = rig.file("bad", &INTENT.replace("share = 1", "share = 0"));
    assert_eq!(code(&rig.banyan(&["plan", text(&share)]).await), 1);
    let broken = rig.file("broken", "changes = 7");
    assert_eq!(code(&rig.banyan(&["plan", text(&broken)]).await), 2);
    assert_eq!(code(&rig.banyan(&["confirm", "/nonexistent"]).await), 2);
    assert_eq!(code(&rig.banyan(&["bogus"]).await), 2);
    rig.platform.begin_stop();
    let stopped = rig.banyan(&["confirm", text(&plan)]).await;
    assert_eq!(code(&stopped), 3, "{}", error(&stopped));
    assert!(
        error(&stopped).contains("nothing changed"),
        "{}",
        error(&stopped)
    );
    assert_eq!(code(&rig.banyan(&["usage"]).await), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn check_settings_and_use_them() {
    let rig = rig().await;
    let key = rig.file("key", &format!("{KEY}\n"));
    let good = format!(
        "control = [\"{}\"]\nkey_file = {:?}\n",
        rig.address,
        text(&key)
    );
    let good = rig.file("good.toml", &good);
    let bad = rig.file("bad.toml", "control = []\n");
    assert_eq!(code(&rig.banyan(&["check-settings", text(&good)]).await), 0);
    let settings = Path::new(env!("CARGO_MANIFEST_DIR")).join("../settings");
    for program in ["control", "entry"] {
        let file = settings.join(format!("{program}.toml"));
        let end = rig.banyan(&["check-settings", text(&file), "--json"]).await;
        assert_eq!(answer(&end)["program"], format!("banyan-{program}"));
    }
    let end = rig.banyan(&["check-settings", text(&bad)]).await;
    assert_eq!(code(&end), 2);
    assert!(
        error(&end).contains("control: found none"),
        "{}",
        error(&end)
    );
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_banyan"));
    command.args(["--settings", text(&good), "status"]);
    let end = tokio::task::spawn_blocking(move || command.output().unwrap());
    assert_eq!(code(&end.await.unwrap()), 0);
}

/// The page holds every event and lets no value become markup.
#[tokio::test(flavor = "multi_thread")]
async fn timeline_page_escaped() {
    let rig = rig().await;
    for request in ["r-1", "<script>alert(1)</script>"] {
        let about = EventFields {
            request: request.to_owned(),
            detail: "\"&'".to_owned(),
            ..EventFields::default()
        };
        rig.shared.recorder.record(EventKind::Received, about);
    }
    let page = rig.path("page.html");
    let end = rig.banyan(&["timeline", "--html", text(&page)]).await;
    assert_eq!(code(&end), 0, "{}", error(&end));
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
    assert_eq!(answer(&one)["events"].as_array().unwrap().len(), 1);
}
