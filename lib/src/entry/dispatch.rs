//! Runs one call: acquires a grant, dispatches under it, and retries if allowed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use banyangauge_proto as wire;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::http::request;
use hyper::http::response;
use tokio::sync::OwnedSemaphorePermit;

use super::CallerError;
use super::Code;
use super::call::Call;
use super::call::Content;
use super::call::end_to_end_headers;
use super::clock;
use super::clock::now_us;
use super::held_grant::HeldGrant;
use super::response_body::ResponseBody;
use super::retry;
use super::retry::Attempts;
use super::retry::Failure;
use super::retry::RetryDecision;
use super::session::NoGrant;
use super::state::State;
use super::stream::StreamRelay;
use crate::pool::Class;
use crate::pool::Outcome;
use crate::timeline::EventFields;
use crate::timeline::EventKind;
use crate::upstream;
use crate::upstream::BodyChunks;
use crate::upstream::ExpectedIdentity;
use crate::upstream::RunError;

/// Runs a call until the head of its response. Dropping the future abandons the
/// request for a grant or cancels the dispatch.
///
/// # Errors
///
/// The error for the caller.
pub(super) async fn dispatch(
    state: Arc<State>,
    call: Arc<Call>,
    permit: OwnedSemaphorePermit,
) -> Result<Response<ResponseBody>, CallerError> {
    let mut attempts = Attempts {
        max_retries: state.settings.limits.retries,
        idempotent: call.idempotent,
        ..Attempts::default()
    };
    loop {
        let held_grant = acquire(&state, &call, &attempts).await?;
        let replica = held_grant.grant.replica.clone();
        record_event(&state, EventKind::Granted, &call, &replica, String::new);
        let failure = match attempt(&state, &call, held_grant).await {
            Ok(Success::Full(response)) => return Ok(response),
            Ok(Success::Stream(head, stream)) => {
                stream.hold_permit(permit);
                let body = ResponseBody::Stream(stream);
                return Ok(Response::from_parts(head, body));
            }
            Err(failure) => failure,
        };
        match retry::after_failure(&failure, &attempts) {
            RetryDecision::GiveUp(e) => return Err(e),
            RetryDecision::Retry => {
                let detail = || retry::describe(&failure);
                record_event(&state, EventKind::Retried, &call, &replica, detail);
                attempts.may_have_run |= retry::may_have_run(&failure);
                attempts.failed += 1;
                attempts.failed_replicas.push(replica);
            }
        }
    }
}

/// Records an event of a call on the timeline.
pub(super) fn record_event(
    state: &State,
    kind: EventKind,
    call: &Call,
    upstream: &str,
    detail: impl FnOnce() -> String,
) {
    let about = EventFields {
        request: call.id.clone(),
        adapter: call
            .adapter
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        upstream: upstream.to_owned(),
        pool: call.pool.to_string(),
        detail: detail(),
    };
    state.recorder.record(kind, about);
}

/// Delay before the next request for a grant from a pool whose owner is stopping
/// or does not grant yet. A successor takes over within seconds, and the limit of
/// requests in flight bounds how many of them retry.
const ACQUIRE_RETRY_DELAY: Duration = Duration::from_millis(200);

async fn acquire(
    state: &State,
    call: &Call,
    attempts: &Attempts,
) -> Result<Box<HeldGrant>, CallerError> {
    let session = state.session(&call.pool);
    let last_retry_us = call
        .deadline
        .saturating_sub(ACQUIRE_RETRY_DELAY.as_micros() as u64);
    let error = loop {
        match session
            .acquire(acquire_message(call, attempts), call.deadline)
            .await
        {
            Ok(held_grant) => return Ok(held_grant),
            Err(NoGrant::Refused(refusal)) => {
                let error = retry::refusal_error(&refusal);
                if error.code != Code::Draining || now_us() >= last_retry_us {
                    break error;
                }
                tokio::time::sleep(ACQUIRE_RETRY_DELAY).await;
            }
            Err(NoGrant::Deadline) => break retry::deadline_error(),
            Err(NoGrant::NoOwner) => break retry::no_owner_error(),
        }
    };
    Err(retry::account_for_earlier_run(error, attempts.may_have_run))
}

