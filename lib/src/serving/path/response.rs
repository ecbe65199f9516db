//! The answer on its way to the caller.

use std::collections::BTreeSet;
use std::collections::VecDeque;
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

use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::fleet::RunOutcome;
use crate::serving::decisions::retry::AttemptFailure;
use crate::serving::decisions::retry::Attempts;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::forward::StartedResponse;
use crate::serving::path::forward::record_strike;
use crate::serving::path::placement::has_other_replica;
use crate::serving::path::serve::RoutedRequest;
use crate::serving::path::serve::count_outcome;
use crate::serving::path::serve::retry;
use crate::serving::program::node::InFlight;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::upstream::Scanner;

/// After a silence of so many pauses that the route allows, a stream that may
/// be resumed is looked after: callers leave after eight.
const GAPS_BEFORE_CHECK: u32 = 4;

/// Why an answer breaks off; the caller's connection ends with it.
#[derive(Debug)]
pub(in crate::serving) struct ResponseAborted(&'static str);

impl fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer broke off: {}", self.0)
    }
}

impl std::error::Error for ResponseAborted {}

/// The body of an answer.
pub(in crate::serving) type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = ResponseAborted>>>;

/// A body that is here.
pub(in crate::serving) fn full_body(bytes: Bytes) -> AnswerBody {
    Box::pin(Full::new(bytes).map_err(|e: Infallible| match e {}))
}

/// A body that still comes.
pub(in crate::serving) fn stream_body(passing: ResponseStream) -> AnswerBody {
    let pieces = unfold(passing, |mut p| async move {
        let piece = p.next().await?;
        Some((piece.map(Frame::data), p))
    });
    Box::pin(StreamBody::new(pieces))
}

/// An answer that is passed on piece by piece.
pub(in crate::serving) struct ResponseStream {
    pub(in crate::serving) node: Rc<Node>,
    pub(in crate::serving) routed: Rc<RoutedRequest>,
    pub(in crate::serving) request: BufferedRequest,
    pub(in crate::serving) response: Option<StartedResponse>,
    /// Pieces that were read already.
    pub(in crate::serving) buffered: VecDeque<Bytes>,
    pub(in crate::serving) tries: Attempts,
    pub(in crate::serving) avoid: BTreeSet<ReplicaName>,
    /// Cuts a stream into whole events; `None` for other bodies.
    pub(in crate::serving) events: Option<EventTracker>,
    pub(in crate::serving) timing: Timing,
    pub(in crate::serving) _open: InFlight,
}

/// When the parts of an answer came.
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

    fn record_data(&mut self, now: Moment) {
        match self.last_data {
            None => self.first_byte = now.since(self.arrived),
            Some(last) => self.longest_gap = self.longest_gap.max(now.since(last)),
        }
        self.last_data = Some(now);
    }
}

/// Where a stream is.
#[derive(Default)]
pub(in crate::serving) struct EventTracker {
    scanner: Scanner,
    /// The last event that was passed on.
    last_id: Option<u64>,
}

impl ResponseStream {
    /// The next piece; `None` at the proper end. After an error the caller's
    /// connection is closed, so it cannot take the answer for complete.
    async fn next(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        if let Some(piece) = self.buffered.pop_front() {
            return Some(Ok(piece));
        }
        loop {
            let started = self.response.as_mut()?;
            let piece = match self.events {
                Some(_) if self.tries.idempotent => {
                    let pause = self
                        .routed
                        .route
                        .max_gap
                        .unwrap_or(self.routed.route.objective);
                    let soon = tokio::time::Instant::now() + pause * GAPS_BEFORE_CHECK;
                    let by = to_instant(self.request.deadline).min(soon);
                    tokio::time::timeout_at(by, started.answer.data()).await
                }
                _ => {
                    tokio::time::timeout_at(
                        to_instant(self.request.deadline),
                        started.answer.data(),
                    )
                    .await
                }
            };
            let ended = match piece {
                Err(_) if now() >= self.request.deadline => {
                    self.log_broken("overdue");
                    count_outcome("broken_off");
                    self.response = None;
                    return Some(Err(ResponseAborted("the time is over")));
                }
                Err(_) if !self.should_move() => continue,
                Err(_) => {
                    self.log_broken("silent");
                    AttemptFailure::Broken
                }
                Ok(Some(Ok(bytes))) => match self.accept_data(bytes) {
                    Ok(bytes) if bytes.is_empty() => continue,
                    Ok(bytes) => return Some(Ok(bytes)),
                    Err(what) => AttemptFailure::InvalidReply(what),
                },
                Ok(Some(Err(_))) => AttemptFailure::Broken,
                Ok(None) => match self.finish() {
                    Ok(rest) => return rest.map(Ok),
                    Err(what) => AttemptFailure::InvalidReply(what),
                },
            };
            if let Err(e) = self.resume(ended).await {
                return Some(Err(e));
            }
        }
    }

    /// Whether a silent stream should go on elsewhere: only where its replica
    /// is silent to all, and another one can go on at once. A replica that is
    /// only busy ends the run sooner than one that begins anew.
    fn should_move(&self) -> bool {
        let Some(started) = &self.response else {
            return false;
        };
        let replica = &started.run.replica;
        if !self.node.state().fleet.is_silent(now(), replica) {
            return false;
        }
        let mut avoid = self.avoid.clone();
        avoid.insert(replica.clone());
        self.tries.runs + 1 < self.tries.max_runs
            && has_other_replica(&self.node, &self.routed, &self.request, &avoid)
    }

