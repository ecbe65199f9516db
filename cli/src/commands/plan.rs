//! `banyan plan`.

use std::path::PathBuf;

use argh::FromArgs;
use banyangauge::operator::Client;
use banyangauge::operator::parse_intent;
use banyangauge::operator::plan_text;
use serde_json::json;

use super::CommandError;
use super::output;

/// Compute the plan of an intent: changes, affected teams and costs.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub(super) struct Plan {
    /// intent file, TOML or JSON
    #[argh(positional)]
    file: PathBuf,
    /// write the plan to this file, for confirm
    #[argh(option)]
    out: Option<PathBuf>,
    /// print the plan as JSON
    #[argh(switch)]
    json: bool,
}

impl Plan {
    pub(super) async fn run(&self, client: &Client) -> Result<(), CommandError> {
        let text = output::read(&self.file)?;
        let intent = parse_intent(&text)
            .map_err(|e| CommandError::Usage(format!("{}: {e}", self.file.display())))?;
        let plan = client.plan(&intent).await?;
        let value = json!(plan);
        if let Some(file) = &self.out {
            output::write(file, &format!("{value:#}\n"))?;
        }
        output::print(self.json, || plan_text(&plan), || value);
        Ok(())
    }
}
