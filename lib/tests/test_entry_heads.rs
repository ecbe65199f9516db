//! The entry before upstreams that send responses with malformed heads.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use banyangauge_testutils::heads::Coding;
use banyangauge_testutils::heads::Fault;
use banyangauge_testutils::heads::Head;
use banyangauge_testutils::heads::RawRequest;
use banyangauge_testutils::heads::RawResponse;
use banyangauge_testutils::heads::RawServer;
use banyangauge_testutils::heads::SIZE;
use banyangauge_testutils::heads::malformed;
use banyangauge_testutils::heads::misstated;
use banyangauge_testutils::heads::sound;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::net::TcpStream;

use crate::test_entry_fakes::KEY;
use crate::test_entry_fakes::PROMPT;
use crate::test_entry_fakes::STREAM;
use crate::test_entry_fakes::World;
use crate::test_entry_fakes::grant;

/// What callers ask for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ask {
    /// A call to a service that runs once at most.
    Call,
    Completion,
    Stream,
}

impl Ask {
    fn body(self) -> &'static str {
        match self {
            Self::Call => "slot",
            Self::Completion => PROMPT,
            Self::Stream => STREAM,
        }
    }
}

/// Returns the fields and the body of an upstream's response.
fn content(request: &RawRequest, ask: Ask) -> (String, Vec<u8>) {
    let id = request.field("x-request-id");
    let model = match ask {
        Ask::Completion => "rosters@3",
        _ => "rosters@2",
    };
    let usage = r#""usage":{"prompt_tokens":4,"completion_tokens":1}"#;
    let choice = r#""choices":[{"index":0,"text":"t ","finish_reason":"stop"}]"#;
    let json = format!(r#"{{"id":"{id}","model":"{model}","token_index":0,{choice},{usage}}}"#);
    let fields = format!("x-request-id: {id}\r\n");
    let engine = format!("{fields}x-served-model: {model}\r\nx-engine-incarnation: 7\r\n");
    // Spaces fill the body to the length that the heads state.
    let padded = |text: String| format!("{text:SIZE$}").into_bytes();
    match ask {
        Ask::Call => (fields, vec![b'x'; SIZE]),
        Ask::Completion => (engine, padded(json)),
        Ask::Stream => {
            let end = "data: [DONE]\n\n";
            let event = format!("data: {json}\n\n");
            let filler = SIZE - event.len() - end.len() - ": \n\n".len();
            let text = format!(": {}\n\n{event}{end}", "x".repeat(filler));
            let fields = engine + "content-type: text/event-stream\r\n";
            (fields, text.into_bytes())
        }
    }
}

/// Starts an entry before an upstream whose responses have a head.
async fn start(head: Head, ask: Ask, runs: &Arc<AtomicUsize>) -> World {
    let runs = runs.clone();
    let server = RawServer::start(move |request| {
        let is_cancel = request.head.starts_with("delete");
        runs.fetch_add(usize::from(!is_cancel), Ordering::Relaxed);
        let (fields, body) = content(request, ask);
        RawResponse {
            bytes: head.response(&fields, &body),
            pause_at: 0,
            is_kept: false,
        }
    });
    let address = server.unwrap().address;
    World::start(Arc::new(move |a| Some(grant(a, address, 5_000)))).await
}

/// Sends a request over HTTP/1.1 or HTTP/2; returns the status and the body, if that is whole.
async fn send(world: &World, ask: Ask, is_http2: bool) -> (u16, Option<Bytes>) {
    let path = match ask {
        Ask::Call => "/booking/slots",
        _ => "/v1/completions",
    };
    let request = Request::post(format!("http://x{path}"))
        .header("host", "x")
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(Bytes::from(ask.body())))
        .unwrap();
    let stream = TcpStream::connect(world.entry.address).await.unwrap();
    let stream = TokioIo::new(stream);
    let response = match is_http2 {
        true => {
            let handshake = hyper::client::conn::http2::handshake(TokioExecutor::new(), stream);
            let (mut sender, connection) = handshake.await.unwrap();
            tokio::spawn(connection);
            sender.send_request(request).await.unwrap()
        }
        false => {
            let handshake = hyper::client::conn::http1::handshake(stream);
            let (mut sender, connection) = handshake.await.unwrap();
            tokio::spawn(connection);
            sender.send_request(request).await.unwrap()
        }
    };
    let status = response.status().as_u16();
    let body = response.into_body().collect().await;
    (status, body.ok().map(|b| b.to_bytes()))
}

/// Callers got broken responses as whole ones, and their teams were charged for them.
#[rstest]
#[tokio::test]
async fn response_with_malformed_head_is_none(
    #[values(Fault::Length, Fault::Line, Fault::Name, Fault::Status)] fault: Fault,
    #[values(Ask::Call, Ask::Completion, Ask::Stream)] ask: Ask,
    #[values(false, true)] is_http2: bool,
) {
    let mut wrong = Vec::new();
    for head in malformed(fault) {
        let runs = Arc::default();
        let world = start(head, ask, &runs).await;
        let (status, _) = send(&world, ask, is_http2).await;
        let runs = runs.load(Ordering::Relaxed);
        let is_wrong = status < 500 || runs == 0 || ask == Ask::Call && (runs > 1 || status == 503);
        let is_charged = world
            .entry
            .state
            .usage
            .counts()
            .iter()
            .any(|c| c.requests > 0);
        if is_wrong || is_charged {
            wrong.push((head.name, status, runs, is_charged));
        }
    }
    assert_eq!(wrong, []);
}

/// A part of a body was passed on as all of it.
#[rstest]
#[tokio::test]
async fn response_of_misstated_length_is_none(#[values(false, true)] is_http2: bool) {
    for head in misstated() {
        let world = start(head, Ask::Call, &Arc::default()).await;
        let (status, _) = send(&world, Ask::Call, is_http2).await;
        assert_eq!(status, 502, "{}", head.name);
    }
}

#[rstest]
#[tokio::test]
async fn response_with_sound_head_is_whole(
    #[values(Ask::Call, Ask::Completion, Ask::Stream)] ask: Ask,
    #[values(false, true)] is_http2: bool,
) {
    let with_body = |head: &Head| head.coding != Coding::None && !head.start.contains("299");
    for head in sound().into_iter().filter(with_body) {
        let world = start(head, ask, &Arc::default()).await;
        let (status, body) = send(&world, ask, is_http2).await;
        assert_eq!((status, body.is_some()), (200, true), "{}", head.name);
        if ask != Ask::Stream {
            assert_eq!(body.map(|b| b.len()), Some(SIZE), "{}", head.name);
        }
    }
}
