//! What the path through an entry costs, against the engine stand-in directly.
//!
//! Both run the same closed-loop load in turns, in one run, so that whatever
//! else the machine does falls on both.

pub(crate) mod process;
mod programs;
mod rounds;

use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;

use crate::load::client::Caller;
use process::Usage;
use programs::Programs;
use rounds::Rounds;

/// Callers that wait for one answer at a time while latency is measured: few,
/// so that nothing queues.
const FEW: usize = 4;

/// Callers while throughput is measured: more than there are cores.
const MANY: usize = 64;

/// Adapters that are asked for; they stay loaded, so that no load is measured.
const HOT: usize = 16;

/// What an entry adds to a request: latency, throughput, memory.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "path")]
pub struct PathArgs {
    /// seed of prompts and adapters
    #[argh(option, default = "1")]
    pub seed: u64,
    /// adapters that are configured
    #[argh(option, default = "14_000")]
    pub adapters: usize,
    /// how often direct and entry take turns
    #[argh(option, default = "16")]
    pub rounds: u32,
    /// milliseconds of one turn
    #[argh(option, default = "500")]
    pub turn_ms: u64,
    /// folder of the programs; the one this program is in when left out
    #[argh(option)]
    pub programs: Option<PathBuf>,
}

/// Why nothing could be measured.
#[derive(Debug)]
pub enum PathError {
    /// A program could not be started, or its figures not be read.
    Program(std::io::Error),
    /// A program did not become ready; which, and what it said.
    Ready(String),
    /// An answer was not whole and right.
    Answer(String),
}

impl fmt::Display for PathError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Program(e) => write!(
                f,
                "a program cannot be run: {e}; all stand in one folder (cargo build --release --workspace --bins)"
            ),
            Self::Ready(what) => write!(f, "not ready: {what}"),
            Self::Answer(what) => write!(f, "a request was not answered: {what}"),
        }
    }
}

impl std::error::Error for PathError {}

impl From<std::io::Error> for PathError {
    fn from(e: std::io::Error) -> Self {
        Self::Program(e)
    }
}

/// Measures and prints; the last line begins with `path:`.
///
/// # Errors
///
/// When a program cannot be started or does not become ready, or an answer is
/// not whole and right.
pub fn run(args: &PathArgs) -> Result<(), PathError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(measure(args))
}

async fn measure(args: &PathArgs) -> Result<(), PathError> {
    let programs = Programs::start(args)?;
    programs.configure(args).await?;
    let direct = Caller::new(programs.engine);
    let entry = Caller::new(programs.entry);
    rounds::warm(&entry, HOT).await?;
    let turn = Duration::from_millis(args.turn_ms);
    let before = [programs.usage_entry()?, programs.usage_control()?];
    let mut few = Rounds::new(args.seed, FEW);
    let mut many = Rounds::new(args.seed, MANY);
    for round in 1..=args.rounds {
        few.take_turns(&direct, &entry, turn).await?;
        many.take_turns(&direct, &entry, turn).await?;
        eprintln!("round {round} of {}", args.rounds);
    }
    let after = [programs.usage_entry()?, programs.usage_control()?];
    print_machine()?;
    let requests = print_details("few", &few) + print_details("many", &many);
    print_processes(before, after, requests);
    let rss = after.iter().map(|u| u.rss_mb).fold(0.0, f64::max);
    println!(
        "path: added_p50_us={} added_p99_us={} ratio_rps={:.3} rss_mb={rss:.1}",
        few.added_us(50.0),
        few.added_us(99.0),
        many.ratio(),
    );
    programs.stop();
    Ok(())
}

/// What else the machine did matters to every figure.
fn print_machine() -> Result<(), PathError> {
    let cores = std::thread::available_parallelism()?;
    let load = std::fs::read_to_string("/proc/loadavg")?;
    let minute = load.split(' ').next().unwrap_or("");
    println!("machine: cores={cores} load_1min={minute}");
    Ok(())
}

/// Prints all turns of both sides together; gives the entry's answers.
fn print_details(name: &str, rounds: &Rounds) -> u64 {
    let (direct, entry) = rounds.sum();
    for (way, side) in [("direct", &direct), ("entry", &entry)] {
        println!(
            "{name} callers, {way}: rps={:.0} p50_us={} p99_us={} requests={}",
            side.rps(),
            side.us(50.0),
            side.us(99.0),
            side.answered()
        );
    }
    entry.answered()
}

fn print_processes(before: [Usage; 2], after: [Usage; 2], requests: u64) {
    for (name, (b, a)) in ["entry", "control"].iter().zip(before.iter().zip(&after)) {
        println!(
            "{name}: rss_mb={:.1} cpu_us_per_request={:.1}",
            a.rss_mb,
            (a.cpu_ms - b.cpu_ms) * 1_000.0 / requests.max(1) as f64
        );
    }
}
