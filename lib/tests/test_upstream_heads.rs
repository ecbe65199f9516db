//! Responses with malformed heads, for each client that reads responses, beside sound ones.

use std::net::SocketAddr;
use std::time::Duration;

use banyangauge::ids::FencingToken;
use banyangauge::platform::Platform;
use banyangauge::platform::PlatformError;
use banyangauge::upstream::BodyChunks;
use banyangauge::upstream::OrderClient;
use banyangauge::upstream::OrderError;
use banyangauge::upstream::Upstreams;
use banyangauge::upstream::read_report;
use banyangauge_testutils::heads::Coding;
use banyangauge_testutils::heads::Fault;
use banyangauge_testutils::heads::Head;
use banyangauge_testutils::heads::RawResponse;
use banyangauge_testutils::heads::RawServer;
use banyangauge_testutils::heads::SIZE;
use banyangauge_testutils::heads::malformed;
use banyangauge_testutils::heads::misstated;
use banyangauge_testutils::heads::sound;
use hyper::Method;
use hyper::Request;
use rstest::rstest;

/// How long a client waits for a whole response.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A server that sends responses with a head; those to `/warm` only keep a connection open.
fn start(head: Head, body: &'static [u8]) -> SocketAddr {
    let is_sound = sound().iter().any(|h| h.name == head.name);
    let server = RawServer::start(move |request| {
        if request.head.contains(" /warm") {
            return RawResponse {
                bytes: sound()[0].response("", &[b'w'; SIZE]),
                pause_at: 0,
                is_kept: true,
            };
        }
        let bytes = head.response("", body);
        RawResponse {
            // Each second response comes in two parts.
            pause_at: bytes.len() / 40 * (request.earlier % 2),
            bytes,
            // A connection that ends without notice may lose the next request.
            is_kept: is_sound && !head.is_unframed(),
        }
    });
    server.unwrap().address
}

/// Returns the status and the body of a response, if it is a whole one.
async fn ask(upstreams: &Upstreams, to: SocketAddr, method: Method, path: &str) -> Option<Seen> {
    let request = Request::builder().method(method).uri(path);
    let request = request.header("host", "x").body(BodyChunks::default());
    let exchange = async {
        let mut response = upstreams.send(to, request.unwrap()).await.ok()?;
        let mut body = Vec::new();
        while let Some(chunk) = response.next_chunk().await {
            body.extend_from_slice(&chunk.ok()?);
        }
        Some((response.head.status.as_u16(), body.len()))
    };
    tokio::time::timeout(TIMEOUT, exchange).await.ok()?
}

/// A status, and the size of a body.
type Seen = (u16, usize);

async fn ask_for(head: Head, method: Method, reused: bool) -> Option<Seen> {
    let (upstreams, to) = (Upstreams::new(), start(head, &[b'x'; SIZE]));
    if reused {
        let warm = ask(&upstreams, to, Method::GET, "/warm").await;
        assert_eq!(warm, Some((200, SIZE)));
    }
    ask(&upstreams, to, method, "/x").await
}

/// Responses whose bodies were not what their upstream had sent were taken for whole ones.
#[rstest]
#[tokio::test]
async fn response_with_malformed_head_is_none(
    #[values(Fault::Length, Fault::Line, Fault::Name, Fault::Status)] fault: Fault,
    #[values(false, true)] reused: bool,
) {
    let mut taken = Vec::new();
    for head in malformed(fault) {
        if let Some(seen) = ask_for(head, Method::POST, reused).await {
            taken.push((head.name, seen));
        }
    }
    assert_eq!(taken, []);
}

/// A part of a body was taken for all of it.
#[rstest]
#[tokio::test]
async fn response_of_misstated_length_is_not_whole(#[values(false, true)] reused: bool) {
    for head in misstated() {
        let seen = ask_for(head, Method::POST, reused).await;
        assert_eq!(seen, None, "{}", head.name);
    }
}

#[rstest]
#[tokio::test]
async fn response_with_sound_head_is_whole(#[values(false, true)] reused: bool) {
    for head in sound() {
        let size = if head.coding == Coding::None { 0 } else { SIZE };
        let status = head.start.trim_end().rsplit("HTTP/1.").next().unwrap();
        let status = status[2..5].parse().unwrap();
        let seen = ask_for(head, Method::POST, reused).await;
        assert_eq!(seen, Some((status, size)), "{}", head.name);
    }
}

