//! Logs and measures how old the configuration is when it is used.

use crate::pool::Span;
use crate::serving::cluster::topic::Topic;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::program::node::to_span;

/// Minimum interval between two log lines of a VM about its configuration.
const LOG_INTERVAL: Span = Span::from_millis(1_000);

/// Records that a request is handled by a version of the configuration. Logs why the
/// configuration may be outdated if it was not the newest within the time allowed.
pub(super) fn record_use(node: &Node, version: u64) {
    let at = now();
    let mut state = node.state();
    let rank = state.poll_rank(at, &node.settings, Topic::Config);
    let feed = state.feeds.get(Topic::Config);
    let age = feed.age(at).unwrap_or_default();
    metrics::histogram!("serve_config_age_seconds").record(age.0 as f64 / 1e6);
    if age < to_span(node.settings.config_apply) {
        return;
    }
    let (revision, missed) = (feed.revision(), feed.has_gap());
    let (failing, waits) = (feed.is_failing(), feed.is_backing_off(at));
    let last = state
        .outdated_logged
        .filter(|l| at.since(*l) < LOG_INTERVAL);
    if last.is_some() {
        return;
    }
    state.outdated_logged = Some(at);
    drop(state);
    slog::info!(node.log, "configuration may be outdated"; "version" => version,
        "age_ms" => age.as_millis(), "revision" => %revision, "missed" => missed,
        "failing" => failing, "backing_off" => waits, "rank" => rank);
}