fn acquire_message(call: &Call, attempts: &Attempts) -> wire::Acquire {
    let (prompt_tokens, max_tokens, prefix) = match &call.content {
        Content::Completion(c) => (c.prompt_tokens, c.max_tokens, c.prefix),
        Content::Plain { .. } => (0, 0, 0),
    };
    let adapter = call.adapter.as_ref();
    wire::Acquire {
        request: call.number,
        team: call.team.to_string(),
        adapter: adapter.map(|a| a.adapter.to_string()).unwrap_or_default(),
        version: adapter.map_or(0, |a| a.version),
        class: match call.class {
            Class::Interactive => 0,
            Class::Call => 1,
            Class::Long => 2,
        },
        // The session sets the remaining time when it sends the message.
        deadline_ms: 0,
        prompt_tokens,
        max_tokens,
        prefix,
        idempotent: call.idempotent,
        fingerprint: call.fingerprint.0,
        // A request that is not idempotent is retried only if no attempt ran, so
        // the owner must not count the retry as a second run.
        attempt: if call.idempotent { attempts.failed } else { 0 },
        avoid: attempts.failed_replicas.clone(),
        claim: call.claim.clone(),
    }
}

enum Success {
    Full(Response<ResponseBody>),
    Stream(response::Parts, Box<StreamRelay>),
}

async fn attempt(
    state: &Arc<State>,
    call: &Arc<Call>,
    mut held_grant: Box<HeldGrant>,
) -> Result<Success, Failure> {
    let address = match check_grant(call, &held_grant) {
        Ok(address) => address,
        Err(e) => {
            held_grant.release(Outcome::NotRun);
            return Err(Failure::InvalidGrant(e));
        }
    };
    let expected = ExpectedIdentity {
        request: call.id.clone(),
        model: call
            .adapter
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        incarnation: held_grant.grant.incarnation,
    };
    let replica = held_grant.grant.replica.clone();
    record_event(state, EventKind::Dispatched, call, &replica, String::new);
    let elapsed_us = now_us().saturating_sub(call.received);
    metrics::histogram!("entry_before_dispatch_seconds").record(elapsed_us as f64 / 1e6);
    held_grant.dispatch(&state.upstreams, address, &call.id, call.adapter.is_some());
    match call.is_stream() {
        true => StreamRelay::start(state, call, held_grant, address, expected)
            .await
            .map(|(head, stream)| Success::Stream(head, stream)),
        false => dispatch_full(state, call, held_grant, address, &expected)
            .await
            .map(Success::Full),
    }
}

/// Returns the address of the granted upstream. A grant must be for the call's
/// adapter version, not expired, and name an address; otherwise the owner made a
/// mistake and nothing is sent.
fn check_grant(call: &Call, held_grant: &HeldGrant) -> Result<SocketAddr, &'static str> {
    let grant = &held_grant.grant;
    let matches_call = match &call.adapter {
        Some(a) => grant.adapter == a.adapter.as_str() && grant.version == a.version,
        None => grant.adapter.is_empty(),
    };
    if !matches_call {
        return Err("it is for another adapter version than the request");
    }
    if held_grant.lease.has_expired(now_us()) {
        return Err("it has expired");
    }
    grant
        .address
        .parse()
        .map_err(|_| "its address is not an IP address and port")
}

/// Builds the request for the upstream; `resume_from` is the index of the token
/// from which a broken stream is resumed.
///
/// # Errors
///
/// [`RunError::NotSent`] if the request is malformed, which does not happen for a
/// checked call.
pub(super) fn upstream_request(
    call: &Call,
    grant: &wire::Grant,
    resume_from: Option<u64>,
) -> Result<Request<BodyChunks>, RunError> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header("host", grant.address.as_str())
        .header("x-request-id", &call.id);
    if let Some(index) = resume_from {
        builder = builder.header("x-resume-from", index);
    }
    let body = match &call.content {
        Content::Completion(c) => {
            builder = builder.header(CONTENT_TYPE, "application/json");
            match &call.adapter {
                Some(a) => c.rewrite(a, grant.priority),
                None => BodyChunks::default(),
            }
        }
        Content::Plain { headers, body } => {
            builder = with_headers(builder, headers);
            BodyChunks::from(body.clone())
        }
    };
    builder
        .body(body)
        .map_err(|e| RunError::NotSent(e.to_string()))
}

