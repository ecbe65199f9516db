//! Server-sent events of an engine: cut into whole events, each one checked.

use std::borrow::Cow;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;

use super::ExpectedIdentity;
use super::TokenUsage;

/// The longest event; a token with its frame is some hundred bytes.
const MAX_EVENT: usize = 256 << 10;

/// What is wrong with a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamFault {
    /// An event is another request's or model's, or its index is not the next.
    Identity(&'static str),
    /// An event is not of the published form.
    Malformed(String),
}

/// Cuts pieces of a body into runs of whole events, without copying events
/// that came in one piece.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

impl EventSplitter {
    /// Takes the next piece; gives all whole events up to its end.
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
    /// When an event is longer than 256 KiB.
    pub fn push(&mut self, mut piece: Bytes) -> Result<Bytes, StreamFault> {
        if self.rest.is_empty() {
            let whole = piece.split_to(last_end(&piece));
            self.keep(&piece)?;
            return Ok(whole);
        }
        self.keep(&piece)?;
        let end = last_end(&self.rest);
        Ok(self.rest.split_to(end).freeze())
    }

    /// Whether no event is begun.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Forgets the beginning of an event that broke off.
    pub fn reset(&mut self) {
        self.rest.clear();
    }

    fn keep(&mut self, piece: &[u8]) -> Result<(), StreamFault> {
        if self.rest.len() + piece.len() > MAX_EVENT {
            return Err(StreamFault::Malformed("an event is too long".to_owned()));
        }
        self.rest.extend_from_slice(piece);
        Ok(())
    }
}

/// Where the last whole event ends.
fn last_end(b: &[u8]) -> usize {
    b.windows(2)
        .rposition(|w| w == b"\n\n")
        .map_or(0, |at| at + 2)
}

#[derive(Deserialize)]
struct Token<'a> {
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

/// What a run of events brought.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Tokens in it.
    pub tokens: u64,
    /// The upstream's own count, with the last token.
    pub usage: Option<TokenUsage>,
    /// Whether the stream is complete.
    pub done: bool,
}

/// Checks the events of one stream, over resumed connections too.
#[derive(Debug, Default)]
pub struct StreamChecker {
    next: u64,
    finished: bool,
}

impl StreamChecker {
    /// The index of the next token, at which a broken stream is resumed.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Checks a run of whole events.
    ///
    /// # Errors
    ///
    /// The first event that is not the expected next one; nothing of the run
    /// may be passed on then.
    pub fn check(
        &mut self,
        run: &[u8],
        expected: &ExpectedIdentity,
    ) -> Result<Progress, StreamFault> {
        let mut progress = Progress::default();
        let mut rest = run;
        while let Some(end) = rest.windows(2).position(|w| w == b"\n\n") {
            self.check_one(&rest[..end], expected, &mut progress)?;
            rest = &rest[end + 2..];
        }
        Ok(progress)
    }

    fn check_one(
        &mut self,
        event: &[u8],
        expected: &ExpectedIdentity,
        progress: &mut Progress,
    ) -> Result<(), StreamFault> {
        if event.is_empty() || event.starts_with(b":") {
            return Ok(());
        }
        if progress.done {
            return Err(StreamFault::Malformed("an event after [DONE]".to_owned()));
        }
        let data = event
            .strip_prefix(b"data: ")
            .ok_or_else(|| StreamFault::Malformed("an event without data".to_owned()))?;
        if data == b"[DONE]" {
            progress.done = true;
            return match self.finished {
                true => Ok(()),
                false => Err(StreamFault::Malformed(
                    "[DONE] before the last token".to_owned(),
                )),
            };
        }
        let token: Token<'_> =
            serde_json::from_slice(data).map_err(|e| StreamFault::Malformed(e.to_string()))?;
        self.check_token(&token, expected)?;
        self.next += 1;
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
        token: &Token<'_>,
        expected: &ExpectedIdentity,
    ) -> Result<(), StreamFault> {
        if token.id != expected.request {
            return Err(StreamFault::Identity("request"));
        }
        if token.model != expected.model {
            return Err(StreamFault::Identity("model"));
        }
        if token.token_index != self.next || self.finished {
            return Err(StreamFault::Identity("token index"));
        }
        Ok(())
    }
}
