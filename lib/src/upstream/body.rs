//! A request body made of views, so that a changed field copies nothing else.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// A body of known length in several views.
///
/// ```
/// use banyangauge::upstream::BodyChunks;
/// let p = BodyChunks::new(["ab".into(), "".into(), "c".into()]);
/// assert_eq!(p.len(), 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BodyChunks {
    parts: VecDeque<Bytes>,
}

impl BodyChunks {
    /// Joins views without copying them; empty ones are left out.
    pub fn new(parts: impl IntoIterator<Item = Bytes>) -> Self {
        Self {
            parts: parts.into_iter().filter(|p| !p.is_empty()).collect(),
        }
    }

    /// Bytes in all views.
    pub fn len(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}

impl From<Bytes> for BodyChunks {
    fn from(b: Bytes) -> Self {
        Self::new([b])
    }
}

impl Body for BodyChunks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.parts.pop_front().map(|p| Ok(Frame::data(p))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len() as u64)
    }
}
