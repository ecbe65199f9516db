//! Merges the event buffers of several processes into one timeline.

use banyangauge_proto as wire;

/// One event of a merged timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEvent {
    /// Milliseconds since the first event of the timeline.
    pub offset_ms: f64,
    /// The event.
    pub event: wire::Event,
}

/// Converts a hybrid logical clock time, in NTP format, to milliseconds: the
/// upper 32 bits are seconds, the lower 32 bits a fraction of a second.
///
/// ```
/// assert_eq!(banyangauge::operator::clock_millis((2 << 32) | (1 << 31)), 2_500.0);
/// ```
pub fn clock_millis(time: u64) -> f64 {
    time as f64 * 1_000.0 / (1_u64 << 32) as f64
}

/// Returns all events in the order of the hybrid logical clock.
pub fn merge(replies: impl IntoIterator<Item = wire::TimelineReply>) -> Vec<TimelineEvent> {
    let mut events: Vec<_> = replies.into_iter().flat_map(|r| r.events).collect();
    let key = |e: &wire::Event| {
        let stamp = e.stamp.clone().unwrap_or_default();
        (stamp.time, stamp.origin)
    };
    events.sort_by_cached_key(key);
    let time = |e: &wire::Event| e.stamp.as_ref().map_or(0, |s| s.time);
    let first = events.first().map_or(0, time);
    let with_offset = |event: wire::Event| TimelineEvent {
        offset_ms: clock_millis(time(&event) - first),
        event,
    };
    events.into_iter().map(with_offset).collect()
}
