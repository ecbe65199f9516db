//! `banyan check-settings`.

use std::path::PathBuf;

use argh::FromArgs;
use banyangauge::operator::ClientSettings;
use banyangauge::settings::load;
use serde_json::json;

use super::CommandError;
use super::output;

/// Check a settings file without starting anything.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-settings")]
pub(super) struct CheckSettings {
    /// the settings file
    #[argh(positional)]
    file: PathBuf,
    /// the program it is for: banyan
    #[argh(option, default = "String::from(\"banyan\")")]
    program: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl CheckSettings {
    pub(super) fn run(&self) -> Result<(), CommandError> {
        let result = match self.program.as_str() {
            "banyan" => load::<ClientSettings>(&self.file).map(drop),
            other => {
                return Err(CommandError::Usage(format!(
                    "--program: found {other}, allowed is banyan"
                )));
            }
        };
        result.map_err(|e| CommandError::Usage(e.to_string()))?;
        output::print(
            self.json,
            || format!("{}: good\n", self.file.display()),
            || json!({"file": self.file, "good": true}),
        );
        Ok(())
    }
}
