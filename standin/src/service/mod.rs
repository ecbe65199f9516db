//! The stand-in of a plain service: it echoes each call and counts what it ran.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use argh::FromArgs;
use bon::Builder;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::history::Execution;
use crate::history::History;
use crate::history::first_word;
use crate::http;
use crate::http::Cut;
use crate::http::Doors;
use crate::http::Reply;
use crate::http::Running;

/// Settings of a plain service; starts a stand-in of a plain service.
#[derive(Builder, Clone, Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceArgs {
    /// where to serve; port 0 takes a free one
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub listen: SocketAddr,
    /// where the control port listens
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub control: SocketAddr,
    /// not used; every stand-in takes a seed
    #[argh(option, default = "1")]
    #[builder(default = 1)]
    pub seed: u64,
    /// milliseconds that a call takes
    #[argh(option, default = "2")]
    #[builder(default = 2)]
    pub work_ms: u64,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Run the next so many calls, then close without an answer.
    drop_after_run: u32,
    /// Lengthen each call by so much.
    slow_ms: u64,
    /// Refuse the next so many calls without running them.
    refuse: u32,
    /// Take no new work.
    leaving: bool,
    /// Cut every connection, now, and come back under a new incarnation.
    restart: bool,
}

#[derive(Default)]
struct Inner {
    faults: Faults,
    history: History,
    running: usize,
    incarnation: u64,
}

struct Service {
    inner: Mutex<Inner>,
    work: Duration,
    doors: Arc<Doors>,
}

/// Starts a plain service stand-in in this process.
///
/// # Errors
///
/// When a port cannot be bound.
pub async fn start(args: ServiceArgs) -> std::io::Result<Running> {
    let doors = Arc::new(Doors::default());
    let service = Arc::new(Service {
        inner: Mutex::new(Inner {
            incarnation: 1,
            ..Inner::default()
        }),
        work: Duration::from_millis(args.work_ms),
        doors: doors.clone(),
    });
    let side = service.clone();
    let control =
        move |method: &str, path: &str, body: Value| control_call(&side, method, path, body);
    let shared = doors.clone();
    http::start((args.listen, args.control), doors, control, move |l| {
        http::serve(l, shared, move |request| handle(service.clone(), request))
    })
    .await
}

fn control_call(service: &Service, method: &str, path: &str, body: Value) -> Result<Value, String> {
    let mut inner = http::lock(&service.inner);
    match (method, path) {
        ("POST", "/faults") => {
            let set = http::set_faults(&mut inner.faults, body)?;
            if std::mem::take(&mut inner.faults.restart) {
                inner.incarnation += 1;
                service.doors.cut_all();
            }
            Ok(set)
        }
        ("GET", "/history") => serde_json::to_value(&inner.history).map_err(|e| e.to_string()),
        _ => Err(format!("no {method} {path} here")),
    }
}

/// Ends the history entry of a call also when its connection is cut.
struct Call<'a> {
    service: &'a Service,
    number: u64,
    outcome: &'static str,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        let mut inner = http::lock(&self.service.inner);
        inner.running -= 1;
        inner.history.end(self.number, self.outcome, 0);
    }
}

async fn handle(service: Arc<Service>, request: Request<Incoming>) -> Reply {
    if request.uri().path() == "/load" {
        return Ok(http::json_reply(StatusCode::OK, &report(&service)));
    }
    let id = http::header(&request, "x-request-id").to_owned();
    let key = http::header(&request, "idempotency-key").to_owned();
    let (parts, body) = request.into_parts();
    let bytes = http::read_body(body).await?;
    let (number, wait, drops) = {
        let mut inner = http::lock(&service.inner);
        if inner.faults.leaving || http::take_one(&mut inner.faults.refuse) {
            return Ok(http::error_reply(
                StatusCode::SERVICE_UNAVAILABLE,
                "draining",
            ));
        }
        inner.running += 1;
        let incarnation = inner.incarnation;
        let number = inner.history.begin(Execution {
            request: id.clone(),
            model: format!("{} {}", parts.method, parts.uri),
            call: first_word(&String::from_utf8_lossy(&bytes)),
            key,
            incarnation,
            ..Execution::default()
        });
        let slow = Duration::from_millis(inner.faults.slow_ms);
        let drops = http::take_one(&mut inner.faults.drop_after_run);
        (number, service.work + slow, drops)
    };
    let mut call = Call {
        service: &service,
        number,
        outcome: "caller_gone",
    };
    // Even a sleep of zero waits for the timer's next millisecond.
    if !wait.is_zero() {
        tokio::time::sleep(wait).await;
    }
    if drops {
        call.outcome = "dropped";
        return Err(Cut);
    }
    call.outcome = "answered";
    let echo = json!({
        "method": parts.method.as_str(),
        "path": parts.uri.path(),
        "query": parts.uri.query().unwrap_or(""),
        "body": String::from_utf8_lossy(&bytes),
    });
    let mut response = http::json_reply(StatusCode::OK, &echo);
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert("x-request-id", value);
    }
    Ok(response)
}

fn report(service: &Service) -> Value {
    let inner = http::lock(&service.inner);
    let leaving = inner.faults.leaving || service.doors.stop.is_cancelled();
    json!({
        "incarnation": inner.incarnation, "age_ms": 0, "running": inner.running, "waiting": 0,
        "slots": 0, "batch": 0, "loaded": [], "leaving": leaving, "steps": 0, "step_requests": 0,
    })
}
