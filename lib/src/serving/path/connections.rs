//! Connections that others open, as the account of memory sees them.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::Notify;

use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::memory_account::HolderId;
use crate::serving::path::linger::SharedStream;
use crate::serving::path::response::ResponseBody;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;

/// Bytes of one read. hyper enlarges its buffer when a read fills it.
const READ_BYTES: usize = (16 << 10) - 1;

/// Minimum time between two log lines about what gave way.
const LOG_PAUSE: Span = Span::from_millis(1_000);

/// A connection or a body in the account of memory, until this is dropped.
pub(in crate::serving) struct Holder {
    pub(in crate::serving) node: Rc<Node>,
    pub(in crate::serving) id: HolderId,
    closer: Rc<Notify>,
}

impl Holder {
    pub(in crate::serving) fn new(node: &Rc<Node>, id: HolderId) -> Self {
        let closer = Rc::new(Notify::new());
        node.closers.borrow_mut().insert(id, closer.clone());
        Self {
            node: node.clone(),
            id,
            closer,
        }
    }

    /// Waits until it has to give way.
    pub(in crate::serving) async fn displaced(&self) {
        self.closer.notified().await;
    }

    /// Records that it no longer waits for its peer.
    pub(in crate::serving) fn pause(&self) {
        self.node.state().memory.pause(self.id);
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.node.closers.borrow_mut().remove(&self.id);
        self.node.state().memory.remove(self.id);
    }
}

impl Node {
    /// Ends connections and bodies that give way to others.
    pub(in crate::serving) fn close(&self, ids: &[HolderId]) {
        if ids.is_empty() {
            return;
        }
        let closers = self.closers.borrow();
        for closer in ids.iter().filter_map(|id| closers.get(id)) {
            closer.notify_one();
        }
        self.record_closed("displaced", ids.len() as u64);
    }

    /// Counts and logs connections and bodies that were refused or gave way.
    pub(in crate::serving) fn record_closed(&self, why: &'static str, count: u64) {
        metrics::counter!("serve_closed_total", "why" => why).increment(count);
        let (before, logged) = self.closed.get();
        let (count, at) = (before + count, now());
        if at < logged.after(LOG_PAUSE) {
            self.closed.set((count, logged));
            return;
        }
        self.closed.set((0, at));
        slog::info!(self.log, "no room for all connections"; "why" => why, "closed" => count,
            "connections" => self.connections());
    }
}

/// Whether a connection waits for its peer.
pub(in crate::serving) struct Activity {
    pub(in crate::serving) holder: Holder,
    /// Whether a request is in flight.
    running: Cell<bool>,
    /// Bytes of the head that is being read.
    head: Cell<u64>,
    /// Whether its peer has yet to read what was written.
    blocked: Cell<bool>,
    /// When something was written last.
    written: Cell<Option<Moment>>,
}

impl Activity {
    pub(in crate::serving) fn new(holder: Holder) -> Rc<Self> {
        Rc::new(Self {
            holder,
            running: Cell::new(false),
            head: Cell::new(0),
            blocked: Cell::new(false),
            written: Cell::new(None),
        })
    }

    /// Returns whether something was written within the last `time`.
    pub(in crate::serving) fn wrote_within(&self, time: Span) -> bool {
        let written = self.written.get();
        written.is_some_and(|at| now().since(at) < time)
    }

    /// Returns whether something is still to be written.
    pub(in crate::serving) fn is_busy(&self) -> bool {
        self.running.get() || self.blocked.get()
    }

    /// Records that a request is in flight, until the returned guard is dropped.
    pub(in crate::serving) fn begin_request(self: &Rc<Self>) -> RunningRequest {
        self.set(&self.running, true);
        RunningRequest(self.clone())
    }

    /// Records bytes that were read.
    ///
    /// # Errors
    ///
    /// If there is no room for them.
    fn record_read(&self, bytes: usize) -> io::Result<()> {
        // The bytes of a body count where it is kept.
        if self.running.get() {
            return Ok(());
        }
        self.head.set(self.head.get() + bytes as u64);
        match self.count_head() {
            true => Ok(()),
            false => {
                self.holder.node.record_closed("refused", 1);
                let text = "expected room for the head of a request, found none";
                Err(io::Error::new(io::ErrorKind::OutOfMemory, text))
            }
        }
    }

    fn count_head(&self) -> bool {
        let Holder { node, id, .. } = &self.holder;
        let counted = node.state().memory.read_head(*id, self.head.get(), now());
        let (fits, closed) = counted;
        node.close(&closed);
        fits
    }

    fn set(&self, flag: &Cell<bool>, to: bool) {
        if flag.replace(to) == to {
            return;
        }
        let Holder { node, id, .. } = &self.holder;
        match self.is_busy() {
            true => node.state().memory.pause(*id),
            false => node.state().memory.resume(*id, now()),
        }
    }
}

/// Guard for a request in flight on a connection.
pub(in crate::serving) struct RunningRequest(Rc<Activity>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.head.set(0);
        self.0.count_head();
        self.0.set(&self.0.running, false);
    }
}

/// The body of a response, with the guard of its request.
pub(in crate::serving) struct GuardedBody {
    body: ResponseBody,
    _running: RunningRequest,
}

impl GuardedBody {
    pub(in crate::serving) fn new(body: ResponseBody, running: RunningRequest) -> Self {
        Self {
            body,
            _running: running,
        }
    }
}

impl Body for GuardedBody {
    type Data = <ResponseBody as Body>::Data;
    type Error = <ResponseBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection whose reads are small, and whose blocked writes are known to the account.
pub(in crate::serving) struct TrackedStream {
    stream: SharedStream,
    activity: Rc<Activity>,
}

impl TrackedStream {
    pub(in crate::serving) fn new(stream: SharedStream, activity: Rc<Activity>) -> Self {
        Self { stream, activity }
    }

    fn record<T>(&self, written: Poll<T>) -> Poll<T> {
        let blocked = &self.activity.blocked;
        self.activity.set(blocked, written.is_pending());
        if written.is_ready() {
            self.activity.written.set(Some(now()));
        }
        written
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let most = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
        Poll::Ready(self.activity.record_read(read))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
