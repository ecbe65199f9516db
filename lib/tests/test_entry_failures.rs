//! Failures of upstreams, owners and callers. The response must state truthfully
//! whether the request ran.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use banyangauge_proto as wire;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use wire::entry_message::Body as ToOwner;

use crate::test_entry_fakes::*;

/// Grants `first` for the first attempt of a request and `then` for retries.
fn grant_first_then(first: SocketAddr, then: SocketAddr) -> OwnerScript {
    Arc::new(move |a| {
        let address = if a.avoid.is_empty() { first } else { then };
        Some(grant(a, address, 5_000))
    })
}

fn grant_always(address: SocketAddr) -> OwnerScript {
    Arc::new(move |a| Some(grant(a, address, 5_000)))
}

fn not_idempotent() -> String {
    format!("{}\nx-idempotent: false", completion())
}

async fn good() -> FakeUpstream {
    FakeUpstream::start(|got| match got.body.contains("\"stream\":true") {
        true => stream(got, 0, 3),
        false => vec![full_response(got)],
    })
    .await
}

/// An address at which connections are refused. The socket keeps its port, so that nothing else
/// listens there, and does not listen itself.
fn unreachable_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

fn outcomes(releases: &[wire::Release]) -> Vec<u32> {
    releases.iter().map(|r| r.outcome).collect()
}

#[rstest]
#[case::not_loaded("404 Not Found", "model_not_found")]
#[case::full("429 Too Many Requests", "engine_full")]
#[case::leaving("503 Service Unavailable", "draining")]
#[tokio::test]
async fn not_run_retried_elsewhere(#[case] status: &'static str, #[case] code: &'static str) {
    let bad = FakeUpstream::start(move |_| vec![error_code(status, code)]).await;
    let good = good().await;
    let world = World::start(grant_first_then(bad.address, good.address)).await;
    // A refused request did not run, so even a non-idempotent one is retried.
    let response = world.send(&not_idempotent(), PROMPT).await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(outcomes(&world.releases(2).await), [1, 0]);
    let retry = &world.acquires()[1];
    assert_eq!(retry.avoid, [format!("replica-{}", bad.address.port())]);
}

#[tokio::test]
async fn unreachable_retried_elsewhere() {
    let good = good().await;
    let (_held, address) = unreachable_address();
    let world = World::start(grant_first_then(address, good.address)).await;
    assert_eq!(world.send(&not_idempotent(), PROMPT).await.status, 200);
    assert_eq!(outcomes(&world.releases(2).await), [1, 0]);
}

#[tokio::test]
async fn unreachable_given_up() {
    let (_held, address) = unreachable_address();
    let world = World::start(grant_always(address)).await;
    let response = world.send(&completion(), PROMPT).await;
    assert_eq!(
        response.error(),
        (503, "no_replica".into(), "not_run".into())
    );
    assert_eq!(response.header("retry-after"), Some("1"));
    assert_eq!(world.acquires().len(), 4);
}

#[rstest]
#[case::full_response(PROMPT)]
#[case::stream(STREAM)]
#[tokio::test]
async fn broken_early_idempotent_retried(#[case] body: &str) {
    let bad = FakeUpstream::start(|_| vec![UpstreamAction::Cut]).await;
    let good = good().await;
    let world = World::start(grant_first_then(bad.address, good.address)).await;
    let response = world.send(&completion(), body).await;
    assert_eq!(
        (response.status, response.complete),
        (200, true),
        "{response:?}"
    );
    assert_eq!(outcomes(&world.releases(2).await), [2, 0]);
    // The release is sent only after the request was cancelled on the upstream.
    assert_eq!(bad.count("DELETE"), 1);
    assert_eq!(world.entry.state.usage.counts()[0].requests, 1);
}

#[tokio::test]
async fn broken_early_not_idempotent_runs_once() {
    let bad = FakeUpstream::start(|_| vec![UpstreamAction::Cut]).await;
    let world = World::start(grant_always(bad.address)).await;
    let response = world.send(&not_idempotent(), PROMPT).await;
    assert_eq!(
        response.error(),
        (502, "outcome_unknown".into(), "unknown".into())
    );
    assert_eq!(bad.count("POST"), 1);
}

