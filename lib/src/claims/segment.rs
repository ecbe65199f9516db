//! The journal objects as stored on the platform.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::ids::FencingToken;

/// Bytes of a key's hash: 128 bits, so that collisions among the journal's
/// thousands of keys are negligible.
const HASH_BYTES: usize = 16;

/// The hash of a caller's idempotency key.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Hashes a claim, which is the team and the caller's key, joined.
    ///
    /// ```
    /// use banyangauge::claims::ClaimKey;
    /// assert_eq!(ClaimKey::new("a/1"), ClaimKey::new("a/1"));
    /// assert_ne!(ClaimKey::new("a/1"), ClaimKey::new("a/2"));
    /// ```
    pub fn new(claim: &str) -> Self {
        let mut text = String::with_capacity(2 * HASH_BYTES);
        for byte in Sha256::digest(claim.as_bytes()).iter().take(HASH_BYTES) {
            // Writing to a string cannot fail.
            let _ = write!(text, "{byte:02x}");
        }
        Self(text)
    }
}

/// The state of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// Claimed; the outcome is not known yet.
    #[serde(rename = "r")]
    Running,
    /// The caller received an answer.
    #[serde(rename = "a")]
    Answered,
    /// It is not known whether the call ran.
    #[serde(rename = "u")]
    Unknown,
}

impl State {
    /// Returns the name reported to entries; segments store a single letter.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Answered => "answered",
            Self::Unknown => "unknown",
        }
    }
}

/// One segment of the journal, stored as the object `<pool>-<number>`.
///
/// Contains claimed keys with their states, but no times: a new owner starts the
/// retention of all claims again.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The fencing token of the owner that last wrote the segment.
    pub token: FencingToken,
    /// The position of the segment in the journal.
    pub number: u64,
    /// Identifies the write that stored this content, so that a writer that
    /// lost the answer can tell whether its write took effect.
    pub operation: String,
    /// The state of each claimed key.
    pub claims: BTreeMap<ClaimKey, State>,
}
