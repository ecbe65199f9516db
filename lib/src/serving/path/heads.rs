//! Reports responses whose heads cannot be believed.

use slog::Logger;

use crate::ids::ReplicaName;
use crate::upstream::HeadFault;

/// Logs and counts such a response of a replica, to a caller's request or to a call of this system.
pub(in crate::serving) fn report_invalid_head(
    log: &Logger,
    replica: &ReplicaName,
    request: Option<&str>,
    fault: &HeadFault,
) {
    slog::warn!(log, "response with an invalid head"; "id" => request,
        "replica" => replica.as_str(), "error" => %fault);
    metrics::counter!("serve_invalid_heads_total").increment(1);
}
