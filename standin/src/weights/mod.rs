//! The stand-in of the weight store: one load at a time, at a fixed rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use argh::FromArgs;
use bon::Builder;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::history::Execution;
use crate::history::History;
use crate::http;
use crate::http::Body;
use crate::http::Doors;
use crate::http::Reply;
use crate::http::Running;

/// Settings of a weight store; starts a stand-in of the weight store.
#[derive(Builder, Clone, Debug, FromArgs)]
#[argh(subcommand, name = "weights")]
pub struct WeightsArgs {
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
    /// loads a second at full speed
    #[argh(option, default = "3.0")]
    #[builder(default = 3.0)]
    pub loads_per_s: f64,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Fail the next so many loads, after their time.
    fail_next: u32,
    /// Lengthen each load by this factor; 0 is off.
    slow_factor: f64,
}

#[derive(Default)]
struct Store {
    /// Held by the load that goes on.
    turn: tokio::sync::Mutex<()>,
    faults: Mutex<Faults>,
    history: Mutex<History>,
}

/// Starts a weight store stand-in in this process.
///
/// # Errors
///
/// When a port cannot be bound.
pub async fn start(args: WeightsArgs) -> std::io::Result<Running> {
    let doors = Arc::new(Doors::default());
    let store = Arc::new(Store::default());
    let side = store.clone();
    let control =
        move |method: &str, path: &str, body: Value| control_call(&side, method, path, body);
    let load_time = Duration::from_secs_f64(1.0 / args.loads_per_s.max(0.001));
    let shared = doors.clone();
    http::start((args.listen, args.control), doors, control, move |l| {
        http::serve(l, shared, move |request| {
            handle(store.clone(), load_time, request)
        })
    })
    .await
}

fn control_call(store: &Store, method: &str, path: &str, body: Value) -> Result<Value, String> {
    match (method, path) {
        ("POST", "/faults") => http::set_faults(&mut *http::lock(&store.faults), body),
        ("GET", "/history") => {
            serde_json::to_value(&*http::lock(&store.history)).map_err(|e| e.to_string())
        }
        _ => Err(format!("no {method} {path} here")),
    }
}

async fn handle(store: Arc<Store>, load_time: Duration, request: Request<Incoming>) -> Reply {
    let Some(model) = request.uri().path().strip_prefix("/weights/") else {
        return Ok(http::error_reply(StatusCode::NOT_FOUND, "unknown_path"));
    };
    if !model.contains('@') {
        return Ok(http::error_reply(StatusCode::NOT_FOUND, "unknown_weights"));
    }
    let turn = store.turn.lock().await;
    let factor = match http::lock(&store.faults).slow_factor {
        f if f > 0.0 => f,
        _ => 1.0,
    };
    let number = http::lock(&store.history).begin(Execution {
        model: model.to_owned(),
        ..Execution::default()
    });
    tokio::time::sleep(load_time.mul_f64(factor)).await;
    drop(turn);
    let failed = http::take_one(&mut http::lock(&store.faults).fail_next);
    let outcome = if failed { "failed" } else { "answered" };
    http::lock(&store.history).end(number, outcome, 0);
    Ok(match failed {
        true => http::error_reply(StatusCode::SERVICE_UNAVAILABLE, "load_failed"),
        false => Response::new(Body::Whole(Some(Bytes::from_static(b"weights")))),
    })
}
