//! Mechanisms that can be switched off, to measure what each is worth.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A mechanism that decides something; no promise depends on any of them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// A request waits for a copy of its adapter behind a busy holder.
    CopyWaits,
    /// Adapters of busy holders get second copies.
    SecondCopies,
    /// Adapters are loaded at the first replica in the order of a hash;
    /// without it, at the least busy one.
    Homes,
    /// Among the holders of an adapter, requests that share a beginning meet
    /// at one.
    KeptPrompts,
    /// Replicas in the VM's own availability zone are preferred.
    NearZone,
    /// Replicas whose runs failed lately seem busier.
    FailureWeight,
    /// Fetches from the weight store are held to what it serves.
    FetchPace,
    /// What the weight store serves is learned; without it the first guess
    /// stands.
    FetchWidth,
    /// VMs that wait for a load hear of it at once.
    LoadNews,
    /// Owners hear of requests at their replicas within a few engine steps;
    /// without it, with the next beacon.
    EarlyReports,
    /// Long prompts take turns where they hold up streams.
    PromptTurns,
    /// Orders without an answer are given again soon.
    OrderRepeats,
    /// One VM asks the store and tells the others; without it each asks.
    StoreNews,
    /// A replica's owner is asked before a request is sent there.
    PlaceAsks,
    /// VMs tell each other when the keys were surely the newest; without it
    /// each asks the store for itself.
    KeyWitnesses,
    /// One VM for each organisation lends parts of its limit; without it each
    /// has an equal part.
    LimitLenders,
    /// More is borrowed than a request at hand needs where they come often.
    LimitsAhead,
    /// Beacons cross once to each other availability zone and are passed on
    /// there; without it each VM sends its own to all.
    ZoneRelays,
}

/// The table `experiment` of a settings file: what runs without a mechanism.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Mechanisms that are switched off; none by default.
    #[serde(default)]
    pub off: BTreeSet<Mechanism>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    experiment: Experiment,
}

/// Why a file with an experiment was refused.
#[derive(Debug)]
pub struct BadExperiment(String);

impl fmt::Display for BadExperiment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad experiment: {}", self.0)
    }
}

impl std::error::Error for BadExperiment {}

impl Experiment {
    /// Reads the table from TOML.
    ///
    /// ```
    /// use banyangauge::serving::{Experiment, Mechanism};
    /// let e = Experiment::parse("[experiment]\noff = [\"homes\"]").unwrap();
    /// assert!(!e.is_enabled(Mechanism::Homes));
    /// assert!(e.is_enabled(Mechanism::SecondCopies));
    /// ```
    ///
    /// # Errors
    ///
    /// When it names what is no mechanism, or anything else.
    pub fn parse(text: &str) -> Result<Self, BadExperiment> {
        let file: Result<File, _> = toml::from_str(text);
        file.map(|f| f.experiment)
            .map_err(|e| BadExperiment(e.to_string()))
    }

    /// Whether a mechanism runs.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}
