//! Starts the stand-ins and speaks to their control ports.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use super::Rig;
use super::control_port;
use crate::process::Process;

/// The longest that a stand-in's control port may take.
const CONTROL_LIMIT: Duration = Duration::from_secs(5);

/// Loads a second of the weight store; above the users' rates, so that a short
/// run sees many loads and evictions.
const LOADS_PER_S: &str = "20";

/// Microseconds of an engine step.
const STEP_US: &str = "2000";

impl Rig {
    pub(super) fn start_standins(&mut self) -> io::Result<()> {
        self.standin(
            "platform",
            "platform",
            self.platform(),
            &["--list-lag-ms", "300"],
        )?;
        self.standin(
            "weights",
            "weights",
            self.weights(),
            &["--loads-per-s", LOADS_PER_S],
        )?;
        for i in 0..self.size.engines {
            let (weights, slots) = (self.weights().to_string(), self.size.slots.to_string());
            let mut extra = vec!["--weights", &weights, "--slots", &slots];
            extra.extend(["--batch", "8", "--step-us", STEP_US]);
            if self.size.honours_token {
                extra.push("--honours-token");
            }
            self.standin("engine", &format!("engine-{i}"), self.engine(i), &extra)?;
        }
        for i in 0..self.size.services {
            self.standin("service", &format!("service-{i}"), self.service(i), &[])?;
        }
        Ok(())
    }

    fn standin(
        &mut self,
        kind: &str,
        name: &str,
        address: SocketAddr,
        extra: &[&str],
    ) -> io::Result<()> {
        let mut args = vec![
            kind.to_owned(),
            "--listen".to_owned(),
            address.to_string(),
            "--control".to_owned(),
            control_port(address).to_string(),
        ];
        args.extend(extra.iter().map(|s| (*s).to_owned()));
        let process = Process::start("banyan-standin", &args, &self.log(name))?;
        self.standins.push(process);
        wait_open(address)?;
        wait_open(control_port(address))
    }
}

fn wait_open(address: SocketAddr) -> io::Result<()> {
    let begin = Instant::now();
    loop {
        match std::net::TcpStream::connect_timeout(&address, CONTROL_LIMIT) {
            Ok(_) => return Ok(()),
            Err(e) if begin.elapsed() > CONTROL_LIMIT => return Err(e),
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}

/// Reads JSON from a control port.
///
/// # Errors
///
/// When it does not answer with JSON in time.
pub async fn http_get(address: SocketAddr, path: &str) -> io::Result<Value> {
    exchange(Method::GET, address, path, Bytes::new()).await
}

/// Sends JSON to a control port.
///
/// # Errors
///
/// When it does not take it in time.
pub async fn http_post(address: SocketAddr, path: &str, body: &Value) -> io::Result<Value> {
    exchange(Method::POST, address, path, Bytes::from(body.to_string())).await
}

async fn exchange(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> io::Result<Value> {
    let work = async {
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(io::Error::other)?;
        let response = client.request(request).await.map_err(io::Error::other)?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?;
        let body = body.to_bytes();
        match status.is_success() {
            true => serde_json::from_slice(&body).map_err(io::Error::other),
            false => Err(io::Error::other(format!("{path}: {status} {body:?}"))),
        }
    };
    tokio::time::timeout(CONTROL_LIMIT, work).await?
}
