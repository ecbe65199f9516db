//! A request body made of several buffers, so that replacing a field copies nothing
//! else.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::delivery::Delivery;

/// A body of known length in several buffers.
///
/// ```
/// use banyangauge::upstream::BodyChunks;
/// let p = BodyChunks::new(["ab".into(), "".into(), "c".into()]);
/// assert_eq!(p.len(), 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BodyChunks {
    chunks: VecDeque<Bytes>,
    delivery: Option<Delivery>,
}

impl BodyChunks {
    /// Joins buffers without copying them; empty ones are left out.
    pub fn new(chunks: impl IntoIterator<Item = Bytes>) -> Self {
        Self {
            chunks: chunks.into_iter().filter(|c| !c.is_empty()).collect(),
            delivery: None,
        }
    }

    /// Has `delivery` know when all of the body was taken.
    pub(super) fn track(&mut self, delivery: &Delivery) {
        delivery.begin(!self.is_empty());
        self.delivery = Some(delivery.clone());
    }

    /// Returns the length of the body, in bytes.
    pub fn len(&self) -> usize {
        self.chunks.iter().map(Bytes::len).sum()
    }

    /// Returns whether no bytes are left to send.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
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
        let chunk = self.chunks.pop_front();
        if let (true, Some(delivery)) = (self.chunks.is_empty(), &self.delivery) {
            delivery.record_taken();
        }
        Poll::Ready(chunk.map(|c| Ok(Frame::data(c))))
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len() as u64)
    }
}