fn with_headers(mut builder: request::Builder, headers: &HeaderMap) -> request::Builder {
    if let Some(existing) = builder.headers_mut() {
        existing.extend(headers.clone());
    }
    builder
}

/// Reason why the wait for an upstream ended.
enum StopReason {
    Deadline,
    GrantExpired,
}

/// Waits for `work` until the deadline passes or the grant expires.
async fn run_within<T>(
    held_grant: &HeldGrant,
    deadline: u64,
    work: impl Future<Output = T>,
) -> Result<T, StopReason> {
    tokio::pin!(work);
    loop {
        let until = deadline.min(held_grant.lease.expires_at());
        if let Ok(done) = tokio::time::timeout_at(clock::to_instant(until), &mut work).await {
            return Ok(done);
        }
        let now = now_us();
        if now >= deadline {
            return Err(StopReason::Deadline);
        }
        if held_grant.lease.has_expired(now) {
            return Err(StopReason::GrantExpired);
        }
    }
}

struct FullResponse {
    /// Time at which the head came, in microseconds.
    first_byte_us: u64,
    /// Incarnation named by the response; 0 if none.
    incarnation: u64,
    head: response::Parts,
    body: Bytes,
    usage: upstream::TokenUsage,
}

async fn dispatch_full(
    state: &Arc<State>,
    call: &Arc<Call>,
    mut held_grant: Box<HeldGrant>,
    address: SocketAddr,
    expected: &ExpectedIdentity,
) -> Result<Response<ResponseBody>, Failure> {
    let max_bytes = state.settings.limits.answer;
    let work = async {
        let request = upstream_request(call, &held_grant.grant, None)?;
        fetch(state, request, address, expected, max_bytes).await
    };
    let response = match run_within(&held_grant, call.deadline, work).await {
        Ok(Ok(response)) => response,
        Ok(Err(e)) => {
            let failure = Failure::Run(e);
            held_grant.seen_incarnation = retry::seen_incarnation(&failure);
            held_grant.release(retry::outcome(&failure));
            return Err(failure);
        }
        // Dropping the held grant cancels the dispatch.
        Err(StopReason::Deadline) => return Err(Failure::Deadline),
        Err(StopReason::GrantExpired) => return Err(Failure::GrantExpired),
    };
    held_grant.record_first_byte(response.first_byte_us, response.incarnation);
    held_grant.tokens = response.usage.completion_tokens;
    let counter = state.usage.counter(&call.team, call.adapter.as_ref());
    counter.add_request();
    counter.add_prompt_tokens(response.usage.prompt_tokens);
    counter.add_output_tokens(response.usage.completion_tokens);
    record_event(
        state,
        EventKind::Answered,
        call,
        &held_grant.grant.replica,
        String::new,
    );
    held_grant.release(Outcome::Answered);
    let head = response_head(call, response.head);
    let body = ResponseBody::full(response.body);
    Ok(Response::from_parts(head, body))
}

async fn fetch(
    state: &State,
    request: Request<BodyChunks>,
    address: SocketAddr,
    expected: &ExpectedIdentity,
    max_bytes: usize,
) -> Result<FullResponse, RunError> {
    let head_only = request.method() == Method::HEAD;
    let mut response = upstream::run(&state.upstreams, address, request, expected).await?;
    let first_byte_us = now_us();
    let body = upstream::read_body(&mut response, max_bytes).await?;
    let usage = match expected.model.is_empty() || head_only {
        true => upstream::TokenUsage::default(),
        false => upstream::check_completion(&body, expected)?,
    };
    Ok(FullResponse {
        first_byte_us,
        incarnation: upstream::incarnation(&response),
        head: response.head,
        body,
        usage,
    })
}

/// Returns the head for the caller: the upstream's head without hop-by-hop
/// headers, with the id of the request.
pub(super) fn response_head(call: &Call, head: response::Parts) -> response::Parts {
    let (mut out, ()) = Response::new(()).into_parts();
    out.status = head.status;
    out.headers = end_to_end_headers(head.headers);
    out.headers.remove("x-engine-incarnation");
    if let Ok(id) = HeaderValue::from_str(&call.id) {
        out.headers.insert("x-request-id", id);
    }
    out
}
