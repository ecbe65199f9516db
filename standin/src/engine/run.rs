//! Completions: whole, streamed, resumed.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde_json::json;

use super::Engine;
use super::state::JobSpec;
use super::state::NotRun;
use super::state::Reading;
use crate::history::first_word;
use crate::http;
use crate::http::Body;
use crate::http::Cut;
use crate::http::Reply;
use crate::text;
use crate::text::Answer;

/// Tokens when the request names no limit.
const TOKENS_DEFAULT: u32 = 64;

/// The identity that a crossed answer carries.
const CROSSED_REQUEST: &str = "another-request";

/// The model that a crossed answer carries.
const CROSSED_MODEL: &str = "another-adapter@7";

#[derive(Deserialize)]
struct RunBody {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i32,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

impl RunBody {
    /// The prompt, or the messages' contents one a line.
    fn text(&mut self) -> String {
        if self.messages.is_empty() {
            return std::mem::take(&mut self.prompt);
        }
        let parts: Vec<&str> = self.messages.iter().map(|m| m.content.as_str()).collect();
        parts.join("\n")
    }
}

/// How this answer is to be spoilt.
#[derive(Clone, Copy, Debug, Default)]
struct Spoilt {
    before: bool,
    after: Option<u32>,
    crossed: bool,
    late: Duration,
}

/// A reader that tells the engine when it goes away.
struct Reader {
    engine: Arc<Engine>,
    reading: Reading,
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        state.leave(self.reading.job, self.reading.incarnation);
    }
}

/// What an answer says about itself.
struct Voice {
    request: String,
    model: String,
    chat: bool,
    answer: Answer,
    prompt_tokens: u32,
}

pub(super) async fn run(engine: Arc<Engine>, request: Request<Incoming>, chat: bool) -> Reply {
    let id = http::header(&request, "x-request-id").to_owned();
    let key = http::header(&request, "idempotency-key").to_owned();
    let from = http::header(&request, "x-resume-from").parse::<u32>().ok();
    let bytes = http::read_body(request.into_body()).await?;
    let Ok(mut body) = serde_json::from_slice::<RunBody>(&bytes) else {
        return Ok(http::error_reply(StatusCode::BAD_REQUEST, "bad_request"));
    };
    let prompt = body.text();
    let most = body.max_tokens.unwrap_or(TOKENS_DEFAULT);
    let answer = Answer::new(&body.model, &prompt, most);
    let (reading, spoilt) = {
        let mut state = engine.lock();
        let marker = &state.faults.crash_on;
        let spec = JobSpec {
            request: id,
            call: first_word(&prompt),
            priority: body.priority,
            hash: answer.hash,
            total: answer.total,
            prompt_tokens: text::prompt_tokens(&prompt),
            prefix: text::prefix_hash(&body.model, &prompt),
            crashes: !marker.is_empty() && prompt.contains(marker.as_str()),
            done: 0,
            model: body.model,
        };
        let kept = match from {
            Some(_) => state.resume(&spec.request),
            None => None,
        };
        let reading = match kept {
            Some(reading) => Ok(reading),
            None if from.is_some() => return Ok(unknown_stream()),
            None => state.admit(spec, &key),
        };
        (reading, spoil(&mut state.faults))
    };
    let reading = match reading {
        Ok(reading) => reading,
        Err(why) => return Ok(not_run(why)),
    };
    engine.wake.notify_one();
    let voice = Voice::new(&reading, chat, spoilt.crossed);
    let mut reader = Reader { engine, reading };
    if !body.stream || spoilt.before {
        wait_whole(&mut reader).await?;
    }
    // Even a sleep of zero waits for the timer's next millisecond.
    if !spoilt.late.is_zero() {
        tokio::time::sleep(spoilt.late).await;
    }
    if spoilt.before {
        return Err(Cut);
    }
    Ok(match body.stream {
        true => stream_reply(voice, reader, from.unwrap_or(0), spoilt.after),
        false if spoilt.after.is_some() => return Err(Cut),
        false => whole_reply(&voice, reader.reading.incarnation),
    })
}

fn spoil(faults: &mut super::state::Faults) -> Spoilt {
    let before = http::take_one(&mut faults.drop_before);
    let after = http::take_one(&mut faults.drop_next).then_some(faults.drop_after);
    Spoilt {
        before,
        after,
        crossed: http::take_one(&mut faults.cross_next),
        late: Duration::from_millis(faults.late_ms),
    }
}

fn unknown_stream() -> Response<Body> {
    http::error_reply(StatusCode::NOT_FOUND, "unknown_request")
}

fn not_run(why: NotRun) -> Response<Body> {
    match why {
        NotRun::NotLoaded => http::error_reply(StatusCode::NOT_FOUND, "model_not_found"),
        NotRun::Full => http::error_reply(StatusCode::TOO_MANY_REQUESTS, "engine_full"),
        NotRun::Leaving => http::error_reply(StatusCode::SERVICE_UNAVAILABLE, "draining"),
    }
}

