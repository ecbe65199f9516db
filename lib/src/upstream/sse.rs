//! Splits an engine's stream into server-sent events and checks each of them.

use std::borrow::Cow;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;

use super::ExpectedIdentity;
use super::TokenUsage;

/// Maximum size of an event; the event of a token is a few hundred bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Error in the content of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamFault {
    /// An event belongs to another request or model, or is not the next token.
    Identity(&'static str),
    /// An event does not match the published format.
    Malformed(String),
}

/// Splits the chunks of a body at event boundaries, without copying events that came
/// in one chunk.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The beginning of an incomplete event.
    partial: BytesMut,
}

impl EventSplitter {
    /// Adds a chunk and returns the complete events up to its end.
    ///
    /// ```
    /// use banyangauge::upstream::EventSplitter;
    /// let mut s = EventSplitter::default();
    /// assert_eq!(s.push("data: 1\n\ndata".into()).unwrap(), "data: 1\n\n");
    /// assert_eq!(s.push(": 2\n\n".into()).unwrap(), "data: 2\n\n");
    /// ```
    ///
    /// # Errors
    ///
    /// If an event is longer than 256 KiB.
    pub fn push(&mut self, mut chunk: Bytes) -> Result<Bytes, StreamFault> {
        if self.partial.is_empty() {
            let complete = chunk.split_to(last_event_end(&chunk));
            self.append(&chunk)?;
            return Ok(complete);
        }
        // What was kept holds no end, but may end with half of one.
        let searched = self.partial.len() - 1;
        self.append(&chunk)?;
        let end = match last_event_end(&self.partial[searched..]) {
            0 => 0,
            end => searched + end,
        };
        Ok(self.partial.split_to(end).freeze())
    }

    /// Returns whether there is no incomplete event.
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns the bytes of memory that the incomplete event takes.
    pub fn size(&self) -> usize {
        match self.partial.is_empty() {
            true => 0,
            false => self.partial.capacity(),
        }
    }

    /// Discards the incomplete event, before a stream is resumed.
    pub fn reset(&mut self) {
        self.partial = BytesMut::new();
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), StreamFault> {
        if self.partial.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(StreamFault::Malformed(format!(
                "an event is longer than {MAX_EVENT_BYTES} bytes"
            )));
        }
        self.partial.extend_from_slice(bytes);
        Ok(())
    }
}

/// Returns the end of the last complete event; 0 if there is none.
fn last_event_end(b: &[u8]) -> usize {
    b.windows(2)
        .rposition(|w| w == b"\n\n")
        .map_or(0, |at| at + 2)
}

#[derive(Deserialize)]
struct TokenEvent<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    model: Cow<'a, str>,
    token_index: u64,
    choices: Vec<Choice>,
    usage: Option<TokenUsage>,
}

#[derive(Deserialize)]
struct Choice {
    finish_reason: Option<serde::de::IgnoredAny>,
}

/// What checked events contain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Number of tokens.
    pub tokens: u64,
    /// Token usage as counted by the upstream, sent with the last token.
    pub usage: Option<TokenUsage>,
    /// Whether the stream is complete.
    pub done: bool,
}

/// Checks the events of one stream, also across resumptions.
#[derive(Debug, Default)]
pub struct StreamChecker {
    next_index: u64,
    /// Whether the last token was read.
    finished: bool,
}

impl StreamChecker {
    /// Returns the index of the next token, from which a broken stream is resumed.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Checks complete events.
    ///
    /// # Errors
    ///
    /// The fault of the first event that is not the expected next one. None of
    /// `events` may then be passed on.
    pub fn check(
        &mut self,
        events: &[u8],
        expected: &ExpectedIdentity,
    ) -> Result<Progress, StreamFault> {
        let mut progress = Progress::default();
        let mut rest = events;
        while let Some(end) = rest.windows(2).position(|w| w == b"\n\n") {
            self.check_event(&rest[..end], expected, &mut progress)?;
            rest = &rest[end + 2..];
        }
        Ok(progress)
    }

    fn check_event(
        &mut self,
        event: &[u8],
        expected: &ExpectedIdentity,
        progress: &mut Progress,
    ) -> Result<(), StreamFault> {
        if event.is_empty() || event.starts_with(b":") {
            return Ok(());
        }
        if progress.done {
            return Err(StreamFault::Malformed("event after [DONE]".to_owned()));
        }
        let data = event.strip_prefix(b"data: ").ok_or_else(|| {
            StreamFault::Malformed("event does not start with \"data: \"".to_owned())
        })?;
        if data == b"[DONE]" {
            progress.done = true;
            return match self.finished {
                true => Ok(()),
                false => Err(StreamFault::Malformed(
                    "[DONE] before the last token".to_owned(),
                )),
            };
        }
        let token: TokenEvent<'_> =
            serde_json::from_slice(data).map_err(|e| StreamFault::Malformed(e.to_string()))?;
        self.check_token(&token, expected)?;
        self.next_index += 1;
        self.finished = token
            .choices
            .first()
            .is_some_and(|c| c.finish_reason.is_some());
        progress.tokens += 1;
        progress.usage = token.usage.or(progress.usage);
        Ok(())
    }

    fn check_token(
        &self,
        token: &TokenEvent<'_>,
        expected: &ExpectedIdentity,
    ) -> Result<(), StreamFault> {
        if token.id != expected.request {
            return Err(StreamFault::Identity("request"));
        }
        if token.model != expected.model {
            return Err(StreamFault::Identity("model"));
        }
        if token.token_index != self.next_index || self.finished {
            return Err(StreamFault::Identity("token index"));
        }
        Ok(())
    }
}
