//! Text output of `banyan`, and parsing of its input.

use banyangauge::catalog::Catalog;
use banyangauge::catalog::Change;
use banyangauge::catalog::Plan;
use banyangauge::operator::adapters_text;
use banyangauge::operator::merge;
use banyangauge::operator::parse_intent;
use banyangauge::operator::plan_text;
use banyangauge::operator::pools_text;
use banyangauge::operator::status_text;
use banyangauge::operator::timeline_text;
use banyangauge::operator::usage_text;
use banyangauge_proto as wire;

const INTENT: &str = r#"
[[changes]]
change = "put_team"
team = "laundry"
keys = []
share = 1
[[changes]]
change = "put_pool"
pool = "assistant"
[changes.spec]
kind = "engine"
base = "base-7b"
honours_token = true
weighing = "stalls"
loads_per_s = 3.0
step_us = 5500
[[changes.spec.replicas]]
name = "r1"
address = "10.0.0.1:8000"
zone = "suva-a"
slots = 4
batch = 16
[[changes]]
change = "create_adapter"
adapter = "rosters"
owner = "laundry"
pool = "assistant"
[[changes]]
change = "add_version"
adapter = "rosters"
version = 1
[[changes]]
change = "serve"
team = "laundry"
adapter = "rosters"
version = 1
"#;

fn changes() -> Vec<Change> {
    parse_intent(INTENT).unwrap().changes
}

#[test]
fn parse_intent_both_forms() {
    let intent = parse_intent(INTENT).unwrap();
    let json = serde_json::to_string(&intent).unwrap();
    assert_eq!(parse_intent(&json).unwrap(), intent);
    assert!(parse_intent("[[changes]]\nchange = \"bogus\"").is_err());
}

#[test]
fn plan_text_snapshot() {
    let mut plan = Plan::new(&Catalog::default(), changes()).unwrap();
    plan.operation = "00112233445566aa".to_owned();
    insta::assert_snapshot!(plan_text(&plan), @r"
    operation 00112233445566aa on revision 0
    change                                                    teams    pool       loads  slots
    create team laundry with share 1 and 0 keys               laundry  -          0      0
    create pool assistant: replicas +1 -0                     -        assistant  0      -4
    create adapter rosters of team laundry on pool assistant  -        -          0      0
    add rosters@1                                             -        -          0      0
    serve rosters@1 to team laundry                           laundry  assistant  1      1
    total: at least 1 loads and -3 slots; nothing changes until the plan is confirmed
    ");
}

#[test]
fn adapters_text_snapshot() {
    let mut catalog = Catalog::default();
    catalog.apply(&changes()).unwrap();
    insta::assert_snapshot!(adapters_text(&catalog), @r"
    adapter  owner    pool       versions  served
    rosters  laundry  assistant  1         laundry@1
    ");
}

fn member(vm: &str, state: u32, revision: u64) -> wire::Member {
    wire::Member {
        vm: vm.to_owned(),
        address: "10.0.1.1:7100".to_owned(),
        zone: "suva-a".to_owned(),
        incarnation: 1,
        heartbeat: 9,
        state,
        revision,
    }
}

#[test]
fn status_text_snapshot() {
    let status = wire::StatusReply {
        vm: "vm-1".to_owned(),
        revision: 12,
        platform_up: false,
        members: vec![member("vm-1", 0, 12), member("vm-2", 1, 10)],
        owners: vec![wire::Owner {
            pool: "assistant".to_owned(),
            vm: "vm-2".to_owned(),
            address: "10.0.1.2:7100".to_owned(),
            token: 7,
        }],
        pools: Vec::new(),
    };
    insta::assert_snapshot!(status_text(&status), @r"
    vm-1: revision 12, platform down

    vm    zone    address        state    revision
    vm-1  suva-a  10.0.1.1:7100  live     12
    vm-2  suva-a  10.0.1.1:7100  suspect  10        2 behind

    pool       owner  token
    assistant  vm-2   7
    ");
}

#[test]
fn pools_text_snapshot() {
    let replica = wire::ReplicaStatus {
        replica: "r1".to_owned(),
        address: "10.0.0.1:8000".to_owned(),
        state: "live".to_owned(),
        incarnation: 3,
        outstanding: 2,
        loaded: vec!["rosters@1".to_owned(), "dryers@2".to_owned()],
        loading: Vec::new(),
    };
    let pool = wire::PoolStatus {
        pool: "assistant".to_owned(),
        owner: "vm-2".to_owned(),
        token: 7,
        queued: 1,
        granted: 2,
        replicas: vec![replica],
        loads: 30,
        stalls: 4,
    };
    insta::assert_snapshot!(pools_text(&[pool]), @r"
    pool       owner  token  queued  granted  loads  stalls
    assistant  vm-2   7      1       2        30     4

    pool       replica  address        state  outstanding  loaded              loading
    assistant  r1       10.0.0.1:8000  live   2            rosters@1 dryers@2  -
    ");
}

#[test]
fn usage_text_sums() {
    let count = |adapter: &str, version, requests| wire::UsageCount {
        team: "laundry".to_owned(),
        adapter: adapter.to_owned(),
        version,
        requests,
        prompt_tokens: requests * 10,
        output_tokens: requests * 100,
    };
    let counts = [count("rosters", 1, 3), count("booking", 0, 5)];
    insta::assert_snapshot!(usage_text(&counts), @r"
    team     adapter    requests  prompt  output
    laundry  rosters@1  3         30      300
    laundry  booking    5         50      500
    laundry  all        8         80      800
    ");
}

#[test]
fn timeline_text_merged() {
    let event = |ms: u64, process: &str, kind: &str| wire::Event {
        stamp: Some(wire::Stamp {
            time: ((ms / 1000) << 32) + ((ms % 1000) << 32) / 1000,
            origin: process.to_owned(),
        }),
        process: process.to_owned(),
        kind: kind.to_owned(),
        request: "q-1".to_owned(),
        detail: "a\u{1b}[31m".to_owned(),
        ..wire::Event::default()
    };
    let reply = |events| wire::TimelineReply { events, dropped: 0 };
    let lines = merge([
        reply(vec![
            event(5_000, "entry vm-1", "received"),
            event(5_020, "entry vm-1", "answered"),
        ]),
        reply(vec![event(5_005, "control vm-2", "granted")]),
    ]);
    insta::assert_snapshot!(timeline_text(&lines), @r"
    ms      process       event     request  adapter  upstream  pool  detail
    0.000   entry vm-1    received  q-1                               a�[31m
    5.000   control vm-2  granted   q-1                               a�[31m
    20.000  entry vm-1    answered  q-1                               a�[31m
    ");
}