async fn wait_whole(reader: &mut Reader) -> Result<(), Cut> {
    let done = reader.reading.progress.wait_for(|p| p.whole).await;
    match done {
        // A crash ends a job early.
        Ok(p) if p.done >= reader.reading.spec.total => Ok(()),
        _ => Err(Cut),
    }
}

impl Voice {
    fn new(reading: &Reading, chat: bool, crossed: bool) -> Self {
        let spec = &reading.spec;
        let (request, model, hash) = match crossed {
            true => (CROSSED_REQUEST, CROSSED_MODEL, !spec.hash),
            false => (spec.request.as_str(), spec.model.as_str(), spec.hash),
        };
        Self {
            request: request.to_owned(),
            model: model.to_owned(),
            chat,
            answer: Answer {
                hash,
                total: spec.total,
            },
            prompt_tokens: spec.prompt_tokens,
        }
    }

    /// Appends the event of one token; words are hexadecimal, so that nothing
    /// in them needs an escape.
    fn push_event(&self, index: u32, out: &mut String) {
        let last = index + 1 == self.answer.total;
        let _ = write!(
            out,
            r#"data: {{"id":"{}","model":"{}","token_index":{index},"choices":[{{"index":0,"#,
            self.request, self.model
        );
        out.push_str(match self.chat {
            true => r#""delta":{"content":""#,
            false => r#""text":""#,
        });
        self.answer.push_token(index, out);
        out.push_str(match self.chat {
            true => r#""}"#,
            false => "\"",
        });
        match last {
            true => {
                let _ = write!(
                    out,
                    r#","finish_reason":"stop"}}],"usage":{{"prompt_tokens":{},"completion_tokens":{}}}}}"#,
                    self.prompt_tokens, self.answer.total
                );
            }
            false => out.push_str(r#","finish_reason":null}]}"#),
        }
        out.push_str("\n\n");
    }

    fn reply(&self, incarnation: u64, kind: &'static str, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static(kind));
        headers.insert(
            HeaderName::from_static("x-engine-incarnation"),
            HeaderValue::from(incarnation),
        );
        for (name, value) in [
            ("x-request-id", &self.request),
            ("x-served-model", &self.model),
        ] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        }
        response
    }
}

fn whole_reply(voice: &Voice, incarnation: u64) -> Response<Body> {
    let text = voice.answer.text();
    let choice = match voice.chat {
        true => json!({"index": 0, "message": {"role": "assistant", "content": text},
            "finish_reason": "stop"}),
        false => json!({"index": 0, "text": text, "finish_reason": "stop"}),
    };
    let body = json!({
        "id": voice.request,
        "model": voice.model,
        "choices": [choice],
        "usage": {"prompt_tokens": voice.prompt_tokens, "completion_tokens": voice.answer.total},
    });
    let bytes = body.to_string().into_bytes();
    voice.reply(
        incarnation,
        "application/json",
        Body::Whole(Some(bytes.into())),
    )
}

struct Streaming {
    voice: Voice,
    reader: Reader,
    sent: u32,
    cut_at: Option<u32>,
    ended: bool,
}

fn stream_reply(voice: Voice, reader: Reader, from: u32, cut: Option<u32>) -> Response<Body> {
    let incarnation = reader.reading.incarnation;
    let head = voice.reply(incarnation, "text/event-stream", Body::Whole(None));
    let streaming = Streaming {
        voice,
        reader,
        sent: from,
        cut_at: cut.map(|n| from + n),
        ended: false,
    };
    let pieces = stream::unfold(streaming, next_piece);
    head.map(|_| Body::Stream(Box::pin(pieces)))
}

/// The tokens that are there and not yet sent.
async fn next_piece(mut s: Streaming) -> Option<(Result<Bytes, Cut>, Streaming)> {
    if s.ended {
        return None;
    }
    let total = s.voice.answer.total;
    loop {
        if s.cut_at.is_some_and(|n| s.sent >= n) {
            s.ended = true;
            // A pending body makes the connection write out what it holds.
            tokio::task::yield_now().await;
            return Some((Err(Cut), s));
        }
        let progress = *s.reader.reading.progress.borrow_and_update();
        let until = progress.done.min(s.cut_at.unwrap_or(total));
        if s.sent < until || progress.done >= total {
            let mut out = String::with_capacity(192 * (until.saturating_sub(s.sent)) as usize);
            for index in s.sent..until {
                s.voice.push_event(index, &mut out);
            }
            s.sent = s.sent.max(until);
            if until >= total {
                out.push_str("data: [DONE]\n\n");
                s.ended = true;
            }
            return Some((Ok(Bytes::from(out)), s));
        }
        if progress.whole || s.reader.reading.progress.changed().await.is_err() {
            s.ended = true;
            return Some((Err(Cut), s));
        }
    }
}
