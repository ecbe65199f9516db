//! How many requests may be sent again.

use std::collections::BTreeMap;

use crate::ids::ServiceName;
use crate::pool::Moment;

/// Slices of a window; the oldest leaves as a whole.
const SLICES: usize = 10;

/// The part of the allowance that is used: peers count in windows that lie
/// otherwise, and VMs join and leave within one.
const USED_PART: f64 = 0.8;

/// The limits of the retry budget that all VMs share.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Repeats for each first send.
    pub ratio: f64,
    /// The window, in microseconds.
    pub window_us: u64,
    /// Repeats in a window above the ratio, over all VMs.
    pub slack: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    firsts: u32,
    repeats: u32,
}

/// The retry budget of one VM: its own first sends times the ratio, and its
/// part of the slack.
///
/// Made for replicas that fail or refuse many requests at full load: without
/// it the repeats would multiply the overload. A VM needs no word with the
/// others to keep the sum of all within the limit.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    slices: BTreeMap<ServiceName, [Slice; SLICES]>,
}

impl RetryBudget {
    /// An unspent budget.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            slices: BTreeMap::new(),
        }
    }

    /// Notes a request that is sent for the first time.
    pub fn record_first_send(&mut self, now: Moment, service: &ServiceName) {
        self.slice(now, service).firsts += 1;
    }

    /// Takes one repeat, if the part of this VM among `vms` allows it.
    pub fn try_retry(&mut self, now: Moment, service: &ServiceName, vms: usize) -> bool {
        let part = self.limits.slack / vms.max(1) as f64;
        let ratio = self.limits.ratio;
        let oldest = self.number(now).saturating_sub(SLICES as u64 - 1);
        let slices = self.slices.entry(service.clone()).or_default();
        let live = slices.iter().filter(|s| s.number >= oldest);
        let (firsts, repeats) = live.fold((0, 0), |(f, r), s| (f + s.firsts, r + s.repeats));
        let allowed = (ratio * f64::from(firsts) + part) * USED_PART;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.slice(now, service).repeats += 1;
        true
    }

    fn number(&self, now: Moment) -> u64 {
        now.0 * SLICES as u64 / self.limits.window_us.max(1)
    }

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
