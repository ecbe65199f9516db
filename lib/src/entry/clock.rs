//! The clock that measures leases of grants and deadlines.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time::Instant;

/// Returns the microseconds since boot, including time in which the VM was
/// suspended, so that grants also expire during a suspension.
pub(super) fn now_us() -> u64 {
    let t = clock_gettime(ClockId::Boottime);
    // The time since boot is never negative.
    t.tv_sec.unsigned_abs() * 1_000_000 + t.tv_nsec.unsigned_abs() / 1_000
}

/// Converts a time of this clock to an instant of the timer.
pub(super) fn to_instant(at_us: u64) -> Instant {
    Instant::now() + Duration::from_micros(at_us.saturating_sub(now_us()))
}
