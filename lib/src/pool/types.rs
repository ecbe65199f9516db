//! Inputs and outputs of the pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AdapterVersion;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::ReplicaName;
use crate::ids::TeamName;

/// A point in time, in microseconds on the monotonic clock of the owner.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Moment(pub u64);

/// A duration in microseconds.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Span {
    /// Creates a span from milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns milliseconds, rounded up so that a retry time is never zero or
    /// too short.
    pub const fn as_millis(self) -> u64 {
        self.0.div_ceil(1_000)
    }
}

impl Moment {
    /// Returns the moment `span` later.
    pub const fn after(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// Returns the time elapsed since `earlier`, or zero if it is not earlier.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// Identifies one request in the pool. Assigned by the owner and never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Identifies one load order. Assigned by the pool and never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OrderId(pub u64);

/// Scheduling class of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits for the first token.
    Interactive,
    /// A short call to a plain service.
    Call,
    /// Long work, which uses the capacity that the other classes leave and a
    /// reserved minimum.
    Long,
}

/// A request submitted to the pool.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Team that the request is accounted to.
    pub team: TeamName,
    /// Adapter version; `None` for the bare model or a plain service.
    pub adapter: Option<AdapterVersion>,
    /// Scheduling class.
    pub class: Class,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Moment,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Hash of the prompt prefix; 0 for none.
    pub prefix: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Hash of the complete request.
    pub fingerprint: Fingerprint,
    /// Number of earlier tries.
    pub attempt: u32,
    /// Replicas to avoid if another one can run the request.
    pub avoid: BTreeSet<ReplicaName>,
}

/// Why a request was refused. A refused request did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The deadline cannot be met or has passed.
    Deadline,
    /// The queue of the team and lane is full.
    QueueFull,
    /// No replica accepts work.
    NoReplica,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The request is blocked because it crashes its upstream. Callers see the
    /// name `convicted`.
    Convicted,
    /// The retry budget is spent.
    RetryBudget,
    /// The owner is stopping or has lost the ownership of the pool.
    Draining,
}

impl Reason {
    /// Returns the name used in error bodies and on the wire.
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
    /// The complete answer was forwarded.
    Answered,
    /// The upstream refused the request before running it.
    NotRun,
    /// The connection broke before the first byte of the answer.
    BrokenEarly,
    /// The connection broke after the first byte of the answer.
    BrokenLate,
    /// The caller disconnected.
    Cancelled,
    /// The answer named another adapter, version or request.
    WrongIdentity,
}

/// Result of a dispatch.
#[derive(Clone, Debug)]
pub struct DispatchEnd {
    /// Identifies the request.
    pub ticket: Ticket,
    /// How the dispatch ended.
    pub outcome: Outcome,
    /// Number of tokens forwarded to the caller.
    pub tokens: u32,
    /// Time from dispatch to the first byte; zero if there was none.
    pub first_byte: Span,
    /// Time from dispatch to the end.
    pub total: Span,
}

/// A dispatch granted by an earlier owner, reported to the new one by an entry.
#[derive(Clone, Debug)]
pub struct InheritedDispatch {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Replica that runs the request.
    pub replica: ReplicaName,
    /// Incarnation of the replica that the request was granted for.
    pub incarnation: Incarnation,
    /// Adapter version; `None` for the bare model or a plain service.
    pub adapter: Option<AdapterVersion>,
    /// Team that the request is accounted to.
    pub team: TeamName,
    /// Scheduling class.
    pub class: Class,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Hash of the complete request.
    pub fingerprint: Fingerprint,
}

/// Configuration of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaSpec {
    /// Name of the replica.
    pub name: ReplicaName,
    /// Number of adapter slots; 0 for a plain service.
    pub slots: u32,
    /// Maximum number of requests in one engine step.
    pub batch: u32,
}

/// Load report of a replica as observed `age` ago.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Name of the replica.
    pub replica: ReplicaName,
    /// Incarnation that sent the report.
    pub incarnation: Incarnation,
    /// Age of the report when it was received.
    pub age: Span,
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests queued in the engine.
    pub waiting: u32,
    /// Adapter versions in the slots.
    pub loaded: BTreeSet<AdapterVersion>,
}

/// Health of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The replica accepts work.
    Live,
    /// The replica does not answer and receives nothing new until it does.
    Suspect,
    /// The replica is being removed: it receives nothing new, and running
    /// requests may finish.
    Leaving,
    /// The replica is gone.
    Gone,
}

/// A decision of the pool; the owner executes them in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Dispatches a request.
    Grant {
        /// Identifies the request.
        ticket: Ticket,
        /// Target replica.
        replica: ReplicaName,
        /// Incarnation of the replica that the decision is based on.
        incarnation: Incarnation,
        /// Engine priority; lower runs earlier.
        priority: i32,
    },
    /// Refuses a request, which did not run.
    Refuse {
        /// Identifies the request.
        ticket: Ticket,
        /// Reason of the refusal.
        reason: Reason,
        /// Time after which the caller may retry.
        retry_after: Span,
    },
    /// Evicts `evict`, which no granted request uses, and then loads `adapter`.
    Load {
        /// Identifies the order in [`Pool::order_end`](super::Pool::order_end).
        order: OrderId,
        /// Target replica.
        replica: ReplicaName,
        /// Incarnation of the replica that the decision is based on.
        incarnation: Incarnation,
        /// Adapter to load.
        adapter: AdapterVersion,
        /// Adapter to evict first.
        evict: Option<AdapterVersion>,
    },
    /// Blocks a request that crashes its upstream, on all VMs.
    Block {
        /// Hash of the complete request.
        fingerprint: Fingerprint,
        /// How long the request stays blocked.
        duration: Span,
    },
}

/// Result of a load order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderEnd {
    /// The engine completed the order.
    Done,
    /// The load failed; the eviction may have happened.
    Failed,
    /// The result is unknown; the next load report shows which adapters are
    /// loaded.
    Unknown,
    /// The engine has seen a higher fencing token and refused the order.
    Fenced,
}

/// What a pool optimises for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Few requests that wait for a load of their adapter.
    Stalls,
    /// Full engine steps.
    Batch,
}

/// Relative shares of teams; a team that is not listed has a share of 1.
pub type Shares = BTreeMap<TeamName, u32>;
