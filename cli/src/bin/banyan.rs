//! `banyan`: the operators' command-line client.

use std::process::ExitCode;

use argh::FromArgs;

#[path = "../commands/mod.rs"]
mod commands;

/// Exit code for wrong usage. `argh` uses 1, which in this program means that the
/// system refused a command.
const USAGE_EXIT_CODE: u8 = 2;

/// Path of standard input.
const STANDARD_INPUT: &str = "/dev/stdin";

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let arguments = expand_input(&arguments);
    let command = match commands::Banyan::from_args(&["banyan"], &arguments) {
        Ok(command) => command,
        Err(exit) => {
            return match exit.status {
                Ok(()) => {
                    println!("{}", exit.output);
                    ExitCode::SUCCESS
                }
                Err(()) => {
                    eprintln!("{}", exit.output);
                    ExitCode::from(USAGE_EXIT_CODE)
                }
            };
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("banyan: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(command.run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("banyan: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}

/// Replaces the file name `-` of the commands that read logs, which `argh` takes for an
/// option, by the path of standard input.
fn expand_input(arguments: &[String]) -> Vec<&str> {
    let command = arguments.iter().position(|a| a == "account" || a == "why");
    let files = command.unwrap_or(arguments.len());
    let expand = |at, argument| match argument {
        "-" if at > files => STANDARD_INPUT,
        argument => argument,
    };
    let arguments = arguments.iter().map(String::as_str).enumerate();
    arguments.map(|(at, a)| expand(at, a)).collect()
}