#[tokio::test]
async fn broken_then_refused_unknown() {
    let bad = FakeUpstream::start(|_| vec![UpstreamAction::Cut]).await;
    let address = bad.address;
    let world = World::start(Arc::new(move |a| {
        Some(match a.avoid.len() {
            0 => grant(a, address, 5_000),
            _ => refuse(a, "retry_budget", ""),
        })
    }))
    .await;
    let response = world.send(&completion(), PROMPT).await;
    // The refused retry did not run, but the first attempt may have.
    assert_eq!(
        response.error(),
        (502, "outcome_unknown".into(), "unknown".into())
    );
}

/// A service that is shutting down sends an error code; a 503 without one may come
/// after the call ran.
#[rstest]
#[case::draining("{\"error\":{\"code\":\"draining\"}}", 2)]
#[case::bare("", 1)]
#[tokio::test]
async fn service_unavailable(#[case] body: &'static str, #[case] dispatches: usize) {
    let bad = FakeUpstream::start(move |_| vec![sized("503 Oops", "", body)]).await;
    let good = FakeUpstream::start(|got| {
        let id = got.header("x-request-id").unwrap();
        vec![sized(
            "200 OK",
            &format!("x-request-id: {id}\r\n"),
            "booked",
        )]
    })
    .await;
    let world = World::start(grant_first_then(bad.address, good.address)).await;
    let head = format!("POST /booking/confirm\nauthorization: Bearer {KEY}");
    let response = world.send(&head, "slot 4").await;
    assert_eq!(bad.count("POST") + good.count("POST"), dispatches);
    match dispatches {
        2 => assert_eq!(response.status, 200),
        _ => assert_eq!(
            response.error(),
            (502, "outcome_unknown".into(), "unknown".into())
        ),
    }
}

