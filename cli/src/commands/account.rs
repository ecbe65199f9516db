//! `banyan account`.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use banyangauge::operator::LogAccount;
use banyangauge::operator::account_json;
use banyangauge::operator::account_text;

use super::CommandError;
use super::output;

/// Account for requests, loads and orders in the log lines of all VMs.
///
/// Counts requests by outcome, waits, loads and orders: in all, by route, by rank and by
/// tenth of the time covered.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "account",
    note = "A request is one arrival of an ID at a VM; it has exactly one outcome, so the
outcomes add up to the requests seen. Requests that were answered in time and
waited less than 20 ms have no line and are in no count. in_time counts the
requests of which no line says that they were late, refused, failed or given up.
A load that took under a quarter of the median is taken as cached."
)]
pub(super) struct Account {
    /// log files, - for standard input; standard input by default
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Account {
    pub(super) fn run(&self) -> Result<(), CommandError> {
        let mut log = LogAccount::default();
        for file in &self.files {
            add_file(&mut log, file)?;
        }
        if self.files.is_empty() {
            let failed = |e| CommandError::Usage(format!("standard input: {e}"));
            add_lines(&mut log, std::io::stdin().lock()).map_err(failed)?;
        }
        let account = log.finish();
        output::print(
            self.json,
            || account_text(&account),
            || account_json(&account),
        );
        Ok(())
    }
}

fn add_file(log: &mut LogAccount, file: &Path) -> Result<(), CommandError> {
    let failed = |e| CommandError::Usage(format!("{}: {e}", file.display()));
    let opened = File::open(file).map_err(failed)?;
    add_lines(log, BufReader::new(opened)).map_err(failed)
}

/// Adds lines one by one, as the logs of a day may not fit in memory. Lines that were cut
/// inside a character are kept, so that they are counted.
fn add_lines(log: &mut LogAccount, mut input: impl BufRead) -> std::io::Result<()> {
    let mut line = Vec::new();
    while input.read_until(b'\n', &mut line)? > 0 {
        log.add_line(&String::from_utf8_lossy(&line));
        line.clear();
    }
    Ok(())
}
