//! Streams a response to the caller and resumes it on another replica if it breaks off.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::time::Instant;

use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::crash_tracker::RunEnd;
use crate::serving::decisions::fleet::RunOutcome;
use crate::serving::decisions::retry::AttemptFailure;
use crate::serving::decisions::retry::Attempts;
use crate::serving::decisions::retry::Refusal;
use crate::serving::decisions::retry::STOPPING;
use crate::serving::path::attempts::log_stays;
use crate::serving::path::attempts::resume_elsewhere;
use crate::serving::path::bodies::AnswerCharge;
use crate::serving::path::bodies::ReadAhead;
use crate::serving::path::choice::has_other_replica;
use crate::serving::path::crashes::record_begun;
use crate::serving::path::crashes::record_break;
use crate::serving::path::crashes::record_complete;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::forward::Resume;
use crate::serving::path::forward::StartedResponse;
use crate::serving::path::serve::RoutedRequest;
use crate::serving::path::serve::count_outcome;
use crate::serving::path::stop;
use crate::serving::path::takeover::MAX_OVERLAP;
use crate::serving::path::takeover::OtherAttempts;
use crate::serving::path::takeover::Takeover;
use crate::serving::path::takeover::race;
use crate::serving::program::node::InFlight;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::upstream::BodyError;
use crate::upstream::EventSplitter;
use crate::upstream::Overdue;

/// A resumable stream is checked after a silence of this many times the route's maximum gap;
/// callers disconnect after eight times that gap.
const GAPS_BEFORE_CHECK: u32 = 4;

/// Bytes up to which an incomplete event does not count; the event of a token is smaller.
const SMALL_EVENT: usize = 4 << 10;

/// Error that aborts a response and closes the caller's connection; holds the reason.
#[derive(Debug)]
pub(in crate::serving) struct ResponseAborted(pub(in crate::serving) &'static str);

impl fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "response aborted: {}", self.0)
    }
}

impl std::error::Error for ResponseAborted {}

const NOT_RESUMED: ResponseAborted =
    ResponseAborted("upstream broke off and the response could not be resumed");

/// A chunk of a replica's response, or its end; `Overdue` if nothing came yet.
type Chunk = Result<Option<Result<Bytes, BodyError>>, Overdue>;

/// Body of a response to a caller.
pub(in crate::serving) type ResponseBody =
    Pin<Box<dyn Body<Data = Bytes, Error = ResponseAborted>>>;

/// Returns a body that is complete.
pub(in crate::serving) fn full_body(bytes: Bytes) -> ResponseBody {
    Box::pin(Full::new(bytes).map_err(|e: Infallible| match e {}))
}

/// Returns a body that forwards a response as it arrives.
pub(in crate::serving) fn stream_body(stream: ResponseStream) -> ResponseBody {
    let chunks = unfold(stream, |mut s| async move {
        let chunk = s.next().await?;
        Some((chunk.map(Frame::data), s))
    });
    Box::pin(StreamBody::new(chunks))
}

/// A response that is forwarded chunk by chunk.
pub(in crate::serving) struct ResponseStream {
    pub(in crate::serving) node: Rc<Node>,
    pub(in crate::serving) routed: Rc<RoutedRequest>,
    pub(in crate::serving) request: BufferedRequest,
    pub(in crate::serving) response: Option<StartedResponse>,
    /// Chunks that were read ahead.
    pub(in crate::serving) buffered: ReadAhead,
    pub(in crate::serving) attempts: Attempts,
    pub(in crate::serving) avoid: BTreeSet<ReplicaName>,
    /// Splits a stream into complete events; `None` for other bodies.
    pub(in crate::serving) events: Option<EventTracker>,
    /// The room that a large event takes until it is complete.
    pub(in crate::serving) event_charge: AnswerCharge,
    pub(in crate::serving) timing: Timing,
    pub(in crate::serving) _open: InFlight,
}

