//! Closes a connection without a reset.
//!
//! The system resets a connection that is closed with unread bytes, and drops what it has not
//! delivered: the end of a response that its caller reads slowly. So what the caller still sends is
//! read before.

use std::cell::RefCell;
use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Longest time for which a connection is read after its last response.
pub(in crate::serving) const LINGER_TIME: Duration = Duration::from_secs(1);

/// Bytes that are read at a time, and dropped.
const DROPPED_BYTES: usize = 4 << 10;

/// A connection that outlives the server that serves it.
#[derive(Clone)]
pub(in crate::serving) struct SharedStream(Rc<RefCell<TcpStream>>);

impl SharedStream {
    pub(in crate::serving) fn new(stream: TcpStream) -> Self {
        Self(Rc::new(RefCell::new(stream)))
    }

    /// Ends the sending, and reads until the peer has closed its side or `LINGER_TIME` is over.
    /// Must be the last one that holds the connection.
    pub(in crate::serving) async fn close(self) {
        let Some(stream) = Rc::into_inner(self.0) else {
            return;
        };
        let mut stream = stream.into_inner();
        // The peer may have reset it.
        if stream.shutdown().await.is_err() {
            return;
        }
        let mut dropped = vec![0; DROPPED_BYTES];
        let until_closed =
            async { while matches!(stream.read(&mut dropped).await, Ok(read) if read > 0) {} };
        tokio::time::timeout(LINGER_TIME, until_closed).await.ok();
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(cx, buf)
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(cx)
    }
}
