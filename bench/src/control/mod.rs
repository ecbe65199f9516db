//! What control costs a VM, and how fast it decides: real control processes on
//! one machine.

use std::io;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use banyangauge::catalog::Change;
use banyangauge::catalog::Intent;
use banyangauge::operator::Client;
use banyangauge_testutils::rig::POOLS;
use banyangauge_testutils::rig::Rig;
use banyangauge_testutils::rig::Size;
use banyangauge_testutils::rig::TEAMS;
use banyangauge_testutils::rig::adapter_name;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::rt::TokioExecutor;

use crate::path::process::usage;

/// How long idle cost is measured.
const IDLE: Duration = Duration::from_secs(10);

/// How long after the start the processes have settled.
const SETTLE: Duration = Duration::from_secs(3);

/// The longest that a change or a takeover is waited for.
const LIMIT: Duration = Duration::from_secs(20);

/// Between two looks at a process.
const LOOK: Duration = Duration::from_millis(2);

/// What control costs a VM, and how fast it decides.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "control")]
pub struct ControlArgs {
    /// control processes
    #[argh(option, default = "9")]
    pub nodes: usize,
    /// adapters that are configured
    #[argh(option, default = "3_000")]
    pub adapters: usize,
    /// changes that are confirmed one after the other
    #[argh(option, default = "30")]
    pub changes: usize,
    /// owners that are killed, one after the other
    #[argh(option, default = "5")]
    pub kills: usize,
}

/// Measures and prints the closing line.
///
/// # Errors
///
/// When a program does not start or does not answer in time.
pub fn run(args: &ControlArgs) -> io::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(measure(args))
}

async fn measure(args: &ControlArgs) -> io::Result<()> {
    let size = Size {
        controls: args.nodes,
        entries: 1,
        adapters: args.adapters,
        ..Size::default()
    };
    let mut rig = Rig::start(size).await?;
    tokio::time::sleep(SETTLE).await;
    let idle = idle_cost(&mut rig).await?;
    let in_force = in_force_ms(&rig, args).await?;
    let stops = takeovers(&mut rig, args.kills, true).await?;
    let kills = takeovers(&mut rig, args.kills, false).await?;
    println!(
        "in force: {} confirmations, p50 {:.1} ms; takeover after a planned stop p99 {:.0} ms",
        in_force.len(),
        percentile(&in_force, 50),
        percentile(&stops, 99)
    );
    println!(
        "control: nodes={} adapters={} bytes_per_s={:.0} core_pct={:.2} rss_mb={:.1} \
         platform_writes_per_s={:.1} platform_reads_per_s={:.1} in_force_p99_ms={:.1} \
         takeover_p99_ms={:.0}",
        args.nodes,
        args.adapters,
        idle.bytes,
        idle.core_pct,
        idle.rss_mb,
        idle.writes,
        idle.reads,
        percentile(&in_force, 99),
        percentile(&kills, 99)
    );
    Ok(())
}

/// The highest of all nodes, each second, but for the platform's sums.
struct Idle {
    bytes: f64,
    core_pct: f64,
    rss_mb: f64,
    writes: f64,
    reads: f64,
}

async fn idle_cost(rig: &mut Rig) -> io::Result<Idle> {
    let nodes = rig.size.controls;
    let mut before = Vec::new();
    for i in 0..nodes {
        before.push((peer_bytes(rig, i).await?, cpu_ms(rig, i)?.0));
    }
    let calls = platform_calls(rig).await?;
    let start = Instant::now();
    tokio::time::sleep(IDLE).await;
    let mut idle = Idle {
        bytes: 0.0,
        core_pct: 0.0,
        rss_mb: 0.0,
        writes: 0.0,
        reads: 0.0,
    };
    for (i, (bytes, cpu)) in before.into_iter().enumerate() {
        let seconds = start.elapsed().as_secs_f64();
        let (cpu_now, rss) = cpu_ms(rig, i)?;
        idle.bytes = idle
            .bytes
            .max((peer_bytes(rig, i).await? - bytes) / seconds);
        idle.core_pct = idle.core_pct.max((cpu_now - cpu) / seconds / 10.0);
        idle.rss_mb = idle.rss_mb.max(rss);
    }
    let seconds = start.elapsed().as_secs_f64();
    let after = platform_calls(rig).await?;
    idle.writes = (after.0 - calls.0) / seconds;
    idle.reads = (after.1 - calls.1) / seconds;
    Ok(idle)
}

fn cpu_ms(rig: &mut Rig, i: usize) -> io::Result<(f64, f64)> {
    let process = rig.control_mut(i);
    let id = process.map(|p| p.id()).ok_or(io::ErrorKind::NotFound)?;
    let used = usage(id)?;
    Ok((used.cpu_ms, used.rss_mb))
}

