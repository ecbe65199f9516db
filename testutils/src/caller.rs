//! A caller that sends requests and keeps what it was told.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

/// How long past its deadline a caller waits for a final answer.
pub const GRACE: Duration = Duration::from_secs(1);

/// What is asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ask {
    /// A completion on `model`, as `adapter@version`.
    Completion {
        /// The adapter and version.
        model: String,
        /// Whether the answer is streamed.
        stream: bool,
        /// The most tokens.
        tokens: u32,
    },
    /// A call to a plain service that may run once at the most.
    Booking {
        /// The path below the service's prefix.
        path: String,
        /// The idempotency key; none for an unkeyed call.
        key: Option<String>,
    },
}

/// One request as its caller sends it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Unique in a run; stands in the prompt or path.
    pub id: String,
    /// The bearer key of the team.
    pub bearer: String,
    /// What is asked.
    pub ask: Ask,
    /// When the caller no longer wants the answer.
    pub deadline: Duration,
}

/// What the caller was told in the end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Told {
    /// A whole answer.
    Answered {
        /// The text, or the body of a plain call.
        text: String,
        /// The adapter and version that the answer names.
        model: String,
    },
    /// An error that says whether the request ran.
    Refused {
        /// The error's code.
        code: String,
        /// `not_run` or `unknown`.
        ran: String,
    },
    /// An answer that broke off visibly, after `tokens` tokens.
    Broken {
        /// What had come by then.
        text: String,
    },
    /// The connection to the entry broke before an answer, as when its VM is
    /// lost; the caller knows nothing.
    Dropped,
    /// Nothing final came by the deadline and [`GRACE`].
    Nothing,
}

/// A request with its end, for the checkers.
#[derive(Clone, Debug)]
pub struct Record {
    /// The request.
    pub call: Call,
    /// The `x-request-id` of the answer; empty when none came.
    pub request: String,
    /// Microseconds since the start of the run when it was sent.
    pub sent: u64,
    /// Microseconds since the start of the run when its end was known.
    pub ended: u64,
    /// What the caller was told.
    pub told: Told,
}

/// A client of the entries; clones share their connections.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    start: Instant,
}

impl Caller {
    /// A caller whose records count from `start`.
    pub fn new(start: Instant) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, start }
    }

    /// Sends one request and waits for its end.
    pub async fn send(&self, entry: SocketAddr, call: Call) -> Record {
        let sent = self.micros();
        let limit = call.deadline + GRACE;
        let mut request = String::new();
        let work = self.exchange(entry, &call, &mut request);
        let told = match tokio::time::timeout(limit, work).await {
            Ok(told) => told,
            Err(_) => Told::Nothing,
        };
        Record {
            call,
            request,
            sent,
            ended: self.micros(),
            told,
        }
    }

    fn micros(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    async fn exchange(&self, entry: SocketAddr, call: &Call, id: &mut String) -> Told {
        let Ok(request) = request_of(entry, call) else {
            return Told::Dropped;
        };
        let Ok(response) = self.client.request(request).await else {
            return Told::Dropped;
        };
        *id = header(&response, "x-request-id");
        let model = header(&response, "x-served-model");
        let status = response.status();
        let streamed = header(&response, "content-type").starts_with("text/event-stream");
        let (body, whole) = read_body(response).await;
        if !status.is_success() {
            return refusal(&body);
        }
        match (&call.ask, streamed) {
            (Ask::Booking { .. }, _) if whole => Told::Answered { text: body, model },
            (Ask::Completion { .. }, true) => stream_end(&body, whole, model),
            (Ask::Completion { .. }, false) if whole => answer_text(&body, model),
            _ => Told::Broken { text: body },
        }
    }
}

fn header(response: &Response<Incoming>, name: &str) -> String {
    let value = response.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// The prompt of a completion call; its id makes it unlike any other.
pub fn prompt_of(call: &Call) -> String {
    match &call.ask {
        Ask::Completion { tokens, .. } => format!("call={} len={tokens}", call.id),
        Ask::Booking { .. } => String::new(),
    }
}

fn request_of(entry: SocketAddr, call: &Call) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let base = Request::builder()
        .method("POST")
        .header("authorization", format!("Bearer {}", call.bearer))
        .header("x-deadline-ms", call.deadline.as_millis().to_string());
    match &call.ask {
        Ask::Completion {
            model,
            stream,
            tokens,
        } => {
            let body = json!({"model": model, "prompt": prompt_of(call),
                "max_tokens": tokens, "stream": stream});
            base.uri(format!("http://{entry}/v1/completions"))
                .header("content-type", "application/json")
                .body(Full::new(Bytes::from(body.to_string())))
        }
        Ask::Booking { path, key } => {
            let base = match key {
                Some(key) => base.header("idempotency-key", key),
                None => base,
            };
            base.uri(format!("http://{entry}{path}"))
                .body(Full::new(Bytes::from(call.id.clone())))
        }
    }
}

async fn read_body(response: Response<Incoming>) -> (String, bool) {
    let mut body = response.into_body();
    let mut text = Vec::new();
    loop {
        match body.frame().await {
            None => return (String::from_utf8_lossy(&text).into_owned(), true),
            Some(Err(_)) => return (String::from_utf8_lossy(&text).into_owned(), false),
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    text.extend_from_slice(data);
                }
            }
        }
    }
}

fn refusal(body: &str) -> Told {
    let parsed: Value = serde_json::from_str(body).unwrap_or(Value::Null);
    let word = |key| parsed["error"][key].as_str().unwrap_or("none").to_owned();
    Told::Refused {
        code: word("code"),
        ran: word("ran"),
    }
}

fn answer_text(body: &str, model: String) -> Told {
    let parsed: Value = serde_json::from_str(body).unwrap_or(Value::Null);
    match parsed["choices"][0]["text"].as_str() {
        Some(text) => Told::Answered {
            text: text.to_owned(),
            model,
        },
        None => Told::Broken {
            text: body.to_owned(),
        },
    }
}

fn stream_end(body: &str, whole: bool, model: String) -> Told {
    let mut text = String::new();
    let mut done = false;
    let mut error = None;
    for line in body.lines() {
        if line.starts_with("event: error") {
            error = Some(Value::Null);
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let parsed: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        match (&error, parsed["choices"][0]["text"].as_str()) {
            (None, Some(token)) => text.push_str(token),
            (Some(_), _) => error = Some(parsed),
            (None, None) => {}
        }
    }
    match done && whole && error.is_none() {
        true => Told::Answered { text, model },
        false => Told::Broken { text },
    }
}
