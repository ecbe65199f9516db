//! The clock that leases and grants are counted on.

use rustix::time::ClockId;

use crate::pool::Moment;
use crate::pool::Span;

/// Microseconds since the machine started, suspension included: a process that
/// was suspended past its lease must see that it is over.
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

/// A span as the library's type.
pub const fn to_duration(span: Span) -> std::time::Duration {
    std::time::Duration::from_micros(span.0)
}
