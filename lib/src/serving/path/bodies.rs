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
use crate::serving::decisions::retry::RETRY_DELAY;
use crate::serving::decisions::retry::Refusal;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::program::node::time_until;
use crate::serving::program::node::to_instant;
use crate::upstream::BodyBuffer;

/// Size in bytes up to which a body is read without waiting for room.
const SMALL_BODY: u64 = 32 << 10;

/// Part of the time until its deadline for which a request waits for room.
const WAIT_FRACTION: f64 = 0.25;

/// The room that a body takes, until this is dropped.
pub(in crate::serving) struct BodyCharge {
    node: Rc<Node>,
    /// Bytes that were expected when the body began.
    length: u64,
    /// Bytes of memory that what has arrived takes.
    read: u64,
}

impl BodyCharge {
    /// Records that the body takes so many bytes of memory by now; returns whether there is room
    /// for them.
    fn record(&mut self, size: u64) -> bool {
        let more = size.saturating_sub(self.read);
        let expected = more.min(self.length.saturating_sub(self.read));
        let room = &mut self.node.state().body_room;
        let fits = size <= SMALL_BODY || room.fits(self.read, more);
        self.read += more;
        room.read(more, expected);
        fits
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        if self.length > 0 || self.read > 0 {
            self.node.state().body_room.end(self.length, self.read);
            self.node.body_wake.notify_one();
        }
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
            Some(more) => self.node.state().body_room.keep_answer(more),
            None => {
                let released = self.size - size;
                self.node.state().body_room.release_answer(released);
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
        self.0.state().body_room.leave(self.1);
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
    let mut charge = wait_for_room(node, stated, deadline).await?;
    let mut body = Limited::new(body, max_bytes);
    let mut buffer = BodyBuffer::default();
    let mut pieces = 0;
    loop {
        let frame = tokio::time::timeout_at(to_instant(deadline), body.frame()).await;
        match frame {
            Err(_) => return Err(Refusal::denied(StatusCode::REQUEST_TIMEOUT, "slow_body")),
            Ok(None) => {
                metrics::histogram!("serve_body_pieces").record(f64::from(pieces));
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
    length: u64,
    deadline: Moment,
) -> Result<BodyCharge, Refusal> {
    let charge = || BodyCharge {
        node: node.clone(),
        length,
        read: 0,
    };
    if length <= SMALL_BODY {
        node.state().body_room.begin_small(length);
        return Ok(charge());
    }
    let no_room = Refusal::not_run("no_memory", RETRY_DELAY);
    if node.body_turn.try_lock().is_ok() && node.state().body_room.begin(length) {
        return Ok(charge());
    }
    if !node.state().body_room.wait(length) {
        return Err(no_room);
    }
    let waiting = Waiting(node, length);
    let patience: Duration = time_until(deadline).mul_f64(WAIT_FRACTION);
    let since = now();
    let admitted = tokio::time::timeout(patience, async {
        let _turn = node.body_turn.lock().await;
        while !node.state().body_room.begin(length) {
            node.body_wake.notified().await;
        }
    });
    let admitted = admitted.await.is_ok();
    drop(waiting);
    metrics::histogram!("serve_body_wait_seconds").record(now().since(since).0 as f64 / 1e6);
    match admitted {
        true => Ok(charge()),
        false => Err(no_room),
    }
}
