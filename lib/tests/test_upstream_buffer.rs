//! Bytes that are kept while they arrive in pieces.

use banyangauge::upstream::BodyBuffer;
use banyangauge::upstream::join;
use rstest::rstest;

/// Bytes of which each differs from its neighbours.
fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

fn buffer(bytes: &[u8], piece: usize) -> BodyBuffer {
    let mut buffer = BodyBuffer::default();
    bytes.chunks(piece).for_each(|piece| buffer.push(piece));
    buffer
}

/// Pieces of one byte took thirty times their bytes and more.
#[rstest]
#[case::bytes(1)]
#[case::small(7)]
#[case::uneven(1_000)]
#[case::above_half_a_block(9_000)]
#[case::of_a_block(16 << 10)]
#[case::large(100_000)]
fn body_buffer_takes_about_its_bytes(#[case] piece: usize) {
    let bytes = bytes(300_000);
    let buffer = buffer(&bytes, piece);
    assert!(buffer.size() >= bytes.len());
    assert!(buffer.size() < bytes.len() * 11 / 10, "{}", buffer.size());
    assert_eq!(join(buffer.into_blocks()), bytes);
}

#[test]
fn body_buffer_small_body_takes_little() {
    assert!(buffer(b"body", 1).size() < 100);
    assert_eq!(BodyBuffer::default().size(), 0);
}

/// What is passed on no longer counts, and nothing is lost when more arrives meanwhile.
#[test]
fn pop_block_gives_back_in_order() {
    let bytes = bytes(50_000);
    let mut buffer = buffer(&bytes, 1_000);
    let mut taken = buffer.pop_block().unwrap().to_vec();
    assert!(buffer.size() < bytes.len());
    buffer.push(b"more");
    while let Some(block) = buffer.pop_block() {
        taken.extend_from_slice(&block);
    }
    assert_eq!(buffer.size(), 0);
    assert_eq!(taken, [&bytes[..], b"more"].concat());
}
