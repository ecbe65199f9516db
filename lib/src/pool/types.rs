//! What goes into a pool's decisions and what comes out.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AdapterVersion;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::ReplicaName;
use crate::ids::TeamName;

/// Microseconds on the owner's monotonic clock.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Moment(pub u64);

/// Microseconds of duration.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Span {
    /// A span of whole milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Whole milliseconds, rounded up, as `Retry-After` arithmetic needs it.
    pub const fn as_millis(self) -> u64 {
        self.0.div_ceil(1_000)
    }
}

impl Moment {
    /// The moment `span` later.
    pub const fn after(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// How long after `earlier` this is; zero when it is not.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// One request's place in the pool, given by the owner; never used again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// One order to an engine, given by the pool; never used again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OrderId(pub u64);

/// What a request needs of the pool, and how urgently.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits for the first token.
    Interactive,
    /// A short call to a plain service.
    Call,
    /// Long work that fills what the others leave, above its floor.
    Long,
}

/// A request that asks for a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The owner's number for it.
    pub ticket: Ticket,
    /// Who pays.
    pub team: TeamName,
    /// The adapter version; `None` for a plain service.
    pub adapter: Option<AdapterVersion>,
    /// Its class.
    pub class: Class,
    /// When its caller no longer wants the answer.
    pub deadline: Moment,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// The most tokens it may generate.
    pub max_tokens: u32,
    /// Hash of the prompt's head; 0 is none.
    pub prefix: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Hash of the whole request.
    pub fingerprint: Fingerprint,
    /// Tries before this one.
    pub attempt: u32,
    /// Replicas that it should not go to.
    pub avoid: BTreeSet<ReplicaName>,
}

/// Why a request was refused; it did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Its deadline cannot be met, or has passed while it waited.
    Deadline,
    /// The queue of its class or team is full.
    QueueFull,
    /// No replica takes work.
    NoReplica,
    /// Its adapter could not be loaded.
    LoadFailed,
    /// It crashes its upstream.
    Convicted,
    /// The retry budget is spent.
    RetryBudget,
    /// The owner is stopping or has lost the pool.
    Draining,
}

impl Reason {
    /// The word for it in error bodies and on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::QueueFull => "queue_full",
            Self::NoReplica => "no_replica",
            Self::LoadFailed => "load_failed",
            Self::Convicted => "convicted",
            Self::RetryBudget => "retry_budget",
            Self::Draining => "draining",
        }
    }
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The whole answer was passed on.
    Answered,
    /// The upstream refused it before running it.
    NotRun,
    /// The connection broke before the first byte of the answer.
    BrokenEarly,
    /// It broke after the first byte.
    BrokenLate,
    /// The caller went away.
    Cancelled,
    /// The answer named another adapter, version or request.
    WrongIdentity,
}

/// The end of a dispatch.
#[derive(Clone, Debug)]
pub struct DispatchEnd {
    /// Which request.
    pub ticket: Ticket,
    /// How it ended.
    pub outcome: Outcome,
    /// Tokens that were passed on.
    pub tokens: u32,
    /// From dispatch to the first byte; zero when there was none.
    pub first_byte: Span,
    /// From dispatch to the end.
    pub total: Span,
}

/// A dispatch that a new owner learns of from an entry.
#[derive(Clone, Debug)]
pub struct InheritedDispatch {
    /// The owner's number for it.
    pub ticket: Ticket,
    /// Where it runs.
    pub replica: ReplicaName,
    /// The upstream's incarnation it was granted for.
    pub incarnation: Incarnation,
    /// What it runs on.
    pub adapter: Option<AdapterVersion>,
    /// Who pays.
    pub team: TeamName,
    /// Its class.
    pub class: Class,
    /// The most tokens it may generate.
    pub max_tokens: u32,
    /// Hash of the whole request.
    pub fingerprint: Fingerprint,
}

/// A replica as configured.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaSpec {
    /// Its name.
    pub name: ReplicaName,
    /// Adapter slots; 0 for a plain service.
    pub slots: u32,
    /// Requests that run in one engine step at the most.
    pub batch: u32,
}

/// A load report of a replica; it lags by `age`.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Which replica.
    pub replica: ReplicaName,
    /// Its incarnation when it reported.
    pub incarnation: Incarnation,
    /// How old the report is.
    pub age: Span,
    /// Requests in its batch.
    pub running: u32,
    /// Requests that wait in the engine.
    pub waiting: u32,
    /// Adapter versions in its slots.
    pub loaded: BTreeSet<AdapterVersion>,
}

/// Whether a replica may get new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// It takes work.
    Live,
    /// It does not answer; nothing new until it does.
    Suspect,
    /// It is leaving: nothing new, what runs may finish.
    Leaving,
    /// It is gone.
    Gone,
}

/// What a pool decided; the owner carries it out in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Dispatch the request.
    Grant {
        /// Which request.
        ticket: Ticket,
        /// Where.
        replica: ReplicaName,
        /// The incarnation the pool believes in.
        incarnation: Incarnation,
        /// The engine's priority; lower is earlier.
        priority: i32,
    },
    /// Tell the caller that it did not run.
    Refuse {
        /// Which request.
        ticket: Ticket,
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Span,
    },
    /// Unload `evict` (nothing granted uses it), then load `adapter`.
    Load {
        /// The order's number, given back with its end.
        order: OrderId,
        /// Where.
        replica: ReplicaName,
        /// The incarnation the pool believes in.
        incarnation: Incarnation,
        /// What to load.
        adapter: AdapterVersion,
        /// What gives up its slot first.
        evict: Option<AdapterVersion>,
    },
    /// The request crashes its upstream: refuse it everywhere until then.
    Block {
        /// Hash of the request.
        fingerprint: Fingerprint,
        /// How long the verdict holds.
        hold: Span,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderEnd {
    /// The engine did all of it.
    Done,
    /// The eviction may have happened, the load did not.
    Failed,
    /// Not known; the next load report settles it.
    Unknown,
    /// The engine holds a higher fencing token.
    Fenced,
}

/// What a deployment weighs more.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Requests that wait for their adapter (Tavuki).
    Stalls,
    /// Fullness of each engine step (Rezago).
    Batch,
}

/// Relative shares of teams; a team that is not named has 1.
pub type Shares = BTreeMap<TeamName, u32>;
