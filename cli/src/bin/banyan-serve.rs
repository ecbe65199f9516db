//! `banyan-serve`: serves callers' requests on one VM, with the whole request path
//! in one process and the platform's store.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use banyangauge::serving;
use banyangauge::serving::Experiment;
use banyangauge::telemetry::log_panics;
use banyangauge::telemetry::start_metrics;
use banyangauge::telemetry::stdout_logger;
use banyangauge_platform::SETTINGS_VARIABLE;
use banyangauge_platform::load_settings;

/// Serve callers' requests on one VM; BANYANGAUGE_CONFIG names the settings file.
#[derive(FromArgs)]
struct Options {
    /// settings file; overrides BANYANGAUGE_CONFIG
    #[argh(option)]
    settings: Option<PathBuf>,
    /// address on which to serve metrics; metrics are disabled without it
    #[argh(option)]
    metrics: Option<SocketAddr>,
    /// TOML file whose table `experiment` disables mechanisms, to measure their
    /// effect
    #[argh(option)]
    experiment: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match start(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("banyan-serve: {e}");
            ExitCode::FAILURE
        }
    }
}

fn start(options: &Options) -> Result<(), Box<dyn std::error::Error>> {
    let from_env = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let path = options.settings.clone().or(from_env);
    let path = path.ok_or(format!(
        "no settings file: pass --settings or set {SETTINGS_VARIABLE}"
    ))?;
    let mut settings = load_settings(&path)?;
    if let Some(file) = &options.experiment {
        settings.experiment = Experiment::parse(&std::fs::read_to_string(file)?)?;
    }
    if options.check {
        return Ok(());
    }
    let log = stdout_logger("banyan-serve");
    log_panics(log.clone());
    let store = banyangauge_platform::store(settings.store_address);
    let codec = banyangauge_platform::codec();
    let reload = || load_settings(&path).map_err(|e| e.to_string());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    let server = async {
        if let Some(address) = options.metrics {
            start_metrics(address, &log)?;
        }
        let run = serving::run(settings, codec, store, log.clone(), reload);
        run.await.map_err(|e| e.to_string())
    };
    tasks.block_on(&runtime, server)?;
    Ok(())
}
