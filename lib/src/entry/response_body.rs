//! The body of a response to a caller.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::stream::StreamRelay;

/// Error of a stream that cannot be completed; it resets the connection.
#[derive(Debug)]
pub(super) struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stream ended before its last event")
    }
}

impl std::error::Error for Truncated {}

/// The body of a response.
pub(super) enum ResponseBody {
    /// A complete, checked body.
    Full(Option<Bytes>),
    /// A stream, checked event by event.
    Stream(Box<StreamRelay>),
}

impl ResponseBody {
    /// Returns a complete body.
    pub(super) fn full(body: Bytes) -> Self {
        Self::Full(Some(body).filter(|b| !b.is_empty()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut *self {
            Self::Full(body) => Poll::Ready(body.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(stream) => stream.poll_chunk(cx).map(|r| r.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
