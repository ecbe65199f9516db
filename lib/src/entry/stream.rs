//! A stream on its way from an engine to a caller: each event is checked
//! before it is passed on, and a broken connection is resumed.

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
use super::dispatch::answer_head;
use super::dispatch::note;
use super::dispatch::request;
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

/// Resumptions in a row that bring no token: the engine keeps a broken stream
/// for 5 s, and one that breaks at once each time is not worth more.
const MOST_RESUMES: u32 = 2;

type Opening = Pin<Box<dyn Future<Output = Result<UpstreamResponse, RunError>> + Send>>;

enum Source {
    /// Events come in.
    Open(UpstreamResponse),
    /// The connection is being made, for the first time or again.
    Opening(Opening),
    /// `[DONE]` was passed on; only the end of the body is missing.
    Draining(UpstreamResponse),
    /// Nothing more comes.
    Closed,
}

enum Phase {
    /// Events are passed on.
    Passing,
    /// The caller has been told of a failure; let it be written out.
    Told,
    /// Then the connection is reset.
    Reset,
    /// All is passed on.
    Ended,
}

struct Run {
    events: Bytes,
    progress: Progress,
}

/// A stream under way; dropping it cancels the dispatch.
pub(super) struct StreamRelay {
    state: Arc<State>,
    call: Arc<Call>,
    guard: StreamGrant,
    grant: wire::Grant,
    address: SocketAddr,
    expected: Arc<ExpectedIdentity>,
    source: Source,
    scanner: EventSplitter,
    checker: StreamChecker,
    resumes: u32,
    counter: Arc<UsageCounter>,
    first: Option<Run>,
    passed: bool,
    phase: Phase,
}

impl StreamRelay {
    /// Dispatches the call and waits for its first checked event, so that
    /// until then another replica can be tried.
    ///
    /// # Errors
    ///
    /// Why no event came; the grant is released then.
    pub(super) async fn start(
        state: &Arc<State>,
        call: &Arc<Call>,
        hold: Box<HeldGrant>,
        address: SocketAddr,
        expected: ExpectedIdentity,
    ) -> Result<(response::Parts, Box<Self>), Failure> {
        let counter = state.usage.counter(&call.team, call.adapter.as_ref());
        let mut passing = Box::new(Self {
            state: state.clone(),
            call: call.clone(),
            grant: hold.grant.clone(),
            guard: StreamGrant::new(hold, call.deadline),
            address,
            expected: Arc::new(expected),
            source: Source::Closed,
            scanner: EventSplitter::default(),
            checker: StreamChecker::default(),
            resumes: 0,
            counter,
            first: None,
            passed: false,
            phase: Phase::Passing,
        });
        passing.source = passing.open(None);
        let first = std::future::poll_fn(|cx| passing.poll_run(cx)).await;
        match first {
            Ok(run) => {
                passing.first = run;
                let seen = passing.seen();
                passing.guard.with(|hold| hold.begun(now_us(), seen));
                let replica = &passing.grant.replica;
                note(state, EventKind::FirstByte, call, replica, String::new);
                Ok((passing.head(), passing))
            }
            Err(failure) => {
                passing
                    .guard
                    .with(|hold| hold.seen = retry::seen_incarnation(&failure));
                passing.guard.settle(retry::outcome(&failure));
                Err(failure)
            }
        }
    }

    /// Keeps the request's place among those in flight until it ends.
    pub(super) fn keep(&self, room: OwnedSemaphorePermit) {
        self.guard.keep(room);
    }

    fn head(&self) -> response::Parts {
        match &self.source {
            Source::Open(a) | Source::Draining(a) => answer_head(&self.call, a.head.clone()),
            _ => hyper::Response::new(()).into_parts().0,
        }
    }

    fn seen(&self) -> u64 {
        match &self.source {
            Source::Open(a) | Source::Draining(a) => upstream::incarnation(a),
            _ => 0,
        }
    }

    fn open(&self, resume: Option<u64>) -> Source {
        let state = self.state.clone();
        let address = self.address;
        let expected = self.expected.clone();
        let message = request(&self.call, &self.grant, resume);
        Source::Opening(Box::pin(async move {
            upstream::run(&state.upstreams, address, message?, &expected).await
        }))
    }

