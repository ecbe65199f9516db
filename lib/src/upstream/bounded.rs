//! Checks the bytes of a response until its head is complete, and counts those that follow.
//!
//! hyper bounds the size of one head, but skips interim responses (1xx) as long as they come. It
//! also takes a lone LF for the end of a line: one in place of another byte may end the head early,
//! and the rest of the head becomes the body.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::delivery::Delivery;
use super::head::HeadFault;

/// Bytes that may be read before the head of a response is complete. What follows the head in the
/// same read is among them.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Position in the status line of the digit that tells an interim response from others.
const CLASS_POSITION: usize = "HTTP/1.1 ".len();

/// What is known of the bytes of a response, above all until its head is complete; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadBytes(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    /// The bytes that may still be read; `None` once the head is complete.
    allowance: Option<usize>,
    lines: Lines,
    /// Why the bytes are no head.
    fault: Option<HeadFault>,
    /// The bytes that were read, of the head and behind it.
    read: u64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            allowance: Some(MAX_HEAD_BYTES),
            lines: Lines::default(),
            fault: None,
            read: 0,
        }
    }
}

impl HeadBytes {
    /// Ends the checks, as the head of a response is complete.
    pub(super) fn complete(&self) {
        self.state().allowance = None;
    }

    /// Begins again, for the next response.
    pub(super) fn renew(&self) {
        *self.state() = State::default();
    }

    /// Returns why the bytes that were read are no head, if they are none.
    pub(super) fn fault(&self) -> Option<HeadFault> {
        self.state().fault.clone()
    }

    /// Returns how many bytes were read behind the head of the response.
    pub(super) fn body_bytes(&self) -> u64 {
        let state = self.state();
        state.read - state.lines.size
    }

    /// Takes bytes that were read; fails if they are too many, or no head.
    fn take(&self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.read += bytes.len() as u64;
        let Some(left) = state.allowance else {
            return Ok(());
        };
        let Some(left) = left.checked_sub(bytes.len()) else {
            let text = format!("expected the head of a response within {MAX_HEAD_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        };
        state.allowance = Some(left);
        state.lines.read(bytes).map_err(|fault| {
            state.fault = Some(fault.clone());
            io::Error::new(io::ErrorKind::InvalidData, fault)
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Position in the lines of a head, and of the interim ones before it.
#[derive(Debug, Default)]
struct Lines {
    /// Bytes of all lines so far.
    size: u64,
    /// Bytes of the present line.
    length: usize,
    last: u8,
    has_status_line: bool,
    is_interim: bool,
    is_complete: bool,
}

impl Lines {
    /// Reads the next bytes, as far as they are of the head; fails if a line ends with a lone LF.
    fn read(&mut self, bytes: &[u8]) -> Result<(), HeadFault> {
        for byte in bytes {
            if self.is_complete {
                break;
            }
            self.size += 1;
            match (self.last, *byte) {
                (b'\r', b'\n') => self.end_line(),
                (_, b'\n') => return Err(HeadFault::LoneLf),
                (_, byte) => {
                    if !self.has_status_line && self.length == CLASS_POSITION {
                        self.is_interim = byte == b'1';
                    }
                    self.length += 1;
                }
            }
            self.last = *byte;
        }
        Ok(())
    }

    fn end_line(&mut self) {
        let is_empty = self.length == "\r".len();
        if !is_empty {
            self.has_status_line = true;
        } else if self.has_status_line {
            self.is_complete = !self.is_interim;
            self.has_status_line = false;
        }
        self.length = 0;
    }
}

/// A connection whose reads fail if they are no head where one is expected, and which knows what of a
/// request was delivered.
pub(super) struct BoundedStream {
    stream: TcpStream,
    head: HeadBytes,
    delivery: Delivery,
}

impl BoundedStream {
    pub(super) fn new(stream: TcpStream, head: HeadBytes, delivery: Delivery) -> Self {
        Self {
            stream,
            head,
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
        let read = &buffer.filled()[before..];
        if read.is_empty() && has_room {
            self.delivery.record_end(&self.stream);
        }
        Poll::Ready(self.head.take(read))
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