/// Arrival times of a response's data.
pub(in crate::serving) struct Timing {
    pub(in crate::serving) arrived: Moment,
    last_data: Option<Moment>,
    first_byte: Span,
    longest_gap: Span,
}

impl Timing {
    pub(in crate::serving) fn new(arrived: Moment) -> Self {
        Self {
            arrived,
            last_data: None,
            first_byte: Span(0),
            longest_gap: Span(0),
        }
    }

    /// Updates the time to the first byte or the longest gap for data that arrived at `now`.
    fn record_data(&mut self, now: Moment) {
        match self.last_data {
            None => self.first_byte = now.since(self.arrived),
            Some(last) => self.longest_gap = self.longest_gap.max(now.since(last)),
        }
        self.last_data = Some(now);
    }
}

/// Position in an event stream.
#[derive(Default)]
pub(in crate::serving) struct EventTracker {
    scanner: EventSplitter,
    /// ID of the last event that was forwarded.
    last_id: Option<u64>,
}

impl ResponseStream {
    /// Returns the next chunk, or `None` at the regular end. An error closes the caller's
    /// connection, so that the caller cannot mistake the response for a complete one.
    async fn next(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        if let Some(chunk) = self.buffered.pop_block() {
            return Some(Ok(chunk));
        }
        loop {
            let wake_at = self.wake_at();
            let started = self.response.as_mut()?;
            let chunk = started.answer.next_chunk_before(wake_at);
            let mut chunk = stop::chunk_until_end(&self.node, chunk).await;
            if chunk.is_err() && self.should_move() {
                chunk = match self.move_silent().await {
                    Ok(chunk) => chunk,
                    Err(e) => return Some(Err(e)),
                };
            }
            let ended = match chunk {
                Err(_) if self.node.phase() == Phase::Ending => {
                    let replica = self.response.take().map(|r| r.run.replica.clone());
                    self.log_broken(STOPPING, replica.as_ref());
                    count_outcome("broken_off");
                    return Some(Err(ResponseAborted("the process stops")));
                }
                Err(_) if now() >= self.request.deadline => {
                    let replica = self.response.take().map(|r| r.run.replica.clone());
                    self.log_broken("overdue", replica.as_ref());
                    count_outcome("broken_off");
                    return Some(Err(ResponseAborted("deadline exceeded")));
                }
                Err(_) => continue,
                Ok(Some(Ok(bytes))) => match self.accept_data(bytes) {
                    Ok(bytes) if bytes.is_empty() => continue,
                    Ok(bytes) => return Some(Ok(bytes)),
                    Err(reason) => AttemptFailure::InvalidReply(reason),
                },
                Ok(Some(Err(e))) => {
                    slog::info!(self.node.log, "response ended early"; "id" => &self.request.id,
                        "error" => %e);
                    self.broken_off()
                }
                Ok(None) => match self.finish() {
                    Ok(rest) => return rest.map(Ok),
                    // Without a length the connection ends what the replica did not finish.
                    Err(_) => self.broken_off(),
                },
            };
            if let Err(e) = self.resume(ended).await {
                return Some(Err(e));
            }
        }
    }

    /// Records that the replica broke the response off.
    fn broken_off(&self) -> AttemptFailure {
        if let Some(started) = &self.response {
            record_break(&self.node, &self.request, &started.run);
        }
        AttemptFailure::Broken
    }

    /// Returns until when to wait for data: the deadline, or when a stream that can be resumed
    /// has been silent for so long that it is checked.
    fn wake_at(&self) -> Instant {
        let deadline = to_instant(self.request.deadline);
        if self.events.is_none() || !self.attempts.idempotent {
            return deadline;
        }
        let route = &self.routed.route;
        let gap = route.max_gap.unwrap_or(route.objective);
        deadline.min(Instant::now() + gap * GAPS_BEFORE_CHECK)
    }

