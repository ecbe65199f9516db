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

/// What `GET /load` answers.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineReport {
    /// The upstream's start.
    pub incarnation: u64,
    /// How old the numbers are, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// Requests in the batch.
    #[serde(default)]
    pub running: u32,
    /// Requests that wait.
    #[serde(default)]
    pub waiting: u32,
    /// Adapter versions in the slots; names that are none are passed over.
    #[serde(default)]
    pub loaded: BTreeSet<String>,
    /// Whether the upstream is leaving.
    #[serde(default)]
    pub leaving: bool,
}

impl EngineReport {
    /// The report as the pool takes it.
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

/// Reads an upstream's load report.
///
/// # Errors
///
/// Those of [`OrderError`].
pub async fn read_report(
    orders: &OrderClient,
    from: SocketAddr,
) -> Result<EngineReport, OrderError> {
    parse(&orders.get(from, "/load").await?)
}
