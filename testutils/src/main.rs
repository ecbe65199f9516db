//! Runs the proofs over many seeds.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use argh::FromArgs;
use banyangauge_testutils::prove;
use banyangauge_testutils::prove::Promise;
use banyangauge_testutils::prove::Report;
use banyangauge_testutils::prove::Schedule;

/// Runs the real programs under faults and checks what must always hold.
#[derive(FromArgs)]
struct Args {
    /// one promise; all of them by default
    #[argh(option)]
    promise: Option<Promise>,
    /// seeds for each promise
    #[argh(option, default = "4")]
    seeds: u64,
    /// the first seed
    #[argh(option, default = "1")]
    first_seed: u64,
    /// how many faults a run meets: "single" or "pairs"
    #[argh(option, default = "String::from(\"pairs\")")]
    faults: String,
    /// print the schedules and run nothing
    #[argh(switch)]
    list: bool,
    /// runs side by side; each is about a dozen processes
    #[argh(option, default = "3")]
    jobs: usize,
}

#[derive(Default)]
struct Sums {
    runs: usize,
    requests: usize,
    answered: usize,
    faults: usize,
    violations: usize,
    unfinished: usize,
    broken: usize,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let pairs = match args.faults.as_str() {
        "single" => false,
        "pairs" => true,
        other => {
            eprintln!("--faults: found {other:?}, allowed are single and pairs");
            return ExitCode::from(2);
        }
    };
    let promises = args.promise.map_or(Promise::ALL.to_vec(), |p| vec![p]);
    let schedules: Vec<Schedule> = (args.first_seed..args.first_seed + args.seeds)
        .flat_map(|seed| promises.iter().map(move |p| Schedule::new(*p, seed, pairs)))
        .collect();
    if args.list {
        for s in &schedules {
            println!("{} seed {}: {:?}", s.promise, s.seed, s.faults);
        }
        return ExitCode::SUCCESS;
    }
    let sums = run_all(&schedules, args.jobs.max(1));
    println!(
        "prove: runs={} requests={} faults={} violations={} unfinished={} answered={} broken_runs={}",
        sums.runs,
        sums.requests,
        sums.faults,
        sums.violations,
        sums.unfinished,
        sums.answered,
        sums.broken
    );
    match sums.violations + sums.unfinished + sums.broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn run_all(schedules: &[Schedule], jobs: usize) -> Sums {
    let next = Arc::new(AtomicUsize::new(0));
    let sums = Arc::new(Mutex::new(Sums::default()));
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let i = next.fetch_add(1, Ordering::SeqCst);
                    let Some(schedule) = schedules.get(i) else {
                        return;
                    };
                    run_one(schedule, &sums);
                }
            });
        }
    });
    Arc::into_inner(sums)
        .map(|s| s.into_inner().unwrap_or_else(PoisonError::into_inner))
        .unwrap_or_default()
}

fn run_one(schedule: &Schedule, sums: &Mutex<Sums>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let end = runtime.and_then(|r| r.block_on(prove::run(schedule)));
    let mut sums = sums.lock().unwrap_or_else(PoisonError::into_inner);
    sums.runs += 1;
    match end {
        Ok(report) => {
            sums.requests += report.requests;
            sums.answered += report.answered;
            sums.faults += report.faults;
            sums.violations += report.violations.len();
            sums.unfinished += report.unfinished.len();
            tell(schedule, &report);
        }
        Err(e) => {
            sums.broken += 1;
            println!("broken run: {e}\n  {}", schedule.command());
        }
    }
}

fn tell(schedule: &Schedule, report: &Report) {
    println!(
        "{} seed {}: {:?} requests={} answered={} violations={} unfinished={}",
        schedule.promise,
        schedule.seed,
        schedule.faults,
        report.requests,
        report.answered,
        report.violations.len(),
        report.unfinished.len()
    );
    if report.violations.is_empty() && report.unfinished.is_empty() {
        return;
    }
    for line in report.violations.iter().chain(&report.unfinished).take(20) {
        println!("  {line}");
    }
    println!("  {}", schedule.command());
    let file = std::env::temp_dir().join(format!(
        "prove-{}-{}.timeline",
        schedule.promise, schedule.seed
    ));
    match std::fs::write(&file, &report.timeline) {
        Ok(()) => println!("  time line: {}", file.display()),
        Err(e) => println!("  time line not written: {e}"),
    }
}
