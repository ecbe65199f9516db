//! `banyan-measure policy`: the pool's decisions against what a user would
//! have without them, in virtual time.

pub mod baseline;
pub mod deployment;
pub mod engine;
pub mod figures;
pub mod plot;
pub mod report;
pub mod sim;
pub mod work;

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::thread;

use argh::FromArgs;
use banyangauge::ids::AdapterVersion;
use banyangauge::pool::Moment;
use banyangauge::pool::Pool;
use banyangauge::pool::PoolSettings;

use baseline::Baseline;
use baseline::Future;
use deployment::Deployment;
use deployment::DeploymentError;
use figures::Figures;
use sim::Policy;
use work::Jobs;
use work::Scenario;

/// Runs at the same time at the most.
const THREADS: usize = 6;

/// Measures the decisions of one pool against baselines, in virtual time.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "policy")]
pub struct Args {
    /// the deployment, a file name in settings/deployments
    #[argh(option)]
    pub deployment: String,
    /// the first seed; 1 by default
    #[argh(option, default = "1")]
    pub seed: u64,
    /// how many seeds; above 1 the median and the worst are printed
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// the scenario; all by default
    #[argh(option)]
    pub scenario: Option<Scenario>,
    /// a page of plots to write
    #[argh(option)]
    pub plot: Option<PathBuf>,
    /// where the deployments' files are
    #[argh(option, default = "PathBuf::from(\"settings/deployments\")")]
    pub settings: PathBuf,
}

/// The rows of the table, in their order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Row {
    /// Least loaded replica, least recently used, first come first loaded.
    Naive,
    /// The same, but a replica that has the adapter goes first.
    Affinity,
    /// The pool with the decisions of the round before the latest.
    Previous,
    /// The pool as it is.
    Current,
    /// Affinity with an eviction that knows the future.
    Clairvoyant,
}

impl Row {
    /// All rows.
    pub const ALL: [Self; 5] = [
        Self::Naive,
        Self::Affinity,
        Self::Previous,
        Self::Current,
        Self::Clairvoyant,
    ];

    /// Its name in the table.
    pub fn word(self) -> &'static str {
        match self {
            Self::Naive => "naive",
            Self::Affinity => "affinity",
            Self::Previous => "previous",
            Self::Current => "current",
            Self::Clairvoyant => "clairvoyant",
        }
    }

    fn policy(self, d: &Deployment, jobs: &Jobs) -> Policy {
        let base = |affinity, future| Policy::Baseline(Box::new(Baseline::new(affinity, future)));
        match self {
            Self::Naive => base(false, None),
            Self::Affinity => base(true, None),
            Self::Clairvoyant => base(true, Some(future(jobs))),
            Self::Previous => Policy::Pool(Box::new(Pool::new(previous(&d.pool)))),
            Self::Current => Policy::Pool(Box::new(Pool::new(d.pool.clone()))),
        }
    }
}

/// The settings that give the decisions of the round before the latest.
fn previous(settings: &PoolSettings) -> PoolSettings {
    PoolSettings {
        prefetch: false,
        ..settings.clone()
    }
}

/// Looks the next use of an adapter up in the arrivals.
fn future(jobs: &Jobs) -> Future {
    let mut uses: BTreeMap<AdapterVersion, Vec<Moment>> = BTreeMap::new();
    for job in &jobs.jobs {
        let name = jobs.adapters[job.adapter].clone();
        uses.entry(name).or_default().push(job.at);
    }
    Box::new(move |adapter, now| {
        let Some(all) = uses.get(adapter) else {
            return Moment(u64::MAX);
        };
        let next = all.partition_point(|at| *at <= now);
        all.get(next).copied().unwrap_or(Moment(u64::MAX))
    })
}

/// The figures of one seed, by row.
pub type Rows = BTreeMap<Row, Figures>;

/// Why a measurement could not be made.
#[derive(Debug)]
pub enum MeasureError {
    /// The deployment's file was refused.
    Deployment(PathBuf, DeploymentError),
    /// The page of plots could not be written.
    Plot(String),
}

impl fmt::Display for MeasureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deployment(file, e) => write!(f, "{}: {e}", file.display()),
            Self::Plot(e) => write!(f, "plots: {e}"),
        }
    }
}

/// Measures and prints.
///
/// # Errors
///
/// When the deployment's file is refused or the plots cannot be written.
pub fn run(args: &Args) -> Result<(), MeasureError> {
    let file = args.settings.join(format!("{}.toml", args.deployment));
    let d = Deployment::load(&file).map_err(|e| MeasureError::Deployment(file, e))?;
    let scenarios: Vec<_> = match args.scenario {
        Some(one) => vec![one],
        None => Scenario::ALL.to_vec(),
    };
    let seeds: Vec<u64> = (args.seed..args.seed + args.seeds.max(1)).collect();
    let mut all = Vec::new();
    for scenario in scenarios {
        let rows = measure(&d, scenario, &seeds);
        report::print(&args.deployment, scenario, &seeds, &rows);
        all.push((scenario, rows));
    }
    for (scenario, rows) in &all {
        report::closing(&args.deployment, *scenario, rows);
    }
    if let Some(file) = &args.plot {
        plot::write(file, &args.deployment, &all).map_err(MeasureError::Plot)?;
    }
    Ok(())
}

/// Runs every policy through every seed's arrivals.
pub fn measure(d: &Deployment, scenario: Scenario, seeds: &[u64]) -> Vec<Rows> {
    let mut tasks: Vec<(usize, Row)> = Vec::new();
    for i in 0..seeds.len() {
        tasks.extend(Row::ALL.map(|row| (i, row)));
    }
    let chunks: Vec<Vec<_>> = (0..THREADS)
        .map(|k| tasks.iter().skip(k).step_by(THREADS).copied().collect())
        .collect();
    let mut found = vec![Rows::new(); seeds.len()];
    thread::scope(|scope| {
        let work = |chunk: Vec<(usize, Row)>| {
            move || {
                let one = |(i, row): (usize, Row)| {
                    let jobs = Jobs::make(d, scenario, seeds[i]);
                    let run = sim::run(d, scenario, &jobs, row.policy(d, &jobs));
                    (i, row, Figures::of(d, &jobs, &run))
                };
                chunk.into_iter().map(one).collect::<Vec<_>>()
            }
        };
        let handles: Vec<_> = chunks.into_iter().map(|c| scope.spawn(work(c))).collect();
        for handle in handles {
            match handle.join() {
                Ok(done) => {
                    for (i, row, figures) in done {
                        found[i].insert(row, figures);
                    }
                }
                Err(panic) => std::panic::resume_unwind(panic),
            }
        }
    });
    found
}
