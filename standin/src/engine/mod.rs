//! The stand-in of a model engine.
//!
//! `state` holds the slots, the batch and the jobs and changes them by plain
//! functions; `run` and `orders` turn HTTP calls into these; this module moves
//! the steps on.

mod cache;
mod orders;
mod run;
mod state;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use argh::FromArgs;
use bon::Builder;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::http;
use crate::http::Doors;
use crate::http::Reply;
use crate::http::Running;
use state::Report;
use state::State;

/// How often lagging reports are taken and kept streams looked at.
const TICK: Duration = Duration::from_millis(20);

/// The longest stretch of steps that is made up for after a late wake-up; the
/// timer's grain is a millisecond, which is longer than a fast step.
const CATCH_UP: Duration = Duration::from_millis(5);

/// The share by which each further request in the batch lengthens a step.
const STEP_GROWTH: f64 = 0.03;

/// Settings of an engine stand-in; starts a stand-in of a model engine.
#[derive(Builder, Clone, Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineArgs {
    /// where to serve; port 0 takes a free one
    #[argh(option, default = "http_any()")]
    #[builder(default = http_any())]
    pub listen: SocketAddr,
    /// where the control port listens
    #[argh(option, default = "http_any()")]
    #[builder(default = http_any())]
    pub control: SocketAddr,
    /// seed of the gaps in cache events
    #[argh(option, default = "1")]
    #[builder(default = 1)]
    pub seed: u64,
    /// name in error messages
    #[argh(option, default = "String::from(\"engine\")")]
    #[builder(default = String::from("engine"))]
    pub name: String,
    /// adapter slots
    #[argh(option, default = "8")]
    #[builder(default = 8)]
    pub slots: usize,
    /// requests in a step at the most
    #[argh(option, default = "32")]
    #[builder(default = 32)]
    pub batch: usize,
    /// microseconds of a step with one request
    #[argh(option, default = "5500")]
    #[builder(default = 5_500)]
    pub step_us: u64,
    /// the weight store; without it a load takes 10 ms
    #[argh(option)]
    pub weights: Option<SocketAddr>,
    /// refuse orders with an old fencing token
    #[argh(switch)]
    #[builder(default)]
    pub honours_token: bool,
    /// age of load reports, in milliseconds
    #[argh(option, default = "200")]
    #[builder(default = 200)]
    pub report_lag_ms: u64,
}

fn http_any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An engine and what its calls share.
struct Engine {
    args: EngineArgs,
    state: Mutex<State>,
    /// Wakes the step loop when there is work again.
    wake: Notify,
    doors: Arc<Doors>,
    reports: Mutex<VecDeque<(Instant, Report)>>,
}

impl Engine {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        http::lock(&self.state)
    }

    /// Comes back empty under a new incarnation; everything in flight is cut.
    fn restart(&self, outcome: &'static str) {
        self.lock().restart(outcome);
        http::lock(&self.reports).clear();
        self.doors.cut_all();
    }

    /// Holds a call back while the engine is frozen.
    async fn thaw(&self) {
        loop {
            let until = self.lock().frozen;
            match until {
                Some(t) if t > Instant::now() => tokio::time::sleep_until(t).await,
                _ => return,
            }
        }
    }
}

/// Starts an engine stand-in in this process.
///
/// # Errors
///
/// When a port cannot be bound.
pub async fn start(args: EngineArgs) -> std::io::Result<Running> {
    let doors = Arc::new(Doors::default());
    let started = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let engine = Arc::new(Engine {
        state: Mutex::new(State::new(&args, started.as_micros() as u64)),
        wake: Notify::new(),
        doors: doors.clone(),
        reports: Mutex::default(),
        args,
    });
    let ports = (engine.args.listen, engine.args.control);
    let side = engine.clone();
    let control =
        move |method: &str, path: &str, body: Value| control_call(&side, method, path, body);
    http::start(ports, doors, control, move |listener| {
        let handler = engine.clone();
        let served = http::serve(listener, engine.doors.clone(), move |request| {
            handle(handler.clone(), request)
        });
        async move {
            tokio::select! {
                () = served => {}
                () = run_steps(&engine) => {}
                () = run_ticks(&engine) => {}
            }
        }
    })
    .await
}

async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Reply {
    engine.thaw().await;
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/completions") => run::run(engine, request, false).await,
        (&Method::POST, "/v1/chat/completions") => run::run(engine, request, true).await,
        (&Method::POST, "/v1/load_lora_adapter") => orders::load(engine, request).await,
        (&Method::POST, "/v1/unload_lora_adapter") => orders::unload(engine, request).await,
        (&Method::POST, "/v1/fence") => orders::fence(engine, request).await,
        (&Method::POST, "/v1/kv/export") => orders::export(engine, request).await,
        (&Method::POST, "/v1/kv/import") => orders::import(engine, request).await,
        (&Method::GET, "/load") => Ok(orders::report(&engine)),
        (&Method::GET, "/events") => Ok(orders::events(&engine, &request)),
        (&Method::DELETE, path) if path.starts_with("/v1/requests/") => {
            Ok(orders::cancel(&engine, &path["/v1/requests/".len()..]))
        }
        _ => Ok(http::error_reply(StatusCode::NOT_FOUND, "unknown_path")),
    }
}

fn control_call(engine: &Engine, method: &str, path: &str, body: Value) -> Result<Value, String> {
    match (method, path) {
        ("POST", "/faults") => {
            let (set, restart) = engine.lock().set_faults(body)?;
            if restart {
                engine.restart("restarted");
            }
            Ok(set)
        }
        ("GET", "/history") => {
            serde_json::to_value(&engine.lock().history).map_err(|e| e.to_string())
        }
        _ => Err(format!("{}: no {method} {path} here", engine.args.name)),
    }
}

/// Moves the batch on, one step after another, and sleeps while it is empty.
async fn run_steps(engine: &Arc<Engine>) {
    let mut due = Instant::now();
    loop {
        engine.thaw().await;
        let batch = engine.lock().fill_batch();
        let Some(batch) = batch else {
            engine.wake.notified().await;
            due = Instant::now();
            continue;
        };
        let growth = 1.0 + STEP_GROWTH * (batch.size - 1) as f64;
        let step = engine.args.step_us as f64 * growth * batch.slow;
        let now = Instant::now();
        let earliest = now.checked_sub(CATCH_UP).unwrap_or(now);
        due = due.max(earliest) + Duration::from_micros(step as u64);
        if due > Instant::now() {
            tokio::time::sleep_until(due).await;
        } else {
            tokio::task::yield_now().await;
        }
        if engine.lock().finish_step() {
            engine.restart("lost_in_crash");
        }
    }
}

/// Takes the reports that `/load` shows late, and forgets streams that nobody
/// resumed.
async fn run_ticks(engine: &Arc<Engine>) {
    let lag = Duration::from_millis(engine.args.report_lag_ms);
    loop {
        tokio::time::sleep(TICK).await;
        let now = Instant::now();
        let report = {
            let mut state = engine.lock();
            state.forget_left(now);
            state.report()
        };
        let mut reports = http::lock(&engine.reports);
        reports.push_back((now, report));
        while reports.len() > 1 && reports[1].0 + lag <= now {
            reports.pop_front();
        }
    }
}
