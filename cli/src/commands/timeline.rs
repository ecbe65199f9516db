//! `banyan timeline`.

use std::path::PathBuf;

use argh::FromArgs;
use banyangauge::operator::Client;
use banyangauge::operator::Filter;
use banyangauge::operator::timeline_html;
use banyangauge::operator::timeline_json;
use banyangauge::operator::timeline_text;

use super::CommandError;
use super::addresses;
use super::output;

/// Merge the events of all processes into one time line.
#[derive(FromArgs)]
#[argh(subcommand, name = "timeline")]
pub(super) struct Timeline {
    /// entry and control processes to ask: ADDR[,ADDR...]; the control
    /// processes of all VMs when left out
    #[argh(option)]
    processes: Option<String>,
    /// only this request
    #[argh(option, default = "String::new()")]
    request: String,
    /// only this adapter, as adapter@version
    #[argh(option, default = "String::new()")]
    adapter: String,
    /// only this upstream
    #[argh(option, default = "String::new()")]
    upstream: String,
    /// only this pool
    #[argh(option, default = "String::new()")]
    pool: String,
    /// events of each process at the most
    #[argh(option, default = "0")]
    most: u32,
    /// write one self-contained HTML page to this file
    #[argh(option)]
    html: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Timeline {
    pub(super) async fn run(&self, client: &Client) -> Result<(), CommandError> {
        let processes = match &self.processes {
            Some(text) => addresses(text)?,
            None => client.members().await?,
        };
        let filter = Filter {
            request: self.request.clone(),
            adapter: self.adapter.clone(),
            upstream: self.upstream.clone(),
            pool: self.pool.clone(),
            most: self.most,
        };
        let merged = client.timelines(&processes, &filter).await?;
        for (process, error) in &merged.unreachable {
            eprintln!("banyan: {process}: {error}");
        }
        if let Some(file) = &self.html {
            return output::write(file, &timeline_html(&merged.events, merged.dropped));
        }
        output::print(
            self.json,
            || timeline_text(&merged.events),
            || timeline_json(&merged.events, merged.dropped),
        );
        Ok(())
    }
}
