//! The body of a completion: what is read of it, and what is changed in it.

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

/// Bytes of the prompt's head that are hashed for prefix-cache affinity.
const PREFIX: usize = 256;

/// Bytes of prompt text that count as one token in the estimate for the owner.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens that a request may generate when it names no limit.
const DEFAULT_TOKENS: u32 = 256;

/// The fields that the entry reads; the others pass through unread.
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
    #[serde(borrow, default, deserialize_with = "present")]
    priority: Option<&'a RawValue>,
}

/// Keeps a `null` apart from a field that is not there.
fn present<'de, D: Deserializer<'de>>(d: D) -> Result<Option<&'de RawValue>, D::Error> {
    <&RawValue>::deserialize(d).map(Some)
}

/// Where a value stands in the body.
#[derive(Clone, Copy, Debug)]
struct Place {
    start: usize,
    end: usize,
}

/// A completion as its caller sent it.
#[derive(Clone, Debug)]
pub struct Completion {
    body: Bytes,
    model: String,
    model_at: Place,
    priority_at: Option<Place>,
    /// Tokens in the prompt, estimated from its length.
    pub prompt_tokens: u32,
    /// The most tokens that it may generate.
    pub max_tokens: u32,
    /// Whether the answer is a stream.
    pub stream: bool,
    /// Hash of the prompt's head.
    pub prefix: u64,
}

impl Completion {
    /// Reads the few fields that the entry needs; `chat` asks for `messages`
    /// in place of `prompt`.
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
    /// [`Code::BadRequest`] when it is not a JSON object with these fields.
    pub fn parse(body: Bytes, chat: bool) -> Result<Self, CallerError> {
        let bad = |m: String| CallerError::new(Code::BadRequest, m);
        let f: Fields<'_> = serde_json::from_slice(&body).map_err(|e| bad(e.to_string()))?;
        let model: Cow<'_, str> = serde_json::from_str::<Text<'_>>(f.model.get())
            .map_err(|_| bad("model is not a string".to_owned()))?
            .0;
        let (name, prompt) = match chat {
            true => ("messages", f.messages),
            false => ("prompt", f.prompt),
        };
        let prompt = prompt
            .ok_or_else(|| bad(format!("{name} is missing")))?
            .get();
        let kind = if chat { '[' } else { '"' };
        if !prompt.starts_with(kind) {
            return Err(bad(format!("{name} has the wrong type")));
        }
        let head = &prompt.as_bytes()[..prompt.len().min(PREFIX)];
        let max_tokens = f.max_tokens.unwrap_or(DEFAULT_TOKENS);
        if max_tokens == 0 {
            return Err(bad("max_tokens is 0, allowed are 1 or more".to_owned()));
        }
        Ok(Self {
            model: model.into_owned(),
            model_at: place(&body, f.model),
            priority_at: f.priority.map(|p| place(&body, p)),
            prompt_tokens: u32::try_from(prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
            max_tokens,
            stream: f.stream.unwrap_or(false),
            prefix: xxh3_64(head),
            body,
        })
    }

    /// The model as the caller named it.
    pub fn model(&self) -> &str {
        &self.model
    }

    /// Hash of the adapter version and the whole body.
    pub fn fingerprint(&self, adapter: &AdapterVersion) -> Fingerprint {
        let seed = xxh3_64_with_seed(
            adapter.adapter.as_str().as_bytes(),
            u64::from(adapter.version),
        );
        Fingerprint(xxh3_64_with_seed(&self.body, seed))
    }

    /// The body for the engine: `model` and `priority` replaced, the rest as
    /// views of what the caller sent.
    pub fn rewrite(&self, adapter: &AdapterVersion, priority: i32) -> BodyChunks {
        // Names hold no character that JSON escapes.
        let model = (self.model_at, Bytes::from(format!("\"{adapter}\"")));
        match self.priority_at {
            Some(at) => {
                let value = (at, Bytes::from(priority.to_string()));
                let (a, b) = match at.start < model.0.start {
                    true => (value, model),
                    false => (model, value),
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
                self.body.slice(..self.model_at.start),
                model.1,
                Bytes::from(format!(",\"priority\":{priority}")),
                self.body.slice(self.model_at.end..),
            ]),
        }
    }
}

/// A string, borrowed where it holds no escapes.
#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

/// `value` was borrowed from `body`, so the difference of their addresses is
/// its place.
fn place(body: &Bytes, value: &RawValue) -> Place {
    let start = value.get().as_ptr().addr() - body.as_ptr().addr();
    Place {
        start,
        end: start + value.get().len(),
    }
}
