//! `banyan adapters`.

use argh::FromArgs;
use banyangauge::operator::Client;
use banyangauge::operator::adapters_text;
use serde_json::json;

use super::CommandError;
use super::output;

/// List adapters, their versions and the teams that they are served to.
#[derive(FromArgs)]
#[argh(subcommand, name = "adapters")]
pub(super) struct Adapters {
    /// show only adapters of this name, team or pool
    #[argh(positional)]
    filter: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Adapters {
    pub(super) async fn run(&self, client: &Client) -> Result<(), CommandError> {
        let filter = self.filter.as_deref().unwrap_or_default();
        let catalog = client.adapters(filter).await?;
        output::print(self.json, || adapters_text(&catalog), || json!(catalog));
        Ok(())
    }
}
