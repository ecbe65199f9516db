//! Which faults a run meets, and when; the same for the same seed.

use std::fmt;
use std::str::FromStr;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::Fault;

/// Calls of one run.
const CALLS: usize = 240;

/// Calls of a run in which an upstream leaves: they go on for longer than it
/// may get new work.
const CALLS_LEAVING: usize = 700;

/// The most tokens of a completion, and where streams must be under way when a
/// program is told to stop.
const TOKENS: u32 = 60;
const TOKENS_STOPPING: u32 = 500;

/// A promise of the brief.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A refusal that says "not run" is true.
    NotRunTrue,
    /// A caller gets the whole answer to its own request.
    WholeAnswer,
    /// A request runs on the adapter and version that it names.
    ExactVersion,
    /// An adapter in use is never evicted.
    NoEvictInUse,
    /// A leaving upstream gets nothing new after a few seconds.
    LeavingDrains,
    /// A planned stop cuts off nothing.
    GracefulStop,
    /// An accepted configuration is in force in seconds and never reverts.
    ConfigInForce,
    /// Each use is attributed to its team.
    UsageAttributed,
}

impl Promise {
    /// All of them, in the order of harm.
    pub const ALL: [Self; 9] = [
        Self::AtMostOnce,
        Self::NotRunTrue,
        Self::WholeAnswer,
        Self::ExactVersion,
        Self::NoEvictInUse,
        Self::LeavingDrains,
        Self::GracefulStop,
        Self::ConfigInForce,
        Self::UsageAttributed,
    ];

    /// Its name on the command line.
    pub const fn word(self) -> &'static str {
        match self {
            Self::AtMostOnce => "at_most_once",
            Self::NotRunTrue => "not_run_true",
            Self::WholeAnswer => "whole_answer",
            Self::ExactVersion => "exact_version",
            Self::NoEvictInUse => "no_evict_in_use",
            Self::LeavingDrains => "leaving_drains",
            Self::GracefulStop => "graceful_stop",
            Self::ConfigInForce => "config_in_force",
            Self::UsageAttributed => "usage_attributed",
        }
    }

    // The faults that threaten this promise most.
    fn menu(self) -> &'static [Fault] {
        match self {
            Self::AtMostOnce => &[
                Fault::ServiceDrop(3),
                Fault::ServiceRefuse(3),
                Fault::PlatformLose(4),
                Fault::PlatformDown(1_500),
                Fault::KillControl,
                Fault::FreezeControl(5_000),
                Fault::KillEntry,
            ],
            Self::NotRunTrue => &[
                Fault::ServiceRefuse(4),
                Fault::ServiceDrop(4),
                Fault::EngineRestart,
                Fault::EngineDropBefore(4),
                Fault::FailLoads(3),
                Fault::PlatformDown(1_500),
                Fault::KillControl,
            ],
            Self::WholeAnswer => &[
                Fault::EngineDrop(4),
                Fault::EngineDropBefore(4),
                Fault::EngineCross(4),
                Fault::EngineLate(300),
                Fault::EngineRestart,
                Fault::KillControl,
            ],
            Self::ExactVersion => &[
                Fault::EngineCross(4),
                Fault::EngineRestart,
                Fault::FailLoads(3),
                Fault::OperatorRace,
                Fault::KillControl,
                Fault::PlatformLose(4),
            ],
            Self::NoEvictInUse => &[
                Fault::KillControl,
                Fault::FreezeControl(5_000),
                Fault::StopControl,
                Fault::PlatformDown(2_500),
                Fault::PlatformLose(4),
                Fault::EngineSlow(1_500),
            ],
            Self::LeavingDrains => &[Fault::EngineLeaves, Fault::ListedLeaving],
            Self::GracefulStop => &[Fault::StopEntry, Fault::StopControl],
            Self::ConfigInForce => &[
                Fault::OperatorRace,
                Fault::PlatformLose(4),
                Fault::PlatformDown(1_500),
                Fault::KillControl,
                Fault::FreezeControl(4_000),
                Fault::RestartInOutage(2_000),
            ],
            Self::UsageAttributed => &[
                Fault::KillEntry,
                Fault::StopEntry,
                Fault::KillControl,
                Fault::EngineDrop(4),
                Fault::PlatformDown(1_500),
            ],
        }
    }

    // The second fault of a pair. A planned stop is proved beside other planned
    // changes only: a kill beside it cuts off what it cuts off.
    fn partners(self) -> &'static [Fault] {
        match self {
            Self::GracefulStop => &[
                Fault::StopEntry,
                Fault::StopControl,
                Fault::EngineLeaves,
                Fault::OperatorRace,
            ],
            _ => &[
                Fault::KillControl,
                Fault::FreezeControl(4_500),
                Fault::PlatformDown(1_500),
                Fault::PlatformLose(3),
                Fault::PlatformSlow(800),
                Fault::EngineRestart,
                Fault::EngineSlow(1_000),
                Fault::FailLoads(2),
                Fault::OperatorRace,
            ],
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

impl FromStr for Promise {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        Self::ALL
            .into_iter()
            .find(|p| p.word() == s)
            .ok_or_else(|| {
                let all: Vec<_> = Self::ALL.iter().map(|p| p.word()).collect();
                format!("no promise {s:?}; there are {}", all.join(", "))
            })
    }
}

/// One run: its promise, its seed, its faults.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// What is proved first; every checker runs all the same.
    pub promise: Promise,
    /// The seed.
    pub seed: u64,
    /// Calls to send.
    pub calls: usize,
    /// The most tokens of a completion.
    pub tokens: u32,
    /// Faults, each with the number of calls begun before it.
    pub faults: Vec<(usize, Fault)>,
    /// Whether the engines honour fencing tokens.
    pub honours_token: bool,
}

impl Schedule {
    /// The schedule of a seed, with one fault or an overlapping pair.
    pub fn new(promise: Promise, seed: u64, pairs: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first_at = rng.random_range(30..90);
        let mut faults = Vec::new();
        if let Some(first) = promise.menu().choose(&mut rng) {
            faults.push((first_at, *first));
        }
        if pairs && let Some(second) = promise.partners().choose(&mut rng) {
            faults.push((first_at + rng.random_range(0..40), *second));
        }
        Self {
            promise,
            seed,
            calls: match promise {
                Promise::LeavingDrains => CALLS_LEAVING,
                _ => CALLS,
            },
            tokens: match promise {
                Promise::GracefulStop => TOKENS_STOPPING,
                _ => TOKENS,
            },
            faults,
            honours_token: rng.random_range(0..3) > 0,
        }
    }

    /// The command that runs this seed again.
    pub fn command(&self) -> String {
        let kind = if self.faults.len() > 1 {
            "pairs"
        } else {
            "single"
        };
        format!(
            "scripts/prove --promise {} --seeds 1 --first-seed {} --faults {kind}",
            self.promise, self.seed
        )
    }
}
