//! Serves one request of a caller, from its head to the head of its response.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use tokio::sync::OwnedSemaphorePermit;

use super::CallerError;
use super::Code;
use super::Ran;
use super::call::Call;
use super::call::CallHead;
use super::call::RequestId;
use super::clock;
use super::clock::now_us;
use super::dispatch::dispatch;
use super::dispatch::record_event;
use super::response_body::ResponseBody;
use super::state::State;
use crate::timeline::EventKind;
use crate::upstream::collect;

/// `Retry-After` while there is no catalog or too many requests are in flight.
const RETRY_DELAY_MS: u64 = 1_000;

/// Serves one request; errors become error responses.
///
/// # Errors
///
/// Never.
pub(super) async fn serve(
    state: Arc<State>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let number = state.next_request_number();
    let id = RequestId {
        text: format!("{:x}-{number:x}", state.incarnation.0),
        number,
    };
    let response = match respond(state, request, id.clone()).await {
        Ok(response) => response,
        Err(e) => error_response(&e, &id.text),
    };
    Ok(response)
}

async fn respond(
    state: Arc<State>,
    request: Request<Incoming>,
    id: RequestId,
) -> Result<Response<ResponseBody>, CallerError> {
    let (call, permit) = match read_call(&state, request, id).await {
        Ok(read) => read,
        Err(e) => {
            count_outcome(e.code.as_str());
            return Err(e);
        }
    };
    record_event(&state, EventKind::Received, &call, "", String::new);
    let outcome = OutcomeRecorder {
        state: &state,
        call: &call,
        recorded: false,
    };
    outcome.record(run(&state, &call, permit).await)
}

/// Runs a call. A call that is not idempotent continues if its caller disconnects,
/// so that its outcome is recorded for the caller's repeat of the call.
async fn run(
    state: &Arc<State>,
    call: &Arc<Call>,
    permit: OwnedSemaphorePermit,
) -> Result<Response<ResponseBody>, CallerError> {
    if let Some(left_ms) = state.blocked_for_ms(call.fingerprint) {
        let e = CallerError::new(
            Code::Convicted,
            "the request is blocked because it crashes its upstream",
        );
        return Err(e.with_retry_after(left_ms));
    }
    let work = dispatch(state.clone(), call.clone(), permit);
    if call.idempotent {
        return work.await;
    }
    tokio::spawn(work).await.unwrap_or_else(|_| {
        Err(CallerError::new(
            Code::OutcomeUnknown,
            "internal error: the task of the request failed",
        ))
    })
}

async fn read_call(
    state: &Arc<State>,
    request: Request<Incoming>,
    id: RequestId,
) -> Result<(Arc<Call>, OwnedSemaphorePermit), CallerError> {
    let permit = state
        .request_permits
        .clone()
        .try_acquire_owned()
        .map_err(|_| {
            CallerError::new(Code::TooMany, "too many requests in flight")
                .with_retry_after(RETRY_DELAY_MS)
        })?;
    let received = now_us();
    let view = state.view();
    if view.revision().0 == 0 {
        let e = CallerError::new(
            Code::NoOwner,
            "the entry has not received its configuration yet",
        );
        return Err(e.with_retry_after(RETRY_DELAY_MS));
    }
    let limits = &state.settings.limits;
    let (parts, body) = request.into_parts();
    let head = CallHead::parse(&view, limits, &parts, received)?;
    let body = read_body(body, limits.body, head.deadline).await?;
    let call = head.into_call(&view, parts, body, id, received)?;
    Ok((Arc::new(call), permit))
}

async fn read_body(body: Incoming, max_bytes: usize, deadline: u64) -> Result<Bytes, CallerError> {
    let too_large = || {
        let m = format!("the body is longer than {max_bytes} bytes");
        CallerError::new(Code::TooLarge, m)
    };
    // A `Content-Length` over the limit is refused before the body is read.
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large());
    }
    let read = collect(Limited::new(body, max_bytes));
    match tokio::time::timeout_at(clock::to_instant(deadline), read).await {
        Ok(Ok(whole)) => Ok(whole),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(e)) => Err(CallerError::new(Code::BadRequest, e.to_string())),
        Err(_) => Err(CallerError::new(
            Code::Deadline,
            "the body was not received before the deadline",
        )),
    }
}

/// Records the outcome of a call, also if its caller disconnects before the end.
struct OutcomeRecorder<'a> {
    state: &'a State,
    call: &'a Call,
    recorded: bool,
}

impl OutcomeRecorder<'_> {
    fn record(
        mut self,
        result: Result<Response<ResponseBody>, CallerError>,
    ) -> Result<Response<ResponseBody>, CallerError> {
        self.recorded = true;
        match &result {
            Ok(r) if matches!(r.body(), ResponseBody::Full(_)) => count_outcome("answered"),
            // A stream records its own outcome.
            Ok(_) => {}
            Err(e) => {
                let kind = match e.code.ran() {
                    Ran::NotRun => EventKind::Refused,
                    Ran::Unknown => EventKind::Unknown,
                };
                let detail = || format!("{}: {}", e.code.as_str(), e.message);
                record_event(self.state, kind, self.call, "", detail);
                count_outcome(e.code.as_str());
            }
        }
        result
    }
}

impl Drop for OutcomeRecorder<'_> {
    fn drop(&mut self) {
        if !self.recorded {
            record_event(self.state, EventKind::Cancelled, self.call, "", String::new);
            count_outcome("cancelled");
        }
    }
}

fn count_outcome(outcome: &'static str) {
    metrics::counter!("entry_requests_total", "outcome" => outcome).increment(1);
}

fn error_response(e: &CallerError, id: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(e.body()));
    *response.status_mut() = e.code.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(seconds) = e.retry_after_s() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert("x-request-id", id);
    }
    response
}
