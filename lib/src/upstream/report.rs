//! Load reports of upstreams.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;

use super::orders::OrderClient;
use super::orders::OrderError;
use super::orders::parse;
use crate::ids::Incarnation;
use crate::ids::ReplicaName;
use crate::pool::LoadReport;
use crate::pool::Span;

/// The body of a response to `GET /load`.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineReport {
    /// Incarnation of the upstream.
    pub incarnation: u64,
    /// Age of the report's figures, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// Number of requests in the batch.
    #[serde(default)]
    pub running: u32,
    /// Number of requests in the queue.
    #[serde(default)]
    pub waiting: u32,
    /// Adapter versions in the slots; malformed names are ignored.
    #[serde(default)]
    pub loaded: BTreeSet<String>,
    /// Whether the upstream is shutting down.
    #[serde(default)]
    pub leaving: bool,
}

impl EngineReport {
    /// Converts the report for the pool.
    ///
    /// ```
    /// use banyangauge::ids::ReplicaName;
    /// use banyangauge::upstream::EngineReport;
    /// let text = r#"{"incarnation":7,"age_ms":20,"loaded":["a@1"],"leaving":false}"#;
    /// let report: EngineReport = serde_json::from_str(text).unwrap();
    /// let load = report.to_load_report(&ReplicaName::new("r-1").unwrap());
    /// assert_eq!((load.incarnation.0, load.loaded.len()), (7, 1));
    /// ```
    pub fn to_load_report(&self, replica: &ReplicaName) -> LoadReport {
        LoadReport {
            replica: replica.clone(),
            incarnation: Incarnation(self.incarnation),
            age: Span::from_millis(self.age_ms),
            running: self.running,
            waiting: self.waiting,
            loaded: self.loaded.iter().filter_map(|a| a.parse().ok()).collect(),
        }
    }
}

/// Fetches the load report of an upstream.
///
/// # Errors
///
/// Those of [`OrderError`].
pub async fn read_report(
    client: &OrderClient,
    from: SocketAddr,
) -> Result<EngineReport, OrderError> {
    parse(&client.get(from, "/load").await?)
}
