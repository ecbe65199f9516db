//! One call: a grant, a try under it, and another one where that is allowed.

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
use super::call::travelling;
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

/// Runs a call to its answer. Dropping this abandons or cancels it.
///
/// # Errors
///
/// What the caller is told in place of an answer.
pub(super) async fn dispatch(
    state: Arc<State>,
    call: Arc<Call>,
    room: OwnedSemaphorePermit,
) -> Result<Response<ResponseBody>, CallerError> {
    let mut attempts = Attempts {
        max_retries: state.settings.limits.retries,
        idempotent: call.idempotent,
        ..Attempts::default()
    };
    loop {
        let hold = acquire(&state, &call, &attempts).await?;
        let replica = hold.grant.replica.clone();
        note(&state, EventKind::Granted, &call, &replica, String::new);
        let failure = match attempt(&state, &call, hold).await {
            Ok(Success::Whole(response)) => return Ok(response),
            Ok(Success::Stream(head, passing)) => {
                passing.keep(room);
                let body = ResponseBody::Stream(passing);
                return Ok(Response::from_parts(head, body));
            }
            Err(failure) => failure,
        };
        match retry::after_failure(&failure, &attempts) {
            RetryDecision::GiveUp(e) => return Err(e),
            RetryDecision::Retry => {
                let why = || retry::describe(&failure);
                note(&state, EventKind::Retried, &call, &replica, why);
                attempts.may_have_run |= retry::may_have_run(&failure);
                attempts.failed += 1;
                attempts.failed_replicas.push(replica);
            }
        }
    }
}

/// Puts an event of a call on the time line.
pub(super) fn note(
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

/// The pause before a pool whose owner is stopping, or does not grant yet, is
/// asked again: a successor takes over within seconds, and requests in flight
/// bound how many ask.
const ASK_AGAIN: Duration = Duration::from_millis(200);

async fn acquire(
    state: &State,
    call: &Call,
    attempts: &Attempts,
) -> Result<Box<HeldGrant>, CallerError> {
    let session = state.session(&call.pool);
    let last = call.deadline.saturating_sub(ASK_AGAIN.as_micros() as u64);
    let error = loop {
        match session.acquire(ask(call, attempts), call.deadline).await {
            Ok(hold) => return Ok(hold),
            Err(NoGrant::Refused(refusal)) => {
                let error = retry::refusal_error(&refusal);
                if error.code != Code::Draining || now_us() >= last {
                    break error;
                }
                tokio::time::sleep(ASK_AGAIN).await;
            }
            Err(NoGrant::Deadline) => break retry::deadline_error(),
            Err(NoGrant::NoOwner) => break retry::no_owner_error(),
        }
    };
    Err(retry::account_for_earlier_run(error, attempts.may_have_run))
}

fn ask(call: &Call, attempts: &Attempts) -> wire::Acquire {
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
        // The session sets what is left when it sends this.
        deadline_ms: 0,
        prompt_tokens,
        max_tokens,
        prefix,
        idempotent: call.idempotent,
        fingerprint: call.fingerprint.0,
        // What may run only once is tried again only when no try ran: it is no
        // second run in the owner's count.
        attempt: if call.idempotent { attempts.failed } else { 0 },
        avoid: attempts.failed_replicas.clone(),
        claim: call.claim.clone(),
    }
}

enum Success {
    Whole(Response<ResponseBody>),
    Stream(response::Parts, Box<StreamRelay>),
}

async fn attempt(
    state: &Arc<State>,
    call: &Arc<Call>,
    mut hold: Box<HeldGrant>,
) -> Result<Success, Failure> {
    let address = match check_grant(call, &hold) {
        Ok(address) => address,
        Err(e) => {
            hold.settle(Outcome::NotRun);
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
        incarnation: hold.grant.incarnation,
    };
    let replica = hold.grant.replica.clone();
    note(state, EventKind::Dispatched, call, &replica, String::new);
    let before = now_us().saturating_sub(call.received);
    metrics::histogram!("entry_before_dispatch_seconds").record(before as f64 / 1e6);
    hold.dispatch(&state.upstreams, address, &call.id, call.adapter.is_some());
    match call.stream() {
        true => StreamRelay::start(state, call, hold, address, expected)
            .await
            .map(|(head, passing)| Success::Stream(head, passing)),
        false => whole(state, call, hold, address, &expected)
            .await
            .map(Success::Whole),
    }
}

/// A grant must be for this adapter version, still in force, and lead
/// somewhere: anything else is the owner's mistake and nothing is sent.
fn check_grant(call: &Call, hold: &HeldGrant) -> Result<SocketAddr, &'static str> {
    let grant = &hold.grant;
    let fits = match &call.adapter {
        Some(a) => grant.adapter == a.adapter.as_str() && grant.version == a.version,
        None => grant.adapter.is_empty(),
    };
    if !fits {
        return Err("it is for another adapter version");
    }
    if hold.lease.has_expired(now_us()) {
        return Err("it has lapsed");
    }
    grant.address.parse().map_err(|_| "it names no address")
}

