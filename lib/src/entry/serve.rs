//! One request of a caller, from its head to the head of its answer.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
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
use super::call::Head;
use super::call::Id;
use super::clock;
use super::clock::now_us;
use super::dispatch::dispatch;
use super::dispatch::record_event;
use super::response_body::ResponseBody;
use super::state::State;
use crate::timeline::EventKind;

/// When to come back while there is no catalog, or too much in flight.
const COME_BACK_MS: u64 = 1_000;

/// Answers one request; errors become answers too.
///
/// # Errors
///
/// Never.
pub(super) async fn serve(
    state: Arc<State>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let number = state.next_request_number();
    let id = Id {
        text: format!("{:x}-{number:x}", state.incarnation.0),
        number,
    };
    let answer = match answer(state, request, id.clone()).await {
        Ok(answer) => answer,
        Err(e) => error_answer(&e, &id.text),
    };
    Ok(answer)
}

async fn answer(
    state: Arc<State>,
    request: Request<Incoming>,
    id: Id,
) -> Result<Response<ResponseBody>, CallerError> {
    let (call, room) = match read(&state, request, id).await {
        Ok(read) => read,
        Err(e) => {
            count(e.code.as_str());
            return Err(e);
        }
    };
    record_event(&state, EventKind::Received, &call, "", String::new);
    let end = End {
        state: &state,
        call: &call,
        told: false,
    };
    end.tell(run(&state, &call, room).await)
}

/// What may run only once is seen through even when its caller goes away:
/// its outcome is recorded for the repeat that will come.
async fn run(
    state: &Arc<State>,
    call: &Arc<Call>,
    room: OwnedSemaphorePermit,
) -> Result<Response<ResponseBody>, CallerError> {
    if let Some(left) = state.blocked_for_ms(call.fingerprint) {
        let e = CallerError::new(Code::Convicted, "this request crashes its upstream");
        return Err(e.with_retry_after(left));
    }
    let work = dispatch(state.clone(), call.clone(), room);
    if call.idempotent {
        return work.await;
    }
    tokio::spawn(work).await.unwrap_or_else(|_| {
        Err(CallerError::new(
            Code::OutcomeUnknown,
            "the request's task failed",
        ))
    })
}

async fn read(
    state: &Arc<State>,
    request: Request<Incoming>,
    id: Id,
) -> Result<(Arc<Call>, OwnedSemaphorePermit), CallerError> {
    let room = state
        .request_permits
        .clone()
        .try_acquire_owned()
        .map_err(|_| {
            CallerError::new(Code::TooMany, "too many requests in flight")
                .with_retry_after(COME_BACK_MS)
        })?;
    let received = now_us();
    let view = state.view();
    if view.revision().0 == 0 {
        let e = CallerError::new(Code::NoOwner, "no configuration has come yet");
        return Err(e.with_retry_after(COME_BACK_MS));
    }
    let limits = &state.settings.limits;
    let (parts, body) = request.into_parts();
    let head = Head::read(&view, limits, &parts, received)?;
    let body = read_body(body, limits.body, head.deadline).await?;
    let call = head.call(&view, parts, body, id, received)?;
    Ok((Arc::new(call), room))
}

async fn read_body(body: Incoming, most: usize, deadline: u64) -> Result<Bytes, CallerError> {
    let too_large = || {
        let m = format!("the body is longer than {most} bytes");
        CallerError::new(Code::TooLarge, m)
    };
    // A length that is told is judged before a byte is read.
    if body.size_hint().lower() > most as u64 {
        return Err(too_large());
    }
    let read = Limited::new(body, most).collect();
    match tokio::time::timeout_at(clock::instant(deadline), read).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(e)) => Err(CallerError::new(Code::BadRequest, e.to_string())),
        Err(_) => Err(CallerError::new(
            Code::Deadline,
            "the body did not come before the deadline",
        )),
    }
}

/// Notes how a call ended, also when its caller goes away before.
struct End<'a> {
    state: &'a State,
    call: &'a Call,
    told: bool,
}

impl End<'_> {
    fn tell(
        mut self,
        result: Result<Response<ResponseBody>, CallerError>,
    ) -> Result<Response<ResponseBody>, CallerError> {
        self.told = true;
        match &result {
            Ok(r) if matches!(r.body(), ResponseBody::Full(_)) => count("answered"),
            // A stream tells its end itself.
            Ok(_) => {}
            Err(e) => {
                let kind = match e.code.ran() {
                    Ran::NotRun => EventKind::Refused,
                    Ran::Unknown => EventKind::Unknown,
                };
                let detail = || format!("{}: {}", e.code.as_str(), e.message);
                record_event(self.state, kind, self.call, "", detail);
                count(e.code.as_str());
            }
        }
        result
    }
}

impl Drop for End<'_> {
    fn drop(&mut self) {
        if !self.told {
            record_event(self.state, EventKind::Cancelled, self.call, "", String::new);
            count("cancelled");
        }
    }
}

fn count(outcome: &'static str) {
    metrics::counter!("entry_requests_total", "outcome" => outcome).increment(1);
}

fn error_answer(e: &CallerError, id: &str) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::full(e.body()));
    *answer.status_mut() = e.code.status();
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(seconds) = e.retry_after_s() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert("x-request-id", id);
    }
    answer
}
