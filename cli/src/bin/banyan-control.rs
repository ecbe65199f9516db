//! `banyan-control`: runs the control process of a VM.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use banyangauge::control;
use banyangauge::control::ControlSettings;
use banyangauge::settings;

/// Own pools, distribute the configuration and record usage on one VM.
#[derive(FromArgs)]
struct Options {
    /// settings file, TOML; settings/control.toml explains each key
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let settings: ControlSettings = match settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("banyan-control: {e}");
            return ExitCode::from(2);
        }
    };
    match control::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("banyan-control: {e}");
            ExitCode::FAILURE
        }
    }
}
