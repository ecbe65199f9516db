//! Control calls to engines: load, unload, fence.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use serde::Deserialize;
use serde_json::json;

use super::BodyChunks;
use super::SendError;
use super::Upstreams;
use super::read_body;
use crate::ids::AdapterVersion;
use crate::ids::FencingToken;

/// Header with the owner's fencing token.
const TOKEN_HEADER: &str = "x-fencing-token";

/// Maximum size of a response to an order or report; a report names a few dozen
/// adapters.
const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// Error of an order or a load report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderError {
    /// The engine has seen a higher fencing token, so this owner was superseded.
    Fenced,
    /// All adapter slots are in use.
    Full,
    /// The engine refused the order with this status; it had no effect.
    Refused(u16),
    /// The engine could not be reached; the order had no effect.
    Unreachable(String),
    /// The order was sent but its response was lost; it may have taken effect.
    Lost(String),
    /// The response does not match the published format.
    Malformed(String),
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced => write!(f, "the engine has seen a higher fencing token"),
            Self::Full => write!(f, "all adapter slots are in use"),
            Self::Refused(code) => write!(f, "refused with status {code}"),
            Self::Unreachable(e) => write!(f, "unreachable: {e}"),
            Self::Lost(e) => write!(f, "response lost: {e}"),
            Self::Malformed(e) => write!(f, "malformed response: {e}"),
        }
    }
}

impl std::error::Error for OrderError {}

/// An engine's reply to an owner that announces its fencing token. A refusal is
/// [`OrderError::Fenced`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceReply {
    /// The highest token that the engine has seen, including the announced one.
    Highest(FencingToken),
    /// The engine does not support fencing tokens.
    Unsupported,
}

/// A client for control calls to upstreams; clones share connections.
#[derive(Clone, Debug)]
pub struct OrderClient {
    upstreams: Upstreams,
    timeout: Duration,
}

impl OrderClient {
    /// Returns a client whose calls are bounded by `timeout`.
    pub fn new(timeout: Duration) -> Self {
        let upstreams = Upstreams::new();
        Self { upstreams, timeout }
    }

    /// Loads an adapter version into a free slot.
    ///
    /// # Errors
    ///
    /// Those of [`OrderError`]; after `Lost`, the next load report shows whether the
    /// order took effect.
    pub async fn load(
        &self,
        to: SocketAddr,
        token: FencingToken,
        adapter: &AdapterVersion,
    ) -> Result<(), OrderError> {
        let name = adapter.to_string();
        let body = json!({"lora_name": name, "lora_path": format!("weights:{name}")});
        self.post(to, "/v1/load_lora_adapter", token, &body).await?;
        Ok(())
    }

    /// Unloads an adapter version; succeeds if it is not loaded.
    ///
    /// # Errors
    ///
    /// Those of [`OrderError`]; after `Lost`, the next load report shows whether the
    /// order took effect.
    pub async fn unload(
        &self,
        to: SocketAddr,
        token: FencingToken,
        adapter: &AdapterVersion,
    ) -> Result<(), OrderError> {
        let body = json!({"lora_name": adapter.to_string()});
        match self.post(to, "/v1/unload_lora_adapter", token, &body).await {
            Ok(_) | Err(OrderError::Refused(404)) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Announces `token` to the engine, which then refuses orders with lower tokens.
    ///
    /// # Errors
    ///
    /// Those of [`OrderError`]; `Fenced` if the engine has seen a higher token.
    pub async fn fence(
        &self,
        to: SocketAddr,
        token: FencingToken,
    ) -> Result<FenceReply, OrderError> {
        #[derive(Deserialize)]
        struct FenceBody {
            token: u64,
        }
        let result = self
            .post(to, "/v1/fence", token, &json!({"token": token.0}))
            .await;
        match result {
            Err(OrderError::Refused(404)) => Ok(FenceReply::Unsupported),
            Err(e) => Err(e),
            Ok(body) => {
                let reply: FenceBody = parse(&body)?;
                match reply.token > token.0 {
                    true => Err(OrderError::Fenced),
                    false => Ok(FenceReply::Highest(FencingToken(reply.token))),
                }
            }
        }
    }

    /// Sends a GET request and returns the body of the response.
    pub(super) async fn get(&self, to: SocketAddr, path: &str) -> Result<Bytes, OrderError> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(path)
            .header(HOST, to.to_string())
            .body(BodyChunks::default());
        self.send(to, request).await
    }

    async fn post(
        &self,
        to: SocketAddr,
        path: &str,
        token: FencingToken,
        body: &serde_json::Value,
    ) -> Result<Bytes, OrderError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(HOST, to.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(TOKEN_HEADER, token.0)
            .body(BodyChunks::from(Bytes::from(body.to_string())));
        self.send(to, request).await
    }

    async fn send(
        &self,
        to: SocketAddr,
        request: Result<Request<BodyChunks>, hyper::http::Error>,
    ) -> Result<Bytes, OrderError> {
        let request = request.map_err(|e| OrderError::Malformed(e.to_string()))?;
        let work = async {
            let mut response = self
                .upstreams
                .send(to, request)
                .await
                .map_err(|e| match e {
                    SendError::NotSent(e) => OrderError::Unreachable(e),
                    e => OrderError::Lost(e.to_string()),
                })?;
            let body = read_body(&mut response, MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|e| OrderError::Lost(e.to_string()))?;
            match response.head.status {
                s if s.is_success() => Ok(body),
                StatusCode::PRECONDITION_FAILED => Err(OrderError::Fenced),
                StatusCode::CONFLICT => Err(OrderError::Full),
                s => Err(OrderError::Refused(s.as_u16())),
            }
        };
        tokio::time::timeout(self.timeout, work)
            .await
            .map_err(|_| OrderError::Lost(format!("no response within {:?}", self.timeout)))?
    }
}

pub(super) fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, OrderError> {
    serde_json::from_slice(body).map_err(|e| OrderError::Malformed(e.to_string()))
}