    /// The next piece for the caller; an error resets its connection.
    pub(super) fn poll_pass(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Truncated>>> {
        match self.phase {
            Phase::Passing => {}
            Phase::Told => {
                // One turn for the connection to write out what it was told.
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
        let next = match self.first.take() {
            Some(run) => Ok(Some(run)),
            None => ready!(self.poll_run(cx)),
        };
        Poll::Ready(match next {
            Ok(Some(run)) => {
                self.count(&run.progress);
                Some(Ok(run.events))
            }
            Ok(None) => {
                self.phase = Phase::Ended;
                None
            }
            Err(failure) => Some(Ok(self.tell(&failure))),
        })
    }

    fn count(&mut self, progress: &Progress) {
        if !self.passed {
            self.passed = true;
            self.counter.add_request();
        }
        self.counter.add_output_tokens(progress.tokens);
        self.guard.with(|hold| hold.tokens += progress.tokens);
        if let Some(usage) = progress.usage {
            self.counter.add_prompt_tokens(usage.prompt_tokens);
        }
        if progress.done {
            let replica = &self.grant.replica;
            note(
                &self.state,
                EventKind::Answered,
                &self.call,
                replica,
                String::new,
            );
            metrics::counter!("entry_requests_total", "outcome" => "answered").increment(1);
            self.guard.settle(Outcome::Answered);
        }
    }

    /// The last thing that the caller of a broken stream reads.
    fn tell(&mut self, failure: &Failure) -> Bytes {
        self.phase = Phase::Told;
        let text = retry::describe(failure);
        let replica = &self.grant.replica;
        note(&self.state, EventKind::Unknown, &self.call, replica, || {
            text.clone()
        });
        metrics::counter!("entry_requests_total", "outcome" => "truncated").increment(1);
        self.source = Source::Closed;
        self.guard.settle(retry::outcome(failure));
        let code = match failure {
            Failure::Deadline => Code::Overdue,
            _ => Code::OutcomeUnknown,
        };
        let body = CallerError::new(code, text).body();
        Bytes::from([b"event: error\ndata: ", &body[..], b"\n\n"].concat())
    }

    /// The next run of checked events, over resumed connections; `None` after
    /// `[DONE]` and the end of the body.
    fn poll_run(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Run>, Failure>> {
        loop {
            if let Some(stop) = self.guard.poll_stop(cx) {
                return Poll::Ready(Err(stop));
            }
            let fault = match &mut self.source {
                Source::Closed => return Poll::Ready(Ok(None)),
                Source::Draining(answer) => {
                    // What comes after `[DONE]` is not for the caller.
                    if matches!(ready!(answer.poll_data(cx)), None | Some(Err(_))) {
                        self.source = Source::Closed;
                    }
                    continue;
                }
                Source::Opening(opening) => match ready!(opening.as_mut().poll(cx)) {
                    Ok(answer) => {
                        self.source = Source::Open(answer);
                        continue;
                    }
                    Err(e) => self.late(e),
                },
                Source::Open(answer) => match ready!(answer.poll_data(cx)) {
                    Some(Ok(piece)) => match self.check(piece) {
                        Ok(Some(run)) => return Poll::Ready(Ok(Some(run))),
                        Ok(None) => continue,
                        Err(e) => e,
                    },
                    Some(Err(e)) => self.broken(e.to_string()),
                    None => self.broken("the stream ended without [DONE]".to_owned()),
                },
            };
            if !self.resume(&fault) {
                return Poll::Ready(Err(Failure::Run(fault)));
            }
        }
    }

    /// Whatever a resumption fails of, the stream broke after its first token.
    fn late(&self, e: RunError) -> RunError {
        match (self.checker.next(), e) {
            (0, e) => e,
            (_, e @ RunError::WrongIdentity { .. }) => e,
            (_, e) => RunError::BrokenLate(e.to_string()),
        }
    }

    fn broken(&self, text: String) -> RunError {
        match self.checker.next() {
            0 => RunError::BrokenEarly(text),
            _ => RunError::BrokenLate(text),
        }
    }

    fn check(&mut self, piece: Bytes) -> Result<Option<Run>, RunError> {
        let events = self.scanner.push(piece).map_err(|e| self.fault(e))?;
        if events.is_empty() {
            return Ok(None);
        }
        let checked = self.checker.check(&events, &self.expected);
        let progress = checked.map_err(|e| self.fault(e))?;
        if progress.tokens > 0 {
            self.resumes = 0;
        }
        if progress.done {
            let source = std::mem::replace(&mut self.source, Source::Closed);
            if let Source::Open(answer) = source {
                self.source = Source::Draining(answer);
            }
        }
        Ok(Some(Run { events, progress }))
    }

    fn fault(&self, fault: StreamFault) -> RunError {
        match fault {
            StreamFault::Identity(what) => RunError::WrongIdentity {
                what,
                seen: self.expected.incarnation,
            },
            StreamFault::Malformed(text) => self.broken(text),
        }
    }

    /// Goes on with a broken stream on the same replica, where that cannot run
    /// the request a second time.
    fn resume(&mut self, fault: &RunError) -> bool {
        let next = self.checker.next();
        let broken = matches!(fault, RunError::BrokenEarly(_) | RunError::BrokenLate(_));
        // Before the first token there is nothing to go on from: another
        // replica is as good, and the owner decides.
        let useful = broken && next > 0 && self.call.idempotent;
        if !useful || self.resumes >= MOST_RESUMES {
            return false;
        }
        self.resumes += 1;
        self.scanner.reset();
        self.source = self.open(Some(next));
        let replica = &self.grant.replica;
        note(&self.state, EventKind::Resumed, &self.call, replica, || {
            format!("at token {next}: {fault}")
        });
        true
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.guard.settle(Outcome::Cancelled) {
            return;
        }
        let replica = &self.grant.replica;
        note(
            &self.state,
            EventKind::Cancelled,
            &self.call,
            replica,
            String::new,
        );
        metrics::counter!("entry_requests_total", "outcome" => "cancelled").increment(1);
    }
}
