//! Reads what replicas state about themselves, on every response.

use hyper::HeaderMap;
use hyper::StatusCode;

use crate::pool::Span;
use crate::serving::cluster::members::hash_order;
use crate::serving::cluster::state::replica_seed;
use crate::serving::decisions::replica_limits::Heard;
use crate::serving::decisions::replica_limits::SendStamp;
use crate::serving::path::codec::BadRecord;
use crate::serving::path::types::Instance;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::program::node::to_span;

/// The call that a response belongs to.
#[derive(Clone, Copy, Debug)]
pub(in crate::serving) struct Call<'a> {
    /// The caller's request ID; `None` for orders and requests for reports.
    pub(in crate::serving) id: Option<&'a str>,
    pub(in crate::serving) replica: &'a Instance,
    pub(in crate::serving) sent: &'a SendStamp,
}

/// Applies what a replica states about itself on a response, whatever the response is.
pub(in crate::serving) fn apply_statement(
    node: &Node,
    call: Call<'_>,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let parse = node.codec.parse_statement;
    let Some(statement) = parse(status, headers, call.id, &call.replica.name) else {
        return;
    };
    match statement.rate_limit {
        Ok(rate) => apply_limit(node, call, rate),
        Err(e) => log_invalid(node, call, "limit", &e),
    }
    match statement.rest {
        Ok(Some(rest)) => apply_rest(node, call, to_span(rest)),
        Ok(None) => {}
        Err(e) => log_invalid(node, call, "rest", &e),
    }
    match statement.leaving {
        Ok(true) => apply_leaving(node, call),
        Ok(false) => {}
        Err(e) => log_invalid(node, call, "leaving", &e),
    }
}

/// Logs and counts a statement that cannot be decoded; it changes nothing.
fn log_invalid(node: &Node, call: Call<'_>, kind: &'static str, error: &BadRecord) {
    count(kind, "invalid");
    slog::warn!(node.log, "replica's statement not decoded"; "kind" => kind,
        "replica" => call.replica.name.as_str(), "error" => %error);
}

/// Applies that a replica wants nothing from this VM for a while.
fn apply_rest(node: &Node, call: Call<'_>, rest: Span) {
    let at = now();
    let seed = hash_order(&node.settings.vm, replica_seed(&call.replica.name));
    let mut state = node.state();
    if !state.fleet.is_current(call.replica) {
        return;
    }
    let until = state.fleet.begin_rest(at, &call.replica.name, rest, seed);
    drop(state);
    count("rest", "set");
    metrics::counter!("serve_withheld_total", "why" => "rest").increment(1);
    slog::info!(node.log, "replica asked for rest"; "replica" => call.replica.name.as_str(),
        "born" => call.replica.started_ms, "rest_ms" => rest.as_millis(),
        "withheld_ms" => until.since(at).as_millis(), "request" => call.id,
        "sent_ms_ago" => at.since(call.sent.at).as_millis());
}

/// Applies that a replica is about to stop, and tells the other VMs: the store may be slow to.
fn apply_leaving(node: &Node, call: Call<'_>) {
    let mut state = node.state();
    if !state.fleet.mark_leaving(call.replica) {
        return;
    }
    state.stated_leaving.insert(call.replica.clone(), now());
    state.leaving.insert(call.replica.clone());
    drop(state);
    count("leaving", "set");
    slog::info!(node.log, "replica changed"; "replica" => call.replica.name.as_str(),
        "draining" => true, "born" => call.replica.started_ms, "told_by" => "replica",
        "request" => call.id);
    node.beacon_wake.notify_one();
    node.placement_wake.notify_waiters();
}

/// Applies a stated limit, or that a replica states none.
fn apply_limit(node: &Node, call: Call<'_>, rate: Option<f64>) {
    let at = now();
    let mut state = node.state();
    if !state.fleet.is_current(call.replica) {
        return;
    }
    let limits = &mut state.replica_limits;
    let before = limits.rate(at, call.replica);
    let heard = limits.observe(at, call.replica, call.sent, rate);
    // A limit may change with each response; its lender hears of a new value with the next
    // request for a token.
    let is_new = before.is_some() != rate.is_some();
    if heard == Heard::Changed && is_new {
        state.limit_reports.insert(call.replica.clone());
        node.beacon_wake.notify_one();
    }
    drop(state);
    match heard {
        Heard::Confirmed => {}
        Heard::Overtaken => count("limit", "overtaken"),
        Heard::Changed if !is_new => count("limit", "changed"),
        Heard::Changed => {
            count("limit", if rate.is_some() { "set" } else { "ended" });
            slog::info!(node.log, "replica's limit changed"; "replica" => call.replica.name.as_str(),
                "born" => call.replica.started_ms, "per_second" => rate,
                "request" => call.id, "sent_ms_ago" => at.since(call.sent.at).as_millis());
        }
    }
}

/// Counts a statement by what came of it.
fn count(kind: &'static str, outcome: &'static str) {
    metrics::counter!("serve_replica_statements_total", "kind" => kind, "outcome" => outcome)
        .increment(1);
}
