//! Open-loop load by deployment profile, with every answer verified.
//!
//! Requests are sent when they are due, whatever became of earlier ones, and
//! latency counts from that moment: a slow system cannot slow its own load.

pub mod client;
mod histories;
pub mod profile;
mod tally;

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use argh::FromArgs;
use tokio::task::JoinSet;
use tokio::time::Instant;

use client::Caller;
use client::Verdict;
use profile::Planned;
use profile::Profile;
use profile::Requests;
use tally::Tally;

/// Requests in flight at the most; what is due above it is not sent and is
/// counted, so that a stuck system cannot exhaust this machine.
const IN_FLIGHT_MOST: usize = 10_000;

/// How long after its deadline a request without a final answer counts as lost.
const GRACE: Duration = Duration::from_secs(5);

/// How often progress is shown.
const PROGRESS: Duration = Duration::from_secs(1);

/// Sends load of a deployment's kind to entries, verifies each answer against
/// the engine stand-ins' text, and says what became of every request. Exits
/// with 0 only when no answer was wrong, lost or doubled.
#[derive(Clone, Debug, FromArgs)]
pub struct LoadArgs {
    /// entry addresses, separated by commas
    #[argh(option)]
    pub entries: Addresses,
    /// deployment profile: tavuki or rezago
    #[argh(option, default = "Profile::Tavuki")]
    pub profile: Profile,
    /// requests a second
    #[argh(option, default = "100.0")]
    pub rate: f64,
    /// how long to send
    #[argh(option, default = "10.0")]
    pub seconds: f64,
    /// seed of arrivals, kinds and popularity
    #[argh(option, default = "1")]
    pub seed: u64,
    /// how many adapters, named PREFIX00000 and on, at version 1
    #[argh(option, default = "100")]
    pub adapters: usize,
    /// prefix of the adapters' names
    #[argh(option, default = "String::from(\"adapter-\")")]
    pub prefix: String,
    /// exponent of the adapters' popularity (zipf)
    #[argh(option, default = "1.0")]
    pub skew: f64,
    /// bearer key; when repeated, requests take the keys in turn
    #[argh(option)]
    pub key: Vec<String>,
    /// names of the keys' teams, for the report only
    #[argh(option)]
    pub team: Vec<String>,
    /// deadline of a short request in milliseconds; long ones get four times it
    #[argh(option, default = "10000")]
    pub deadline_ms: u64,
    /// control ports of stand-ins whose histories tell what ran twice,
    /// separated by commas
    #[argh(option, default = "Addresses::default()")]
    pub history: Addresses,
    /// print the report as one JSON object
    #[argh(switch)]
    pub json: bool,
}

/// Addresses as one argument, separated by commas.
///
/// ```
/// use banyangauge_bench::load::Addresses;
/// let two: Addresses = "127.0.0.1:80,127.0.0.2:80".parse().unwrap();
/// assert_eq!(two.0.len(), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Addresses(pub Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        text.split(',')
            .map(|a| a.parse().map_err(|e| format!("{a:?}: {e}")))
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

/// Sends the load and prints the report; true when nothing was wrong, lost or
/// doubled.
///
/// # Errors
///
/// A setting that makes no load possible, or a history that cannot be read.
pub async fn run(args: &LoadArgs) -> Result<bool, String> {
    if args.rate <= 0.0 || args.adapters == 0 || args.entries.0.is_empty() {
        return Err("rate, adapters and entries must be above zero".to_owned());
    }
    let tally = Arc::new(Mutex::new(Tally::default()));
    send_all(args, &tally).await;
    let histories = histories::read(&args.history.0).await?;
    let mut tally = lock(&tally);
    tally.settle(&histories);
    let teams = args.team.join(",");
    match args.json {
        true => println!("{}", tally.json(&teams)),
        false => println!("{}{}", tally.reasons(), tally.line()),
    }
    Ok(tally.is_clean())
}

async fn send_all(args: &LoadArgs, tally: &Arc<Mutex<Tally>>) {
    let callers: Arc<[Caller]> = args.entries.0.iter().map(|a| Caller::new(*a)).collect();
    let mut requests = Requests::new(args);
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    let end = Duration::from_secs_f64(args.seconds);
    let mut shown = PROGRESS;
    loop {
        let planned = requests.next();
        if planned.at >= end {
            break;
        }
        while shown <= planned.at {
            tokio::time::sleep_until(start + shown).await;
            eprintln!("{:>4} s  {}", shown.as_secs(), lock(tally).progress());
            shown += PROGRESS;
        }
        tokio::time::sleep_until(start + planned.at).await;
        while tasks.try_join_next().is_some() {}
        if tasks.len() >= IN_FLIGHT_MOST {
            lock(tally).skipped += 1;
            continue;
        }
        tasks.spawn(one(
            callers.clone(),
            planned,
            start,
            args.deadline_ms,
            tally.clone(),
        ));
    }
    eprintln!("      waiting for {} in flight", tasks.len());
    while tasks.join_next().await.is_some() {}
}

async fn one(
    callers: Arc<[Caller]>,
    planned: Planned,
    start: Instant,
    deadline_ms: u64,
    tally: Arc<Mutex<Tally>>,
) {
    let due = start + planned.at;
    let deadline = match planned.work.is_long() {
        true => 4 * deadline_ms,
        false => deadline_ms,
    };
    lock(&tally).requests += 1;
    let limit = Duration::from_millis(deadline) + GRACE;
    let sent = send_balanced(&callers, &planned, deadline);
    let (verdict, first) = tokio::time::timeout(limit, sent)
        .await
        .unwrap_or_else(|_| (Verdict::Lost("no final answer in time".to_owned()), None));
    let total = due.elapsed();
    let first = first.map(|t| t.duration_since(due));
    lock(&tally).add(&planned.work, verdict, first, total);
}

/// Sends to the planned entry, and to the others in turn while no connection
/// can be made, as the platform's balancer does.
async fn send_balanced(
    callers: &[Caller],
    planned: &Planned,
    deadline: u64,
) -> (Verdict, Option<Instant>) {
    let mut last = (Verdict::Lost("there is no entry".to_owned()), None);
    for step in 0..callers.len() {
        let caller = &callers[(planned.entry + step) % callers.len()];
        last = caller.send(&planned.work, &planned.key, deadline).await;
        if !matches!(last.0, Verdict::Unreachable(_)) {
            break;
        }
    }
    last
}

fn lock(tally: &Mutex<Tally>) -> MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}
