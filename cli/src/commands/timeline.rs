//! `banyan timeline`.

use std::path::PathBuf;

use argh::FromArgs;
use banyangauge::operator::Client;
use banyangauge::operator::Filter;
use banyangauge::operator::timeline_html;
use banyangauge::operator::timeline_json;
use banyangauge::operator::timeline_text;

use super::CommandError;
use super::output;
use super::parse_addresses;

/// Merge the events of all processes into one timeline.
#[derive(FromArgs)]
#[argh(subcommand, name = "timeline")]
pub(super) struct Timeline {
    /// entry and control processes to query: ADDR[,ADDR...]; the control
    /// processes of all VMs by default
    #[argh(option)]
    processes: Option<String>,
    /// show only events of this request
    #[argh(option, default = "String::new()")]
    request: String,
    /// show only events of this adapter: ADAPTER@VERSION
    #[argh(option, default = "String::new()")]
    adapter: String,
    /// show only events of this upstream
    #[argh(option, default = "String::new()")]
    upstream: String,
    /// show only events of this pool
    #[argh(option, default = "String::new()")]
    pool: String,
    /// maximum number of events per process; 0 for as many as a reply can hold
    #[argh(option, default = "0")]
    most: u32,
    /// write a self-contained HTML page to this file
    #[argh(option)]
    html: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Timeline {
    pub(super) async fn run(&self, client: &Client) -> Result<(), CommandError> {
        let processes = match &self.processes {
            Some(text) => parse_addresses(text)?,
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
