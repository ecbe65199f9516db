//! Sends a request to replicas until a response starts.

use std::collections::BTreeSet;
use std::rc::Rc;

use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::serving::decisions::retry::AttemptFailure;
use crate::serving::decisions::retry::Attempts;
use crate::serving::decisions::retry::Refusal;
use crate::serving::path::codec::NotRun;
use crate::serving::path::crashes::blocked_retry_after;
use crate::serving::path::crashes::is_doubtful;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::forward::Resume;
use crate::serving::path::forward::StartedResponse;
use crate::serving::path::forward::forward;
use crate::serving::path::placement::wait_for_replica;
use crate::serving::path::relay;
use crate::serving::path::serve::RoutedRequest;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;

/// Replicas that are tried without reaching one before the request is handed to another VM.
const MAX_UNREACHED: u32 = 2;

/// Makes the first attempt, and retries until a response starts.
pub(in crate::serving) async fn first_attempt(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    attempts: &mut Attempts,
    avoid: &mut BTreeSet<ReplicaName>,
) -> Result<StartedResponse, Refusal> {
    let placed = wait_for_replica(node, routed, req, avoid, attempts).await?;
    match forward(node, &routed.route, req, &placed, None).await {
        Ok(started) => Ok(started),
        Err(ended) => {
            attempts.record_failure(ended);
            log_attempt(node, req, &placed.replica, attempts, ended);
            avoid_failed(node, avoid, placed.replica, ended);
            retry(node, routed, req, attempts, avoid, ended, None).await
        }
    }
}

/// Retries on other replicas after an attempt that ended with `ended` and is already
/// recorded in `attempts`.
pub(in crate::serving) async fn retry(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    attempts: &mut Attempts,
    avoid: &mut BTreeSet<ReplicaName>,
    ended: AttemptFailure,
    resume: Option<Resume>,
) -> Result<StartedResponse, Refusal> {
    let mut ended = ended;
    loop {
        if !attempts.may_retry(ended) {
            return Err(final_refusal(node, req, attempts, ended));
        }
        if ended.may_have_run() && is_doubtful(node, req) {
            slog::info!(node.log, "not sent again, as its replicas may crash on it"; "id" => &req.id);
            return Err(Refusal::after(attempts, ended));
        }
        if attempts.none_arrived()
            && attempts.unreached >= MAX_UNREACHED
            && relay::has_helper(node, routed, req)
        {
            return Err(Refusal::after(attempts, ended));
        }
        if ended == AttemptFailure::NotRun(NotRun::NotLoaded) {
            // The view of the loaded adapters was wrong; the replicas themselves work.
            avoid.clear();
        }
        let placed = match wait_for_replica(node, routed, req, avoid, attempts).await {
            Ok(placed) => placed,
            Err(refusal) if attempts.runs == 0 => return Err(refusal),
            Err(_) => return Err(Refusal::after(attempts, ended)),
        };
        if ended.reached_replica() && !spend_retry(node, routed, req, ended.as_str()) {
            return Err(Refusal::after(attempts, ended));
        }
        ended = match forward(node, &routed.route, req, &placed, resume).await {
            // An error response cannot continue a response that has started.
            Ok(started) if attempts.answered && !started.answer.head.status.is_success() => {
                started.run.record_end(RunOutcome::Failed);
                AttemptFailure::Failed
            }
            Ok(started) => return Ok(started),
            Err(next) => next,
        };
        attempts.record_failure(ended);
        log_attempt(node, req, &placed.replica, attempts, ended);
        avoid_failed(node, avoid, placed.replica, ended);
    }
}

/// Returns the refusal of a request that is not sent again after an attempt that ended with
/// `ended`.
fn final_refusal(
    node: &Node,
    req: &BufferedRequest,
    attempts: &Attempts,
    ended: AttemptFailure,
) -> Refusal {
    let mut refusal = Refusal::after(attempts, ended);
    if ended == AttemptFailure::Blocked {
        refusal.retry_after = refusal.retry_after.map(|_| blocked_retry_after(node, req));
    }
    refusal
}

/// Avoids a replica for further attempts of a request. A replica that did not take it and is
/// withheld for a while needs no avoiding, and may be used after that.
fn avoid_failed(
    node: &Node,
    avoid: &mut BTreeSet<ReplicaName>,
    replica: ReplicaName,
    ended: AttemptFailure,
) {
    let not_taken = matches!(
        ended,
        AttemptFailure::Withheld(_) | AttemptFailure::NotRun(NotRun::Full)
    );
    if !not_taken || node.state().fleet.withheld(now(), &replica).is_none() {
        avoid.insert(replica);
    }
}

/// Takes one retry from the service's retry budget; returns whether there was one.
/// `ended` says how the attempt before it ended.
pub(in crate::serving) fn spend_retry(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    ended: &'static str,
) -> bool {
    let at = now();
    let mut state = node.state();
    let listed = state.members.listed_count();
    let budget = state.retry_budget(at);
    let granted = budget.try_retry(at, &routed.service);
    let status = budget.status(at, &routed.service);
    let outcome = match granted {
        true => "granted",
        false => "exhausted",
    };
    req.trace.granted.set(granted.then_some(at));
    slog::info!(node.log, "retry"; "id" => &req.id, "service" => routed.service.as_str(),
        "budget" => outcome, "after" => ended, "relayed" => req.relayed,
        "tokens" => status.tokens, "vms" => listed, "divisor" => status.vms,
        "divisor_age_ms" => status.vms_age.as_millis(),
        "uptime_ms" => at.since(Moment(node.incarnation.0)).as_millis());
    metrics::counter!("serve_retries_total", "budget" => outcome).increment(1);
    granted
}

/// Logs and counts an attempt that gave no response to forward.
pub(in crate::serving) fn log_attempt(
    node: &Node,
    req: &BufferedRequest,
    replica: &ReplicaName,
    attempts: &Attempts,
    ended: AttemptFailure,
) {
    let status = node.state().fleet.status(now(), replica);
    slog::info!(node.log, "try ended"; "id" => &req.id, "replica" => replica.as_str(),
        "why" => ended.as_str(), "standing" => status, "sends" => attempts.sends,
        "runs" => attempts.runs, "left_ms" => req.deadline.since(now()).as_millis());
    metrics::counter!("serve_tries_total", "end" => ended.as_str()).increment(1);
}