    /// Returns whether a silent stream should move to another replica: only if its replica is
    /// silent in all its runs and another one can take over at once. A replica that is merely
    /// busy finishes sooner than one that starts the run again.
    fn should_move(&self) -> bool {
        let Some(started) = &self.response else {
            return false;
        };
        let is_over = self.node.phase() == Phase::Ending || now() >= self.request.deadline;
        if is_over || self.events.is_none() || !self.attempts.idempotent {
            return false;
        }
        let replica = &started.run.replica;
        if !self.node.state().fleet.is_silent(now(), replica) {
            return false;
        }
        let mut avoid = self.avoid.clone();
        avoid.insert(replica.clone());
        self.attempts.runs + 1 < self.attempts.max_runs
            && has_other_replica(&self.node, &self.routed, &self.request, &avoid)
    }

    /// Records data of the response; returns the complete events in it, or all of it if the
    /// response is no event stream.
    fn accept_data(&mut self, bytes: Bytes) -> Result<Bytes, &'static str> {
        if let Some(started) = &mut self.response {
            started.run.on_data();
            started.run.record_sign();
            // Other responses arrive when they are complete.
            if self.events.is_some() && !started.failed {
                started.run.on_event();
            }
        }
        self.timing.record_data(now());
        let Some(events) = &mut self.events else {
            return Ok(bytes);
        };
        let complete = events
            .scanner
            .push(bytes)
            .map_err(|_| "event exceeds the maximum size")?;
        let size = events.scanner.size();
        let size = if size > SMALL_EVENT { size } else { 0 };
        if !self.event_charge.resize(size) {
            return Err("no memory for an event");
        }
        events.check_ids(&complete)?;
        if let (false, Some(started)) = (complete.is_empty(), &mut self.response)
            && !started.failed
            && !std::mem::replace(&mut started.run.began, true)
        {
            record_begun(&self.node, &self.request, started.run.sent_at);
        }
        if !complete.is_empty() && self.request.build.is_none() {
            // Only replicas of this build can continue what the caller now has.
            let run = self.response.as_ref().map(|started| &started.run);
            self.request.build = run.and_then(|run| run.build.clone());
        }
        Ok(complete)
    }

    /// Records the end of a response that was read ahead completely. hyper does not poll for
    /// the end of a body whose length it knows, so `next` may not see it.
    pub(in crate::serving) fn finish_buffered(&mut self) {
        if self.events.is_none() && self.finish().is_err() {
            slog::error!(self.node.log, "response that was read ahead could not be finished";
                "id" => &self.request.id);
        }
    }

    /// Records the regular end of the response; fails if the end cuts off an event.
    fn finish(&mut self) -> Result<Option<Bytes>, &'static str> {
        let rest = match &mut self.events {
            Some(events) if !events.scanner.is_empty() => {
                return Err("stream ended inside an event");
            }
            _ => None,
        };
        self.log_slow();
        let outcome = match &self.response {
            Some(started) if started.failed => "upstream_failed",
            _ => "answered",
        };
        count_outcome(outcome);
        let first = self.timing.first_byte.0 as f64 / 1e6;
        metrics::histogram!("serve_first_byte_seconds").record(first);
        if let Some(started) = self.response.take() {
            let end = match started.failed {
                true => RunOutcome::Failed,
                false => RunOutcome::Answered,
            };
            started.run.record_end(end);
            let at = now();
            let took = at.since(started.run.sent_at);
            let mut state = self.node.state();
            state.run_times.record(at, &self.routed.route.name, took);
            drop(state);
            let end = match started.unframed {
                true => RunEnd::Unframed,
                false => RunEnd::Closed,
            };
            started.run.close(end);
            if started.answer.head.status.is_success() && !started.unframed {
                record_complete(&self.node, &self.request, started.run.sent_at);
            }
            if let Some(stream) = self.request.stream {
                self.node.state().stream_builds.complete(stream);
            }
        }
        Ok(rest)
    }

    /// Starts a silent stream on another replica, while its own may still go on with it. Returns
    /// what that one sends if it does, and that nothing came otherwise.
    async fn move_silent(&mut self) -> Result<Chunk, ResponseAborted> {
        let (Some(started), Some(events)) = (&mut self.response, &self.events) else {
            return Ok(Err(Overdue));
        };
        // The two must be of one build: either may go on with the stream.
        let begins = self.request.build.is_none();
        if begins {
            self.request.build = started.run.build.clone();
        }
        let mut tried = self.attempts.beside_run();
        let mut avoid = self.avoid.clone();
        avoid.insert(started.run.replica.clone());
        let resume = Resume {
            after: events.last_id,
            urgency: started.run.urgency,
        };
        let last_send = &self.request.last_send;
        last_send.end();
        let mut others: OtherAttempts<'_> = Box::pin(resume_elsewhere(
            &self.node,
            &self.routed,
            &self.request,
            &mut tried,
            &mut avoid,
            AttemptFailure::Broken,
            resume,
        ));
        let replica = started.run.replica.clone();
        let is_silent = || self.node.state().fleet.is_silent(now(), &replica);
        let deadline = to_instant(self.request.deadline);
        let chunk = started.answer.next_chunk_before(deadline);
        let chunk = stop::chunk_until_end(&self.node, chunk);
        let overlap = Some(MAX_OVERLAP);
        let outcome = race(chunk, &mut others, last_send, overlap, is_silent).await;
        let (is_over, next) = match outcome {
            Takeover::Own(chunk) if !is_broken(&chunk, events) => {
                drop(others);
                self.attempts = self.attempts.after_run(tried, last_send.end());
                if begins {
                    self.request.build = None;
                }
                return Ok(chunk);
            }
            Takeover::Stays(why) => {
                drop(others);
                self.attempts = self.attempts.after_run(tried, last_send.end());
                log_stays(&self.node, &self.request, &replica, why);
                if begins {
                    self.request.build = None;
                }
                return Ok(Err(Overdue));
            }
            // The others are the next attempts.
            Takeover::Own(_) => (true, None),
            Takeover::GiveUp => (false, None),
            Takeover::Moved(next) => (false, Some(*next)),
        };
        let ended = match is_over {
            true => self.broken_off().as_str(),
            false => "silent",
        };
        self.log_broken(ended, Some(&replica));
        // This closes the connection, which makes the replica cancel the run.
        if let Some(own) = self.response.take() {
            own.run.record_end(RunOutcome::Broken);
        }
        let next = match next {
            Some(next) => Ok(next),
            None => stop::until_end(&self.node, &self.request.trace, &mut others).await,
        };
        drop(others);
        self.attempts = self.attempts.after_takeover(tried);
        self.avoid = avoid;
        self.go_on(next).map(|()| Err(Overdue))
    }

    /// Resumes a response that broke off on another replica, if it is an event stream and may be
    /// retried.
    async fn resume(&mut self, ended: AttemptFailure) -> Result<(), ResponseAborted> {
        let Some(started) = self.response.take() else {
            return Err(ResponseAborted("no response in progress"));
        };
        started.run.record_end(RunOutcome::Broken);
        self.avoid.insert(started.run.replica.clone());
        let urgency = started.run.urgency;
        self.log_broken(ended.as_str(), Some(&started.run.replica));
        drop(started);
        let Some(events) = &self.events else {
            count_outcome("broken_off");
            return Err(NOT_RESUMED);
        };
        self.attempts.record_failure(ended);
        let resume = Resume {
            after: events.last_id,
            urgency,
        };
        let next = resume_elsewhere(
            &self.node,
            &self.routed,
            &self.request,
            &mut self.attempts,
            &mut self.avoid,
            ended,
            resume,
        );
        let next = next.await;
        self.go_on(next)
    }

    /// Goes on with the response of the replica that resumes the stream.
    fn go_on(&mut self, next: Result<StartedResponse, Refusal>) -> Result<(), ResponseAborted> {
        let Ok(started) = next else {
            count_outcome("broken_off");
            return Err(NOT_RESUMED);
        };
        if let Some(events) = &mut self.events {
            events.scanner.reset();
        }
        self.event_charge.resize(0);
        slog::info!(self.node.log, "response resumed"; "id" => &self.request.id,
            "replica" => started.run.replica.as_str(), "route" => &self.routed.route.name);
        self.response = Some(started);
        Ok(())
    }

    /// Logs a complete stream that missed an objective, and records stalls so that long
    /// prompts take turns.
    fn log_slow(&self) {
        let route = &self.routed.route;
        let exceeds = |span: Span, max: Duration| u128::from(span.0) > max.as_micros();
        let stalled = route
            .max_gap
            .is_some_and(|p| exceeds(self.timing.longest_gap, p));
        if self.events.is_some() {
            let mut state = self.node.state();
            let steps = state.fleet.steps_per_event(&self.routed.service);
            let turns_begin = state.stall_detector.record_stream(now(), steps, stalled);
            drop(state);
            if turns_begin {
                slog::info!(self.node.log, "stream stalled; long prompts take turns";
                    "id" => &self.request.id, "pause_ms" => self.timing.longest_gap.as_millis());
            }
        }
        let late = match (exceeds(self.timing.first_byte, route.objective), stalled) {
            (true, true) => Some("both"),
            (true, false) => Some("first"),
            (false, true) => Some("pause"),
            (false, false) => None,
        };
        if let (Some(_), Some(late)) = (&self.events, late) {
            let replica = self.response.as_ref().map(|r| r.run.replica.as_str());
            slog::info!(self.node.log, "stream missed its latency objective";
                "id" => &self.request.id, "replica" => replica,
                "route" => &route.name, "first_ms" => self.timing.first_byte.as_millis(),
                "pause_ms" => self.timing.longest_gap.as_millis(), "late" => late,
                "prompt" => self.request.cost.tokens);
        }
    }

    /// Logs a response that broke off or was overdue.
    fn log_broken(&self, reason: &'static str, replica: Option<&ReplicaName>) {
        let last = self.events.as_ref().and_then(|e| e.last_id);
        let heard = self.timing.last_data.unwrap_or(self.timing.arrived);
        slog::info!(self.node.log, "response broke off"; "id" => &self.request.id, "why" => reason,
            "last" => last, "replica" => replica.map(ReplicaName::as_str),
            "route" => &self.routed.route.name, "phase" => ?self.node.phase(),
            "silent_ms" => now().since(heard).as_millis(),
            "held_ms" => now().since(self.timing.arrived).as_millis(),
            "end_ms" => stop::time_left(&self.node).map(Span::as_millis));
    }
}