// Writes and reads that the platform has counted.
async fn platform_calls(rig: &Rig) -> io::Result<(f64, f64)> {
    let history = rig.history(rig.platform()).await?;
    let (mut writes, mut reads) = (0.0, 0.0);
    for kind in history["calls"].as_object().into_iter().flatten() {
        for (method, count) in kind.1.as_object().into_iter().flatten() {
            let count = count.as_f64().unwrap_or(0.0);
            match method.as_str() {
                "create" | "replace" | "delete" => writes += count,
                _ => reads += count,
            }
        }
    }
    Ok((writes, reads))
}

// Bytes of digests that the process has sent to its peers.
async fn peer_bytes(rig: &Rig, i: usize) -> io::Result<f64> {
    let client = HttpClient::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let uri = format!("http://{}/metrics", rig.control_metrics(i));
    let uri = uri.parse().map_err(io::Error::other)?;
    let answer = client.get(uri).await.map_err(io::Error::other)?;
    let body = answer
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?;
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let line = text
        .lines()
        .find(|l| l.starts_with("peer_bytes_total{direction=\"sent\"}"));
    let value = line.and_then(|l| l.rsplit(' ').next());
    Ok(value.and_then(|v| v.parse().ok()).unwrap_or(0.0))
}

fn percentile(values: &[f64], p: usize) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (sorted.len() * p).div_ceil(100).saturating_sub(1);
    sorted.get(at).copied().unwrap_or(0.0)
}

// From the operator's confirmation until the last control process has it in
// force, seen by asking each in turn.
async fn in_force_ms(rig: &Rig, args: &ControlArgs) -> io::Result<Vec<f64>> {
    let operator = rig.operator()?;
    let clients: Vec<Client> = (0..args.nodes)
        .map(|i| rig.operator_at(i))
        .collect::<io::Result<_>>()?;
    let mut all = Vec::new();
    for n in 0..args.changes {
        let change = Change::Serve {
            team: TEAMS[0].0.parse().map_err(io::Error::other)?,
            adapter: adapter_name(n % args.adapters)
                .parse()
                .map_err(io::Error::other)?,
            version: 2 - (n / args.adapters) as u32 % 2,
        };
        let intent = Intent {
            changes: vec![change],
        };
        let plan = operator.plan(&intent).await.map_err(io::Error::other)?;
        let start = Instant::now();
        let revision = operator.confirm(&plan).await.map_err(io::Error::other)?;
        for client in &clients {
            while start.elapsed() < LIMIT {
                let status = client.status().await;
                if status.is_ok_and(|s| s.revision >= revision) {
                    break;
                }
                tokio::time::sleep(LOOK).await;
            }
        }
        all.push(start.elapsed().as_secs_f64() * 1e3);
    }
    Ok(all)
}

// From the end of an owner until another control process names itself.
async fn takeovers(rig: &mut Rig, count: usize, planned: bool) -> io::Result<Vec<f64>> {
    let mut all = Vec::new();
    for _ in 0..count {
        let (owner, token) = owner_of(rig, None).await?;
        let start = Instant::now();
        if let Some(process) = rig.control_mut(owner) {
            match planned {
                true => process.terminate(),
                false => process.kill(),
            }
        }
        while start.elapsed() < LIMIT {
            if owner_of(rig, Some(owner)).await?.1 > token {
                break;
            }
            tokio::time::sleep(LOOK).await;
        }
        all.push(start.elapsed().as_secs_f64() * 1e3);
        rig.restart_control(owner)?;
        tokio::time::sleep(SETTLE).await;
    }
    Ok(all)
}

// The owner of the engine pool and its token, as a process other than `not`
// sees them.
async fn owner_of(rig: &Rig, not: Option<usize>) -> io::Result<(usize, u64)> {
    let begin = Instant::now();
    while begin.elapsed() < LIMIT {
        for i in (0..rig.size.controls).filter(|i| Some(*i) != not) {
            let Ok(status) = rig.operator_at(i)?.status().await else {
                continue;
            };
            let owner = status.owners.iter().find(|o| o.pool == POOLS[0]);
            let index = |vm: &str| vm.strip_prefix("vm-").and_then(|n| n.parse().ok());
            if let Some((vm, token)) = owner.and_then(|o| Some((index(&o.vm)?, o.token))) {
                return Ok((vm, token));
            }
        }
        tokio::time::sleep(LOOK).await;
    }
    Err(io::Error::other("no control process names an owner"))
}
