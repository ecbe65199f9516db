//! One caller: sends a request, reads its answer and judges it.

use std::net::SocketAddr;

use banyangauge_standin::expected_text;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::request::Builder;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use super::profile::Work;

/// What became of a request, as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The whole, right answer came.
    Answered,
    /// Refused, and said not to have run; the error's code.
    Refused(String),
    /// Its outcome is said to be unknown; the error's code.
    Unknown(String),
    /// The answer is another request's, adapter's or version's.
    Wrong(String),
    /// No connection could be made, so that nothing was sent.
    Unreachable(String),
    /// There is no final answer, or it is truncated and does not say so.
    Lost(String),
}

/// A caller of one address, over kept connections.
#[derive(Clone, Debug)]
pub struct Caller {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// A caller of `address`; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { address, client }
    }

    /// Sends a request and reads its answer to the end. Gives also when its
    /// first byte came.
    pub async fn send(
        &self,
        work: &Work,
        key: &str,
        deadline_ms: u64,
    ) -> (Verdict, Option<Instant>) {
        let Ok(request) = self.request(work, key, deadline_ms) else {
            return (Verdict::Lost("the request cannot be built".into()), None);
        };
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(e) if e.is_connect() => {
                return (Verdict::Unreachable(error_chain(&e)), None);
            }
            Err(e) => return (Verdict::Lost(error_chain(&e)), None),
        };
        let (answer, first) = Answer::read(response).await;
        (answer.judge(work), first)
    }

    fn request(
        &self,
        work: &Work,
        key: &str,
        deadline_ms: u64,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let (mut builder, body) = match work {
            Work::Completion { .. } => self.completion(work),
            Work::Call {
                method,
                path,
                body,
                once,
            } => {
                let mut builder = self.builder(method, path);
                if let Some(once) = once {
                    builder = builder.header("idempotency-key", once);
                }
                (builder, body.clone())
            }
        };
        if !key.is_empty() {
            builder = builder.header("authorization", format!("Bearer {key}"));
        }
        builder
            .header("x-deadline-ms", deadline_ms)
            .body(Full::new(Bytes::from(body)))
    }

    fn builder(&self, method: &str, path: &str) -> Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
    }

    fn completion(&self, work: &Work) -> (Builder, String) {
        let Work::Completion {
            chat,
            model,
            prompt,
            most,
            stream,
            long,
        } = work
        else {
            return (Builder::new(), String::new());
        };
        let (path, body) = match chat {
            true => (
                "/v1/chat/completions",
                json!({"model": model, "messages": [{"role": "user", "content": prompt}],
                    "max_tokens": most, "stream": stream}),
            ),
            false => (
                "/v1/completions",
                json!({"model": model, "prompt": prompt, "max_tokens": most, "stream": stream}),
            ),
        };
        let class = if *long { "long" } else { "interactive" };
        let builder = self.builder("POST", path).header("x-class", class);
        (builder, body.to_string())
    }
}

/// An error with those below it.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut below = error.source();
    while let Some(e) = below {
        text.push_str(": ");
        text.push_str(&e.to_string());
        below = e.source();
    }
    text
}

/// Everything that came back for one request.
struct Answer {
    status: StatusCode,
    request: String,
    model: String,
    body: Vec<u8>,
    /// Why the connection broke before the end, if it did.
    broken: Option<String>,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorPart,
}

#[derive(Deserialize)]
struct ErrorPart {
    code: String,
    ran: String,
}

