//! Retry budget: bounds how many requests may be sent again.

use std::collections::BTreeMap;

use crate::ids::ServiceName;
use crate::pool::Moment;
use crate::pool::Span;

/// Slices of the window in which first sends are counted; the oldest is dropped as a whole.
const SLICES: u64 = 10;

/// Longest time from the grant of a retry until its replica reads it. A retry waits for the turn of
/// its prompt and for a connection, and lies with a replica that stands still until that is found
/// silent.
const MAX_DELAY: Span = Span::from_millis(2_350);

/// Fraction of the ratio that a bucket may hold of the last window's first sends, for
/// failures that come all at once.
const CARRIED_FRACTION: f64 = 0.3;

/// Fraction of the slack that is used: VMs that join divide it by another number than those
/// that have not heard of them yet.
const USABLE_SLACK: f64 = 0.9;

/// Fraction of a VM's share of the slack that it may hold at once; the rest accrues over a
/// window.
const HELD_FRACTION: f64 = 0.7;

/// Limits of the retry budget over all VMs.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries per first send.
    pub ratio: f64,
    /// Window length in microseconds.
    pub window_us: u64,
    /// Retries in a window beyond the ratio, over all VMs.
    pub slack: f64,
}

/// The numbers of VMs in the last window. The slack is divided by the largest.
#[derive(Debug, Default)]
struct FleetSize {
    /// The number that was set last.
    current: Option<usize>,
    /// Each number, and until when there were known to be as many.
    counts: BTreeMap<usize, Moment>,
}

impl FleetSize {
    fn set(&mut self, now: Moment, window_us: u64, vms: usize) {
        // It held until now, whenever it was set.
        self.counts
            .extend(self.current.map(|current| (current, now)));
        self.counts.insert(vms, now);
        self.counts
            .retain(|_, until| now.since(*until).0 < window_us);
        self.current = Some(vms);
    }

    /// Returns the number to divide the slack by, and until when there were as many VMs.
    fn largest(&self) -> Option<(usize, Moment)> {
        self.counts
            .last_key_value()
            .map(|(vms, until)| (*vms, *until))
    }
}

/// What a VM's retry budget for one service rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetStatus {
    /// The retries that may be sent now.
    pub tokens: f64,
    /// The number of VMs that the slack is divided by; `None` before the others are known.
    pub vms: Option<usize>,
    /// Time since there were last as many VMs.
    pub vms_age: Span,
}

/// The retries that a VM may send to one service, and its first sends in the last window.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled: Moment,
    /// First sends by the number of their slice.
    first_sends: BTreeMap<u64, u32>,
}

/// The retry budget of one VM: a token bucket for each service.
///
/// If replicas fail or refuse many requests at full load, unbounded retries
/// would multiply the overload. Each first send adds a part of a token, and each retry takes
/// one. The retries in any window are paid by its own first sends, by what the bucket held
/// at its start, and by what accrues meanwhile. What a bucket holds is bounded by the first
/// sends of the window before and by the VM's share of the slack, so the sum over all VMs
/// stays within the limits without coordination. A process that starts again has empty
/// buckets, because the one before it may have spent the VM's share: restarts add nothing.
///
/// ```
/// use banyangauge::pool::Moment;
/// use banyangauge::serving::{RetryBudget, RetryLimits};
/// let limits = RetryLimits { ratio: 0.2, window_us: 10_000_000, slack: 20.0 };
/// let mut budget = RetryBudget::new(limits, Moment(0));
/// let service = "llm".parse().unwrap();
/// assert!(!budget.try_retry(Moment(0), &service));
/// for _ in 0..9 {
///     budget.record_first_send(Moment(0), &service);
/// }
/// assert!(budget.try_retry(Moment(0), &service));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    started: Moment,
    /// Whether this process created its VM's entry in the store.
    first_start: bool,
    fleet: FleetSize,
    buckets: BTreeMap<ServiceName, Bucket>,
}

impl RetryBudget {
    /// Creates the budget of a process that starts now.
    pub fn new(limits: RetryLimits, now: Moment) -> Self {
        Self {
            limits,
            started: now,
            first_start: false,
            fleet: FleetSize::default(),
            buckets: BTreeMap::new(),
        }
    }

    /// Sets the number of VMs, this one included.
    ///
    /// A smaller number takes effect a window after the larger one was replaced, because VMs that
    /// left may have spent their shares within it. A VM that does not know the others has no share.
    pub fn set_vm_count(&mut self, now: Moment, vms: usize) {
        self.fleet.set(now, self.limits.window_us.max(1), vms);
    }

