//! Keeps bytes that arrive in pieces.

use std::collections::VecDeque;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Size of a block in bytes.
const BLOCK_BYTES: usize = 16 << 10;

/// The bytes of a body, copied into blocks as they arrive.
///
/// A piece that hyper hands out shares the read buffer of its connection, and a list of pieces
/// takes some 30 bytes for each of them. A peer that sends pieces of one byte would have a
/// multiple of its bytes kept.
///
/// ```
/// use banyangauge::upstream::BodyBuffer;
/// let mut buffer = BodyBuffer::default();
/// for _ in 0..1_000 {
///     buffer.push(b"x");
/// }
/// assert!(buffer.size() < 2_000);
/// assert_eq!(buffer.into_blocks().len(), 1);
/// ```
#[derive(Debug, Default)]
pub struct BodyBuffer {
    blocks: VecDeque<Bytes>,
    /// The bytes of the blocks.
    complete: usize,
    last: BytesMut,
}

impl BodyBuffer {
    /// Adds a piece.
    pub fn push(&mut self, mut piece: &[u8]) {
        while !piece.is_empty() {
            let room = BLOCK_BYTES - self.last.len();
            let (now, rest) = piece.split_at(piece.len().min(room));
            let size = (self.last.len() + now.len()).next_power_of_two();
            if size > self.last.capacity() {
                // What grows by itself may end above the size of a block.
                self.last.reserve(size - self.last.len());
            }
            self.last.extend_from_slice(now);
            if self.last.len() == BLOCK_BYTES {
                self.complete_block();
            }
            piece = rest;
        }
    }

    /// Returns the bytes of memory that it takes.
    pub fn size(&self) -> usize {
        self.complete + self.last.capacity()
    }

    /// Takes the first block, complete or not.
    pub fn pop_block(&mut self) -> Option<Bytes> {
        if self.blocks.is_empty() {
            self.complete_block();
        }
        let block = self.blocks.pop_front()?;
        self.complete -= block.len();
        Some(block)
    }

    /// Returns all bytes in order, in blocks none of which is empty.
    pub fn into_blocks(mut self) -> Vec<Bytes> {
        self.complete_block();
        self.blocks.into()
    }

    /// Returns all bytes in one piece; a single block is not copied.
    pub fn into_bytes(self) -> Bytes {
        join(self.into_blocks())
    }

    fn complete_block(&mut self) {
        let block = std::mem::take(&mut self.last).freeze();
        if !block.is_empty() {
            self.complete += block.len();
            self.blocks.push_back(block);
        }
    }
}

/// Joins the blocks of a body; a single one is not copied.
pub fn join(mut blocks: Vec<Bytes>) -> Bytes {
    if blocks.len() == 1 {
        return blocks.remove(0);
    }
    let mut all = BytesMut::with_capacity(blocks.iter().map(Bytes::len).sum());
    blocks.iter().for_each(|block| all.extend_from_slice(block));
    all.freeze()
}

/// Reads a body to its end; trailers are dropped.
///
/// # Errors
///
/// Those of the body.
pub async fn collect<B>(mut body: B) -> Result<Bytes, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buffer = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        if let Ok(piece) = frame?.into_data() {
            buffer.push(&piece);
        }
    }
    Ok(buffer.into_bytes())
}