#[derive(Deserialize)]
struct WholeBody {
    id: String,
    model: String,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Event {
    id: String,
    model: String,
    token_index: u32,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    message: Option<Content>,
    delta: Option<Content>,
}

#[derive(Deserialize)]
struct Content {
    content: Option<String>,
}

impl Choice {
    fn into_text(self) -> String {
        let content = self.message.or(self.delta).and_then(|c| c.content);
        self.text.or(content).unwrap_or_default()
    }
}

#[derive(Deserialize)]
struct Echo {
    method: String,
    path: String,
    body: String,
}

impl Answer {
    async fn read(response: Response<Incoming>) -> (Self, Option<Instant>) {
        let (parts, mut incoming) = response.into_parts();
        let text = |name: &str| {
            let value = parts.headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let mut answer = Self {
            status: parts.status,
            request: text("x-request-id"),
            model: text("x-served-model"),
            body: Vec::new(),
            broken: None,
        };
        let mut first = None;
        while let Some(frame) = incoming.frame().await {
            first = first.or_else(|| Some(Instant::now()));
            match frame.map(|f| f.into_data()) {
                Ok(Ok(data)) => answer.body.extend_from_slice(&data),
                Ok(Err(_)) => {}
                Err(e) => {
                    answer.broken = Some(error_chain(&e));
                    break;
                }
            }
        }
        (answer, first)
    }

    fn judge(&self, work: &Work) -> Verdict {
        if self.status != StatusCode::OK {
            return self.judge_error(&self.body);
        }
        match work {
            Work::Completion { stream: true, .. } => self.judge_stream(work),
            Work::Completion { .. } => self.judge_whole(work),
            Work::Call {
                method, path, body, ..
            } => self.judge_call(method, path, body),
        }
    }

    fn judge_error(&self, body: &[u8]) -> Verdict {
        match serde_json::from_slice::<ErrorBody>(body) {
            Ok(e) if e.error.ran == "not_run" => Verdict::Refused(e.error.code),
            Ok(e) if e.error.ran == "unknown" => Verdict::Unknown(e.error.code),
            _ => Verdict::Lost(format!(
                "status {} without the documented error body",
                self.status
            )),
        }
    }

    fn judge_whole(&self, work: &Work) -> Verdict {
        if let Some(why) = &self.broken {
            return Verdict::Lost(why.clone());
        }
        let Ok(whole) = serde_json::from_slice::<WholeBody>(&self.body) else {
            return Verdict::Lost("the answer is not whole".to_owned());
        };
        if whole.id != self.request || whole.model != self.model {
            return Verdict::Wrong(format!("{} of {}", whole.id, whole.model));
        }
        let text: String = whole.choices.into_iter().map(Choice::into_text).collect();
        self.judge_text(work, &text)
    }

    fn judge_stream(&self, work: &Work) -> Verdict {
        let Ok(body) = std::str::from_utf8(&self.body) else {
            return Verdict::Lost("the stream is not text".to_owned());
        };
        let mut text = String::new();
        let mut index = 0;
        let mut in_error = false;
        for line in body.lines() {
            in_error |= line == "event: error";
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if in_error {
                return self.judge_error(data.as_bytes());
            }
            if data == "[DONE]" {
                return self.judge_text(work, &text);
            }
            let Ok(event) = serde_json::from_str::<Event>(data) else {
                break;
            };
            if event.id != self.request || event.model != self.model {
                return Verdict::Wrong(format!("{} of {}", event.id, event.model));
            }
            if event.token_index != index {
                return Verdict::Wrong(format!("token {} at {index}", event.token_index));
            }
            index += 1;
            text.extend(event.choices.into_iter().map(Choice::into_text));
        }
        let why = self.broken.as_deref().unwrap_or("it just ended");
        Verdict::Lost(format!("the stream stops after {index} tokens: {why}"))
    }

    fn judge_text(&self, work: &Work, text: &str) -> Verdict {
        let Work::Completion {
            model,
            prompt,
            most,
            ..
        } = work
        else {
            return Verdict::Wrong("not a completion".to_owned());
        };
        let asked = match model.contains('@') {
            true => self.model == *model,
            false => self.model.split('@').next() == Some(model.as_str()),
        };
        if !asked {
            return Verdict::Wrong(format!("{model} was answered by {}", self.model));
        }
        match expected_text(&self.model, prompt, *most) == text {
            true => Verdict::Answered,
            false => Verdict::Wrong(format!("another text for {prompt:?}")),
        }
    }

    fn judge_call(&self, method: &str, path: &str, body: &str) -> Verdict {
        if let Some(why) = &self.broken {
            return Verdict::Lost(why.clone());
        }
        match serde_json::from_slice::<Echo>(&self.body) {
            Ok(e) if e.method == method && e.path == path && e.body == body => Verdict::Answered,
            Ok(e) => Verdict::Wrong(format!("{} {}", e.method, e.path)),
            Err(_) => Verdict::Lost("the answer is not whole".to_owned()),
        }
    }
}
