//! Decides what follows a failed attempt: a retry, or the final response.
//!
//! Replicas may crash, refuse or fail under many requests at once. A request
//! that is not idempotent must not run twice, and a response must not claim that
//! a request did not run if it may have.

use std::collections::BTreeSet;
use std::time::Duration;

use hyper::StatusCode;

use crate::ids::ReplicaName;
use crate::serving::decisions::access::Denial;
use crate::serving::decisions::fleet::WithheldReason;
use crate::serving::path::codec::NotRun;

/// Maximum sends of one request: a VM's view of the replicas is outdated for only a
/// few of them at a time.
const MAX_SENDS: u32 = 4;

/// `Retry-After` while there is no configuration or no replica: about the time
/// until a watch is renewed or a replica is listed.
pub const RETRY_DELAY: Duration = Duration::from_millis(500);

/// `Retry-After` for a request that is blocked because replicas crash on requests like it: a
/// block does not end by itself while such requests come.
pub const BLOCKED_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// Reason code of such a request.
pub const CRASHES_UPSTREAMS: &str = "crashes_upstreams";

/// Reason code of a request that a stopping process does not send, or cannot wait for.
pub const STOPPING: &str = "stopping";

/// Reason why an attempt gave no response to pass on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No byte was sent.
    NotSent,
    /// The replica refused the request.
    NotRun(NotRun),
    /// The connection broke before a response.
    Broken,
    /// The response is malformed or belongs to another request.
    InvalidReply(&'static str),
    /// The replica responded with an error of its own.
    Failed,
    /// No response came in time.
    TimedOut,
    /// The response began a stream that the store had to keep, and did not.
    NotKept,
    /// Not sent: the replica accepts no request now.
    Withheld(WithheldReason),
    /// Not sent: the API key was revoked, or may have been.
    Denied(Denial),
    /// Not sent: replicas crash on requests like this one.
    Blocked,
    /// Not sent: the process stops before a run that begins now would end.
    Stopping,
}

impl AttemptFailure {
    /// Returns whether the request may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Self::NotSent
                | Self::NotRun(_)
                | Self::Withheld(_)
                | Self::Denied(_)
                | Self::Blocked
                | Self::Stopping
        )
    }

    /// Returns whether the replica received the request, so that another send
    /// counts as a retry.
    pub fn reached_replica(self) -> bool {
        !matches!(
            self,
            Self::NotSent | Self::Withheld(_) | Self::Denied(_) | Self::Blocked | Self::Stopping
        )
    }

    /// Name used in logs, metrics and error replies. Operators and metrics read these
    /// texts, so they stay the same when a variant is renamed.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun(NotRun::Gone) => "replica_gone",
            Self::NotRun(NotRun::NotLoaded) => "not_loaded",
            Self::NotRun(NotRun::Full) => "replica_full",
            Self::Broken => "broken",
            Self::InvalidReply(_) => "spoilt",
            Self::Failed => "failed",
            Self::TimedOut => "overdue",
            Self::NotKept => "not_kept",
            Self::Withheld(reason) => reason.as_str(),
            Self::Denied(denial) => denial.as_str(),
            Self::Blocked => CRASHES_UPSTREAMS,
            Self::Stopping => STOPPING,
        }
    }
}

/// The attempts of other VMs for a request that is handed from one to the next.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerAttempts {
    /// Number of sends that reached a replica.
    pub arrived: u32,
    /// Number of sends in which the request may have run.
    pub runs: u32,
    /// Replicas that refused it.
    pub avoided: BTreeSet<ReplicaName>,
}

impl PeerAttempts {
    /// Takes over what a VM says that refused the request; its counts include those before. A
    /// VM of an earlier build says nothing, and nothing is forgotten for that.
    pub fn update(&mut self, made: Self) {
        self.arrived = self.arrived.max(made.arrived);
        self.runs = self.runs.max(made.runs);
        self.avoided.extend(made.avoided);
    }
}

/// The attempts made for one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    /// Number of sends so far.
    pub sends: u32,
    /// Number of sends in which it may have run.
    pub runs: u32,
    /// Number of sends in which no replica could be reached.
    pub unreached: u32,
    /// Number of sends that reached a replica.
    pub arrived: u32,
    /// Maximum number of replicas that may run it.
    pub max_runs: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether the response head was already sent to the caller.
    pub answered: bool,
    /// Whether a run of an earlier attempt goes on.
    pub under_way: bool,
}

impl Attempts {
    /// Counts a failed attempt.
    pub fn record_failure(&mut self, failure: AttemptFailure) {
        self.sends += 1;
        self.runs += u32::from(failure.may_have_run());
        self.unreached += u32::from(failure == AttemptFailure::NotSent);
        self.arrived += u32::from(failure.reached_replica());
    }

    /// Returns the attempts with which others are made beside the last run, which goes on and
    /// counts as one that broke.
    ///
    /// ```
    /// use banyangauge::serving::retry::{AttemptFailure, Attempts};
    /// let attempts = Attempts { max_runs: 3, idempotent: true, ..Attempts::default() };
    /// let mut tried = attempts.beside_run();
    /// assert!(tried.may_retry(AttemptFailure::Broken));
    /// tried.record_failure(AttemptFailure::Failed);
    /// // The run itself ended well: one other replica has run the request.
    /// assert_eq!(attempts.after_run(tried, false).runs, 1);
    /// ```
    pub fn beside_run(&self) -> Self {
        let mut tried = *self;
        tried.record_failure(AttemptFailure::Broken);
        tried.under_way = true;
        tried
    }

