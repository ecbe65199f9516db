//! The body of an answer to a caller.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::stream::StreamRelay;

/// A stream that cannot be finished; its connection is reset.
#[derive(Debug)]
pub(super) struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stream could not be finished")
    }
}

impl std::error::Error for Truncated {}

/// The body of an answer.
pub(super) enum ResponseBody {
    /// All of it, checked.
    Whole(Option<Bytes>),
    /// A stream, checked event by event.
    Stream(Box<StreamRelay>),
}

impl ResponseBody {
    /// A body that is there.
    pub(super) fn whole(body: Bytes) -> Self {
        Self::Whole(Some(body).filter(|b| !b.is_empty()))
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
            Self::Whole(body) => Poll::Ready(body.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(passing) => passing.poll_pass(cx).map(|r| r.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
