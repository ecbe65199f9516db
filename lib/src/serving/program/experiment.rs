//! Mechanisms that can be switched off to measure their effect.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// An optional mechanism; no guarantee depends on any of them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// While the only replicas with a request's adapter are busy, the request may wait until
    /// the adapter is loaded on another one.
    CopyWaits,
    /// Adapters of busy replicas are also loaded on a second replica.
    SecondCopies,
    /// Adapters are loaded on the replica that rendezvous hashing ranks first; without it, on
    /// the least busy one.
    Homes,
    /// Requests with a common prompt prefix go to the same one of the replicas that have their
    /// adapter loaded.
    KeptPrompts,
    /// Replicas in the VM's own availability zone are preferred.
    NearZone,
    /// Replicas with recent failures are ranked as if they were busier.
    FailureWeight,
    /// Concurrent fetches from the weight store are limited to its capacity.
    FetchPace,
    /// The capacity of the weight store is learned; without it the initial estimate is kept.
    FetchWidth,
    /// VMs that wait for a load are notified at once when it completes.
    LoadNews,
    /// Owners learn of requests sent to their replicas within a few engine steps; without it,
    /// with the next beacon.
    EarlyReports,
    /// Prefills of long prompts take turns where they stall streams.
    PromptTurns,
    /// Orders without a response are repeated after a short timeout.
    OrderRepeats,
    /// One VM polls the store and notifies the others; without it each VM polls.
    StoreNews,
    /// The owner of a replica is asked before a request is sent there.
    PlaceAsks,
    /// VMs share the time at which the API keys were confirmed to be current; without it each
    /// VM asks the store.
    KeyWitnesses,
    /// One VM per organisation lends parts of its rate limit to the others; without it each VM
    /// has an equal part.
    LimitLenders,
    /// Under frequent requests, a VM borrows more of a rate limit than the current request needs.
    LimitsAhead,
    /// Beacons are sent once to each other availability zone and relayed there; without it each
    /// VM sends its own to all VMs.
    ZoneRelays,
}

/// The table `experiment` of a settings file: the mechanisms to switch off.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The mechanisms that are switched off; none by default.
    #[serde(default)]
    pub off: BTreeSet<Mechanism>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    experiment: Experiment,
}

/// Error for a file whose `experiment` table is invalid.
#[derive(Debug)]
pub struct BadExperiment(String);

impl fmt::Display for BadExperiment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad experiment: {}", self.0)
    }
}

impl std::error::Error for BadExperiment {}

impl Experiment {
    /// Parses the `experiment` table from TOML.
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
    /// If the text is no valid TOML, names an unknown mechanism or has any other key or table.
    pub fn parse(text: &str) -> Result<Self, BadExperiment> {
        let file: Result<File, _> = toml::from_str(text);
        file.map(|f| f.experiment)
            .map_err(|e| BadExperiment(e.to_string()))
    }

    /// Returns whether a mechanism is switched on.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}
