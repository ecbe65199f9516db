//! Retry budget: bounds how many requests may be sent again.

use std::collections::BTreeMap;

use crate::ids::ServiceName;
use crate::pool::Moment;

/// Slices of the sliding window; the oldest is dropped as a whole.
const SLICES: usize = 10;

/// Fraction of the permitted retries that is used: the windows of VMs are not aligned,
/// and VMs join and leave within a window.
const USABLE_FRACTION: f64 = 0.8;

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

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    /// Its start time in slice lengths.
    number: u64,
    first_sends: u32,
    retries: u32,
}

/// The retry budget of one VM: its own first sends times the ratio, plus its
/// share of the slack.
///
/// If replicas fail or refuse many requests at full load, unbounded retries
/// would multiply the overload. The sum over all VMs stays within the limit
/// without coordination between them.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    slices: BTreeMap<ServiceName, [Slice; SLICES]>,
}

impl RetryBudget {
    /// Creates an unspent budget.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            slices: BTreeMap::new(),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn record_first_send(&mut self, now: Moment, service: &ServiceName) {
        self.slice(now, service).first_sends += 1;
    }

    /// Consumes one retry if this VM's share among `vms` VMs allows it.
    pub fn try_retry(&mut self, now: Moment, service: &ServiceName, vms: usize) -> bool {
        let share = self.limits.slack / vms.max(1) as f64;
        let ratio = self.limits.ratio;
        let oldest = self.number(now).saturating_sub(SLICES as u64 - 1);
        let slices = self.slices.entry(service.clone()).or_default();
        let recent = slices.iter().filter(|s| s.number >= oldest);
        let (first_sends, retries) =
            recent.fold((0, 0), |(f, r), s| (f + s.first_sends, r + s.retries));
        let allowed = (ratio * f64::from(first_sends) + share) * USABLE_FRACTION;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.slice(now, service).retries += 1;
        true
    }

    /// Returns the number of the slice that `now` falls into.
    fn number(&self, now: Moment) -> u64 {
        now.0 * SLICES as u64 / self.limits.window_us.max(1)
    }

    /// Returns the current slice of a service; it replaces the oldest one.
    fn slice(&mut self, now: Moment, service: &ServiceName) -> &mut Slice {
        let number = self.number(now);
        let slices = self.slices.entry(service.clone()).or_default();
        let slice = &mut slices[number as usize % SLICES];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        slice
    }
}
