//! What a run comes to.

use banyangauge::pool::Class;
use banyangauge::pool::Span;

use super::deployment::Deployment;
use super::sim::End;
use super::sim::Run;
use super::work::COUNTED;
use super::work::Job;
use super::work::Jobs;
use super::work::WARM_UP;

/// The figures of one policy in one scenario. A refused request counts as
/// stalled until its deadline, as late, and as having taken all its time, so
/// that refusing buys nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Requests that were counted.
    pub offered: f64,
    /// Requests that waited for their adapter, or were refused.
    pub stalled: f64,
    /// Seconds that they waited.
    pub stall_sum: f64,
    /// 99th percentile of all requests' waits for their adapter, seconds.
    pub stall_p99: f64,
    /// Requests in a step over the most that fit.
    pub batch: f64,
    /// Seconds to the end of an interactive answer.
    pub short_p50: f64,
    /// 99th percentile of the same.
    pub short_p99: f64,
    /// Seconds to the end of a long answer.
    pub long_p50: f64,
    /// 99th percentile of the same.
    pub long_p99: f64,
    /// Requests without a whole answer at their deadline.
    pub late: f64,
    /// Requests that were refused.
    pub refused: f64,
    /// Long requests that never got an answer.
    pub long_lost: f64,
    /// Jain's index of the teams' service over what is due to them.
    pub fairness: f64,
    /// Loads ordered.
    pub loads: f64,
}

fn seconds(span: Span) -> f64 {
    span.0 as f64 / 1e6
}

fn percentile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let i = (values.len() as f64 * part) as usize;
    values
        .get(i.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

impl Figures {
    /// Counts a run.
    pub fn of(d: &Deployment, jobs: &Jobs, run: &Run) -> Self {
        let mut f = Self {
            loads: run.loads as f64,
            ..Self::default()
        };
        let slots = run.steps * u64::from(d.engines.batch);
        f.batch = run.filled as f64 / slots.max(1) as f64;
        let from = (WARM_UP * 1e6) as u64;
        let to = ((WARM_UP + COUNTED) * 1e6) as u64;
        let mut stalls = Vec::new();
        let mut times = [Vec::new(), Vec::new()];
        let mut offered = vec![0.0; jobs.teams.len()];
        let mut served = offered.clone();
        for (job, fate) in jobs.jobs.iter().zip(&run.fates) {
            if !(from..to).contains(&job.at.0) {
                continue;
            }
            let allowed = seconds(job.deadline.since(job.at));
            let answered = fate.filter(|x| x.end == End::Answered);
            let time = answered.map(|x| seconds(x.at.since(job.at)));
            let stall = answered.map_or(allowed, |x| seconds(x.stall));
            f.offered += 1.0;
            f.stalled += f64::from(stall > 0.0);
            f.late += f64::from(time.is_none_or(|t| t > allowed));
            f.refused += f64::from(fate.is_none_or(|x| x.end != End::Answered));
            let long = job.class == Class::Long;
            f.long_lost += f64::from(long && time.is_none());
            times[usize::from(long)].push(time.unwrap_or(allowed).max(0.0));
            stalls.push(stall);
            offered[job.team] += cost(job);
            if time.is_some_and(|t| t <= allowed) {
                served[job.team] += cost(job);
            }
        }
        f.stall_sum = stalls.iter().sum();
        f.stall_p99 = percentile(&mut stalls, 0.99);
        f.short_p50 = percentile(&mut times[0], 0.5);
        f.short_p99 = percentile(&mut times[0], 0.99);
        f.long_p50 = percentile(&mut times[1], 0.5);
        f.long_p99 = percentile(&mut times[1], 0.99);
        f.fairness = fairness(&offered, &served);
        f
    }
}

fn cost(job: &Job) -> f64 {
    f64::from(job.tokens)
}

/// Jain's index over the teams' service as a part of what max-min fairness
/// gives each of the same total: a team that asks for little should have all
/// of it, the others equal parts of the rest.
fn fairness(offered: &[f64], served: &[f64]) -> f64 {
    let due = water_fill(offered, served.iter().sum());
    let parts = served.iter().zip(&due).filter(|(_, due)| **due > 0.0);
    let parts: Vec<f64> = parts.map(|(s, due)| (s / due).min(1.0)).collect();
    let sum: f64 = parts.iter().sum();
    let squares: f64 = parts.iter().map(|x| x * x).sum();
    match squares > 0.0 {
        true => sum * sum / (parts.len() as f64 * squares),
        false => 1.0,
    }
}

fn water_fill(offered: &[f64], total: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..offered.len()).collect();
    order.sort_by(|a, b| offered[*a].total_cmp(&offered[*b]));
    let mut due = vec![0.0; offered.len()];
    let mut left = total;
    for (i, team) in order.iter().enumerate() {
        let part = left / (order.len() - i) as f64;
        due[*team] = offered[*team].min(part);
        left -= due[*team];
    }
    due
}