    /// Records that this process created its VM's entry, so that the buckets of a VM without
    /// others begin full. Others may have seen an earlier process of this VM, whose entry was
    /// removed when it stopped.
    pub fn mark_first_start(&mut self) {
        self.first_start = true;
        let initial = self.initial_tokens();
        self.buckets.values_mut().for_each(|b| b.tokens += initial);
    }

    /// Counts a request that is sent for the first time.
    pub fn record_first_send(&mut self, now: Moment, service: &ServiceName) {
        let earned = self.limits.ratio * earned_fraction(self.limits.window_us);
        let slice = self.slice(now);
        let bucket = self.bucket(now, service);
        bucket.tokens += earned;
        *bucket.first_sends.entry(slice).or_default() += 1;
    }

    /// Consumes one retry if there is one.
    pub fn try_retry(&mut self, now: Moment, service: &ServiceName) -> bool {
        let bucket = self.bucket(now, service);
        let granted = bucket.tokens >= 1.0;
        if granted {
            bucket.tokens -= 1.0;
        }
        granted
    }

    /// Returns what the budget for a service rests on now.
    ///
    /// ```
    /// use banyangauge::pool::{Moment, Span};
    /// use banyangauge::serving::{RetryBudget, RetryLimits};
    /// let limits = RetryLimits { ratio: 0.2, window_us: 10_000_000, slack: 20.0 };
    /// let mut budget = RetryBudget::new(limits, Moment(0));
    /// budget.set_vm_count(Moment(0), 4);
    /// let status = budget.status(Moment(5_000), &"llm".parse().unwrap());
    /// assert_eq!((status.vms, status.vms_age), (Some(4), Span(5_000)));
    /// assert!(status.tokens < 1.0);
    /// ```
    pub fn status(&mut self, now: Moment, service: &ServiceName) -> BudgetStatus {
        let largest = self.fleet.largest();
        BudgetStatus {
            tokens: self.bucket(now, service).tokens,
            vms: largest.map(|(vms, _)| vms),
            vms_age: largest.map_or(Span::default(), |(_, until)| now.since(until)),
        }
    }

    /// Returns the number of the slice that `now` falls into.
    fn slice(&self, now: Moment) -> u64 {
        now.0 * SLICES / self.limits.window_us.max(1)
    }

    /// Returns this VM's share of the slack in a window.
    fn share(&self) -> f64 {
        let slack = self.limits.slack * USABLE_SLACK;
        let largest = self.fleet.largest();
        largest.map_or(0.0, |(vms, _)| slack / vms.max(1) as f64)
    }

    /// Returns how much of the share a bucket may hold: a whole token at least, without
    /// which no retry could be granted.
    fn held(&self) -> f64 {
        (self.share() * HELD_FRACTION).max(1.0)
    }

    /// Returns what a bucket holds before any time or request is counted.
    fn initial_tokens(&self) -> f64 {
        match (self.first_start, self.fleet.largest()) {
            (true, Some((1, _))) => self.held(),
            _ => 0.0,
        }
    }

    /// Returns the bucket of a service with what has accrued until now, and without what it
    /// may no longer hold.
    fn bucket(&mut self, now: Moment, service: &ServiceName) -> &mut Bucket {
        let (share, held, initial) = (self.share(), self.held(), self.initial_tokens());
        let oldest = (self.slice(now) + 1).saturating_sub(SLICES);
        let limits = self.limits;
        let bucket = self.buckets.entry(service.clone()).or_insert(Bucket {
            tokens: initial,
            filled: self.started,
            first_sends: BTreeMap::new(),
        });
        bucket.first_sends = bucket.first_sends.split_off(&oldest);
        let recent = bucket.first_sends.values().map(|n| f64::from(*n));
        let carried = recent.sum::<f64>() * limits.ratio * CARRIED_FRACTION;
        let capacity = held + carried;
        let windows = now.since(bucket.filled).0 as f64 / limits.window_us.max(1) as f64;
        let accrued = share * (1.0 - HELD_FRACTION) * windows;
        bucket.tokens = (bucket.tokens + accrued).min(capacity);
        bucket.filled = now;
        bucket
    }
}

/// Returns the fraction of the ratio that a first send adds to the bucket. The retries that reach
/// replicas in a window may have been granted in `MAX_DELAY` before it as well; with what is carried
/// into that time they stay within the ratio.
fn earned_fraction(window_us: u64) -> f64 {
    let delay = MAX_DELAY.0 as f64 / window_us.max(1) as f64;
    (1.0 - CARRIED_FRACTION) / (1.0 + delay)
}
