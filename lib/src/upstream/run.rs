//! One run of a request on an upstream, and the check of whose answer it is.

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

/// The longest error body that is read for its code.
const MAX_ERROR: usize = 16 << 10;

/// What an answer must name to be passed on.
#[derive(Clone, Debug)]
pub struct ExpectedIdentity {
    /// The request's id.
    pub request: String,
    /// `adapter@version`; empty for a plain service.
    pub model: String,
    /// The engine's incarnation by the grant; 0 is not known.
    pub incarnation: u64,
}

/// Tokens by the upstream's own count.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct TokenUsage {
    /// In the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// In the answer.
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

/// Sends a request and checks the head of its answer.
///
/// # Errors
///
/// See [`RunError`]; only its first three mean that the request did not run.
pub async fn run(
    upstreams: &Upstreams,
    address: SocketAddr,
    request: Request<BodyChunks>,
    expected: &ExpectedIdentity,
) -> Result<UpstreamResponse, RunError> {
    let answer = upstreams
        .send(address, request)
        .await
        .map_err(|e| match e {
            SendError::NotSent(e) => RunError::NotSent(e),
            SendError::Broken(e) => RunError::BrokenEarly(e),
        })?;
    match expected.model.is_empty() {
        true => check_service(answer, expected).await,
        false => check_engine(answer, expected).await,
    }
}

async fn check_engine(
    answer: UpstreamResponse,
    expected: &ExpectedIdentity,
) -> Result<UpstreamResponse, RunError> {
    let status = answer.head.status.as_u16();
    if status != 200 {
        return Err(refused(status, answer).await);
    }
    check_head(&answer, expected)?;
    Ok(answer)
}

async fn check_service(
    answer: UpstreamResponse,
    expected: &ExpectedIdentity,
) -> Result<UpstreamResponse, RunError> {
    // A leaving service says so with the code; any other failure is its answer.
    let status = answer.head.status.as_u16();
    if status == 503 && answer.header("x-request-id").is_none() {
        return Err(refused(status, answer).await);
    }
    check_request(&answer, expected, 0)?;
    Ok(answer)
}

/// The engine's incarnation by its answer; 0 when it tells none.
pub fn incarnation(answer: &UpstreamResponse) -> u64 {
    answer
        .header("x-engine-incarnation")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0)
}

fn check_head(answer: &UpstreamResponse, expected: &ExpectedIdentity) -> Result<(), RunError> {
    let seen = incarnation(answer);
    check_request(answer, expected, seen)?;
    let wrong = |what| Err(RunError::WrongIdentity { what, seen });
    if answer.header("x-served-model") != Some(expected.model.as_str()) {
        return wrong("model");
    }
    if seen == 0 || (expected.incarnation != 0 && seen != expected.incarnation) {
        return wrong("incarnation");
    }
    Ok(())
}

fn check_request(
    answer: &UpstreamResponse,
    expected: &ExpectedIdentity,
    seen: u64,
) -> Result<(), RunError> {
    match answer.header("x-request-id") == Some(expected.request.as_str()) {
        true => Ok(()),
        false => Err(RunError::WrongIdentity {
            what: "request",
            seen,
        }),
    }
}

async fn refused(status: u16, mut answer: UpstreamResponse) -> RunError {
    let body = read_body(&mut answer, MAX_ERROR).await.unwrap_or_default();
    let code = serde_json::from_slice::<ErrorBody<'_>>(&body)
        .map(|b| b.error.code.into_owned())
        .unwrap_or_default();
    match (status, code.as_str()) {
        // Only the published codes say "not run": a bare 503 may come from
        // anything on the way, after the request ran.
        (404, "model_not_found") => RunError::Unready(Unready::NotLoaded),
        (429, "engine_full") => RunError::Unready(Unready::Full),
        (503, "draining") => RunError::Unready(Unready::Leaving),
        (400..=499, _) => RunError::Rejected(status, code),
        _ => RunError::BrokenEarly(format!("status {status}")),
    }
}

/// Reads a whole body of at most `most` bytes.
///
/// # Errors
///
/// [`RunError::BrokenEarly`] or [`RunError::BrokenLate`] when it broke off or
/// is longer.
pub async fn read_body(answer: &mut UpstreamResponse, most: usize) -> Result<Bytes, RunError> {
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(piece) = answer.data().await {
        let read = first.len() + rest.len();
        let piece = piece.map_err(|e| match read {
            0 => RunError::BrokenEarly(e.to_string()),
            _ => RunError::BrokenLate(e.to_string()),
        })?;
        if read + piece.len() > most {
            return Err(RunError::BrokenLate("the answer is too long".to_owned()));
        }
        // Most answers come in one piece, which needs no copy.
        match first.is_empty() && rest.is_empty() {
            true => first = piece,
            false => {
                if rest.is_empty() {
                    rest.extend_from_slice(&first);
                    first = Bytes::new();
                }
                rest.extend_from_slice(&piece);
            }
        }
    }
    Ok(match rest.is_empty() {
        true => first,
        false => rest.freeze(),
    })
}

#[derive(Deserialize)]
struct Whole<'a> {
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

/// Checks that a whole answer of an engine is complete and the expected one.
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
/// [`RunError::BrokenLate`] when it is not complete JSON of the published
/// form, [`RunError::WrongIdentity`] when it is another's.
pub fn check_completion(body: &[u8], expected: &ExpectedIdentity) -> Result<TokenUsage, RunError> {
    let whole: Whole<'_> =
        serde_json::from_slice(body).map_err(|e| RunError::BrokenLate(e.to_string()))?;
    let seen = expected.incarnation;
    if whole.id != expected.request {
        return Err(RunError::WrongIdentity {
            what: "request",
            seen,
        });
    }
    if whole.model != expected.model {
        return Err(RunError::WrongIdentity {
            what: "model",
            seen,
        });
    }
    match whole
        .choices
        .first()
        .is_some_and(|c| c.finish_reason.is_some())
    {
        true => Ok(whole.usage),
        false => Err(RunError::BrokenLate("no finish_reason".to_owned())),
    }
}

/// Asks an engine to end a request and waits until it has, or until
/// `CANCEL_TIMEOUT`, when the engine has ended it by itself.
pub async fn cancel(upstreams: &Upstreams, address: SocketAddr, request: &str) {
    let Ok(message) = Request::builder()
        .method(Method::DELETE)
        .uri(format!("/v1/requests/{request}"))
        .header("host", address.to_string())
        .body(BodyChunks::default())
    else {
        return;
    };
    let work = async {
        if let Ok(mut answer) = upstreams.send(address, message).await {
            // Reading to the end lets the connection be used again.
            read_body(&mut answer, MAX_ERROR).await.ok();
        }
    };
    tokio::time::timeout(CANCEL_TIMEOUT, work).await.ok();
}

/// The longest time a cancel may take; after 5 s the engine gives up a stream
/// that lost its connection by itself.
const CANCEL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);