/// Returns whether a replica broke a stream off.
fn is_broken(chunk: &Chunk, events: &EventTracker) -> bool {
    match chunk {
        Ok(Some(Err(_))) => true,
        Ok(None) => !events.scanner.is_empty(),
        Ok(Some(Ok(_))) | Err(Overdue) => false,
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        // Logs and counts a caller that disconnected; responses that ended or broke off
        // have been recorded already.
        if let Some(started) = &self.response {
            let last = self.events.as_ref().and_then(|e| e.last_id);
            slog::info!(self.node.log, "caller disconnected during the response";
                "id" => &self.request.id, "replica" => started.run.replica.as_str(), "last" => last,
                "route" => &self.routed.route.name,
                "first_ms" => self.timing.first_byte.as_millis(),
                "held_ms" => now().since(self.timing.arrived).as_millis());
            count_outcome("caller_left");
        }
    }
}

impl EventTracker {
    /// Checks that the IDs of complete events continue from the last event without a gap.
    fn check_ids(&mut self, events: &[u8]) -> Result<(), &'static str> {
        for line in events.split(|b| *b == b'\n') {
            let Some(id) = line.strip_prefix(b"id:") else {
                continue;
            };
            let id = std::str::from_utf8(id)
                .ok()
                .and_then(|t| t.trim().parse().ok());
            let id: u64 = id.ok_or("event without a numeric ID")?;
            if self.last_id.is_some_and(|last| id != last + 1) {
                return Err("event IDs are not consecutive");
            }
            self.last_id = Some(id);
        }
        Ok(())
    }
}
