//! Sends a request to an upstream and checks the identity of the response.

use std::borrow::Cow;
use std::net::SocketAddr;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::Method;
use hyper::Request;
use serde::Deserialize;

use super::BodyChunks;
use super::RunError;
use super::SendError;
use super::Unready;
use super::UpstreamResponse;
use super::Upstreams;

/// Maximum size of an error body that is read for its code.
const MAX_ERROR_BYTES: usize = 16 << 10;

/// Identity that a response must have to be passed on.
#[derive(Clone, Debug)]
pub struct ExpectedIdentity {
    /// Identifier of the request.
    pub request: String,
    /// `adapter@version`; empty for a service.
    pub model: String,
    /// Incarnation of the engine, from the grant; 0 if not known.
    pub incarnation: u64,
}

/// Number of tokens, as counted by the upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct TokenUsage {
    /// Tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
}

#[derive(Deserialize)]
struct ErrorCode<'a> {
    #[serde(borrow)]
    code: Cow<'a, str>,
}

#[derive(Deserialize)]
struct ErrorBody<'a> {
    #[serde(borrow)]
    error: ErrorCode<'a>,
}

/// Sends a request and checks the head of its response.
///
/// # Errors
///
/// See [`RunError`]; only `NotSent`, `Unready` and `Rejected` mean that the request
/// did not run.
pub async fn run(
    upstreams: &Upstreams,
    address: SocketAddr,
    request: Request<BodyChunks>,
    expected: &ExpectedIdentity,
) -> Result<UpstreamResponse, RunError> {
    let response = upstreams
        .send(address, request)
        .await
        .map_err(|e| match e {
            SendError::NotSent(e) => RunError::NotSent(e),
            SendError::Broken(e) => RunError::BrokenEarly(e),
            SendError::InvalidHead(fault) => RunError::BrokenEarly(fault.to_string()),
        })?;
    match expected.model.is_empty() {
        true => check_service(response, expected).await,
        false => check_engine(response, expected).await,
    }
}

async fn check_engine(
    response: UpstreamResponse,
    expected: &ExpectedIdentity,
) -> Result<UpstreamResponse, RunError> {
    let status = response.head.status.as_u16();
    if status != 200 {
        return Err(error_from_body(status, response).await);
    }
    check_head(&response, expected)?;
    Ok(response)
}

async fn check_service(
    response: UpstreamResponse,
    expected: &ExpectedIdentity,
) -> Result<UpstreamResponse, RunError> {
    // A service that is shutting down sends a 503 with an error code. Other failures
    // are responses of the service and are passed on.
    let status = response.head.status.as_u16();
    if status == 503 && response.header("x-request-id").is_none() {
        return Err(error_from_body(status, response).await);
    }
    check_request(&response, expected, 0)?;
    Ok(response)
}

/// Returns the incarnation that a response names; 0 if it names none.
pub fn incarnation(response: &UpstreamResponse) -> u64 {
    response
        .header("x-engine-incarnation")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0)
}

fn check_head(response: &UpstreamResponse, expected: &ExpectedIdentity) -> Result<(), RunError> {
    let incarnation = incarnation(response);
    check_request(response, expected, incarnation)?;
    let wrong = |what| Err(RunError::WrongIdentity { what, incarnation });
    if response.header("x-served-model") != Some(expected.model.as_str()) {
        return wrong("model");
    }
    if incarnation == 0 || (expected.incarnation != 0 && incarnation != expected.incarnation) {
        return wrong("incarnation");
    }
    Ok(())
}

fn check_request(
    response: &UpstreamResponse,
    expected: &ExpectedIdentity,
    incarnation: u64,
) -> Result<(), RunError> {
    match response.header("x-request-id") == Some(expected.request.as_str()) {
        true => Ok(()),
        false => Err(RunError::WrongIdentity {
            what: "request",
            incarnation,
        }),
    }
}

async fn error_from_body(status: u16, mut response: UpstreamResponse) -> RunError {
    let body = read_body(&mut response, MAX_ERROR_BYTES)
        .await
        .unwrap_or_default();
    let code = serde_json::from_slice::<ErrorBody<'_>>(&body)
        .map(|b| b.error.code.into_owned())
        .unwrap_or_default();
    match (status, code.as_str()) {
        // Only the published codes mean that the request did not run. A 503 without
        // a code may come from an intermediary after the request ran.
        (404, "model_not_found") => RunError::Unready(Unready::NotLoaded),
        (429, "engine_full") => RunError::Unready(Unready::Full),
        (503, "draining") => RunError::Unready(Unready::Leaving),
        (400..=499, _) => RunError::Rejected(status, code),
        _ => RunError::BrokenEarly(format!("status {status}")),
    }
}