fn without_body(head: Head) -> Head {
    Head {
        coding: Coding::None,
        ..head
    }
}

/// The caller of a HEAD request learns the length from its response.
#[rstest]
#[tokio::test]
async fn response_to_head_request_by_head(#[values(false, true)] reused: bool) {
    for head in sound().into_iter().map(without_body) {
        let seen = ask_for(head, Method::HEAD, reused).await;
        assert!(seen.is_some_and(|(_, size)| size == 0), "{}", head.name);
    }
    let mut taken = Vec::new();
    for head in malformed(Fault::Length).into_iter().map(without_body) {
        if ask_for(head, Method::HEAD, reused).await.is_some() {
            taken.push(head.name);
        }
    }
    assert_eq!(taken, [""; 0]);
}

/// An order whose response is malformed counted as carried out or as refused, and a report was
/// believed.
#[rstest]
#[tokio::test]
async fn order_with_malformed_response_is_unknown(
    #[values(Fault::Length, Fault::Line, Fault::Name, Fault::Status)] fault: Fault,
) {
    let client = OrderClient::new(TIMEOUT);
    let (token, adapter) = (FencingToken(1), "a@1".parse().unwrap());
    let mut taken = Vec::new();
    for head in malformed(fault) {
        let to = start(head, br#"{"token":1,"incarnation":7}"#);
        let ends = [
            ("load", client.load(to, token, &adapter).await.err()),
            ("unload", client.unload(to, token, &adapter).await.err()),
            ("fence", client.fence(to, token).await.err()),
            ("report", read_report(&client, to).await.err()),
        ];
        for (call, end) in ends {
            if !matches!(end, Some(OrderError::Lost(_))) {
                taken.push((head.name, call, end));
            }
        }
    }
    assert_eq!(taken, []);
}

/// A write whose response is malformed counted as done or as without effect.
#[rstest]
#[tokio::test]
async fn platform_call_with_malformed_response_is_unknown(
    #[values(Fault::Length, Fault::Line, Fault::Name, Fault::Status)] fault: Fault,
) {
    let mut taken = Vec::new();
    for head in malformed(fault) {
        let body = br#"{"metadata":{"resourceVersion":"1"},"spec":{},"items":[]}"#;
        let platform = Platform::new(start(head, body));
        let read = platform.get::<serde_json::Value>("kinds", "x");
        let list = platform.list::<serde_json::Value>("kinds");
        let ends = [
            ("create", platform.create("kinds", "x", &1).await.err()),
            (
                "replace",
                platform.replace("kinds", "x", "1", &1).await.err(),
            ),
            ("delete", platform.delete("kinds", "x").await.err()),
            ("get", read.await.err()),
            ("list", list.await.err()),
            ("watch", platform.watch("kinds", "1").await.err()),
        ];
        for (call, end) in ends {
            if !matches!(end, Some(PlatformError::Lost(_))) {
                taken.push((head.name, call, end));
            }
        }
    }
    assert_eq!(taken, []);
}

/// Sound responses reach the same clients.
#[tokio::test]
async fn calls_with_sound_responses_succeed() {
    let with_body = |head: &Head| head.coding != Coding::None && !has_length(head);
    for head in sound().into_iter().filter(with_body) {
        let body = br#"{"token":1,"incarnation":7,"metadata":{"resourceVersion":"1"},"items":[]}"#;
        let to = start(head, body);
        let client = OrderClient::new(TIMEOUT);
        let token = FencingToken(1);
        let loaded = client.load(to, token, &"a@1".parse().unwrap()).await;
        assert_eq!(loaded, Ok(()), "{}", head.name);
        assert!(read_report(&client, to).await.is_ok(), "{}", head.name);
        let platform = Platform::new(to);
        assert_eq!(platform.delete("kinds", "x").await, Ok(()), "{}", head.name);
        let list = platform.list::<serde_json::Value>("kinds").await;
        assert!(list.is_ok_and(|l| l.items.is_empty()), "{}", head.name);
        assert!(platform.watch("kinds", "1").await.is_ok(), "{}", head.name);
    }
}

/// Whether a head states the length of another body.
fn has_length(head: &Head) -> bool {
    let fields = String::from_utf8_lossy(head.fields).to_lowercase();
    fields.contains("content-length")
}
