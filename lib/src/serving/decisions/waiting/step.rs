//! What follows an attempt to choose a replica.

use std::time::Duration;

use super::parts::WaitReason;
use super::refusal::MIN_RETRY;
use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::fleet::Placement;
use crate::serving::decisions::retry::RETRY_DELAY;
use crate::serving::decisions::retry::Refusal;

/// Divisor of the time until the deadline that gives the maximum wait for a load. A
/// request refused after that leaves its caller time to try elsewhere.
const WAIT_DIVISOR: u64 = 3;

/// The same for a stream that its caller resumes: it can go on nowhere else before the load, and
/// what it has so far would be lost.
const RESUMED_WAIT: (u64, u64) = (2, 3);

/// Divisor of a route's latency objective that gives the maximum wait for capacity.
const CAPACITY_DIVISOR: u64 = 4;

/// Maximum wait for a replica while the process stops: the request must be answered before
/// the process exits.
const SHUTDOWN_WAIT: Span = Span::from_millis(500);

/// `Retry-After` when all replicas are at capacity: about the duration of a short run.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Until when a request may wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitLimits {
    /// For a load.
    pub load: Moment,
    /// For a replica with capacity.
    pub capacity: Moment,
    /// For anything, while the process stops.
    pub stop: Option<Moment>,
}

/// What follows an attempt to choose a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WaitStep {
    /// The request may be sent to a replica.
    Send {
        /// The replica.
        replica: ReplicaName,
        /// The replica that should load a second copy of the adapter.
        copy: Option<ReplicaName>,
    },
    /// The request waits.
    Wait {
        /// Until when at most.
        until: Moment,
        /// When a replica must be chosen again, even if nothing changed.
        recheck: Option<Moment>,
        /// The replica that should load the adapter.
        load: Option<ReplicaName>,
        /// The response if the wait ends without a replica.
        refusal: Refusal,
    },
    /// The request is refused.
    Refuse {
        /// The response.
        refusal: Refusal,
        /// The replica that should load the adapter nevertheless, for later requests.
        load: Option<ReplicaName>,
    },
}

impl WaitLimits {
    /// Returns the limits of a wait that begins now.
    ///
    /// ```
    /// use banyangauge::pool::{Moment, Span};
    /// use banyangauge::serving::WaitLimits;
    /// let deadline = Moment(0).after(Span::from_millis(9_000));
    /// let limits = WaitLimits::new(Moment(0), deadline, Span::from_millis(800));
    /// assert_eq!(limits.load, Moment(3_000_000));
    /// assert_eq!(limits.capacity, Moment(200_000));
    /// ```
    pub fn new(now: Moment, deadline: Moment, objective: Span) -> Self {
        let load = now.after(Span(deadline.since(now).0 / WAIT_DIVISOR));
        Self {
            load,
            capacity: now.after(Span(objective.0 / CAPACITY_DIVISOR)).min(load),
            stop: None,
        }
    }

    /// Returns the limits of a wait that begins now, for a stream that its caller resumes.
    ///
    /// ```
    /// use banyangauge::pool::{Moment, Span};
    /// use banyangauge::serving::WaitLimits;
    /// let deadline = Moment(0).after(Span::from_millis(9_000));
    /// let limits = WaitLimits::of_resumed(Moment(0), deadline, Span::from_millis(800));
    /// assert_eq!(limits.load, Moment(6_000_000));
    /// assert_eq!(limits.capacity, Moment(200_000));
    /// ```
    pub fn of_resumed(now: Moment, deadline: Moment, objective: Span) -> Self {
        let (part, of) = RESUMED_WAIT;
        Self {
            load: now.after(Span(deadline.since(now).0 * part / of)),
            ..Self::new(now, deadline, objective)
        }
    }

    /// Limits the wait because the process stops. Only the first call counts.
    pub fn begin_stop(&mut self, now: Moment) {
        self.stop.get_or_insert(now.after(SHUTDOWN_WAIT));
    }

    /// Returns what follows an attempt to choose a replica.
    pub fn step(&self, now: Moment, placement: Placement) -> WaitStep {
        let step = self.hold(now, placement);
        match step {
            WaitStep::Wait {
                until,
                load,
                refusal,
                ..
            } if now >= until => WaitStep::Refuse { refusal, load },
            step => step,
        }
    }

    /// Returns the step of a request that lets those before it in the queue try first, and
    /// then tries itself.
    pub fn give_way(&self, retry: Moment) -> WaitStep {
        WaitStep::Wait {
            until: self.stop.map_or(self.load, |stop| self.load.min(stop)),
            recheck: Some(retry),
            load: None,
            refusal: Refusal::not_run("replicas_full", FULL_RETRY_AFTER),
        }
    }

    /// Returns what follows if the limits are not reached.
    fn hold(&self, now: Moment, placement: Placement) -> WaitStep {
        let wait = |until: Moment, load, reason, after| WaitStep::Wait {
            until: self.stop.map_or(until, |stop| until.min(stop)),
            recheck: None,
            load,
            refusal: Refusal::not_run(reason, after),
        };
        match placement {
            Placement::Send { replica, copy } => WaitStep::Send { replica, copy },
            Placement::Load { replica } | Placement::Loading { replica } => {
                wait(self.load, Some(replica), "not_loaded_in_time", RETRY_DELAY)
            }
            Placement::Withheld(withheld) => {
                let after = withheld.ready.since(now).max(MIN_RETRY);
                let after = Duration::from_micros(after.0);
                let refusal = Refusal::not_run(withheld.reason.refusal(), after);
                if withheld.ready > self.load {
                    return WaitStep::Refuse {
                        refusal,
                        load: None,
                    };
                }
                WaitStep::Wait {
                    until: self.stop.map_or(self.load, |stop| self.load.min(stop)),
                    recheck: Some(withheld.until),
                    load: None,
                    refusal,
                }
            }
            Placement::Full => wait(self.capacity, None, "replicas_full", FULL_RETRY_AFTER),
            Placement::Unavailable => wait(self.capacity, None, "no_replica", RETRY_DELAY),
        }
    }
}

/// Returns what a request waits for after an attempt to choose a replica. `is_held` says
/// whether a replica holds its adapter.
pub fn wait_reason(placement: &Placement, is_held: impl FnOnce() -> bool) -> WaitReason {
    match placement {
        Placement::Send { .. } => WaitReason::Asks,
        Placement::Load { .. } if is_held() => WaitReason::Copy,
        Placement::Load { .. } => WaitReason::Load,
        Placement::Loading { .. } => WaitReason::Loading,
        Placement::Full => WaitReason::Full,
        Placement::Withheld(_) => WaitReason::Withheld,
        Placement::Unavailable => WaitReason::None,
    }
}
