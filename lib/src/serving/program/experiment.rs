//! Mechanisms that can be switched off to measure their effect.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// An optional mechanism; no guarantee depends on any of them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// A request may wait for a copy: while the only replicas with its adapter are busy, it
    /// waits until the adapter is loaded on another one.
    CopyWaits,
    /// Second copies: adapters of busy replicas are also loaded on a second replica.
    SecondCopies,
    /// Each adapter has a home, the replica that rendezvous hashing ranks first, and is loaded
    /// there; without it, on the least busy replica.
    Homes,
    /// Requests with a common prompt prefix go to the same one of the replicas that have their
    /// adapter loaded, whose engine may have kept the prefix in its cache.
    KeptPrompts,
    /// Replicas in the VM's own availability zone are preferred.
    NearZone,
    /// Replicas with recent failures are ranked as if they were busier.
    FailureWeight,
    /// The pace of fetches: concurrent fetches from the weight store are limited to its
    /// capacity.
    FetchPace,
    /// The width of fetches: how many the weight store can serve at once is learned; without
    /// it the initial estimate is kept.
    FetchWidth,
    /// News of loads: VMs that wait for a load are notified at once when the adapters of its
    /// replica change; without it, with the next beacon.
    LoadNews,
    /// Requests sent to a replica are reported to its owner early, within a few engine steps;
    /// without it, with the next beacon.
    EarlyReports,
    /// Prefills of long prompts take turns where they stall streams.
    PromptTurns,
    /// Orders without a response are repeated after a short timeout.
    OrderRepeats,
    /// News from the store: one VM polls the store and sends the changes to the others;
    /// without it each VM polls.
    StoreNews,
    /// Placement asks: the owner of a replica is asked before a request is sent there.
    PlaceAsks,
    /// VMs send each other witnesses, which prove when the API keys were last current; without
    /// it each VM asks the store.
    KeyWitnesses,
    /// Each organisation has a lender, a VM that lends parts of its rate limit to the others;
    /// without it each VM has an equal part.
    LimitLenders,
    /// Under frequent requests, a VM borrows limits ahead: more of a rate limit than the current
    /// request needs.
    LimitsAhead,
    /// Beacons are sent once to each other availability zone and relayed there; without it each
    /// VM sends its own to all VMs.
    ZoneRelays,
    /// The ranks of organisations and routes decide who goes first, and engines are told.
    Ranks,
    /// Requests that wait for a replica are tried in order, by rank and time left; without it
    /// all of them try at each wake-up.
    WaitOrder,
    /// Requests are refused at arrival if those before them will not leave in time.
    EarlyRefusals,
    /// Load requests are served by what waits for them; without it in order of arrival.
    LoadOrder,
    /// Owners count the runs that they grant as uses, so that an adapter may be evicted sooner
    /// after its last use.
    GrantedUses,
    /// Owners report how many adapters could be loaded at once, and rare adapters are loaded
    /// where that is possible.
    Vacancies,
    /// The timeout for the response to an order follows from the observed response times.
    OrderTimeouts,
    /// While the weight store is busy, only adapters that are requested often get second
    /// copies.
    CopyDemand,
    /// The prefill speed of each replica is observed; without it all are taken as equal.
    ReplicaSpeeds,
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
        write!(f, "invalid `experiment` table: {}", self.0)
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
