//! `banyan why`.

use std::io::Read;
use std::path::PathBuf;

use argh::FromArgs;
use banyangauge::operator::RequestHistory;

use super::CommandError;

/// Reconstruct the history of a request from the log lines of all VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "why")]
pub(super) struct Why {
    /// request ID, as the caller sent it
    #[argh(positional)]
    id: String,
    /// log files, - for standard input; standard input by default
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl Why {
    pub(super) fn run(&self) -> Result<(), CommandError> {
        let mut history = RequestHistory::new(&self.id);
        for file in &self.files {
            let text = std::fs::read_to_string(file)
                .map_err(|e| CommandError::Usage(format!("{}: {e}", file.display())))?;
            history.add_log(&text);
        }
        if self.files.is_empty() {
            let mut text = String::new();
            std::io::stdin()
                .read_to_string(&mut text)
                .map_err(|e| CommandError::Usage(format!("standard input: {e}")))?;
            history.add_log(&text);
        }
        print!("{}", history.render());
        Ok(())
    }
}
