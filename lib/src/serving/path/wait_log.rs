//! Logs and counts waits for a replica.

use crate::ids::ReplicaName;
use crate::pool::Span;
use crate::serving::decisions::waiting::WaitParts;
use crate::serving::decisions::waiting::WaitReason;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::serve::RoutedRequest;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;

/// Minimum wait that is logged.
const LOGGED_WAIT: Span = Span::from_millis(20);

/// Logs a request that waited for a replica; `why` is what it waited for at last.
pub(super) fn log_placed(
    node: &Node,
    req: &BufferedRequest,
    replica: &ReplicaName,
    parts: &WaitParts,
    why: &'static str,
) {
    let waited = parts.total();
    if waited >= LOGGED_WAIT {
        slog::info!(node.log, "placed"; "id" => &req.id,
            "replica" => replica.as_str(), "waited_ms" => waited.as_millis(),
            "why" => why, req.trace.fields_of(*parts));
    }
}

/// Logs a request that found no replica, with the state of the replicas that could run it.
pub(super) fn log_no_replica(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    reason: &'static str,
    parts: &WaitParts,
) {
    let at = now();
    let state = node.state();
    let summary = state
        .fleet
        .summarize(at, &routed.service, req.target.as_ref());
    slog::info!(node.log, "no replica can take the request"; "id" => &req.id, "why" => reason,
        "target" => req.target.as_ref().map(ToString::to_string),
        "service" => routed.service.as_str(), "waited_ms" => parts.total().as_millis(),
        "replicas" => summary.listed, "live" => summary.live, "holders" => summary.holders,
        "withheld" => summary.withheld, "words" => summary.fresh_reports, "requests" => summary.requests,
        "owners_term" => state.ownership.table.term.0, req.trace.fields_of(*parts));
}

/// Records a wait that ended. The label `reason` is that of its longest part; a wait without
/// any time counts for the asks.
pub(super) fn record_wait(req: &BufferedRequest, parts: &WaitParts, outcome: &'static str) {
    req.trace.add_wait(parts);
    let reason = parts.longest().unwrap_or(WaitReason::Asks).as_str();
    let seconds = parts.total().0 as f64 / 1e6;
    metrics::histogram!("serve_wait_seconds", "reason" => reason, "outcome" => outcome)
        .record(seconds);
}
