//! What is played.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use banyangauge::serving::Mechanism;
use serde::Deserialize;

use super::ExperimentError;

/// A plan, as its TOML file has it. Paths are taken from the working folder.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The program that plays days.
    pub player: PathBuf,
    /// Where the checkouts and the results go.
    pub folder: PathBuf,
    /// Files of deployments.
    pub sites: Vec<PathBuf>,
    /// Names of days; each is played on each deployment.
    pub days: Vec<String>,
    /// Seeds; each day is played with each.
    pub seeds: Vec<u64>,
    /// Mechanisms that are switched off, one at a time. The whole is played in
    /// any case.
    pub mechanisms: Vec<Mechanism>,
    /// Days that are played at a time.
    pub jobs: usize,
    /// Further arguments of the player.
    #[serde(default)]
    pub arguments: Vec<String>,
}

/// What is played: the whole, or the whole without a mechanism.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Variant(pub Option<Mechanism>);

impl fmt::Display for Variant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            None => write!(f, "whole"),
            Some(mechanism) => {
                let word = serde_json::to_string(&mechanism).map_err(|_| fmt::Error)?;
                write!(f, "{}", word.trim_matches('"'))
            }
        }
    }
}

impl Plan {
    /// Reads a plan.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or is wrong.
    pub fn load(path: &Path) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|e| ExperimentError::File(path.to_owned(), e))?;
        Self::parse(&text)
    }

    /// Reads a plan from TOML.
    ///
    /// # Errors
    ///
    /// When it is wrong.
    pub fn parse(text: &str) -> Result<Self, ExperimentError> {
        let plan: Self = toml::from_str(text).map_err(|e| ExperimentError::Plan(e.to_string()))?;
        match plan.jobs {
            0 => Err(ExperimentError::Plan("jobs: at least one".to_owned())),
            _ => Ok(plan),
        }
    }

    /// The whole, and the whole without each mechanism.
    pub fn variants(&self) -> Vec<Variant> {
        let off = self.mechanisms.iter().map(|m| Variant(Some(*m)));
        std::iter::once(Variant(None)).chain(off).collect()
    }
}