/// The request for the upstream; `resume` is the index at which a broken
/// stream goes on.
///
/// # Errors
///
/// Never with a checked call; a malformed one counts as not sent.
pub(super) fn request(
    call: &Call,
    grant: &wire::Grant,
    resume: Option<u64>,
) -> Result<Request<BodyChunks>, RunError> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header("host", grant.address.as_str())
        .header("x-request-id", &call.id);
    if let Some(index) = resume {
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
    if let Some(have) = builder.headers_mut() {
        have.extend(headers.clone());
    }
    builder
}

/// Why a wait for an upstream was given up.
enum Stop {
    Deadline,
    Lapsed,
}

/// Waits for `work` until the deadline, and only as long as the grant is
/// confirmed.
async fn within<T>(
    hold: &HeldGrant,
    deadline: u64,
    work: impl Future<Output = T>,
) -> Result<T, Stop> {
    tokio::pin!(work);
    loop {
        let until = deadline.min(hold.lease.expires_at());
        if let Ok(done) = tokio::time::timeout_at(clock::instant(until), &mut work).await {
            return Ok(done);
        }
        let now = now_us();
        if now >= deadline {
            return Err(Stop::Deadline);
        }
        if hold.lease.has_expired(now) {
            return Err(Stop::Lapsed);
        }
    }
}

struct WholeAnswer {
    /// When its head came, in microseconds.
    begun: u64,
    /// The incarnation that it told.
    seen: u64,
    head: response::Parts,
    body: Bytes,
    usage: upstream::TokenUsage,
}

async fn whole(
    state: &Arc<State>,
    call: &Arc<Call>,
    mut hold: Box<HeldGrant>,
    address: SocketAddr,
    expected: &ExpectedIdentity,
) -> Result<Response<ResponseBody>, Failure> {
    let most = state.settings.limits.answer;
    let work = async {
        let message = request(call, &hold.grant, None)?;
        fetch(state, message, address, expected, most).await
    };
    let answer = match within(&hold, call.deadline, work).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(e)) => {
            let failure = Failure::Run(e);
            hold.seen = retry::seen_incarnation(&failure);
            hold.settle(retry::outcome(&failure));
            return Err(failure);
        }
        // Dropping the hold cancels the dispatch.
        Err(Stop::Deadline) => return Err(Failure::Deadline),
        Err(Stop::Lapsed) => return Err(Failure::GrantExpired),
    };
    hold.begun(answer.begun, answer.seen);
    hold.tokens = answer.usage.completion_tokens;
    let counter = state.usage.counter(&call.team, call.adapter.as_ref());
    counter.add_request();
    counter.add_prompt_tokens(answer.usage.prompt_tokens);
    counter.add_output_tokens(answer.usage.completion_tokens);
    note(
        state,
        EventKind::Answered,
        call,
        &hold.grant.replica,
        String::new,
    );
    hold.settle(Outcome::Answered);
    let head = answer_head(call, answer.head);
    let body = ResponseBody::whole(answer.body);
    Ok(Response::from_parts(head, body))
}

async fn fetch(
    state: &State,
    message: Request<BodyChunks>,
    address: SocketAddr,
    expected: &ExpectedIdentity,
    most: usize,
) -> Result<WholeAnswer, RunError> {
    let head_only = message.method() == Method::HEAD;
    let mut answer = upstream::run(&state.upstreams, address, message, expected).await?;
    let begun = now_us();
    let body = upstream::read_body(&mut answer, most).await?;
    let usage = match expected.model.is_empty() || head_only {
        true => upstream::TokenUsage::default(),
        false => upstream::check_completion(&body, expected)?,
    };
    Ok(WholeAnswer {
        begun,
        seen: upstream::incarnation(&answer),
        head: answer.head,
        body,
        usage,
    })
}

/// The head for the caller: the upstream's without what belongs to one
/// connection, and with the request's id.
pub(super) fn answer_head(call: &Call, head: response::Parts) -> response::Parts {
    let (mut out, ()) = Response::new(()).into_parts();
    out.status = head.status;
    out.headers = travelling(head.headers);
    out.headers.remove("x-engine-incarnation");
    if let Ok(id) = HeaderValue::from_str(&call.id) {
        out.headers.insert("x-request-id", id);
    }
    out
}