#[tokio::test]
async fn stale_connection_runs_once() {
    let upstream = FakeUpstream::start(|got| vec![full_response(got), UpstreamAction::Cut]).await;
    let world = World::start(grant_always(upstream.address)).await;
    for _ in 0..20 {
        assert_eq!(world.send(&not_idempotent(), PROMPT).await.status, 200);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(upstream.count("POST"), 20);
}

fn forged(got: &ReceivedRequest, from: &str, to: &str) -> Vec<UpstreamAction> {
    let head = identity(got).replace(from, to);
    let body = full_body(got).replace(from, to);
    vec![sized("200 OK", &head, &body), UpstreamAction::Cut]
}

#[rstest]
#[case::model_in_head("x-served-model: rosters@3", "x-served-model: rosters@2")]
#[case::no_model("x-served-model", "x-served-other")]
#[case::request_in_head("x-request-id: ", "x-request-id: 1")]
#[case::incarnation("x-engine-incarnation: 7", "x-engine-incarnation: 8")]
#[case::model_in_body("\"rosters@3\"", "\"rosters@1\"")]
#[case::request_in_body("\"id\":\"", "\"id\":\"_")]
#[tokio::test]
async fn wrong_identity_never_passed(#[case] from: &'static str, #[case] to: &'static str) {
    let bad = FakeUpstream::start(move |got| forged(got, from, to)).await;
    let good = good().await;
    let world = World::start(grant_first_then(bad.address, good.address)).await;
    let response = world.send(&completion(), PROMPT).await;
    assert_eq!(
        (response.status, response.complete),
        (200, true),
        "{response:?}"
    );
    assert_eq!(response.header("x-served-model"), Some("rosters@3"));
    assert_eq!(outcomes(&world.releases(2).await), [5, 0]);

    let world = World::start(grant_always(bad.address)).await;
    let response = world.send(&not_idempotent(), PROMPT).await;
    assert_eq!(
        response.error(),
        (502, "outcome_unknown".into(), "unknown".into())
    );
}

#[rstest]
#[case::half("HTTP/1.1 200 OK\r\ncontent-length: 900\r\nID", "{\"id\":")]
#[case::not_json("HTTP/1.1 200 OK\r\ncontent-length: 5\r\nID", "hello")]
#[case::not_http("hello\r\n", "")]
#[case::failure("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n", "")]
#[case::bare_503("HTTP/1.1 503 Oops\r\ncontent-length: 0\r\n", "")]
#[tokio::test]
async fn malformed_response_unknown(#[case] head: &'static str, #[case] body: &'static str) {
    let bad = FakeUpstream::start(move |got| {
        let head = head.replace("ID", &identity(got));
        vec![
            UpstreamAction::Write(format!("{head}\r\n{body}")),
            UpstreamAction::Cut,
        ]
    })
    .await;
    let world = World::start(grant_always(bad.address)).await;
    let response = world.send(&not_idempotent(), PROMPT).await;
    assert_eq!(
        response.error(),
        (502, "outcome_unknown".into(), "unknown".into())
    );
}

#[tokio::test]
async fn stream_resumed() {
    let upstream = FakeUpstream::start(|got| match got.header("x-resume-from") {
        Some("2") => stream(got, 2, 4),
        _ => vec![
            stream_head(got),
            token(got, 0, false),
            token(got, 1, false),
            UpstreamAction::Cut,
        ],
    })
    .await;
    let world = World::start(grant_always(upstream.address)).await;
    let response = world.send(&completion(), STREAM).await;
    assert!(
        response.complete && response.body.ends_with("data: [DONE]\n\n"),
        "{response:?}"
    );
    for index in 0..4 {
        let text = format!("\"token_index\":{index}");
        assert_eq!(response.body.matches(&text).count(), 1);
    }
    assert_eq!(outcomes(&world.releases(1).await), [0]);
    assert_eq!(world.entry.state.usage.counts()[0].output_tokens, 4);
}

/// Cases: actions of the upstream after the first token, outcome in the release.
#[rstest]
#[case::cut_for_good(|_: &ReceivedRequest| vec![UpstreamAction::Cut], 3)]
#[case::gap(|got: &ReceivedRequest| vec![token(got, 2, false)], 5)]
#[case::twice(|got: &ReceivedRequest| vec![token(got, 0, false)], 5)]
#[case::early_done(|_: &ReceivedRequest| stream_end().to_vec(), 3)]
#[case::no_json(|_: &ReceivedRequest| vec![chunk("data: x\n\n"), UpstreamAction::Cut], 3)]
#[tokio::test]
async fn stream_truncated_visibly(
    #[case] rest: fn(&ReceivedRequest) -> Vec<UpstreamAction>,
    #[case] outcome: u32,
) {
    let upstream = FakeUpstream::start(move |got| match got.header("x-resume-from") {
        Some(_) => vec![UpstreamAction::Cut],
        None => [vec![stream_head(got), token(got, 0, false)], rest(got)].concat(),
    })
    .await;
    let world = World::start(grant_always(upstream.address)).await;
    let response = world.send(&completion(), STREAM).await;
    assert_truncated(&response);
    assert_eq!(outcomes(&world.releases(1).await), [outcome]);
}

fn assert_truncated(response: &CallerResponse) {
    assert_eq!(
        (response.status, response.complete),
        (200, false),
        "{response:?}"
    );
    assert!(response.body.contains("event: error"), "{response:?}");
    assert!(!response.body.contains("[DONE]"), "{response:?}");
}

/// An upstream that sends one token and then stalls.
async fn stalled_upstream() -> FakeUpstream {
    FakeUpstream::start(|got| match got.head.starts_with("DELETE") {
        true => vec![sized("200 OK", "", "")],
        false => vec![
            stream_head(got),
            token(got, 0, false),
            UpstreamAction::Sleep(20_000),
        ],
    })
    .await
}

async fn wait_for_cancel(upstream: &FakeUpstream) {
    for _ in 0..300 {
        if upstream.count("DELETE /v1/requests/") == 1 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the upstream received no cancellation");
}

#[tokio::test]
async fn expired_grant_ends_stream() {
    let upstream = stalled_upstream().await;
    let address = upstream.address;
    let script: OwnerScript = Arc::new(move |a| Some(grant(a, address, 600)));
    let world = World::with(script, Default::default(), 600, false).await;
    let response = world.send(&completion(), STREAM).await;
    assert_truncated(&response);
    wait_for_cancel(&upstream).await;
    assert_eq!(outcomes(&world.releases(1).await), [4]);
}

#[tokio::test]
async fn renewed_grant_outlives_first_ttl() {
    let upstream = FakeUpstream::start(|got| {
        let mut acts = stream(got, 0, 2);
        acts.insert(2, UpstreamAction::Sleep(3_500));
        acts
    })
    .await;
    let address = upstream.address;
    let script: OwnerScript = Arc::new(move |a| Some(grant(a, address, 2_500)));
    let world = World::with(script, Default::default(), 2_500, true).await;
    let response = world.send(&completion(), STREAM).await;
    assert!(
        response.complete && response.body.contains("[DONE]"),
        "{response:?}"
    );
}

#[rstest]
#[case::full_response(PROMPT)]
#[case::stream(STREAM)]
#[tokio::test]
async fn deadline_while_running(#[case] body: &str) {
    let upstream = FakeUpstream::start(|got| match got.head.starts_with("DELETE") {
        true => vec![sized("200 OK", "", "")],
        false => vec![UpstreamAction::Sleep(20_000)],
    })
    .await;
    let world = World::start(grant_always(upstream.address)).await;
    let head = format!("{}\nx-deadline-ms: 200", completion());
    let response = world.send(&head, body).await;
    assert_eq!(
        response.error(),
        (504, "outcome_unknown".into(), "unknown".into())
    );
    wait_for_cancel(&upstream).await;
}

#[tokio::test]
async fn deadline_before_dispatch() {
    let world = World::start(Arc::new(|_| None)).await;
    let head = format!("{}\nx-deadline-ms: 200", completion());
    let response = world.send(&head, PROMPT).await;
    assert_eq!(response.error(), (504, "deadline".into(), "not_run".into()));
}

#[tokio::test]
async fn no_owner_refused() {
    let feed = FakeFeed {
        messages: vec![snapshot(&catalog())],
        reports: Arc::default(),
        refusals: Arc::default(),
    };
    let entry = start_entry(serve_feed(&feed).await, Default::default()).await;
    while entry.state.view().revision().0 == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let head = format!("{}\nx-deadline-ms: 200", completion());
    let response = send_request(entry.address, &head, PROMPT).await;
    assert_eq!(response.error(), (503, "no_owner".into(), "not_run".into()));
}

/// The first owner grants one stream and then sends nothing more, like a paused
/// process; the feed names a second owner.
#[tokio::test]
async fn takeover_keeps_stream_and_waiting() {
    let upstream = FakeUpstream::start(|got| match got.body.contains("\"stream\":true") {
        true => {
            let mut acts = stream(got, 0, 2);
            acts.insert(2, UpstreamAction::Sleep(1_500));
            acts
        }
        false => vec![full_response(got)],
    })
    .await;
    let address = upstream.address;
    let world = World::start(Arc::new(move |a| {
        (a.version == 2).then(|| grant(a, address, 5_000))
    }))
    .await;
    let entry = world.entry.address;
    let streaming = tokio::spawn(async move { send_request(entry, &completion(), STREAM).await });
    let waiting = tokio::spawn(async move { send_request(entry, &completion(), PROMPT).await });
    while world.acquires().len() < 2 || upstream.count("POST") == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let second = FakeOwner::new(grant_always(address), 5_000, true);
    let owner = banyangauge::control::Owner {
        vm: "vm-2".parse().unwrap(),
        address: second.serve().await,
        token: banyangauge::ids::FencingToken(2),
    };
    let pool = "assistant".parse().unwrap();
    world.entry.state.owners.send_modify(|o| {
        o.insert(pool, owner);
    });
    assert_eq!(waiting.await.unwrap().status, 200);
    let response = streaming.await.unwrap();
    assert!(
        response.complete && response.body.contains("[DONE]"),
        "{response:?}"
    );
    let received = second.received.lock().unwrap();
    assert!(matches!(&received[0], ToOwner::Hello(h) if h.held.len() == 1));
}

#[rstest]
#[case::deadline("deadline", "", 504, "deadline")]
#[case::queue("queue_full", "", 429, "queue_full")]
#[case::replica("no_replica", "", 503, "no_replica")]
#[case::load("load_failed", "", 503, "load_failed")]
#[case::convicted("convicted", "", 422, "convicted")]
#[case::budget("retry_budget", "", 429, "retry_budget")]
#[case::draining("draining", "", 503, "draining")]
#[case::platform("platform_down", "", 503, "platform_down")]
#[case::running("queue_full", "running", 409, "claim_running")]
#[case::answered("", "answered", 409, "claim_answered")]
#[case::unknown("", "unknown", 409, "claim_unknown")]
#[tokio::test]
async fn refusal_reported(
    #[case] reason: &'static str,
    #[case] claim: &'static str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let world = World::start(Arc::new(move |a| Some(refuse(a, reason, claim)))).await;
    // The entry retries at an owner that is stopping until the deadline.
    let head = format!("{}\nx-deadline-ms: 700", completion());
    let response = world.send(&head, PROMPT).await;
    assert_eq!(response.error(), (status, code.into(), "not_run".into()));
    let retry_after = claim.is_empty().then_some("2");
    assert_eq!(response.header("retry-after"), retry_after);
}

#[tokio::test]
async fn stopping_owner_asked_again() {
    let good = good().await;
    let address = good.address;
    let asked = std::sync::atomic::AtomicU32::new(0);
    let world = World::start(Arc::new(move |a| {
        match asked.fetch_add(1, std::sync::atomic::Ordering::Relaxed) {
            0 | 1 => Some(refuse(a, "draining", "")),
            _ => Some(grant(a, address, 5_000)),
        }
    }))
    .await;
    assert_eq!(world.send(&not_idempotent(), PROMPT).await.status, 200);
    assert_eq!(world.acquires().len(), 3);
}

#[expect(
    clippy::unwrap_used,
    reason = "a fake that cannot work must fail its test"
)]
async fn disconnect_after(world: &World, body: &str, wait_ms: u64) {
    let mut caller = TcpStream::connect(world.entry.address).await.unwrap();
    let message = message(&completion(), body);
    caller.write_all(message.as_bytes()).await.unwrap();
    if wait_ms == 0 {
        let mut first = [0; 16];
        caller.read_exact(&mut first).await.unwrap();
    } else {
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }
}

