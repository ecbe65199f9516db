//! `banyan check-settings`.

use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use banyangauge::control::ControlSettings;
use banyangauge::entry::EntrySettings;
use banyangauge::operator::ClientSettings;
use banyangauge::settings::SettingsError;
use banyangauge::settings::load;
use serde_json::json;

use super::CommandError;
use super::output;

/// Check a settings file without starting anything.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-settings")]
pub(super) struct CheckSettings {
    /// settings file
    #[argh(positional)]
    file: PathBuf,
    /// program that the file is for: banyan, banyan-control or banyan-entry;
    /// tries each in turn by default
    #[argh(option)]
    program: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// The programs whose settings can be checked.
const PROGRAMS: [&str; 3] = ["banyan", "banyan-control", "banyan-entry"];

impl CheckSettings {
    pub(super) fn run(&self) -> Result<(), CommandError> {
        let only = self.program.as_deref();
        if let Some(other) = only.filter(|p| !PROGRAMS.contains(p)) {
            return Err(CommandError::Usage(format!(
                "--program: found {other}, expected one of {}",
                PROGRAMS.join(", ")
            )));
        }
        let mut errors = Vec::new();
        for program in PROGRAMS {
            if only.is_some_and(|o| o != program) {
                continue;
            }
            match check(program, &self.file) {
                Ok(()) => {
                    self.print(program);
                    return Ok(());
                }
                Err(e) => errors.push(format!("invalid settings for {program}: {e}")),
            }
        }
        Err(CommandError::Usage(errors.join("\n")))
    }

    fn print(&self, program: &str) {
        output::print(
            self.json,
            || format!("{}: valid settings for {program}\n", self.file.display()),
            || json!({"file": self.file, "program": program}),
        );
    }
}

fn check(program: &str, file: &Path) -> Result<(), SettingsError> {
    match program {
        "banyan" => load::<ClientSettings>(file).map(drop),
        "banyan-control" => load::<ControlSettings>(file).map(drop),
        _ => load::<EntrySettings>(file).map(drop),
    }
}
