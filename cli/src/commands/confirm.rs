//! `banyan confirm`.

use std::path::PathBuf;

use argh::FromArgs;
use banyangauge::operator::Client;
use banyangauge::operator::parse_plan;
use serde_json::json;

use super::CommandError;
use super::output;

/// Apply a plan; confirming it more than once has no further effect.
#[derive(FromArgs)]
#[argh(subcommand, name = "confirm")]
pub(super) struct Confirm {
    /// plan file written by `plan --out`
    #[argh(positional)]
    plan: PathBuf,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

impl Confirm {
    pub(super) async fn run(&self, client: &Client) -> Result<(), CommandError> {
        let text = output::read(&self.plan)?;
        let plan = parse_plan(&text)
            .map_err(|e| CommandError::Usage(format!("{}: {e}", self.plan.display())))?;
        let revision = client.confirm(&plan).await?;
        output::print(
            self.json,
            || format!("applied as revision {revision}\n"),
            || json!({"revision": revision, "operation": plan.operation}),
        );
        Ok(())
    }
}
