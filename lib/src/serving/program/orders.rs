//! Executes what the adapter planner decides: fetches status reports and sends orders.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::StatusCode;

use crate::ids::FencingToken;
use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::adapter_planner::LoadDuration;
use crate::serving::decisions::adapter_planner::OrderOutcome;
use crate::serving::decisions::adapter_planner::PendingLoad;
use crate::serving::decisions::adapter_planner::ReplicaAction;
use crate::serving::decisions::adapter_planner::ReplicaReport;
use crate::serving::decisions::fleet::WithheldReason;
use crate::serving::path::codec::Order;
use crate::serving::path::heads::report_invalid_head;
use crate::serving::path::statements::Call;
use crate::serving::path::statements::apply_statement;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::program::node::time_until;
use crate::upstream::BodyChunks;
use crate::upstream::SendError;
use crate::upstream::read_body;

/// Timeout for a report, and for the response to an order if orders are not repeated.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// How long the system goes on to deliver a report's request or an order while this process is
/// suspended, so that no timeout of its own ends them.
pub(in crate::serving) const DELIVERY_TIMEOUT: Duration = MAX_ANSWER_TIMEOUT;

/// Maximum size of a report in bytes.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Minimum rate of loads per second, also used if the configuration states none.
const MIN_LOAD_RATE: f64 = 0.1;

/// Factor by which the pause between a VM's loads from the weight store exceeds its share of
/// the rate, because all VMs may start a load at the same time.
const LOAD_PAUSE_FACTOR: f64 = 2.0;

/// Minimum pause between loads: the window over which the weight store applies its rate.
const MIN_LOAD_PAUSE: Span = Span::from_millis(5_000);

/// Interval at which owned replicas are checked without a wake-up.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two iterations from which the VM counts as suspended: its replicas may have
/// been assigned to other owners meanwhile.
const SUSPEND_THRESHOLD: Span = Span::from_millis(1_200);

/// Issues orders for the replicas that this VM owns, until the process ends.
pub(in crate::serving) async fn issue_orders(node: Rc<Node>) {
    let mut last = now();
    loop {
        let at = now();
        if at.since(last) > SUSPEND_THRESHOLD {
            slog::warn!(node.log, "was suspended"; "ms" => at.since(last).as_millis());
            node.state().ownership.invalidate();
            node.owners_wake.notify_one();
        }
        last = at;
        for (name, token, action) in due_actions(&node, at) {
            tokio::task::spawn_local(execute(node.clone(), name, token, action));
        }
        let wake = node.state().planner.next_wake(at);
        let wait = wake.map_or(CHECK_INTERVAL, |w| time_until(w).min(CHECK_INTERVAL));
        // A wake-up and a time-out both lead to another pass.
        let wait = wait.max(Duration::from_millis(5));
        tokio::time::timeout(wait, node.orders_wake.notified())
            .await
            .ok();
    }
}

/// Returns the next action for each owned replica that has one.
fn due_actions(node: &Node, at: Moment) -> Vec<(ReplicaName, FencingToken, ReplicaAction)> {
    if node.phase() >= Phase::Draining {
        return Vec::new();
    }
    let mut state = node.state();
    state.sync_planner(at);
    let state = &mut *state;
    let load_rate = state.fleet.weight_loads_per_s().max(MIN_LOAD_RATE);
    let pause = Span((state.members.count() as f64 / load_rate * LOAD_PAUSE_FACTOR * 1e6) as u64);
    state.planner.set_load_interval(pause.max(MIN_LOAD_PAUSE));
    let engines = state.fleet.engines().count();
    state
        .planner
        .set_fetches(state.fleet.loading_adapters(at), engines);
    state.planner.set_report_delay(state.members.report_delay());
    let active = state.ownership.usable(at);
    let active: Vec<_> = active.map(|(name, token)| (name.clone(), token)).collect();
    let mut actions = Vec::new();
    let is_resting = |name: &ReplicaName| {
        let withheld = state.fleet.withheld(at, name);
        withheld.is_some_and(|w| w.reason == WithheldReason::Rest)
    };
    let takes_orders = |name: &ReplicaName| !state.fleet.is_draining(name) && !is_resting(name);
    for (name, token) in active.into_iter().filter(|(name, _)| takes_orders(name)) {
        let needs_model = state.planner.needs_model(&name);
        let listing = state.fleet.replica_info(&name).filter(|_| needs_model);
        let model = listing.and_then(|l| state.fleet.least_replicated_model(l));
        if let Some(action) = state
            .planner
            .next_action(at, &name, &state.fleet.versions, model)
        {
            actions.push((name, token, action));
        }
    }
    actions
}

/// Executes an action and records its outcome in the adapter planner.
async fn execute(node: Rc<Node>, name: ReplicaName, token: FencingToken, action: ReplicaAction) {
    match &action {
        ReplicaAction::Inspect => {
            let report = fetch_report(&node, &name).await;
            let mut state = node.state();
            state.planner.finish_inspection(now(), &name, report);
        }
        _ => {
            let sent = now();
            let pending = match &action {
                ReplicaAction::Load { target, .. } => {
                    node.state().planner.pending_load(&name, target)
                }
                _ => None,
            };
            let end = send_order(&node, &name, token, &action).await;
            let mut state = node.state();
            let took = state.planner.finish_order(now(), &name, &action, end);
            for wait in state.planner.take_load_waits() {
                metrics::counter!("serve_load_waits_total", "reason" => wait.as_str()).increment(1);
            }
            if matches!(end, OrderOutcome::Fenced) {
                state.ownership.record_refusal(&name, token);
            }
            drop(state);
            let done = DoneOrder {
                sent,
                pending,
                end,
                took,
            };
            log_order(&node, &name, token, &action, &done);
        }
    }
    node.beacon_wake.notify_one();
    node.orders_wake.notify_one();
    // Requests on this VM that wait for the replica see the new state at once.
    let mut state = node.state();
    if let Some(residency) = state.planner.report(now(), &name) {
        state.fleet.apply_residency(now(), &name, residency);
    }
    drop(state);
    node.placement_wake.notify_waiters();
}

