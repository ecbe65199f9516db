//! `banyan-load`: open-loop load by deployment profile.

use std::process::ExitCode;

use banyangauge_bench::load;
use banyangauge_bench::load::LoadArgs;

#[tokio::main]
async fn main() -> ExitCode {
    let args: LoadArgs = argh::from_env();
    match load::run(&args).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("banyan-load: {e}");
            ExitCode::from(2)
        }
    }
}
