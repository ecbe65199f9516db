//! Relays a stream from an engine to a caller. Each event is checked before it is
//! passed on, and a broken connection is resumed.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use banyangauge_proto as wire;
use bytes::Bytes;
use hyper::http::response;
use tokio::sync::OwnedSemaphorePermit;

use super::CallerError;
use super::Code;
use super::call::Call;
use super::clock::now_us;
use super::dispatch::record_event;
use super::dispatch::response_head;
use super::dispatch::upstream_request;
use super::held_grant::HeldGrant;
use super::response_body::Truncated;
use super::retry;
use super::retry::Failure;
use super::state::State;
use super::stream_grant::StreamGrant;
use super::usage::UsageCounter;
use crate::pool::Outcome;
use crate::timeline::EventKind;
use crate::upstream;
use crate::upstream::EventSplitter;
use crate::upstream::ExpectedIdentity;
use crate::upstream::Progress;
use crate::upstream::RunError;
use crate::upstream::StreamChecker;
use crate::upstream::StreamFault;
use crate::upstream::UpstreamResponse;

/// Maximum consecutive resumptions without a new token. The engine keeps a broken
/// stream for 5 s, and a stream that keeps breaking at once is unlikely to recover.
const MAX_RESUMES: u32 = 2;

type Opening = Pin<Box<dyn Future<Output = Result<UpstreamResponse, RunError>> + Send>>;

enum Source {
    /// The response is being read.
    Open(UpstreamResponse),
    /// The request is being sent, for the first time or to resume the stream.
    Opening(Opening),
    /// `[DONE]` was read; only the end of the body is missing.
    Draining(UpstreamResponse),
    /// The response was read to its end or given up.
    Closed,
}

enum Phase {
    /// Events are relayed.
    Relaying,
    /// An error event was returned and is being written to the connection.
    Failed,
    /// The connection is to be reset.
    Reset,
    /// The stream has ended.
    Ended,
}

/// Complete events and what they contain.
struct EventBatch {
    events: Bytes,
    progress: Progress,
}

/// Relay of a stream; dropping it cancels the dispatch.
pub(super) struct StreamRelay {
    state: Arc<State>,
    call: Arc<Call>,
    stream_grant: StreamGrant,
    grant: wire::Grant,
    address: SocketAddr,
    expected: Arc<ExpectedIdentity>,
    source: Source,
    splitter: EventSplitter,
    checker: StreamChecker,
    /// Consecutive resumptions without a new token.
    resumes: u32,
    counter: Arc<UsageCounter>,
    first_batch: Option<EventBatch>,
    /// Whether the request was counted in the team's usage.
    counted: bool,
    phase: Phase,
}

impl StreamRelay {
    /// Dispatches the call and waits for its first checked event; until then,
    /// the call can still be retried on another replica.
    ///
    /// # Errors
    ///
    /// The failure of the attempt; the grant is released.
    pub(super) async fn start(
        state: &Arc<State>,
        call: &Arc<Call>,
        held_grant: Box<HeldGrant>,
        address: SocketAddr,
        expected: ExpectedIdentity,
    ) -> Result<(response::Parts, Box<Self>), Failure> {
        let counter = state.usage.counter(&call.team, call.adapter.as_ref());
        let mut relay = Box::new(Self {
            state: state.clone(),
            call: call.clone(),
            grant: held_grant.grant.clone(),
            stream_grant: StreamGrant::new(held_grant, call.deadline),
            address,
            expected: Arc::new(expected),
            source: Source::Closed,
            splitter: EventSplitter::default(),
            checker: StreamChecker::default(),
            resumes: 0,
            counter,
            first_batch: None,
            counted: false,
            phase: Phase::Relaying,
        });
        relay.source = relay.open(None);
        let first = std::future::poll_fn(|cx| relay.poll_batch(cx)).await;
        match first {
            Ok(batch) => {
                relay.first_batch = batch;
                let incarnation = relay.incarnation();
                relay
                    .stream_grant
                    .with(|held_grant| held_grant.record_first_byte(now_us(), incarnation));
                let replica = &relay.grant.replica;
                record_event(state, EventKind::FirstByte, call, replica, String::new);
                Ok((relay.head(), relay))
            }
            Err(failure) => {
                relay.stream_grant.with(|held_grant| {
                    held_grant.seen_incarnation = retry::seen_incarnation(&failure)
                });
                relay.stream_grant.release(retry::outcome(&failure));
                Err(failure)
            }
        }
    }