    fn accept_data(&mut self, bytes: Bytes) -> Result<Bytes, &'static str> {
        if let Some(started) = &mut self.response {
            started.run.on_data();
        }
        self.timing.record_data(now());
        let Some(events) = &mut self.events else {
            return Ok(bytes);
        };
        let whole = events
            .scanner
            .push(bytes)
            .map_err(|_| "an event is too long")?;
        events.check_ids(&whole)?;
        Ok(whole)
    }

    /// All of the answer was read ahead. The connection to the caller asks for
    /// no end of a body whose length it was told, so it is noted here.
    pub(in crate::serving) fn finish_buffered(&mut self) {
        if self.events.is_none() && self.finish().is_err() {
            slog::error!(self.node.log, "an answer without events was cut"; "id" => &self.request.id);
        }
    }

    /// The answer came to its proper end.
    fn finish(&mut self) -> Result<Option<Bytes>, &'static str> {
        let rest = match &mut self.events {
            Some(events) if !events.scanner.is_empty() => return Err("an event is cut off"),
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
            let mut b = self.node.state();
            b.strikes.clear(self.request.fingerprint);
        }
        Ok(rest)
    }

    /// Goes on at another replica after a break, where the route allows it.
    async fn resume(&mut self, ended: AttemptFailure) -> Result<(), ResponseAborted> {
        let Some(started) = self.response.take() else {
            return Err(ResponseAborted("no answer"));
        };
        started.run.record_end(RunOutcome::Broken);
        record_strike(&self.node, &self.request, &started.run.instance());
        self.avoid.insert(started.run.replica.clone());
        // Its connection is closed now, so the replica ends the run.
        drop(started);
        self.log_broken(ended.as_str());
        let Some(events) = &mut self.events else {
            count_outcome("broken_off");
            return Err(ResponseAborted("the upstream broke off"));
        };
        events.scanner.reset();
        self.tries.record(ended);
        let resume_after = events.last_id;
        let next = retry(
            &self.node,
            &self.routed,
            &self.request,
            &mut self.tries,
            &mut self.avoid,
            ended,
            resume_after,
        );
        match next.await {
            Ok(started) => {
                self.response = Some(started);
                Ok(())
            }
            Err(_) => {
                count_outcome("broken_off");
                Err(ResponseAborted("the upstream broke off"))
            }
        }
    }

    /// A stream that was whole but slow keeps a line of its own.
    fn log_slow(&self) {
        let route = &self.routed.route;
        let late = |span: Span, most: Duration| u128::from(span.0) > most.as_micros();
        let pause = route
            .max_gap
            .is_some_and(|p| late(self.timing.longest_gap, p));
        if self.events.is_some() {
            let mut b = self.node.state();
            let steps = b.fleet.steps_per_event(&self.routed.service);
            let reason = b.strain.record_stream(now(), steps, pause);
            drop(b);
            if reason {
                slog::info!(self.node.log, "prompts take turns"; "id" => &self.request.id,
                    "pause_ms" => self.timing.longest_gap.as_millis());
            }
        }
        if self.events.is_some() && (pause || late(self.timing.first_byte, route.objective)) {
            let replica = self.response.as_ref().map(|b| b.run.replica.as_str());
            slog::info!(self.node.log, "late"; "id" => &self.request.id, "replica" => replica,
                "route" => &route.name, "first_ms" => self.timing.first_byte.as_millis(),
                "pause_ms" => self.timing.longest_gap.as_millis(),
                "prompt" => self.request.cost.tokens);
        }
    }

    fn log_broken(&self, what: &'static str) {
        let last = self.events.as_ref().and_then(|e| e.last_id);
        let replica = self.response.as_ref().map(|b| b.run.replica.to_string());
        slog::info!(self.node.log, "stream broken"; "id" => &self.request.id, "why" => what,
            "last" => last, "replica" => replica, "route" => &self.routed.route.name);
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        // An answer that ended, or broke off, has its own line.
        if let Some(started) = &self.response {
            let last = self.events.as_ref().and_then(|e| e.last_id);
            slog::info!(self.node.log, "caller left"; "id" => &self.request.id,
                "replica" => started.run.replica.as_str(), "last" => last,
                "route" => &self.routed.route.name, "first_ms" => self.timing.first_byte.as_millis(),
                "held_ms" => now().since(self.timing.arrived).as_millis());
            count_outcome("caller_left");
        }
    }
}

impl EventTracker {
    /// Checks that a run of whole events goes on where the last one ended.
    fn check_ids(&mut self, whole: &[u8]) -> Result<(), &'static str> {
        for line in whole.split(|b| *b == b'\n') {
            let Some(id) = line.strip_prefix(b"id:") else {
                continue;
            };
            let id = std::str::from_utf8(id)
                .ok()
                .and_then(|t| t.trim().parse().ok());
            let id: u64 = id.ok_or("an event has no number")?;
            if self.last_id.is_some_and(|last| id != last + 1) {
                return Err("an event is missing");
            }
            self.last_id = Some(id);
        }
        Ok(())
    }
}
