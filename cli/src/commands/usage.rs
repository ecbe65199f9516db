//! `banyan usage`.

use argh::FromArgs;
use banyangauge::operator::Client;
use banyangauge::operator::usage_json;
use banyangauge::operator::usage_text;

use super::CommandError;
use super::output;

/// Show the usage of each team by adapter version.
#[derive(FromArgs)]
#[argh(subcommand, name = "usage")]
pub(super) struct Usage {
    /// show only this team or adapter
    #[argh(positional)]
    filter: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Usage {
    pub(super) async fn run(&self, client: &Client) -> Result<(), CommandError> {
        let filter = self.filter.as_deref().unwrap_or_default();
        let counts = client.usage(filter).await?;
        output::print(self.json, || usage_text(&counts), || usage_json(&counts));
        Ok(())
    }
}
