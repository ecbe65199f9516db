//! `banyan-experiment`: what each mechanism of the serving path is worth.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use banyangauge_bench::experiment;
use banyangauge_bench::experiment::Plan;

/// Play days with one mechanism switched off at a time; what was played is not
/// played again.
#[derive(FromArgs)]
struct Options {
    /// the plan, a TOML file
    #[argh(positional)]
    plan: PathBuf,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let ran = Plan::load(&options.plan).and_then(|plan| experiment::run(&plan));
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("banyan-experiment: {e}");
            ExitCode::FAILURE
        }
    }
}
