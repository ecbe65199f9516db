//! The clock by which grants lapse.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time::Instant;

/// Microseconds on a clock that never goes back and runs on while the VM is
/// suspended, so that a grant does not outlive a pause unnoticed.
pub(super) fn now_us() -> u64 {
    let t = clock_gettime(ClockId::Boottime);
    // The time since boot is never negative.
    t.tv_sec.unsigned_abs() * 1_000_000 + t.tv_nsec.unsigned_abs() / 1_000
}

/// The timer's instant for a reading of this clock.
pub(super) fn instant(at_us: u64) -> Instant {
    Instant::now() + Duration::from_micros(at_us.saturating_sub(now_us()))
}
