//! What a deployment's file says of its size and work.

use std::fmt;
use std::path::Path;

use banyangauge::pool::PoolSettings;
use serde::Deserialize;

/// A deployment as measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The settings of its engines' pool.
    pub pool: PoolSettings,
    /// Its engines.
    pub engines: Engines,
    /// What its callers ask for.
    pub work: Work,
}

/// The engines of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// How many.
    pub count: u32,
    /// Adapter slots of each.
    pub slots: u32,
    /// Requests in one step at the most.
    pub batch: u32,
    /// Microseconds that each further request adds to a step.
    pub growth: u64,
    /// Microseconds that each token of a new prompt adds to a step.
    pub prefill: f64,
    /// Prompt heads that an engine's cache holds.
    pub cache: usize,
}

/// What callers ask for; rates in requests a second.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// Adapters there are.
    pub adapters: usize,
    /// Teams that own them.
    pub teams: usize,
    /// The exponent of their popularity by rank.
    pub skew: f64,
    /// Rate of interactive requests.
    pub short: f64,
    /// Rate of long requests in all scenarios but `mixed` and `saturated`.
    pub long: f64,
    /// Rate of long requests in `mixed`.
    pub mixed: f64,
    /// Rates of both in `saturated`.
    pub saturated: [f64; 2],
    /// Mean number of long requests that come together for one adapter.
    pub group: f64,
    /// Mean and most tokens of an interactive answer.
    pub short_tokens: [u32; 2],
    /// Mean and most tokens of a long answer.
    pub long_tokens: [u32; 2],
    /// Milliseconds that an interactive caller waits.
    pub short_deadline: u64,
    /// Milliseconds that a long request may take.
    pub long_deadline: u64,
}

/// Why a deployment's file was refused.
#[derive(Debug)]
pub enum DeploymentError {
    /// It could not be read.
    Read(std::io::Error),
    /// It is not of the expected form.
    Parse(toml::de::Error),
}

impl fmt::Display for DeploymentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(e) => write!(f, "{e}"),
            Self::Parse(e) => write!(f, "{e}"),
        }
    }
}

impl Deployment {
    /// Reads a deployment's file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or is not of the expected form.
    pub fn load(file: &Path) -> Result<Self, DeploymentError> {
        let text = std::fs::read_to_string(file).map_err(DeploymentError::Read)?;
        toml::from_str(&text).map_err(DeploymentError::Parse)
    }
}