/// Reads a body of at most `max_bytes` bytes to its end.
///
/// # Errors
///
/// [`RunError::BrokenEarly`] or [`RunError::BrokenLate`] if the connection broke or
/// the body is longer.
pub async fn read_body(
    response: &mut UpstreamResponse,
    max_bytes: usize,
) -> Result<Bytes, RunError> {
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(chunk) = response.next_chunk().await {
        let read = first.len() + rest.len();
        let chunk = chunk.map_err(|e| match read {
            0 => RunError::BrokenEarly(e.to_string()),
            _ => RunError::BrokenLate(e.to_string()),
        })?;
        if read + chunk.len() > max_bytes {
            return Err(RunError::BrokenLate(format!(
                "the body is longer than {max_bytes} bytes"
            )));
        }
        // Most bodies come in one chunk, which needs no copy.
        match first.is_empty() && rest.is_empty() {
            true => first = chunk,
            false => {
                if rest.is_empty() {
                    rest.extend_from_slice(&first);
                    first = Bytes::new();
                }
                rest.extend_from_slice(&chunk);
            }
        }
    }
    Ok(match rest.is_empty() {
        true => first,
        false => rest.freeze(),
    })
}

#[derive(Deserialize)]
struct CompletionBody<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    model: Cow<'a, str>,
    choices: Vec<Choice>,
    usage: TokenUsage,
}

#[derive(Deserialize)]
struct Choice {
    finish_reason: Option<serde::de::IgnoredAny>,
}

/// Checks that an engine's response body is complete and has the expected identity.
///
/// ```
/// use banyangauge::upstream::{ExpectedIdentity, check_completion};
/// let want = ExpectedIdentity { request: "r".into(), model: "a@1".into(), incarnation: 1 };
/// let body = br#"{"id":"r","model":"a@1","choices":[{"finish_reason":"stop"}],
///     "usage":{"prompt_tokens":2,"completion_tokens":3}}"#;
/// assert_eq!(check_completion(body, &want).unwrap().completion_tokens, 3);
/// assert!(check_completion(&body[..40], &want).is_err());
/// ```
///
/// # Errors
///
/// [`RunError::BrokenLate`] if the body is not complete JSON of the published format,
/// [`RunError::WrongIdentity`] if it belongs to another request or model.
pub fn check_completion(body: &[u8], expected: &ExpectedIdentity) -> Result<TokenUsage, RunError> {
    let completion: CompletionBody<'_> =
        serde_json::from_slice(body).map_err(|e| RunError::BrokenLate(e.to_string()))?;
    let incarnation = expected.incarnation;
    if completion.id != expected.request {
        return Err(RunError::WrongIdentity {
            what: "request",
            incarnation,
        });
    }
    if completion.model != expected.model {
        return Err(RunError::WrongIdentity {
            what: "model",
            incarnation,
        });
    }
    match completion
        .choices
        .first()
        .is_some_and(|c| c.finish_reason.is_some())
    {
        true => Ok(completion.usage),
        false => Err(RunError::BrokenLate(
            "the completion has no finish_reason".to_owned(),
        )),
    }
}

/// Cancels a request on an engine. Waits until the engine has confirmed it, or for
/// `CANCEL_TIMEOUT`, after which the engine has ended the request by itself.
pub async fn cancel(upstreams: &Upstreams, address: SocketAddr, request: &str) {
    let Ok(cancel_request) = Request::builder()
        .method(Method::DELETE)
        .uri(format!("/v1/requests/{request}"))
        .header("host", address.to_string())
        .body(BodyChunks::default())
    else {
        return;
    };
    let work = async {
        if let Ok(mut response) = upstreams.send(address, cancel_request).await {
            // The connection can be reused only after the body is read to its end.
            read_body(&mut response, MAX_ERROR_BYTES).await.ok();
        }
    };
    tokio::time::timeout(CANCEL_TIMEOUT, work).await.ok();
}

/// Timeout of a cancellation. An engine ends a stream by itself 5 s after its
/// connection was lost.
const CANCEL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);
