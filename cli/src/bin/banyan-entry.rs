//! `banyan-entry`: accepts callers' HTTP requests and forwards them to upstreams.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use banyangauge::entry;
use banyangauge::entry::EntrySettings;
use banyangauge::settings;

/// Accept callers' requests on one VM and forward them to upstreams.
#[derive(FromArgs)]
struct Options {
    /// settings file; settings/entry.toml is a commented example
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match start(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("banyan-entry: {e}");
            ExitCode::FAILURE
        }
    }
}

fn start(options: &Options) -> Result<(), Box<dyn std::error::Error>> {
    let settings: EntrySettings = settings::load(&options.settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()?;
    runtime.block_on(entry::run(settings))?;
    Ok(())
}
