//! The text of an answer, derived from the request, so that a caller can tell
//! whether it got the whole answer to its own request.

use std::fmt::Write;

use xxhash_rust::xxh3::xxh3_64;

/// The shortest answer that the hash chooses, in tokens.
const LENGTH_LEAST: u32 = 8;

/// How many lengths the hash chooses from.
const LENGTH_RANGE: u64 = 40;

/// Bytes of a prompt's head that make its prefix.
const PREFIX_BYTES: usize = 256;

/// The answer to one request, without the words written out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Hash of model and prompt, which the words come from.
    pub hash: u64,
    /// How many tokens it has.
    pub total: u32,
}

impl Answer {
    /// The answer of `model` (`adapter@version`) to `prompt`.
    ///
    /// A prompt that holds `len=N` gets `N` tokens, any other a number that its
    /// hash chooses; `most` caps both.
    pub fn new(model: &str, prompt: &str, most: u32) -> Self {
        let mut key = Vec::with_capacity(model.len() + prompt.len() + 1);
        key.extend_from_slice(model.as_bytes());
        key.push(0);
        key.extend_from_slice(prompt.as_bytes());
        let hash = xxh3_64(&key);
        let chosen = LENGTH_LEAST + (hash % LENGTH_RANGE) as u32;
        let total = wanted_length(prompt).unwrap_or(chosen).min(most).max(1);
        Self { hash, total }
    }

    /// Appends the token at `index`, which ends with a space.
    pub fn push_token(self, index: u32, out: &mut String) {
        let word = self
            .hash
            .rotate_left(index % 64)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .wrapping_add(u64::from(index));
        // Writing to a string cannot fail.
        let _ = write!(out, "{:05x} ", word >> 44);
    }

    /// The whole text.
    pub fn text(self) -> String {
        let mut out = String::with_capacity(self.total as usize * 6);
        for index in 0..self.total {
            self.push_token(index, &mut out);
        }
        out
    }
}

fn wanted_length(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once("len=")?;
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}

/// The whole text that an engine stand-in answers.
///
/// ```
/// use banyangauge_standin::expected_text;
/// let text = expected_text("rosters@3", "who washes? len=2", 10);
/// assert_eq!(text.split_whitespace().count(), 2);
/// assert_ne!(text, expected_text("rosters@4", "who washes? len=2", 10));
/// ```
pub fn expected_text(model: &str, prompt: &str, max_tokens: u32) -> String {
    Answer::new(model, prompt, max_tokens).text()
}

/// Tokens of a prompt: one for each four bytes, at least one.
pub fn prompt_tokens(prompt: &str) -> u32 {
    (prompt.len() / 4).max(1) as u32
}

/// Hash of a prompt's head under a model, the key of the prefix cache.
pub fn prefix_hash(model: &str, prompt: &str) -> u64 {
    let head = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    xxh3_64(head) ^ xxh3_64(model.as_bytes())
}
