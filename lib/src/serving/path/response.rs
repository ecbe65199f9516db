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
use crate::serving::decisions::decide::Ended;
use crate::serving::decisions::decide::Tries;
use crate::serving::decisions::fleet::End;
use crate::serving::path::forward::Begun;
use crate::serving::path::forward::Held;
use crate::serving::path::forward::strike;
use crate::serving::path::placement::has_other_place;
use crate::serving::path::serve::Asked;
use crate::serving::path::serve::again;
use crate::serving::path::serve::count;
use crate::serving::program::node::InFlight;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::upstream::Scanner;

/// After a silence of so many pauses that the route allows, a stream that may
/// be resumed is looked after: callers leave after eight.
const PAUSES_BEFORE_LOOK: u32 = 4;

/// Why an answer breaks off; the caller's connection ends with it.
#[derive(Debug)]
pub(in crate::serving) struct Broken(&'static str);

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer broke off: {}", self.0)
    }
}

impl std::error::Error for Broken {}

/// The body of an answer.
pub(in crate::serving) type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = Broken>>>;

/// A body that is here.
pub(in crate::serving) fn whole(bytes: Bytes) -> AnswerBody {
    Box::pin(Full::new(bytes).map_err(|e: Infallible| match e {}))
}

/// A body that still comes.
pub(in crate::serving) fn passing(passing: Passing) -> AnswerBody {
    let pieces = unfold(passing, |mut p| async move {
        let piece = p.next().await?;
        Some((piece.map(Frame::data), p))
    });
    Box::pin(StreamBody::new(pieces))
}

/// An answer that is passed on piece by piece.
pub(in crate::serving) struct Passing {
    pub(in crate::serving) node: Rc<Node>,
    pub(in crate::serving) asked: Rc<Asked>,
    pub(in crate::serving) held: Held,
    pub(in crate::serving) begun: Option<Begun>,
    /// Pieces that were read already.
    pub(in crate::serving) ahead: VecDeque<Bytes>,
    pub(in crate::serving) tries: Tries,
    pub(in crate::serving) avoid: BTreeSet<ReplicaName>,
    /// Cuts a stream into whole events; `None` for other bodies.
    pub(in crate::serving) events: Option<Events>,
    pub(in crate::serving) timing: Timing,
    pub(in crate::serving) _open: InFlight,
}

/// When the parts of an answer came.
pub(in crate::serving) struct Timing {
    pub(in crate::serving) arrived: Moment,
    last: Option<Moment>,
    first: Span,
    longest: Span,
}

impl Timing {
    pub(in crate::serving) fn new(arrived: Moment) -> Self {
        Self {
            arrived,
            last: None,
            first: Span(0),
            longest: Span(0),
        }
    }

    fn note(&mut self, now: Moment) {
        match self.last {
            None => self.first = now.since(self.arrived),
            Some(last) => self.longest = self.longest.max(now.since(last)),
        }
        self.last = Some(now);
    }
}

/// Where a stream is.
#[derive(Default)]
pub(in crate::serving) struct Events {
    scanner: Scanner,
    /// The last event that was passed on.
    last: Option<u64>,
}

