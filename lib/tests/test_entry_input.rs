//! Invalid input from callers and from the feed gives a clear error and does not
//! affect other requests.

use std::sync::Arc;
use std::time::Duration;

use banyangauge::entry::Limits;
use banyangauge::entry::State;
use banyangauge::entry::apply;
use banyangauge::ids::Fingerprint;
use banyangauge::ids::Incarnation;
use banyangauge::link::Link;
use banyangauge_proto as wire;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wire::feed_message::Body;

use crate::test_entry_fakes::*;

async fn world(limits: Limits) -> (World, FakeUpstream) {
    let upstream = FakeUpstream::start(|got| vec![full_response(got)]).await;
    let address = upstream.address;
    let script: OwnerScript = Arc::new(move |a| Some(grant(a, address, 5_000)));
    (World::with(script, limits, 5_000, true).await, upstream)
}

#[rstest]
#[case::no_json("{", 400, "bad_request")]
#[case::not_object("[1]", 400, "bad_request")]
#[case::no_model(r#"{"prompt":"x"}"#, 400, "bad_request")]
#[case::model_number(r#"{"model":3,"prompt":"x"}"#, 400, "bad_request")]
#[case::model_twice(
    r#"{"model":"rosters","model":"rosters","prompt":"x"}"#,
    400,
    "bad_request"
)]
#[case::no_prompt(r#"{"model":"rosters"}"#, 400, "bad_request")]
#[case::prompt_type(r#"{"model":"rosters","prompt":3}"#, 400, "bad_request")]
#[case::tokens_type(
    r#"{"model":"rosters","prompt":"x","max_tokens":-1}"#,
    400,
    "bad_request"
)]
#[case::no_tokens(
    r#"{"model":"rosters","prompt":"x","max_tokens":0}"#,
    400,
    "bad_request"
)]
#[case::no_adapter(r#"{"model":"nobody","prompt":"x"}"#, 404, "unknown_adapter")]
#[case::no_version(r#"{"model":"rosters@9","prompt":"x"}"#, 404, "unknown_version")]
#[case::version_text(r#"{"model":"rosters@x","prompt":"x"}"#, 404, "unknown_version")]
#[tokio::test]
async fn body_refused(#[case] body: &str, #[case] status: u16, #[case] code: &str) {
    let (world, upstream) = world(Limits::default()).await;
    let response = world.send(&completion(), body).await;
    assert_eq!(response.error(), (status, code.into(), "not_run".into()));
    assert_eq!(upstream.count("POST"), 0);
}

#[rstest]
#[case::deadline("x-deadline-ms: soon", 400, "bad_header")]
#[case::deadline_zero("x-deadline-ms: 0", 400, "bad_header")]
#[case::deadline_far("x-deadline-ms: 600001", 400, "bad_header")]
#[case::deadline_twice("x-deadline-ms: 5\nx-deadline-ms: 6", 400, "bad_header")]
#[case::class("x-class: urgent", 400, "bad_header")]
#[case::idempotent("x-idempotent: no", 400, "bad_header")]
#[case::key_empty("idempotency-key: ", 400, "bad_header")]
#[tokio::test]
async fn header_refused(#[case] line: &str, #[case] status: u16, #[case] code: &str) {
    let (world, _upstream) = world(Limits::default()).await;
    let response = world
        .send(&format!("{}\n{line}", completion()), PROMPT)
        .await;
    assert_eq!(response.error(), (status, code.into(), "not_run".into()));
}

#[rstest]
#[case::no_key("POST /v1/completions", 401, "bad_key")]
#[case::basic("POST /v1/completions\nauthorization: Basic eDp5", 401, "bad_key")]
#[case::unknown_key("POST /v1/completions\nauthorization: Bearer nobody", 401, "bad_key")]
#[case::other_team(
    "POST /v1/completions\nauthorization: Bearer key-of-letters",
    403,
    "wrong_team"
)]
#[case::path(
    "POST /v2/x\nauthorization: Bearer key-of-laundry",
    404,
    "unknown_path"
)]
#[case::method(
    "GET /v1/completions\nauthorization: Bearer key-of-laundry",
    404,
    "unknown_path"
)]
#[tokio::test]
async fn head_refused(#[case] head: &str, #[case] status: u16, #[case] code: &str) {
    let (world, _upstream) = world(Limits::default()).await;
    let response = world.send(head, PROMPT).await;
    assert_eq!(response.error(), (status, code.into(), "not_run".into()));
}

fn small() -> Limits {
    Limits {
        body: 1_024,
        header: 8_192,
        header_ms: 300,
        connections: 8,
        per_address: 3,
        ..Limits::default()
    }
}

