//! One run: start, load, faults, settle, collect, check.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use banyangauge::operator::Client;
use banyangauge::operator::timeline_text;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;

use super::evidence::Evidence;
use super::evidence::IN_FORCE_LIMIT;
use super::evidence::read_runs;
use super::faults::Balancer;
use super::faults::Notes;
use super::faults::Underway;
use super::load::send_all;
use super::schedule::Schedule;
use crate::caller::Caller;
use crate::caller::Told;
use crate::check::Sighting;
use crate::rig::Rig;
use crate::rig::Size;
use crate::rig::TEAMS;

/// Between two looks at the revisions in force.
const LOOK: Duration = Duration::from_millis(200);

/// How long usage may take to reach the platform after the last answer.
const USAGE_SETTLES: Duration = Duration::from_secs(8);

/// What a run showed.
#[derive(Debug, Default)]
pub struct Report {
    /// Requests that callers sent.
    pub requests: usize,
    /// Faults that were caused.
    pub faults: usize,
    /// Answered whole.
    pub answered: usize,
    /// Violations of promises.
    pub violations: Vec<String>,
    /// Requests without a final answer.
    pub unfinished: Vec<String>,
    /// The time line, when something was wrong.
    pub timeline: String,
}

/// Runs side by side in one process at the most; each is a dozen programs, and
/// a run that starves shows the machine's limits instead of the system's.
const SIDE_BY_SIDE: usize = 4;

static TURNS: Semaphore = Semaphore::const_new(SIDE_BY_SIDE);

/// Runs a schedule on programs of its own.
///
/// # Errors
///
/// When the programs do not start, or a stand-in does not answer.
pub async fn run(schedule: &Schedule) -> io::Result<Report> {
    let _turn = TURNS.acquire().await.map_err(io::Error::other)?;
    let size = Size {
        honours_token: schedule.honours_token,
        ..Size::default()
    };
    let mut rig = Rig::start(size).await?;
    let before = rig.usage_by_team().await.unwrap_or_default();
    let entries = (0..size.entries).map(|i| (i, rig.entry(i))).collect();
    let balancer: Balancer = Arc::new(Mutex::new(entries));
    let begun = Arc::new(AtomicUsize::new(0));
    let ended = Arc::new(AtomicBool::new(false));
    let looking = tokio::spawn(look(clients(&rig)?, rig.start, ended.clone()));
    let caller = Caller::new(rig.start);
    let load = {
        let (schedule, balancer, begun) = (schedule.clone(), balancer.clone(), begun.clone());
        tokio::spawn(async move { send_all(&schedule, &caller, &balancer, &begun).await })
    };
    let mut notes = Notes::default();
    let mut rng = ChaCha8Rng::seed_from_u64(schedule.seed ^ 0xFA17);
    cause(schedule, &mut rig, &balancer, &begun, &mut notes, &mut rng).await?;
    let sent = load.await.map_err(io::Error::other)?;
    let warm = u64::from(rig.warm_calls());
    let mut evidence = Evidence {
        sent,
        runs: Vec::new(),
        seen: Vec::new(),
        notes,
        charged: before,
        warm,
    };
    settle_configuration(&rig, &evidence).await;
    settle_usage(&rig, &mut evidence).await;
    ended.store(true, Ordering::SeqCst);
    evidence.seen = looking.await.map_err(io::Error::other)?;
    evidence.runs = read_runs(&rig).await?;
    report(schedule, &rig, &evidence).await
}

async fn cause(
    schedule: &Schedule,
    rig: &mut Rig,
    balancer: &Balancer,
    begun: &AtomicUsize,
    notes: &mut Notes,
    rng: &mut ChaCha8Rng,
) -> io::Result<()> {
    let mut underway = Underway::default();
    let mut faults = schedule.faults.iter().peekable();
    while faults.peek().is_some() || !underway.is_over() {
        let count = begun.load(Ordering::SeqCst);
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= count) {
            underway.begin(*fault, rig, balancer, notes, rng).await?;
        }
        underway.end_due(rig, notes).await?;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

fn clients(rig: &Rig) -> io::Result<Vec<Client>> {
    (0..rig.size.controls).map(|i| rig.operator_at(i)).collect()
}

async fn look(
    clients: Vec<Client>,
    start: std::time::Instant,
    ended: Arc<AtomicBool>,
) -> Vec<Sighting> {
    let mut seen = Vec::new();
    while !ended.load(Ordering::SeqCst) {
        for client in &clients {
            let at = start.elapsed().as_millis() as u64;
            let status = tokio::time::timeout(LOOK, client.status()).await;
            let Ok(Ok(status)) = status else { continue };
            // Nothing is in force on a VM that has just started.
            if status.revision > 0 {
                seen.push(Sighting {
                    vm: status.vm,
                    at,
                    revision: status.revision,
                });
            }
        }
        tokio::time::sleep(LOOK).await;
    }
    seen
}

// Long enough that a VM on which the last accepted revision is not in force in
// time is seen without it.
async fn settle_configuration(rig: &Rig, evidence: &Evidence) {
    let confirmed = &evidence.notes.confirmed;
    let Some(due) = confirmed.iter().map(|c| c.revision).max() else {
        return;
    };
    let last = confirmed.iter().map(|c| c.at).max().unwrap_or(0);
    let until = last + IN_FORCE_LIMIT + 1_000;
    while rig.now_ms() < until {
        let Ok(clients) = clients(rig) else { return };
        let mut behind = false;
        for client in &clients {
            let status = tokio::time::timeout(LOOK, client.status()).await;
            behind |= !matches!(status, Ok(Ok(s)) if s.revision >= due);
        }
        if !behind {
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn settle_usage(rig: &Rig, evidence: &mut Evidence) {
    let begin = std::time::Instant::now();
    while begin.elapsed() < USAGE_SETTLES {
        if let Ok(now) = rig.usage_by_team().await {
            evidence.charged = now;
            let short = TEAMS.iter().any(|(team, _)| evidence.is_short(team));
            if !short {
                return;
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn report(schedule: &Schedule, rig: &Rig, evidence: &Evidence) -> io::Result<Report> {
    let violations = evidence.violations(schedule);
    let unfinished = evidence.unfinished();
    let answered = |s: &&super::load::Sent| matches!(s.record.told, Told::Answered { .. });
    let mut report = Report {
        requests: evidence.sent.len(),
        faults: schedule.faults.len(),
        answered: evidence.sent.iter().filter(answered).count(),
        violations,
        unfinished,
        timeline: String::new(),
    };
    if !report.violations.is_empty() || !report.unfinished.is_empty() {
        report.timeline = timeline(rig).await;
    }
    Ok(report)
}

async fn timeline(rig: &Rig) -> String {
    let mut processes: Vec<_> = (0..rig.size.controls).map(|i| rig.control(i)).collect();
    processes.extend((0..rig.size.entries).map(|i| rig.entry_internal(i)));
    let Ok(client) = rig.operator() else {
        return String::new();
    };
    match client.timelines(&processes, &Default::default()).await {
        Ok(merged) => timeline_text(&merged.events),
        Err(e) => e.to_string(),
    }
}
