//! Measurements, one a subcommand.

use std::process::ExitCode;

use argh::FromArgs;
use banyangauge_bench::capacity;
use banyangauge_bench::control;
use banyangauge_bench::path;
use banyangauge_bench::policy;

/// Measures banyangauge; each subcommand prints figures and a closing line.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Capacity(capacity::CapacityArgs),
    Control(control::ControlArgs),
    Path(path::PathArgs),
    Policy(policy::Args),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let done = match args.command {
        Command::Capacity(args) => {
            capacity::run(&args);
            Ok(())
        }
        Command::Control(args) => control::run(&args).map_err(|e| e.to_string()),
        Command::Path(args) => path::run(&args).map_err(|e| e.to_string()),
        Command::Policy(args) => policy::run(&args).map_err(|e| e.to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("banyan-measure: {e}");
            ExitCode::FAILURE
        }
    }
}