#[tokio::test]
async fn oversized_refused() {
    let (world, _upstream) = world(small()).await;
    let body = format!(r#"{{"model":"rosters","prompt":"{}"}}"#, "x".repeat(2_000));
    let response = world.send(&completion(), &body).await;
    assert_eq!(
        response.error(),
        (413, "too_large".into(), "not_run".into())
    );
    // The same without a `Content-Length`.
    let mut caller = TcpStream::connect(world.entry.address).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    assert_eq!(read_answer(&mut caller).await.status, 413);

    let head = format!("{}\nx-note: {}", completion(), "x".repeat(9_000));
    assert_eq!(world.send(&head, PROMPT).await.status, 431);
}

#[rstest]
#[case::silent("")]
#[case::half_head("POST /v1/completions HTTP/1.1\r\nhost:")]
#[case::half_preface("PRI * HTTP/2.0\r\n")]
#[tokio::test]
async fn slow_caller_disconnected(#[case] sent: &str) {
    let (world, _upstream) = world(small()).await;
    let mut caller = TcpStream::connect(world.entry.address).await.unwrap();
    caller.write_all(sent.as_bytes()).await.unwrap();
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(10), caller.read_to_end(&mut rest));
    closed.await.expect("the connection is closed").ok();
    assert_eq!(world.send(&completion(), PROMPT).await.status, 200);
}

#[tokio::test]
async fn slow_body_bounded_by_deadline() {
    let (world, _upstream) = world(small()).await;
    let mut caller = TcpStream::connect(world.entry.address).await.unwrap();
    let head = format!("{}\nx-deadline-ms: 200", completion());
    let whole = message(&head, PROMPT);
    let half = &whole.as_bytes()[..whole.len() - 10];
    caller.write_all(half).await.unwrap();
    let response = read_answer(&mut caller).await;
    assert_eq!(response.error(), (504, "deadline".into(), "not_run".into()));
}

#[tokio::test]
async fn half_closed_body_not_dispatched() {
    let (world, upstream) = world(small()).await;
    let mut caller = TcpStream::connect(world.entry.address).await.unwrap();
    let whole = message(&completion(), PROMPT);
    let half = &whole.as_bytes()[..whole.len() - 10];
    caller.write_all(half).await.unwrap();
    caller.shutdown().await.unwrap();
    let response = read_answer(&mut caller).await;
    assert!(
        response.status == 0 || response.status == 400,
        "{response:?}"
    );
    assert_eq!(upstream.count("POST"), 0);
}

#[tokio::test]
async fn too_many_connections_refused() {
    let limits = Limits {
        header_ms: 20_000,
        ..small()
    };
    let (world, _upstream) = world(limits).await;
    let mut open = Vec::new();
    for _ in 0..3 {
        open.push(TcpStream::connect(world.entry.address).await.unwrap());
    }
    let response = world.send(&completion(), PROMPT).await;
    assert_eq!(response.error(), (429, "too_many".into(), "not_run".into()));
    drop(open);
    for _ in 0..300 {
        if world.send(&completion(), PROMPT).await.status == 200 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("closed connections still count against the limit");
}

#[tokio::test]
async fn too_many_requests_refused() {
    let limits = Limits {
        requests: 1,
        ..Limits::default()
    };
    let world = World::with(Arc::new(|_| None), limits, 5_000, true).await;
    let head = format!("{}\nx-deadline-ms: 1000", completion());
    let first = world.send(&head, PROMPT);
    let second = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.send(&completion(), PROMPT).await
    };
    let (_, second) = tokio::join!(first, second);
    assert_eq!(second.error(), (429, "too_many".into(), "not_run".into()));
}

#[tokio::test]
async fn blocked_refused() {
    let (world, upstream) = world(Limits::default()).await;
    assert_eq!(world.send(&completion(), PROMPT).await.status, 200);
    let fingerprint = Fingerprint(world.acquires()[0].fingerprint);
    world.entry.state.block([(fingerprint, 60_000)]);
    let response = world.send(&completion(), PROMPT).await;
    assert_eq!(
        response.error(),
        (422, "convicted".into(), "not_run".into())
    );
    assert_eq!(upstream.count("POST"), 1);
}

#[tokio::test]
async fn no_catalog_refused() {
    let entry = start_entry(bind().await.1, Limits::default()).await;
    let response = send_request(entry.address, &completion(), PROMPT).await;
    assert_eq!(response.error(), (503, "no_owner".into(), "not_run".into()));
}

#[test]
fn feed_never_reverts() {
    let settings = toml::from_str(include_str!("../../settings/entry.toml")).unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let state = State::new(settings, Incarnation(1), Link::plain(), log);
    let mut newer = catalog();
    apply(&state, snapshot(&newer)).unwrap();
    newer.revision.0 = 4;
    apply(&state, snapshot(&newer)).unwrap();
    assert_eq!(state.view().revision().0, 5);

    let delta = |revision: u64, json: &str| {
        feed_message(Body::Delta(wire::Delta {
            revision,
            changes: json.as_bytes().to_vec().into(),
        }))
    };
    let serve = r#"{"revision":6,"operation":"o","operator":"p","changes":
        [{"change":"serve","team":"laundry","adapter":"rosters","version":3}]}"#;
    // Refused: a gap, a malformed change set, and one of another revision.
    assert!(apply(&state, delta(7, serve)).is_err());
    assert!(apply(&state, delta(6, "{")).is_err());
    assert!(apply(&state, delta(6, &serve.replace(":6", ":7"))).is_err());
    assert!(apply(&state, wire::FeedMessage { body: None }).is_err());
    assert_eq!(state.view().revision().0, 5);
    apply(&state, delta(6, serve)).unwrap();
    let team = "laundry".parse().unwrap();
    assert_eq!(state.view().resolve(&team, "rosters").unwrap().1.version, 3);
}