#[tokio::test]
async fn caller_disconnect_cancels_stream() {
    let upstream = stalled_upstream().await;
    let world = World::start(grant_always(upstream.address)).await;
    disconnect_after(&world, STREAM, 0).await;
    wait_for_cancel(&upstream).await;
    assert_eq!(outcomes(&world.releases(1).await), [4]);
}

#[tokio::test]
async fn caller_disconnect_abandons() {
    let world = World::start(Arc::new(|_| None)).await;
    disconnect_after(&world, PROMPT, 100).await;
    for _ in 0..300 {
        let abandoned = world.owner_messages(|m| matches!(m, ToOwner::Abandon(_)).then_some(()));
        if !abandoned.is_empty() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the owner received no Abandon");
}

#[tokio::test]
async fn caller_disconnect_records_claim() {
    let upstream = FakeUpstream::start(|got| {
        let id = got.header("x-request-id").unwrap();
        let head = format!("x-request-id: {id}\r\n");
        vec![UpstreamAction::Sleep(300), sized("200 OK", &head, "booked")]
    })
    .await;
    let world = World::start(grant_always(upstream.address)).await;
    let head = format!("POST /booking/confirm\nauthorization: Bearer {KEY}\nidempotency-key: k-1");
    let mut caller = TcpStream::connect(world.entry.address).await.unwrap();
    caller
        .write_all(message(&head, "slot 4").as_bytes())
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(caller);
    assert_eq!(world.releases(1).await[0].claim_outcome, "answered");
    assert_eq!(world.acquires()[0].claim, "laundry/k-1");
}
