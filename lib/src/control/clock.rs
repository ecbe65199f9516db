//! The clock for leases and grants.

use rustix::time::ClockId;

use crate::pool::Moment;
use crate::pool::Span;

/// Returns the time since the machine started, in microseconds and including
/// suspension, so that a process suspended past the end of its lease sees that
/// the lease has expired.
///
/// ```
/// use banyangauge::control::now;
/// assert!(now() <= now());
/// ```
pub fn now() -> Moment {
    let time = rustix::time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Moment(seconds * 1_000_000 + nanos / 1_000)
}

/// Converts a span to a [`std::time::Duration`].
pub const fn to_duration(span: Span) -> std::time::Duration {
    std::time::Duration::from_micros(span.0)
}
