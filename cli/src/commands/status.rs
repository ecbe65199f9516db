//! `banyan status`.

use argh::FromArgs;
use banyangauge::operator::Client;
use banyangauge::operator::status_json;
use banyangauge::operator::status_text;

use super::CommandError;
use super::output;

/// Show the VMs, the active revision of each, and the owner of each pool.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(super) struct Status {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Status {
    pub(super) async fn run(&self, client: &Client) -> Result<(), CommandError> {
        let status = client.status().await?;
        output::print(self.json, || status_text(&status), || status_json(&status));
        Ok(())
    }
}
