//! `banyan-standin`: runs one stand-in until it is told to stop.

use std::process::ExitCode;

use argh::FromArgs;
use banyangauge_standin::Running;
use banyangauge_standin::engine;
use banyangauge_standin::platform;
use banyangauge_standin::service;
use banyangauge_standin::weights;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Small stand-ins for what stands around banyangauge; for tests, measurements
/// and the demo only. Prints one line `listening ADDRESS control ADDRESS`.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Kind {
    Engine(engine::EngineArgs),
    Service(service::ServiceArgs),
    Platform(platform::PlatformArgs),
    Weights(weights::WeightsArgs),
}

/// Exit code when a second signal ended the program at once.
const CODE_FORCED: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args.kind).await {
        Ok(code) => code,
        Err(e) => {
            eprintln!("banyan-standin: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(kind: Kind) -> std::io::Result<ExitCode> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = start(kind).await?;
    println!("listening {} control {}", running.address, running.control);
    wait_signal(&mut term, &mut interrupt).await;
    Ok(tokio::select! {
        () = running.stop() => ExitCode::SUCCESS,
        () = wait_signal(&mut term, &mut interrupt) => ExitCode::from(CODE_FORCED),
    })
}

async fn start(kind: Kind) -> std::io::Result<Running> {
    match kind {
        Kind::Engine(args) => engine::start(args).await,
        Kind::Service(args) => service::start(args).await,
        Kind::Platform(args) => platform::start(args).await,
        Kind::Weights(args) => weights::start(args).await,
    }
}

async fn wait_signal(term: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}
