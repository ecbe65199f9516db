//! Orders to an engine, its reports, and moving a request to another engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::Engine;
use super::state::JobSpec;
use super::state::State;
use crate::history::Order;
use crate::http;
use crate::http::Body;
use crate::http::Reply;

/// How long a load takes without a weight store.
const LOAD_TIME: Duration = Duration::from_millis(10);

#[derive(Deserialize)]
struct AdapterOrder {
    lora_name: String,
}

#[derive(Deserialize)]
struct FenceOrder {
    token: u64,
}

#[derive(Deserialize)]
struct ExportOrder {
    request_id: String,
}

fn token_of(request: &Request<Incoming>) -> u64 {
    http::header(request, "x-fencing-token")
        .parse()
        .unwrap_or(0)
}

/// Whether the token is too old; a higher one is remembered.
fn is_stale(engine: &Engine, state: &mut State, token: u64) -> bool {
    if !engine.args.honours_token {
        return false;
    }
    let stale = token < state.token;
    state.token = state.token.max(token);
    stale
}

fn note(state: &mut State, kind: &'static str, model: &str, token: u64, status: StatusCode) {
    let order = Order {
        kind,
        model: model.to_owned(),
        token,
        at_ms: state.history.now_ms(),
        status: status.as_u16(),
        incarnation: state.incarnation,
    };
    state.history.order(order);
}

fn order_reply(status: StatusCode, code: &str) -> Response<Body> {
    match status {
        StatusCode::OK => http::json_reply(status, &json!({})),
        _ => http::error_reply(status, code),
    }
}

pub(super) async fn load(engine: Arc<Engine>, request: Request<Incoming>) -> Reply {
    let token = token_of(&request);
    let bytes = http::read_body(request.into_body()).await?;
    let Ok(order) = serde_json::from_slice::<AdapterOrder>(&bytes) else {
        return Ok(http::error_reply(StatusCode::BAD_REQUEST, "bad_request"));
    };
    // A caller that hangs up does not stop a load that has begun.
    let work = tokio::spawn(async move { load_adapter(&engine, &order.lora_name, token).await });
    let (status, code) = work.await.map_err(|_| http::Cut)?;
    Ok(order_reply(status, code))
}

async fn load_adapter(engine: &Engine, model: &str, token: u64) -> (StatusCode, &'static str) {
    let begun = {
        let mut state = engine.lock();
        match begin_load(engine, &mut state, model, token) {
            Ok(()) => state.incarnation,
            Err((status, code)) => {
                note(&mut state, "load", model, token, status);
                return (status, code);
            }
        }
    };
    let fetched = fetch_weights(engine.args.weights, model).await;
    let mut state = engine.lock();
    if state.incarnation != begun {
        return (StatusCode::BAD_GATEWAY, "load_failed");
    }
    state.loading.remove(model);
    let failed = http::take_one(&mut state.faults.fail_loads) || !fetched;
    let (status, code) = match failed {
        true => (StatusCode::BAD_GATEWAY, "load_failed"),
        false => {
            state.loaded.insert(model.to_owned());
            (StatusCode::OK, "")
        }
    };
    note(&mut state, "load", model, token, status);
    (status, code)
}

fn begin_load(
    engine: &Engine,
    state: &mut State,
    model: &str,
    token: u64,
) -> Result<(), (StatusCode, &'static str)> {
    if is_stale(engine, state, token) {
        return Err((StatusCode::PRECONDITION_FAILED, "stale_token"));
    }
    if state.loaded.contains(model) {
        return Err((StatusCode::OK, ""));
    }
    match state.reserve_slot(model) {
        true => Ok(()),
        false => Err((StatusCode::CONFLICT, "slots_full")),
    }
}

async fn fetch_weights(store: Option<SocketAddr>, model: &str) -> bool {
    let Some(address) = store else {
        tokio::time::sleep(LOAD_TIME).await;
        return true;
    };
    let fetch = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let io = TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        let work = tokio::spawn(connection);
        let request = Request::get(format!("/weights/{model}"))
            .header("host", address.to_string())
            .body(Empty::<Bytes>::new())
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let good = response.status().is_success();
        let whole = response.into_body().collect().await.is_ok();
        work.abort();
        Some(good && whole)
    };
    fetch.await.unwrap_or(false)
}

