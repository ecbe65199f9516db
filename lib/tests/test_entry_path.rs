//! Successful requests: forwarding, usage and the time line.

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
async fn completion_full() {
    let upstream = FakeUpstream::start(|got| vec![full_response(got)]).await;
    let world = world(&upstream).await;
    let response = world.send(&completion(), PROMPT).await;
    assert_eq!(
        (response.status, response.complete),
        (200, true),
        "{response:?}"
    );
    assert_eq!(response.header("x-served-model"), Some("rosters@3"));
    let body: serde_json::Value = serde_json::from_str(&response.body).unwrap();
    assert_eq!(body["id"].as_str(), response.header("x-request-id"));

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
    let response = world.send(&completion(), STREAM).await;
    assert_eq!(
        (response.status, response.complete),
        (200, true),
        "{response:?}"
    );
    assert_eq!(response.header("content-type"), Some("text/event-stream"));
    assert_eq!(response.header("x-served-model"), Some("rosters@2"));
    assert_eq!(response.body.matches("token_index").count(), 3);
    assert!(response.body.ends_with("data: [DONE]\n\n"));

    let got = upstream.got.lock().unwrap()[0].clone();
    // The owner's priority replaces the caller's.
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
    let response = world.send(&head, "slot 4").await;
    assert_eq!(
        (response.status, response.body.as_str()),
        (201, "booked"),
        "{response:?}"
    );
    assert_eq!(response.header("x-slot"), Some("4"));

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
    let response = world.send(&completion(), STREAM).await;
    let events = world.entry.state.recorder.read(&wire::TimelineRequest {
        request: response.header("x-request-id").unwrap().to_owned(),
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

/// While an entry stops, its control processes may be restarting and refuse reports.
/// The final report must reach the first one that accepts it.
#[tokio::test]
async fn usage_reported_at_stop_after_refusals() {
    let upstream = FakeUpstream::start(|got| vec![full_response(got)]).await;
    let world = world(&upstream).await;
    world.send(&completion(), PROMPT).await;
    let World { entry, feed, .. } = world;
    feed.reports.lock().unwrap().clear();
    feed.refusals.store(usize::MAX, Ordering::SeqCst);
    let refusals = feed.refusals.clone();
    let accept_later = async move {
        tokio::time::sleep(Duration::from_millis(300)).await;
        refusals.store(0, Ordering::SeqCst);
    };
    tokio::join!(entry.stop(), accept_later);
    let reports = feed.reports.lock().unwrap();
    let last = reports.last().expect("no final usage report was received");
    assert_eq!(last.counts[0].output_tokens, 3);
}

#[tokio::test]
async fn usage_reported_at_stop() {
    let upstream = FakeUpstream::start(|got| vec![full_response(got)]).await;
    let world = world(&upstream).await;
    world.send(&completion(), PROMPT).await;
    let World { entry, feed, .. } = world;
    entry.stop().await;
    let reports = feed.reports.lock().unwrap();
    let count = &reports.last().unwrap().counts[0];
    assert_eq!(
        (count.team.as_str(), count.version, count.output_tokens),
        ("laundry", 3, 3)
    );
}
