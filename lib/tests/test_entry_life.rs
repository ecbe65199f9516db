//! Settings, HTTP/2, and graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use banyangauge::entry::EntrySettings;
use banyangauge::settings::Settings;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::test_entry_fakes::*;

const EXAMPLE: &str = include_str!("../../settings/entry.toml");

#[test]
fn settings_example_loads() {
    let settings: EntrySettings = toml::from_str(EXAMPLE).unwrap();
    assert_eq!(settings.check(), Ok(()));
}

#[rstest]
#[case::body("body = 1048576", "body = 1", "limits.body")]
#[case::deadline(
    "most_deadline_ms = 600000",
    "most_deadline_ms = 200",
    "limits.default_deadline_ms"
)]
#[case::controls(
    "controls = [\"127.0.0.1:8090\", \"127.0.0.2:8090\"]",
    "controls = []",
    "controls"
)]
fn settings_out_of_range(#[case] from: &str, #[case] to: &str, #[case] key: &str) {
    let settings: EntrySettings = toml::from_str(&EXAMPLE.replace(from, to)).unwrap();
    assert_eq!(settings.check().unwrap_err().key, key);
}

#[test]
fn settings_unknown_key() {
    let text = EXAMPLE.replace("retries = 3", "retrys = 3");
    assert!(toml::from_str::<EntrySettings>(&text).is_err());
}

async fn slow_stream() -> World {
    let upstream = FakeUpstream::start(|got| {
        let mut acts = stream(got, 0, 2);
        acts.insert(2, UpstreamAction::Sleep(500));
        acts
    })
    .await;
    let address = upstream.address;
    World::start(Arc::new(move |a| Some(grant(a, address, 5_000)))).await
}

#[tokio::test]
async fn stop_waits_for_stream() {
    let world = slow_stream().await;
    let address = world.entry.address;
    let idle = TcpStream::connect(address).await.unwrap();
    let asking = tokio::spawn(async move { send_request(address, &completion(), STREAM).await });
    while world.acquires().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    world.entry.stop().await;
    let response = asking.await.unwrap();
    assert!(
        response.complete && response.body.contains("[DONE]"),
        "{response:?}"
    );
    assert!(TcpStream::connect(address).await.is_err());
    drop(idle);
}

#[tokio::test]
async fn http2_streams_side_by_side() {
    let world = slow_stream().await;
    let stream = TcpStream::connect(world.entry.address).await.unwrap();
    let handshake =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    let asks = (0..5).map(|_| {
        let mut sender = sender.clone();
        async move {
            let request = hyper::Request::post("http://x/v1/completions")
                .header("authorization", format!("Bearer {KEY}"))
                .body(Full::new(Bytes::from(STREAM)))
                .unwrap();
            let response = sender.send_request(request).await.unwrap();
            response.into_body().collect().await.unwrap().to_bytes()
        }
    });
    for body in futures_util::future::join_all(asks).await {
        assert!(body.ends_with(b"data: [DONE]\n\n"));
    }
}

/// A caller that does not read while the stream exceeds all buffers must not keep its
/// grant past its deadline.
#[tokio::test]
async fn unread_stream_ends_at_deadline() {
    let upstream = FakeUpstream::start(|got| match got.head.starts_with("DELETE") {
        true => vec![sized("200 OK", "", "")],
        false => {
            let mut acts = vec![stream_head(got)];
            let filler = "x".repeat(64 << 10);
            for index in 0..400 {
                acts.push(token(got, index, false));
                acts.push(chunk(&format!(": {filler}\n\n")));
            }
            acts
        }
    })
    .await;
    let address = upstream.address;
    let world = World::start(Arc::new(move |a| Some(grant(a, address, 5_000)))).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut caller = socket.connect(world.entry.address).await.unwrap();
    let head = format!("{}\nx-deadline-ms: 700", completion());
    caller
        .write_all(message(&head, STREAM).as_bytes())
        .await
        .unwrap();
    let release = world.releases(1).await[0].clone();
    assert_eq!(release.outcome, 4);
    // What the caller reads afterwards is visibly incomplete.
    let mut rest = Vec::new();
    caller.read_to_end(&mut rest).await.ok();
    let text = String::from_utf8_lossy(&rest);
    assert!(!text.contains("[DONE]") && text.contains("event: error"));
}
