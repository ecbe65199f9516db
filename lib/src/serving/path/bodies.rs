//! Reads the bodies of requests, and keeps what is read of answers, as far as memory allows.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::pool::Moment;
use crate::serving::decisions::memory_account::HolderId;
use crate::serving::decisions::memory_account::SMALL_BODY;
use crate::serving::decisions::retry::RETRY_DELAY;
use crate::serving::decisions::retry::Refusal;
use crate::serving::path::connections::Holder;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::program::node::time_until;
use crate::serving::program::node::to_instant;
use crate::upstream::BodyBuffer;

/// Interval at which the first body that waits for room looks for others that stand still.
const STILL_POLL: Duration = Duration::from_millis(100);

/// Part of the time until its deadline for which a request waits for room.
const WAIT_FRACTION: f64 = 0.25;

/// The room that a body takes, until this is dropped.
pub(in crate::serving) struct BodyCharge(Holder);

impl BodyCharge {
    /// Records that the body takes so many bytes of memory by now; returns whether there is room
    /// for them.
    fn record(&mut self, size: u64) -> bool {
        let Holder { node, id, .. } = &self.0;
        let (fits, closed) = node.state().memory.read(*id, size, now());
        node.close(&closed);
        fits
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        self.0.node.state().memory.remove(self.0.id);
        self.0.node.body_wake.notify_one();
    }
}

/// The room that the kept part of an answer takes, until this is dropped.
pub(in crate::serving) struct AnswerCharge {
    node: Rc<Node>,
    size: u64,
}

impl AnswerCharge {
    pub(in crate::serving) fn new(node: &Rc<Node>) -> Self {
        Self {
            node: node.clone(),
            size: 0,
        }
    }

    /// Records how much is kept; returns whether there is room for it, without which it counts
    /// as before.
    pub(in crate::serving) fn resize(&mut self, size: usize) -> bool {
        let size = size as u64;
        if size == self.size {
            return true;
        }
        let fits = match size.checked_sub(self.size) {
            Some(more) => self.node.state().memory.bodies().keep_answer(more),
            None => {
                let released = self.size - size;
                self.node.state().memory.bodies().release_answer(released);
                self.node.body_wake.notify_one();
                true
            }
        };
        if fits {
            self.size = size;
        }
        fits
    }
}

impl Drop for AnswerCharge {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// The first bytes of an answer, which are read before its head is passed on.
pub(in crate::serving) struct ReadAhead {
    buffer: BodyBuffer,
    charge: AnswerCharge,
    pieces: u32,
}

impl ReadAhead {
    pub(in crate::serving) fn new(node: &Rc<Node>) -> Self {
        Self {
            buffer: BodyBuffer::default(),
            charge: AnswerCharge::new(node),
            pieces: 0,
        }
    }

    /// Adds a piece; returns whether there is room for more.
    pub(in crate::serving) fn push(&mut self, piece: &[u8]) -> bool {
        self.buffer.push(piece);
        self.pieces += 1;
        self.charge.resize(self.buffer.size())
    }

    /// Takes the first bytes that are left.
    pub(in crate::serving) fn pop_block(&mut self) -> Option<Bytes> {
        let block = self.buffer.pop_block()?;
        self.charge.resize(self.buffer.size());
        Some(block)
    }

    /// Returns in how many pieces the bytes arrived.
    pub(in crate::serving) fn pieces(&self) -> u32 {
        self.pieces
    }
}

/// Bodies that wait for room, counted until this is dropped.
struct Waiting<'a>(&'a Node, u64);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.state().memory.bodies().leave(self.1);
    }
}

/// A complete body.
pub(in crate::serving) struct BufferedBody {
    pub(in crate::serving) blocks: Vec<Bytes>,
    pub(in crate::serving) charge: BodyCharge,
}

/// Reads the complete body of a request, up to a size and a deadline. It is not read before there
/// is room for it.
pub(in crate::serving) async fn read_body(
    node: &Rc<Node>,
    connection: Option<HolderId>,
    body: Incoming,
    max_bytes: usize,
    deadline: Moment,
) -> Result<BufferedBody, Refusal> {
    let too_large = Refusal::denied(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    // A stated length is checked before any byte is read.
    let stated = body.size_hint().lower();
    if stated > max_bytes as u64 {
        return Err(too_large);
    }
    let mut charge = wait_for_room(node, connection, stated, deadline).await?;
    let mut body = Limited::new(body, max_bytes);
    let mut buffer = BodyBuffer::default();
    let mut pieces = 0;
    loop {
        let frame = tokio::time::timeout_at(to_instant(deadline), body.frame());
        let frame = tokio::select! {
            biased;
            () = charge.0.displaced() => {
                return Err(Refusal::not_run("no_memory", RETRY_DELAY));
            }
            frame = frame => frame,
        };
        match frame {
            Err(_) => return Err(Refusal::denied(StatusCode::REQUEST_TIMEOUT, "slow_body")),
            Ok(None) => {
                metrics::histogram!("serve_body_pieces").record(f64::from(pieces));
                charge.0.pause();
                let blocks = buffer.into_blocks();
                return Ok(BufferedBody { blocks, charge });
            }
            Ok(Some(Err(e))) if e.is::<LengthLimitError>() => return Err(too_large),
            Ok(Some(Err(_))) => return Err(Refusal::denied(StatusCode::BAD_REQUEST, "bad_body")),
            // Trailers are hop-by-hop here and are dropped.
            Ok(Some(Ok(frame))) => {
                let Ok(piece) = frame.into_data() else {
                    continue;
                };
                pieces += 1;
                buffer.push(&piece);
                if !charge.record(buffer.size() as u64) {
                    return Err(Refusal::not_run("no_memory", RETRY_DELAY));
                }
            }
        }
    }
}

/// Waits for the room of a body in the order of arrival. Requests for which too many others
/// wait are refused at once.
async fn wait_for_room(
    node: &Rc<Node>,
    connection: Option<HolderId>,
    length: u64,
    deadline: Moment,
) -> Result<BodyCharge, Refusal> {
    let no_room = Refusal::not_run("no_memory", RETRY_DELAY);
    let connection = connection.ok_or(no_room)?;
    let begin = || {
        let (id, closed) = node.state().memory.begin(connection, length, now());
        node.close(&closed);
        id.map(|id| BodyCharge(Holder::new(node, id)))
    };
    let may_begin = length <= SMALL_BODY || node.body_turn.try_lock().is_ok();
    if let Some(charge) = may_begin.then(begin).flatten() {
        return Ok(charge);
    }
    if !node.state().memory.bodies().wait(length) {
        return Err(no_room);
    }
    let waiting = Waiting(node, length);
    let patience: Duration = time_until(deadline).mul_f64(WAIT_FRACTION);
    let since = now();
    let admitted = tokio::time::timeout(patience, async {
        let _turn = node.body_turn.lock().await;
        loop {
            if let Some(charge) = begin() {
                return charge;
            }
            // None of them may end for a long time.
            let woken = tokio::time::timeout(STILL_POLL, node.body_wake.notified());
            woken.await.ok();
        }
    });
    let admitted = admitted.await;
    drop(waiting);
    metrics::histogram!("serve_body_wait_seconds").record(now().since(since).0 as f64 / 1e6);
    admitted.map_err(|_| no_room)
}