    /// Counts the request as in flight until the stream ends.
    pub(super) fn hold_permit(&self, permit: OwnedSemaphorePermit) {
        self.stream_grant.hold_permit(permit);
    }

    fn head(&self) -> response::Parts {
        match &self.source {
            Source::Open(a) | Source::Draining(a) => response_head(&self.call, a.head.clone()),
            _ => hyper::Response::new(()).into_parts().0,
        }
    }

    fn incarnation(&self) -> u64 {
        match &self.source {
            Source::Open(a) | Source::Draining(a) => upstream::incarnation(a),
            _ => 0,
        }
    }

    fn open(&self, resume_from: Option<u64>) -> Source {
        let state = self.state.clone();
        let address = self.address;
        let expected = self.expected.clone();
        let request = upstream_request(&self.call, &self.grant, resume_from);
        Source::Opening(Box::pin(async move {
            upstream::run(&state.upstreams, address, request?, &expected).await
        }))
    }

    /// Polls the next chunk for the caller; an error resets its connection.
    pub(super) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Truncated>>> {
        match self.phase {
            Phase::Relaying => {}
            Phase::Failed => {
                // Returns once more to the connection so that it writes the error event.
                self.phase = Phase::Reset;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            Phase::Reset => {
                self.phase = Phase::Ended;
                return Poll::Ready(Some(Err(Truncated)));
            }
            Phase::Ended => return Poll::Ready(None),
        }
        let next = match self.first_batch.take() {
            Some(batch) => Ok(Some(batch)),
            None => ready!(self.poll_batch(cx)),
        };
        Poll::Ready(match next {
            Ok(Some(batch)) => {
                self.count(&batch.progress);
                Some(Ok(batch.events))
            }
            Ok(None) => {
                self.phase = Phase::Ended;
                None
            }
            Err(failure) => Some(Ok(self.fail(&failure))),
        })
    }

    fn count(&mut self, progress: &Progress) {
        if !self.counted {
            self.counted = true;
            self.counter.add_request();
        }
        self.counter.add_output_tokens(progress.tokens);
        self.stream_grant
            .with(|held_grant| held_grant.tokens += progress.tokens);
        if let Some(usage) = progress.usage {
            self.counter.add_prompt_tokens(usage.prompt_tokens);
        }
        if progress.done {
            let replica = &self.grant.replica;
            record_event(
                &self.state,
                EventKind::Answered,
                &self.call,
                replica,
                String::new,
            );
            metrics::counter!("entry_requests_total", "outcome" => "answered").increment(1);
            self.stream_grant.release(Outcome::Answered);
        }
    }

    /// Ends a broken stream and returns its last chunk, an error event.
    fn fail(&mut self, failure: &Failure) -> Bytes {
        self.phase = Phase::Failed;
        let text = retry::describe(failure);
        let replica = &self.grant.replica;
        record_event(&self.state, EventKind::Unknown, &self.call, replica, || {
            text.clone()
        });
        metrics::counter!("entry_requests_total", "outcome" => "truncated").increment(1);
        self.source = Source::Closed;
        self.stream_grant.release(retry::outcome(failure));
        let code = match failure {
            Failure::Deadline => Code::Overdue,
            _ => Code::OutcomeUnknown,
        };
        let body = CallerError::new(code, text).body();
        Bytes::from([b"event: error\ndata: ", &body[..], b"\n\n"].concat())
    }

    /// Polls the next batch of checked events and resumes the stream where needed;
    /// `None` after `[DONE]` and the end of the body.
    fn poll_batch(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<EventBatch>, Failure>> {
        loop {
            if let Some(failure) = self.stream_grant.poll_failure(cx) {
                return Poll::Ready(Err(failure));
            }
            let error = match &mut self.source {
                Source::Closed => return Poll::Ready(Ok(None)),
                Source::Draining(response) => {
                    // Data after `[DONE]` is not passed on.
                    if matches!(ready!(response.poll_chunk(cx)), None | Some(Err(_))) {
                        self.source = Source::Closed;
                    }
                    continue;
                }
                Source::Opening(opening) => match ready!(opening.as_mut().poll(cx)) {
                    Ok(response) => {
                        self.source = Source::Open(response);
                        continue;
                    }
                    Err(e) => self.resume_error(e),
                },
                Source::Open(response) => match ready!(response.poll_chunk(cx)) {
                    Some(Ok(chunk)) => match self.check(chunk) {
                        Ok(Some(batch)) => return Poll::Ready(Ok(Some(batch))),
                        Ok(None) => continue,
                        Err(e) => e,
                    },
                    Some(Err(e)) => self.broken_error(e.to_string()),
                    None => self.broken_error("the stream ended without [DONE]".to_owned()),
                },
            };
            if !self.resume(&error) {
                return Poll::Ready(Err(Failure::Run(error)));
            }
        }
    }

    /// Converts an error of opening the stream: if tokens were already passed on, a
    /// failed resumption means that the stream broke after its first token.
    fn resume_error(&self, e: RunError) -> RunError {
        match (self.checker.next_index(), e) {
            (0, e) => e,
            (_, e @ RunError::WrongIdentity { .. }) => e,
            (_, e) => RunError::BrokenLate(e.to_string()),
        }
    }

    fn broken_error(&self, text: String) -> RunError {
        match self.checker.next_index() {
            0 => RunError::BrokenEarly(text),
            _ => RunError::BrokenLate(text),
        }
    }

    fn check(&mut self, chunk: Bytes) -> Result<Option<EventBatch>, RunError> {
        let events = self.splitter.push(chunk).map_err(|e| self.run_error(e))?;
        if events.is_empty() {
            return Ok(None);
        }
        let checked = self.checker.check(&events, &self.expected);
        let progress = checked.map_err(|e| self.run_error(e))?;
        if progress.tokens > 0 {
            self.resumes = 0;
        }
        if progress.done {
            let source = std::mem::replace(&mut self.source, Source::Closed);
            if let Source::Open(response) = source {
                self.source = Source::Draining(response);
            }
        }
        Ok(Some(EventBatch { events, progress }))
    }

    fn run_error(&self, fault: StreamFault) -> RunError {
        match fault {
            StreamFault::Identity(what) => RunError::WrongIdentity {
                what,
                incarnation: self.expected.incarnation,
            },
            StreamFault::Malformed(text) => self.broken_error(text),
        }
    }

    /// Resumes a broken stream on the same replica, if this cannot run the request
    /// twice; returns whether it does.
    fn resume(&mut self, error: &RunError) -> bool {
        let next = self.checker.next_index();
        let broken = matches!(error, RunError::BrokenEarly(_) | RunError::BrokenLate(_));
        // Before the first token another replica can serve the request as well, and
        // the owner chooses it.
        let resumable = broken && next > 0 && self.call.idempotent;
        if !resumable || self.resumes >= MAX_RESUMES {
            return false;
        }
        self.resumes += 1;
        self.splitter.reset();
        self.source = self.open(Some(next));
        let replica = &self.grant.replica;
        record_event(&self.state, EventKind::Resumed, &self.call, replica, || {
            format!("at token {next}: {error}")
        });
        true
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.stream_grant.release(Outcome::Cancelled) {
            return;
        }
        let replica = &self.grant.replica;
        record_event(
            &self.state,
            EventKind::Cancelled,
            &self.call,
            replica,
            String::new,
        );
        metrics::counter!("entry_requests_total", "outcome" => "cancelled").increment(1);
    }
}
