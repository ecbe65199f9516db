//! Bounds what an upstream may send before the head of a response is complete.
//!
//! hyper bounds the size of one head, but skips interim responses (1xx) as long as they come.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::delivery::Delivery;

/// Bytes that may be read before the head of a response is complete. What follows the head in the
/// same read is among them.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Marks a connection whose reads are not bounded.
const UNBOUNDED: usize = usize::MAX;

/// The bytes that may still be read from a connection; clones share them.
#[derive(Clone, Debug)]
pub(super) struct Allowance(Arc<AtomicUsize>);

impl Default for Allowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)))
    }
}

impl Allowance {
    /// Ends the bound, as the head of a response is complete.
    pub(super) fn lift(&self) {
        self.0.store(UNBOUNDED, Ordering::Relaxed);
    }

    /// Sets the bound again, for the next response.
    pub(super) fn renew(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Takes bytes that were read; fails if they are too many.
    fn take(&self, bytes: usize) -> io::Result<()> {
        let take = |left: usize| match left {
            UNBOUNDED => Some(UNBOUNDED),
            left => left.checked_sub(bytes),
        };
        let taken = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        let too_long = |_| {
            let text = format!("expected the head of a response within {MAX_HEAD_BYTES} bytes");
            io::Error::new(io::ErrorKind::InvalidData, text)
        };
        taken.map(|_| ()).map_err(too_long)
    }
}

/// A connection whose reads fail once its allowance is used up, and which knows what of a request was
/// delivered.
pub(super) struct BoundedStream {
    stream: TcpStream,
    allowance: Allowance,
    delivery: Delivery,
}

impl BoundedStream {
    pub(super) fn new(stream: TcpStream, allowance: Allowance, delivery: Delivery) -> Self {
        Self {
            stream,
            allowance,
            delivery,
        }
    }

    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.delivery.record_write(written.is_pending());
        written
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - before;
        if read == 0 && has_room {
            self.delivery.record_end(&self.stream);
        }
        Poll::Ready(self.allowance.take(read))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The connection ends when it is closed, which resets it. An end in order before that
        // would be delivered with all that was sent.
        Poll::Ready(Ok(()))
    }
}