pub(super) async fn unload(engine: Arc<Engine>, request: Request<Incoming>) -> Reply {
    let token = token_of(&request);
    let bytes = http::read_body(request.into_body()).await?;
    let Ok(order) = serde_json::from_slice::<AdapterOrder>(&bytes) else {
        return Ok(http::error_reply(StatusCode::BAD_REQUEST, "bad_request"));
    };
    let mut state = engine.lock();
    let (status, code) = if is_stale(&engine, &mut state, token) {
        (StatusCode::PRECONDITION_FAILED, "stale_token")
    } else if state.unload(&order.lora_name) {
        (StatusCode::OK, "")
    } else {
        (StatusCode::NOT_FOUND, "model_not_found")
    };
    note(&mut state, "unload", &order.lora_name, token, status);
    Ok(order_reply(status, code))
}

pub(super) async fn fence(engine: Arc<Engine>, request: Request<Incoming>) -> Reply {
    let bytes = http::read_body(request.into_body()).await?;
    if !engine.args.honours_token {
        return Ok(http::error_reply(StatusCode::NOT_FOUND, "no_fencing"));
    }
    let Ok(order) = serde_json::from_slice::<FenceOrder>(&bytes) else {
        return Ok(http::error_reply(StatusCode::BAD_REQUEST, "bad_request"));
    };
    let mut state = engine.lock();
    is_stale(&engine, &mut state, order.token);
    note(&mut state, "fence", "", order.token, StatusCode::OK);
    let highest = json!({"token": state.token});
    Ok(http::json_reply(StatusCode::OK, &highest))
}

/// The newest report that is as old as the lag, or else the oldest there is.
pub(super) fn report(engine: &Engine) -> Response<Body> {
    let stopping = engine.doors.stop.is_cancelled();
    let kept = http::lock(&engine.reports).front().cloned();
    let lags = engine.args.report_lag_ms > 0;
    let mut report = match kept.filter(|_| lags) {
        Some((at, mut report)) => {
            report.age_ms = Instant::now().duration_since(at).as_millis() as u64;
            report
        }
        None => engine.lock().report(),
    };
    report.leaving |= stopping;
    http::json_reply(StatusCode::OK, &report)
}

pub(super) fn events(engine: &Engine, request: &Request<Incoming>) -> Response<Body> {
    let query = request.uri().query().unwrap_or("");
    let after = query
        .split('&')
        .find_map(|part| part.strip_prefix("after="));
    let after = after.and_then(|n| n.parse().ok()).unwrap_or(0);
    let events = engine.lock().cache.events_after(after);
    http::json_reply(StatusCode::OK, &json!({ "events": events }))
}

pub(super) fn cancel(engine: &Engine, request: &str) -> Response<Body> {
    match engine.lock().cancel(request) {
        true => http::json_reply(StatusCode::OK, &json!({})),
        false => http::error_reply(StatusCode::NOT_FOUND, "unknown_request"),
    }
}

pub(super) async fn export(engine: Arc<Engine>, request: Request<Incoming>) -> Reply {
    let bytes = http::read_body(request.into_body()).await?;
    let Ok(order) = serde_json::from_slice::<ExportOrder>(&bytes) else {
        return Ok(http::error_reply(StatusCode::BAD_REQUEST, "bad_request"));
    };
    Ok(match engine.lock().export(&order.request_id) {
        Some(spec) => http::json_reply(StatusCode::OK, &spec),
        None => http::error_reply(StatusCode::NOT_FOUND, "unknown_request"),
    })
}

pub(super) async fn import(engine: Arc<Engine>, request: Request<Incoming>) -> Reply {
    let bytes = http::read_body(request.into_body()).await?;
    let Ok(spec) = serde_json::from_slice::<JobSpec>(&bytes) else {
        return Ok(http::error_reply(StatusCode::BAD_REQUEST, "bad_request"));
    };
    let taken = {
        let mut state = engine.lock();
        let taken = state.admit(spec, "");
        if let Ok(reading) = &taken {
            // Nobody reads it until the resume comes.
            state.leave(reading.job, reading.incarnation);
        }
        taken
    };
    engine.wake.notify_one();
    Ok(match taken {
        Ok(_) => http::json_reply(StatusCode::OK, &json!({})),
        Err(_) => http::error_reply(StatusCode::NOT_FOUND, "model_not_found"),
    })
}
