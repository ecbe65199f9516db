//! A plain HTTP client for the tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// An answer that came whole.
pub(crate) struct Whole {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
    /// The connection broke before the body ended.
    pub(crate) broken: bool,
}

impl Whole {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

/// Sends one request; `None` when no answer came.
pub(crate) async fn send(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response<Incoming>> {
    let (method, path) = line.split_once(' ').unwrap();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let client = Client::builder(TokioExecutor::new()).build_http();
    let body = Full::new(Bytes::from(body.to_owned()));
    client.request(request.body(body).unwrap()).await.ok()
}

/// Reads the rest of an answer.
pub(crate) async fn read(response: Response<Incoming>) -> Whole {
    let (parts, mut incoming) = response.into_parts();
    let mut body = Vec::new();
    let mut broken = false;
    while let Some(frame) = incoming.frame().await {
        match frame {
            Ok(frame) => body.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => broken = true,
        }
        if broken {
            break;
        }
    }
    Whole {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
        broken,
    }
}

/// Sends one request and reads its answer; `None` when no answer came.
pub(crate) async fn call(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Whole> {
    Some(read(send(address, line, headers, body).await?).await)
}

/// The history of a stand-in.
pub(crate) async fn history(control: SocketAddr) -> Value {
    call(control, "GET /history", &[], "").await.unwrap().json()
}

/// Sets switches of a stand-in.
pub(crate) async fn fault(control: SocketAddr, switches: &str) {
    let answer = call(control, "POST /faults", &[], switches).await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}