/// An order that was carried out or failed, for the log.
struct DoneOrder {
    sent: Moment,
    /// The load request that it served.
    pending: Option<PendingLoad>,
    end: OrderOutcome,
    /// Duration of the load that it completed.
    took: Option<LoadDuration>,
}

/// Logs and counts an order with its outcome.
fn log_order(
    node: &Node,
    name: &ReplicaName,
    token: FencingToken,
    action: &ReplicaAction,
    done: &DoneOrder,
) {
    let (what, target, expected) = match action {
        ReplicaAction::Load {
            target, expected, ..
        } => ("load", target.to_string(), *expected),
        ReplicaAction::Unload { target, expected } => ("unload", target.to_string(), *expected),
        ReplicaAction::Inspect => ("look", String::new(), 0),
    };
    let end = done.end.as_str();
    metrics::counter!("serve_orders_total", "what" => what, "end" => end).increment(1);
    if let Some(took) = done.took {
        metrics::histogram!("serve_load_seconds").record(took.max.0 as f64 / 1e6);
    }
    slog::info!(node.log, "order"; "what" => what, "replica" => name.as_str(),
        "target" => target, "expected" => expected, "token" => token.0, "end" => end,
        "took_ms" => done.took.map(|t| t.max.as_millis()),
        "wait_ms" => done.pending.map(|p| done.sent.since(p.since).as_millis()),
        "waiting" => done.pending.map(|p| p.waiting),
        "rank" => done.pending.map(|p| p.rank.to_wire()));
}

/// Fetches a replica's status report.
async fn fetch_report(node: &Node, name: &ReplicaName) -> Option<ReplicaReport> {
    let request = (node.codec.encode_report_request)(name).ok()?;
    let (status, body) = call(node, name, request, MAX_ANSWER_TIMEOUT, || true).await?;
    if !status.is_success() {
        return None;
    }
    match (node.codec.parse_report)(&body) {
        Ok(report) => {
            slog::info!(node.log, "status report received"; "replica" => name.as_str(),
                "accepted" => report.accepted, "here" => report.loaded.len(),
                "coming" => report.loading.len());
            Some(report)
        }
        Err(e) => {
            slog::warn!(node.log, "could not parse a replica's report";
                "replica" => name.as_str(), "error" => %e);
            None
        }
    }
}

/// Sends an order to a replica, unless the ownership has expired.
async fn send_order(
    node: &Node,
    name: &ReplicaName,
    token: FencingToken,
    action: &ReplicaAction,
) -> OrderOutcome {
    let (load, target, version, expected) = match action {
        ReplicaAction::Load {
            target,
            version,
            expected,
        } => (true, target, *version, *expected),
        ReplicaAction::Unload { target, expected } => (false, target, None, *expected),
        ReplicaAction::Inspect => return OrderOutcome::Refused,
    };
    let order = Order {
        load,
        target,
        version,
        expected,
        vm: &node.settings.vm,
        token,
        replica: name,
    };
    let Ok(request) = (node.codec.encode_order)(&order) else {
        return OrderOutcome::Refused;
    };
    // Checked right before the order is sent, so that what the next owner waits for is the
    // delivery alone.
    let owns = || node.state().ownership.token(now(), name) == Some(token);
    if !owns() {
        return OrderOutcome::Refused;
    }
    let timeout = match node.settings.experiment.is_enabled(Mechanism::OrderRepeats) {
        true => Duration::from_micros(node.state().planner.answer_timeout(name).0),
        false => MAX_ANSWER_TIMEOUT,
    };
    match call(node, name, request, timeout, owns).await {
        Some((status, _)) => (node.codec.parse_order_outcome)(status),
        None => OrderOutcome::Unknown,
    }
}

/// Sends a request to a replica, if `is_allowed` when a connection is open, and reads the
/// response; returns `None` on errors and after the timeout.
async fn call(
    node: &Node,
    name: &ReplicaName,
    request: Request<BodyChunks>,
    timeout: Duration,
    is_allowed: impl Fn() -> bool,
) -> Option<(StatusCode, Bytes)> {
    let (address, replica, sent) = {
        let state = node.state();
        let listing = state.fleet.replica_info(name)?;
        let replica = listing.instance();
        let sent = state.replica_limits.stamp(now(), &replica);
        (listing.address, replica, sent)
    };
    let exchange = async {
        let answer = node.controls.send_if(address, request, is_allowed).await;
        if let Err(SendError::InvalidHead(fault)) = &answer {
            report_invalid_head(&node.log, name, None, fault);
        }
        let mut response = answer.ok()?;
        let call = Call {
            id: None,
            replica: &replica,
            sent: &sent,
        };
        apply_statement(node, call, response.head.status, &response.head.headers);
        let body = read_body(&mut response, MAX_REPORT_BYTES).await.ok()?;
        Some((response.head.status, body))
    };
    tokio::time::timeout(timeout, exchange).await.ok().flatten()
}