    /// Returns the attempts after others were made beside the last run, which goes on. Those that
    /// reached no replica do not count; `pending` says whether one is under way.
    pub fn after_run(&self, mut tried: Self, pending: bool) -> Self {
        if pending {
            tried.record_failure(AttemptFailure::Broken);
        }
        let arrived = tried.arrived.saturating_sub(1);
        Self {
            sends: self.sends + arrived.saturating_sub(self.arrived),
            runs: tried.runs.saturating_sub(1),
            arrived,
            ..*self
        }
    }

    /// Returns the attempts after one of those that were made beside the last run succeeded.
    pub fn after_takeover(&self, tried: Self) -> Self {
        Self {
            under_way: self.under_way,
            ..tried
        }
    }

    /// Returns whether an error response is no better than none: the caller has the head of
    /// another response, or may still get one.
    pub fn needs_success(&self) -> bool {
        self.answered || self.under_way
    }

    /// Counts the attempts of VMs that the request was handed to, none of which serves it.
    pub fn add_peer_attempts(&mut self, made: &PeerAttempts) {
        self.sends = self.sends.saturating_add(made.arrived);
        self.arrived = self.arrived.saturating_add(made.arrived);
        self.runs = self.runs.saturating_add(made.runs);
    }

    /// Returns whether the request may be handed to another VM, which sends it to replicas. The
    /// retry budget is checked separately.
    ///
    /// ```
    /// use banyangauge::serving::retry::{Attempts, PeerAttempts};
    /// let mut attempts = Attempts { max_runs: 2, ..Attempts::default() };
    /// assert!(attempts.may_hand_over());
    /// attempts.add_peer_attempts(&PeerAttempts { arrived: 1, runs: 1, ..PeerAttempts::default() });
    /// assert!(!attempts.may_hand_over()); // may have run, and is not idempotent
    /// ```
    pub fn may_hand_over(&self) -> bool {
        (self.idempotent || self.runs == 0)
            && self.arrived < MAX_SENDS
            && self.runs < self.max_runs.max(1)
    }

    /// Returns whether no replica has received the request.
    ///
    /// ```
    /// use banyangauge::serving::NotRun;
    /// use banyangauge::serving::retry::{AttemptFailure, Attempts};
    /// let mut attempts = Attempts::default();
    /// attempts.record_failure(AttemptFailure::NotSent);
    /// assert!(attempts.none_arrived());
    /// attempts.record_failure(AttemptFailure::NotRun(NotRun::Full));
    /// assert!(!attempts.none_arrived());
    /// ```
    pub fn none_arrived(&self) -> bool {
        self.sends == self.unreached
    }

    /// Returns whether another replica may be tried after this failure, which
    /// must already be recorded. The retry budget is checked separately.
    ///
    /// ```
    /// use banyangauge::serving::retry::{AttemptFailure, Attempts};
    /// let mut attempts = Attempts { max_runs: 2, ..Attempts::default() };
    /// attempts.record_failure(AttemptFailure::NotSent);
    /// assert!(attempts.may_retry(AttemptFailure::NotSent));
    /// attempts.record_failure(AttemptFailure::Broken);
    /// assert!(!attempts.may_retry(AttemptFailure::Broken)); // may have run, and is not idempotent
    /// ```
    pub fn may_retry(&self, failure: AttemptFailure) -> bool {
        let allowed = self.idempotent || self.runs == 0;
        allowed
            && failure != AttemptFailure::TimedOut
            && !matches!(
                failure,
                AttemptFailure::Denied(_) | AttemptFailure::Blocked | AttemptFailure::Stopping
            )
            && self.sends < MAX_SENDS
            && self.runs < self.max_runs.max(1)
    }
}

/// The final response to a request that was not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// HTTP status; 429 and 503 guarantee that the request did not run.
    pub status: StatusCode,
    /// Delay before the caller should retry.
    pub retry_after: Option<Duration>,
    /// Reason code.
    pub reason: &'static str,
}

impl Refusal {
    /// The request did not run and may be retried after `after`.
    pub fn not_run(reason: &'static str, after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(after),
            reason,
        }
    }

    /// The process stops before the request could end. If it did not run, another VM can serve it
    /// at once.
    pub fn stopping(may_have_run: bool) -> Self {
        match may_have_run {
            true => Self::denied(StatusCode::BAD_GATEWAY, STOPPING),
            false => Self::not_run(STOPPING, Duration::ZERO),
        }
    }

    /// The request is not allowed.
    pub fn denied(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            reason,
        }
    }

    /// The API key is unknown, or may have been revoked.
    pub fn of_denial(denial: Denial) -> Self {
        match denial {
            Denial::UnknownKey => Self::denied(StatusCode::UNAUTHORIZED, denial.as_str()),
            Denial::StaleConfig => Self::not_run(denial.as_str(), RETRY_DELAY),
        }
    }

    /// The organisation's limit is exhausted for `after`.
    pub fn over_limit(after: Duration) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            retry_after: Some(after),
            reason: "over_limit",
        }
    }

    /// The final response after `attempts`, the last of which ended with `failure`.
    pub fn after(attempts: &Attempts, failure: AttemptFailure) -> Self {
        let reason = failure.as_str();
        if let (0, AttemptFailure::Denied(denial)) = (attempts.runs, failure) {
            return Self::of_denial(denial);
        }
        if attempts.runs == 0 && failure == AttemptFailure::Blocked {
            return Self::not_run(reason, BLOCKED_RETRY_AFTER);
        }
        if attempts.runs == 0 && failure == AttemptFailure::Stopping {
            return Self::stopping(false);
        }
        if attempts.runs == 0 && !failure.may_have_run() {
            return Self::not_run(reason, RETRY_DELAY);
        }
        let status = match failure {
            AttemptFailure::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        Self {
            status,
            retry_after: None,
            reason,
        }
    }
}
