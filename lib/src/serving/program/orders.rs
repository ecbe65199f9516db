//! Carries out what the books say: reports are read, orders are given.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::StatusCode;

use crate::ids::ReplicaName;
use crate::ids::Token;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::adapter_planner::LoadDuration;
use crate::serving::decisions::adapter_planner::OrderOutcome;
use crate::serving::decisions::adapter_planner::ReplicaAction;
use crate::serving::decisions::adapter_planner::ReplicaReport;
use crate::serving::path::codec::Order;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::program::node::time_until;
use crate::upstream::Parts;
use crate::upstream::collect;

/// The longest wait for the answer to an order or for a report.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// The wait for the answer to an order; replicas take one at once, a few
/// milliseconds away. It doubles with each order in a row that was not
/// answered. Measured on twelve replicas that left a third of their orders
/// unanswered, in three spans of two seconds: 12, 13 and 19 loads with a wait of
/// 0.8 s and a look, 70, 67 and 89 with this one.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// The longest report that is read.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Loads of weights a second where the configuration names no rate.
const MIN_LOAD_RATE: f64 = 0.1;

/// How much longer a VM pauses between loads from the weight store than its
/// part of the rate: all VMs may begin at the same moment.
const LOAD_PAUSE_FACTOR: f64 = 2.0;

/// The least such pause: the window over which the weight store counts.
const MIN_LOAD_PAUSE: Span = Span::from_millis(5_000);

/// Doublings after which the wait is the longest anyway.
const MAX_DOUBLINGS: u32 = 4;

/// How often ownerships are looked through without any news.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A loop that comes back later than this was suspended: what it owned may
/// have been given to others meanwhile.
const SUSPEND_THRESHOLD: Span = Span::from_millis(1_200);

/// Gives orders until the process ends.
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
        for (name, token, step) in due_steps(&node, at) {
            tokio::task::spawn_local(execute(node.clone(), name, token, step));
        }
        let wake = node.state().books.next_wake(at);
        let wait = wake.map_or(CHECK_INTERVAL, |w| time_until(w).min(CHECK_INTERVAL));
        // Woken by news or by time, the books are asked anew.
        let wait = wait.max(Duration::from_millis(5));
        tokio::time::timeout(wait, node.orders_wake.notified())
            .await
            .ok();
    }
}

/// What is due at each of our replicas.
fn due_steps(node: &Node, at: Moment) -> Vec<(ReplicaName, Token, ReplicaAction)> {
    if node.phase() == Phase::Draining {
        return Vec::new();
    }
    let mut b = node.state();
    b.sync_books(at);
    let b = &mut *b;
    let loads = b.fleet.weight_loads_per_s().max(MIN_LOAD_RATE);
    let pause = Span((b.members.count() as f64 / loads * LOAD_PAUSE_FACTOR * 1e6) as u64);
    b.books.set_load_interval(pause.max(MIN_LOAD_PAUSE));
    let engines = b.fleet.engines().count();
    b.books.set_fetches(b.fleet.loading_adapters(at), engines);
    b.books.set_report_delay(b.members.report_delay());
    let active = b.ownership.usable(at);
    let active: Vec<_> = active.map(|(name, token)| (name.clone(), token)).collect();
    let mut due = Vec::new();
    for (name, token) in active {
        let empty = b.books.needs_model(&name);
        let listing = b.fleet.listing(&name).filter(|_| empty);
        let model = listing.and_then(|l| b.fleet.least_replicated_model(l));
        if let Some(step) = b.books.next_action(at, &name, &b.fleet.versions, model) {
            due.push((name, token, step));
        }
    }
    due
}

async fn execute(node: Rc<Node>, name: ReplicaName, token: Token, step: ReplicaAction) {
    match &step {
        ReplicaAction::Inspect => {
            let report = fetch_report(&node, &name).await;
            let mut b = node.state();
            b.books.finish_inspection(now(), &name, report);
        }
        _ => {
            let end = send_order(&node, &name, token, &step).await;
            let mut b = node.state();
            let took = b.books.finish_order(now(), &name, &step, end);
            if matches!(end, OrderOutcome::Fenced) {
                b.ownership.record_refusal(&name, token);
            }
            drop(b);
            log_order(&node, &name, token, &step, end, took);
        }
    }
    node.beacon_wake.notify_one();
    node.orders_wake.notify_one();
    // Our own requests that wait for it learn of it with the news.
    let mut b = node.state();
    if let Some(held) = b.books.residency(&name) {
        b.fleet.apply_residency(now(), &name, held);
    }
    drop(b);
    node.placement_wake.notify_waiters();
}

fn log_order(
    node: &Node,
    name: &ReplicaName,
    token: Token,
    step: &ReplicaAction,
    end: OrderOutcome,
    took: Option<LoadDuration>,
) {
    let (what, target, expected) = match step {
        ReplicaAction::Load {
            target, expected, ..
        } => ("load", target.to_string(), *expected),
        ReplicaAction::Unload { target, expected } => ("unload", target.to_string(), *expected),
        ReplicaAction::Inspect => ("look", String::new(), 0),
    };
    metrics::counter!("serve_orders_total", "what" => what, "end" => end.as_str()).increment(1);
    if let Some(took) = took {
        metrics::histogram!("serve_load_seconds").record(took.max.0 as f64 / 1e6);
    }
    slog::info!(node.log, "order"; "what" => what, "replica" => name.as_str(),
        "target" => target, "expected" => expected, "token" => token.0, "end" => end.as_str(),
        "took_ms" => took.map(|t| t.max.as_millis()));
}

async fn fetch_report(node: &Node, name: &ReplicaName) -> Option<ReplicaReport> {
    let request = (node.codec.encode_report_request)().ok()?;
    let (status, body) = call(node, name, request, MAX_ANSWER_TIMEOUT).await?;
    if !status.is_success() {
        return None;
    }
    match (node.codec.parse_report)(&body) {
        Ok(report) => {
            slog::info!(node.log, "report"; "replica" => name.as_str(),
                "accepted" => report.accepted, "here" => report.loaded.len(),
                "coming" => report.loading.len());
            Some(report)
        }
        Err(e) => {
            slog::warn!(node.log, "bad report"; "replica" => name.as_str(), "error" => %e);
            None
        }
    }
}

async fn send_order(
    node: &Node,
    name: &ReplicaName,
    token: Token,
    step: &ReplicaAction,
) -> OrderOutcome {
    let (load, target, version, expected) = match step {
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
    // The lease is looked at right before the order goes out.
    if node.state().ownership.token(now(), name) != Some(token) {
        return OrderOutcome::Refused;
    }
    let unanswered = node.state().books.unanswered(name).min(MAX_DOUBLINGS);
    let wait = match node.settings.experiment.is_enabled(Mechanism::OrderRepeats) {
        true => (FIRST_ANSWER_TIMEOUT * (1 << unanswered)).min(MAX_ANSWER_TIMEOUT),
        false => MAX_ANSWER_TIMEOUT,
    };
    match call(node, name, request, wait).await {
        Some((status, _)) => (node.codec.parse_order_end)(status),
        None => OrderOutcome::Unknown,
    }
}

async fn call(
    node: &Node,
    name: &ReplicaName,
    request: Request<Parts>,
    wait: Duration,
) -> Option<(StatusCode, Bytes)> {
    let address = node.state().fleet.listing(name)?.address;
    let work = async {
        let mut answer = node.upstreams.send(address, request).await.ok()?;
        let body = collect(&mut answer, MAX_REPORT_BYTES).await.ok()?;
        Some((answer.head.status, body))
    };
    tokio::time::timeout(wait, work).await.ok().flatten()
}
