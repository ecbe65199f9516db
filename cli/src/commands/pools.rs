//! `banyan pools`.

use argh::FromArgs;
use banyangauge::operator::Client;
use banyangauge::operator::pools_json;
use banyangauge::operator::pools_text;

use super::CommandError;
use super::output;

/// Show each pool and its replicas as seen by the pool's owner.
#[derive(FromArgs)]
#[argh(subcommand, name = "pools")]
pub(super) struct Pools {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Pools {
    pub(super) async fn run(&self, client: &Client) -> Result<(), CommandError> {
        let pools = client.pools().await?;
        output::print(self.json, || pools_text(&pools), || pools_json(&pools));
        Ok(())
    }
}
