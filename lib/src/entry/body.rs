//! Parses the body of a completion and rewrites its model and priority.

use std::borrow::Cow;

use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::CallerError;
use super::Code;
use crate::ids::AdapterVersion;
use crate::ids::Fingerprint;
use crate::upstream::BodyChunks;

/// Number of leading bytes of the prompt that are hashed for prefix-cache affinity.
const PREFIX_BYTES: usize = 256;

/// Bytes of prompt text per token, for the estimate that is sent to the owner.
const BYTES_PER_TOKEN: usize = 4;

/// Default limit of the tokens that a request may generate.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The fields that the entry reads; all others are passed on as they are.
#[derive(Deserialize)]
struct Fields<'a> {
    #[serde(borrow)]
    model: &'a RawValue,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    max_tokens: Option<u32>,
    stream: Option<bool>,
    #[serde(borrow, default, deserialize_with = "some_if_present")]
    priority: Option<&'a RawValue>,
}

/// Distinguishes `null` from a missing field.
fn some_if_present<'de, D: Deserializer<'de>>(d: D) -> Result<Option<&'de RawValue>, D::Error> {
    <&RawValue>::deserialize(d).map(Some)
}

/// Byte range of a value in the body.
#[derive(Clone, Copy, Debug)]
struct ByteRange {
    start: usize,
    end: usize,
}

/// A completion request as its caller sent it.
#[derive(Clone, Debug)]
pub struct Completion {
    body: Bytes,
    model: String,
    model_range: ByteRange,
    priority_range: Option<ByteRange>,
    /// Number of tokens in the prompt, estimated from its length.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the caller asked for a stream.
    pub stream: bool,
    /// Hash of the first `PREFIX_BYTES` of the prompt.
    pub prefix: u64,
}

impl Completion {
    /// Parses the fields that the entry needs. With `chat`, the prompt is read from
    /// `messages` instead of `prompt`.
    ///
    /// ```
    /// use banyangauge::entry::Completion;
    /// let body = br#"{"model":"rosters@3","prompt":"Who is on?","stream":true}"#;
    /// let c = Completion::parse(body.to_vec().into(), false).unwrap();
    /// assert_eq!((c.model(), c.stream), ("rosters@3", true));
    /// ```
    ///
    /// # Errors
    ///
    /// [`Code::BadRequest`] if the body is not a JSON object with valid fields.
    pub fn parse(body: Bytes, chat: bool) -> Result<Self, CallerError> {
        let bad = |m: String| CallerError::new(Code::BadRequest, m);
        let f: Fields<'_> = serde_json::from_slice(&body).map_err(|e| bad(e.to_string()))?;
        let model: Cow<'_, str> = serde_json::from_str::<Text<'_>>(f.model.get())
            .map_err(|_| bad("model must be a string".to_owned()))?
            .0;
        let (name, prompt) = match chat {
            true => ("messages", f.messages),
            false => ("prompt", f.prompt),
        };
        let prompt = prompt
            .ok_or_else(|| bad(format!("missing field {name}")))?
            .get();
        let first_char = if chat { '[' } else { '"' };
        if !prompt.starts_with(first_char) {
            return Err(bad(format!("{name} has the wrong type")));
        }
        let prompt_prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let max_tokens = f.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 {
            return Err(bad("max_tokens must be at least 1, got 0".to_owned()));
        }
        Ok(Self {
            model: model.into_owned(),
            model_range: range_in(&body, f.model),
            priority_range: f.priority.map(|p| range_in(&body, p)),
            prompt_tokens: u32::try_from(prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
            max_tokens,
            stream: f.stream.unwrap_or(false),
            prefix: xxh3_64(prompt_prefix),
            body,
        })
    }

    /// Returns the model as the caller named it.
    pub fn model(&self) -> &str {
        &self.model
    }

    /// Returns a hash of the adapter version and the whole body.
    pub fn fingerprint(&self, adapter: &AdapterVersion) -> Fingerprint {
        let seed = xxh3_64_with_seed(
            adapter.adapter.as_str().as_bytes(),
            u64::from(adapter.version),
        );
        Fingerprint(xxh3_64_with_seed(&self.body, seed))
    }

    /// Returns the body for the engine with `model` and `priority` replaced; the
    /// rest shares the caller's buffer.
    pub fn rewrite(&self, adapter: &AdapterVersion, priority: i32) -> BodyChunks {
        // Adapter names contain no characters that JSON escapes.
        let new_model = (self.model_range, Bytes::from(format!("\"{adapter}\"")));
        match self.priority_range {
            Some(range) => {
                let new_priority = (range, Bytes::from(priority.to_string()));
                let (a, b) = match range.start < new_model.0.start {
                    true => (new_priority, new_model),
                    false => (new_model, new_priority),
                };
                BodyChunks::new([
                    self.body.slice(..a.0.start),
                    a.1,
                    self.body.slice(a.0.end..b.0.start),
                    b.1,
                    self.body.slice(b.0.end..),
                ])
            }
            None => BodyChunks::new([
                self.body.slice(..self.model_range.start),
                new_model.1,
                Bytes::from(format!(",\"priority\":{priority}")),
                self.body.slice(self.model_range.end..),
            ]),
        }
    }
}

/// A string, borrowed if it contains no escapes.
#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

/// Returns the range of `value`, which must be borrowed from `body`: its offset is
/// the difference of the addresses.
fn range_in(body: &Bytes, value: &RawValue) -> ByteRange {
    let start = value.get().as_ptr().addr() - body.as_ptr().addr();
    ByteRange {
        start,
        end: start + value.get().len(),
    }
}
