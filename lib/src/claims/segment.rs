//! What the platform holds of the journal.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::ids::Token;

/// Bytes of the hash that stands for a key: 128 bits, so that among the
/// journal's thousands of keys two never meet.
const KEY_BYTES: usize = 16;

/// A caller's idempotency key, hashed.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// The key for a claim text (the team and the caller's key, joined).
    ///
    /// ```
    /// use banyangauge::claims::ClaimKey;
    /// assert_eq!(ClaimKey::new("a/1"), ClaimKey::new("a/1"));
    /// assert_ne!(ClaimKey::new("a/1"), ClaimKey::new("a/2"));
    /// ```
    pub fn new(claim: &str) -> Self {
        let mut text = String::with_capacity(2 * KEY_BYTES);
        for byte in Sha256::digest(claim.as_bytes()).iter().take(KEY_BYTES) {
            // Writing to a string cannot fail.
            let _ = write!(text, "{byte:02x}");
        }
        Self(text)
    }
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// Granted; not known to have ended.
    #[serde(rename = "r")]
    Running,
    /// Its caller was given an answer.
    #[serde(rename = "a")]
    Answered,
    /// It was granted, and whether it ran is not known.
    #[serde(rename = "u")]
    Unknown,
}

impl State {
    /// The word for it on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Answered => "answered",
            Self::Unknown => "unknown",
        }
    }
}

/// The content of one journal object, `<pool>-<number>`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The owner that wrote it last.
    pub token: Token,
    /// Its place in the journal.
    pub number: u64,
    /// The write that made this content; settles a lost answer.
    pub operation: String,
    /// The claims.
    pub claims: BTreeMap<ClaimKey, State>,
}