impl Passing {
    /// The next piece; `None` at the proper end. After an error the caller's
    /// connection is closed, so it cannot take the answer for complete.
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if let Some(piece) = self.ahead.pop_front() {
            return Some(Ok(piece));
        }
        loop {
            let begun = self.begun.as_mut()?;
            let piece = match self.events {
                Some(_) if self.tries.idempotent => {
                    let pause = self
                        .asked
                        .route
                        .max_gap
                        .unwrap_or(self.asked.route.objective);
                    let soon = tokio::time::Instant::now() + pause * PAUSES_BEFORE_LOOK;
                    let by = to_instant(self.held.limit).min(soon);
                    tokio::time::timeout_at(by, begun.answer.data()).await
                }
                _ => {
                    tokio::time::timeout_at(to_instant(self.held.limit), begun.answer.data()).await
                }
            };
            let ended = match piece {
                Err(_) if now() >= self.held.limit => {
                    self.log("overdue");
                    count("broken_off");
                    self.begun = None;
                    return Some(Err(Broken("the time is over")));
                }
                Err(_) if !self.better_elsewhere() => continue,
                Err(_) => {
                    self.log("silent");
                    Ended::Broken
                }
                Ok(Some(Ok(bytes))) => match self.take(bytes) {
                    Ok(bytes) if bytes.is_empty() => continue,
                    Ok(bytes) => return Some(Ok(bytes)),
                    Err(what) => Ended::Spoilt(what),
                },
                Ok(Some(Err(_))) => Ended::Broken,
                Ok(None) => match self.finish() {
                    Ok(rest) => return rest.map(Ok),
                    Err(what) => Ended::Spoilt(what),
                },
            };
            if let Err(e) = self.go_on(ended).await {
                return Some(Err(e));
            }
        }
    }

    /// Whether a silent stream should go on elsewhere: only where its replica
    /// is silent to all, and another one can go on at once. A replica that is
    /// only busy ends the run sooner than one that begins anew.
    fn better_elsewhere(&self) -> bool {
        let Some(begun) = &self.begun else {
            return false;
        };
        let replica = &begun.run.replica;
        if !self.node.state().fleet.silent(now(), replica) {
            return false;
        }
        let mut avoid = self.avoid.clone();
        avoid.insert(replica.clone());
        self.tries.runs + 1 < self.tries.most_runs
            && has_other_place(&self.node, &self.asked, &self.held, &avoid)
    }

    fn take(&mut self, bytes: Bytes) -> Result<Bytes, &'static str> {
        if let Some(begun) = &mut self.begun {
            begun.run.heard();
        }
        self.timing.note(now());
        let Some(events) = &mut self.events else {
            return Ok(bytes);
        };
        let whole = events
            .scanner
            .push(bytes)
            .map_err(|_| "an event is too long")?;
        events.check(&whole)?;
        Ok(whole)
    }

    /// All of the answer was read ahead. The connection to the caller asks for
    /// no end of a body whose length it was told, so it is noted here.
    pub(in crate::serving) fn finish_read(&mut self) {
        if self.events.is_none() && self.finish().is_err() {
            slog::error!(self.node.log, "an answer without events was cut"; "id" => &self.held.id);
        }
    }

    /// The answer came to its proper end.
    fn finish(&mut self) -> Result<Option<Bytes>, &'static str> {
        let rest = match &mut self.events {
            Some(events) if !events.scanner.is_empty() => return Err("an event is cut off"),
            _ => None,
        };
        self.log_late();
        let outcome = match &self.begun {
            Some(begun) if begun.failed => "upstream_failed",
            _ => "answered",
        };
        count(outcome);
        let first = self.timing.first.0 as f64 / 1e6;
        metrics::histogram!("serve_first_byte_seconds").record(first);
        if let Some(begun) = self.begun.take() {
            let end = match begun.failed {
                true => End::Failed,
                false => End::Answered,
            };
            begun.run.learn(end);
            let mut b = self.node.state();
            b.strikes.clear(self.held.fingerprint);
        }
        Ok(rest)
    }

    /// Goes on at another replica after a break, where the route allows it.
    async fn go_on(&mut self, ended: Ended) -> Result<(), Broken> {
        let Some(begun) = self.begun.take() else {
            return Err(Broken("no answer"));
        };
        begun.run.learn(End::Broken);
        strike(&self.node, &self.held, &begun.run.instance());
        self.avoid.insert(begun.run.replica.clone());
        // Its connection is closed now, so the replica ends the run.
        drop(begun);
        self.log(ended.word());
        let Some(events) = &mut self.events else {
            count("broken_off");
            return Err(Broken("the upstream broke off"));
        };
        events.scanner.reset();
        self.tries.note(ended);
        let resume_at = events.last;
        let next = again(
            &self.node,
            &self.asked,
            &self.held,
            &mut self.tries,
            &mut self.avoid,
            ended,
            resume_at,
        );
        match next.await {
            Ok(begun) => {
                self.begun = Some(begun);
                Ok(())
            }
            Err(_) => {
                count("broken_off");
                Err(Broken("the upstream broke off"))
            }
        }
    }

    /// A stream that was whole but slow keeps a line of its own.
    fn log_late(&self) {
        let route = &self.asked.route;
        let late = |span: Span, most: Duration| u128::from(span.0) > most.as_micros();
        let pause = route.max_gap.is_some_and(|p| late(self.timing.longest, p));
        if self.events.is_some() {
            let mut b = self.node.state();
            let steps = b.fleet.event_steps(&self.asked.service);
            let reason = b.strain.ended(now(), steps, pause);
            drop(b);
            if reason {
                slog::info!(self.node.log, "prompts take turns"; "id" => &self.held.id,
                    "pause_ms" => self.timing.longest.as_millis());
            }
        }
        if self.events.is_some() && (pause || late(self.timing.first, route.objective)) {
            let replica = self.begun.as_ref().map(|b| b.run.replica.as_str());
            slog::info!(self.node.log, "late"; "id" => &self.held.id, "replica" => replica,
                "route" => &route.name, "first_ms" => self.timing.first.as_millis(),
                "pause_ms" => self.timing.longest.as_millis(),
                "prompt" => self.held.cost.tokens);
        }
    }

    fn log(&self, what: &'static str) {
        let last = self.events.as_ref().and_then(|e| e.last);
        let replica = self.begun.as_ref().map(|b| b.run.replica.to_string());
        slog::info!(self.node.log, "stream broken"; "id" => &self.held.id, "why" => what,
            "last" => last, "replica" => replica, "route" => &self.asked.route.name);
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        // An answer that ended, or broke off, has its own line.
        if let Some(begun) = &self.begun {
            let last = self.events.as_ref().and_then(|e| e.last);
            slog::info!(self.node.log, "caller left"; "id" => &self.held.id,
                "replica" => begun.run.replica.as_str(), "last" => last,
                "route" => &self.asked.route.name, "first_ms" => self.timing.first.as_millis(),
                "held_ms" => now().since(self.timing.arrived).as_millis());
            count("caller_left");
        }
    }
}

impl Events {
    /// Checks that a run of whole events goes on where the last one ended.
    fn check(&mut self, whole: &[u8]) -> Result<(), &'static str> {
        for line in whole.split(|b| *b == b'\n') {
            let Some(id) = line.strip_prefix(b"id:") else {
                continue;
            };
            let id = std::str::from_utf8(id)
                .ok()
                .and_then(|t| t.trim().parse().ok());
            let id: u64 = id.ok_or("an event has no number")?;
            if self.last.is_some_and(|last| id != last + 1) {
                return Err("an event is missing");
            }
            self.last = Some(id);
        }
        Ok(())
    }
}
