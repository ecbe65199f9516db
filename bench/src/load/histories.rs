//! What the stand-ins saw, for the checks that a caller cannot make.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

/// Executions of all stand-ins.
#[derive(Debug, Default)]
pub(super) struct Histories {
    /// How often a non-idempotent call ran, by key or else by request.
    pub(super) once: BTreeMap<String, u64>,
    /// Requests whose adapter was evicted while it ran.
    pub(super) evicted: u64,
    /// Requests that crashed an engine.
    pub(super) crashes: u64,
}

#[derive(Deserialize)]
struct History {
    requests: Vec<Execution>,
}

#[derive(Deserialize)]
struct Execution {
    request: String,
    model: String,
    key: String,
    outcome: String,
}

/// Reads the histories at these control ports.
pub(super) async fn read(ports: &[SocketAddr]) -> Result<Histories, String> {
    let mut all = Histories::default();
    for port in ports {
        let history = read_one(*port)
            .await
            .map_err(|e| format!("history of {port}: {e}"))?;
        history.requests.into_iter().for_each(|e| all.add(e));
    }
    Ok(all)
}

impl Histories {
    fn add(&mut self, execution: Execution) {
        self.evicted += u64::from(execution.outcome == "evicted_in_use");
        self.crashes += u64::from(execution.outcome == "crash");
        // Only plain calls have a method before their path.
        if execution.model.starts_with("POST /") {
            let name = match execution.key.is_empty() {
                true => execution.request,
                false => execution.key,
            };
            *self.once.entry(name).or_default() += 1;
        }
    }
}

async fn read_one(port: SocketAddr) -> Result<History, String> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::get(format!("http://{port}/history"))
        .body(Empty::<Bytes>::new())
        .map_err(|e| e.to_string())?;
    let response = client.request(request).await.map_err(|e| e.to_string())?;
    let body = response.into_body().collect().await;
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}
