//! The path of a request that goes well.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use banyangauge::timeline::EventKind;
use banyangauge_proto as wire;

use crate::test_entry_fakes::*;

async fn world(upstream: &FakeUpstream) -> World {
    let address = upstream.address;
    World::start(Arc::new(move |a| Some(grant(a, address, 5_000)))).await
}

#[tokio::test]
async fn completion_whole() {
    let upstream = FakeUpstream::start(|got| vec![whole(got)]).await;
    let world = world(&upstream).await;
    let answer = world.ask(&completion(), PROMPT).await;
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(answer.header("x-served-model"), Some("rosters@3"));
    let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(body["id"].as_str(), answer.header("x-request-id"));

    let got = upstream.got.lock().unwrap()[0].clone();
    let sent: serde_json::Value = serde_json::from_str(&got.body).unwrap();
    assert_eq!(
        (&sent["model"], &sent["priority"], &sent["prompt"]),
        (&"rosters@3".into(), &3.into(), &"Who is on?".into())
    );
    let release = &world.releases(1).await[0];
    assert_eq!((release.outcome, release.tokens, release.seen), (0, 3, 7));
}

#[tokio::test]
async fn completion_stream() {
    let upstream = FakeUpstream::start(|got| stream(got, 0, 3)).await;
    let world = world(&upstream).await;
    let answer = world.ask(&completion(), STREAM).await;
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
    assert_eq!(answer.header("x-served-model"), Some("rosters@2"));
    assert_eq!(answer.body.matches("token_index").count(), 3);
    assert!(answer.body.ends_with("data: [DONE]\n\n"));

    let got = upstream.got.lock().unwrap()[0].clone();
    // The caller's own priority is replaced by the owner's.
    assert_eq!(got.body.matches("\"priority\":3").count(), 1);
    let release = &world.releases(1).await[0];
    assert_eq!((release.outcome, release.tokens, release.seen), (0, 3, 7));
    let counts = world.entry.state.usage.counts();
    assert_eq!(
        (
            counts[0].requests,
            counts[0].prompt_tokens,
            counts[0].output_tokens
        ),
        (1, 4, 3)
    );
}

#[tokio::test]
async fn service_call_passed_on() {
    let upstream = FakeUpstream::start(|got| {
        let id = got.header("x-request-id").unwrap();
        let headers = format!("x-request-id: {id}\r\nx-slot: 4\r\nconnection: keep-alive\r\n");
        vec![sized("201 Created", &headers, "booked")]
    })
    .await;
    let world = world(&upstream).await;
    let head = format!("POST /booking/slots?day=2\nauthorization: Bearer {KEY}\nx-note: n");
    let answer = world.ask(&head, "slot 4").await;
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (201, "booked"),
        "{answer:?}"
    );
    assert_eq!(answer.header("x-slot"), Some("4"));

    let got = upstream.got.lock().unwrap()[0].clone();
    assert!(got.head.starts_with("POST /booking/slots?day=2 "));
    assert_eq!(
        (got.header("x-note"), got.body.as_str()),
        (Some("n"), "slot 4")
    );
    assert_eq!(got.header("authorization"), None);
    let acquire = &world.acquires()[0];
    assert_eq!((acquire.class, acquire.idempotent), (1, false));
}

#[tokio::test]
async fn timeline_one_request() {
    let upstream = FakeUpstream::start(|got| stream(got, 0, 2)).await;
    let world = world(&upstream).await;
    let answer = world.ask(&completion(), STREAM).await;
    let events = world.entry.state.recorder.read(&wire::TimelineRequest {
        request: answer.header("x-request-id").unwrap().to_owned(),
        ..Default::default()
    });
    let kinds: Vec<_> = events.events.iter().map(|e| e.kind.as_str()).collect();
    let want = [
        EventKind::Received,
        EventKind::Granted,
        EventKind::Dispatched,
        EventKind::FirstByte,
        EventKind::Answered,
    ];
    assert_eq!(kinds, want.map(EventKind::as_str));
}

/// An entry stops while its control processes stop or start again, too: the
/// first that takes its last report is found.
#[tokio::test]
async fn usage_reported_at_stop_after_refusals() {
    let upstream = FakeUpstream::start(|got| vec![whole(got)]).await;
    let world = world(&upstream).await;
    world.ask(&completion(), PROMPT).await;
    let World { entry, feed, .. } = world;
    feed.reports.lock().unwrap().clear();
    feed.refusals.store(usize::MAX, Ordering::SeqCst);
    let refusals = feed.refusals.clone();
    let back = async move {
        tokio::time::sleep(Duration::from_millis(300)).await;
        refusals.store(0, Ordering::SeqCst);
    };
    tokio::join!(entry.stop(), back);
    let reports = feed.reports.lock().unwrap();
    let last = reports.last().expect("nobody has the last usage");
    assert_eq!(last.counts[0].output_tokens, 3);
}

#[tokio::test]
async fn usage_reported_at_stop() {
    let upstream = FakeUpstream::start(|got| vec![whole(got)]).await;
    let world = world(&upstream).await;
    world.ask(&completion(), PROMPT).await;
    let World { entry, feed, .. } = world;
    entry.stop().await;
    let reports = feed.reports.lock().unwrap();
    let count = &reports.last().unwrap().counts[0];
    assert_eq!(
        (count.team.as_str(), count.version, count.output_tokens),
        ("laundry", 3, 3)
    );
}
