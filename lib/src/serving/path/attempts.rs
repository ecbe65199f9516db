//! Sends a request to replicas until a response starts.

use std::collections::BTreeSet;
use std::rc::Rc;

use futures_util::TryFutureExt;

use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::serving::decisions::fleet::RunOutcome;
use crate::serving::decisions::retry::AttemptFailure;
use crate::serving::decisions::retry::Attempts;
use crate::serving::decisions::retry::RETRY_DELAY;
use crate::serving::decisions::retry::Refusal;
use crate::serving::path::builds;
use crate::serving::path::codec::NotRun;
use crate::serving::path::crashes::blocked_retry_after;
use crate::serving::path::crashes::is_doubtful;
use crate::serving::path::crashes::is_replaced;
use crate::serving::path::crashes::until_dead;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::forward::Resume;
use crate::serving::path::forward::StartedResponse;
use crate::serving::path::forward::forward;
use crate::serving::path::placement::Placed;
use crate::serving::path::placement::wait_for_replica;
use crate::serving::path::relay;
use crate::serving::path::serve::RoutedRequest;
use crate::serving::path::serve::is_event_stream;
use crate::serving::path::stop;
use crate::serving::path::takeover::LastSend;
use crate::serving::path::takeover::OtherAttempts;
use crate::serving::path::takeover::PendingSend;
use crate::serving::path::takeover::Takeover;
use crate::serving::path::takeover::take_over;
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
    match attempt(node, routed, req, attempts, avoid, &placed, None).await {
        Ok(started) => Ok(started),
        Err(Ended::Final(refusal)) => Err(refusal),
        Err(Ended::Failed(ended)) => {
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
        // The budget pays for no retry that is too late to be sent.
        if let Err(stopping) = stop::check_send(node, &routed.route, req.deadline) {
            attempts.record_failure(stopping);
            log_attempt(node, req, &placed.replica, attempts, stopping);
            return Err(Refusal::after(attempts, stopping));
        }
        if ended.reached_replica() && !spend_retry(node, routed, req, ended.as_str()) {
            return Err(Refusal::after(attempts, ended));
        }
        ended = match attempt(node, routed, req, attempts, avoid, &placed, resume).await {
            // An error response cannot continue a response that has started.
            Ok(started) if attempts.answered && !started.answer.head.status.is_success() => {
                started.run.record_end(RunOutcome::Failed);
                AttemptFailure::Failed
            }
            Ok(started) => return Ok(started),
            Err(Ended::Final(refusal)) => return Err(refusal),
            Err(Ended::Failed(next)) => next,
        };
        attempts.record_failure(ended);
        log_attempt(node, req, &placed.replica, attempts, ended);
        avoid_failed(node, avoid, placed.replica, ended);
    }
}

/// Has another replica go on with a stream, after an attempt that ended with `ended` and is already
/// recorded in `attempts`.
pub(in crate::serving) async fn resume_elsewhere(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    attempts: &mut Attempts,
    avoid: &mut BTreeSet<ReplicaName>,
    ended: AttemptFailure,
    resume: Resume,
) -> Result<StartedResponse, Refusal> {
    let resume = Some(resume);
    let started = retry(node, routed, req, attempts, avoid, ended, resume).await?;
    match req.build {
        Some(_) => Ok(started),
        // The caller has no event yet: the stream begins with this replica's.
        None => until_kept(node, routed, req, attempts, avoid, started, resume).await,
    }
}

/// Has the store keep the stream that a response begins, if it must; otherwise the stream begins
/// elsewhere.
pub(in crate::serving) async fn until_kept(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    attempts: &mut Attempts,
    avoid: &mut BTreeSet<ReplicaName>,
    mut started: StartedResponse,
    resume: Option<Resume>,
) -> Result<StartedResponse, Refusal> {
    while is_event_stream(&started.answer.head.headers)
        && !builds::record_began(node, routed, req, &mut started.run).await
    {
        let ended = AttemptFailure::NotKept;
        attempts.record_failure(ended);
        log_attempt(node, req, &started.run.replica, attempts, ended);
        drop(started);
        req.trace.last_send.end();
        if req.kept.get() {
            // It could not be told from the stream of the attempt that may be kept.
            return Err(Refusal::after(attempts, ended));
        }
        started = retry(node, routed, req, attempts, avoid, ended, resume).await?;
    }
    Ok(started)
}

/// How an attempt ended that gave no response.
enum Ended {
    /// Another attempt may follow.
    Failed(AttemptFailure),
    /// Those on other replicas have been made as well.
    Final(Refusal),
}

/// Sends a request to a replica. While that one is taken for dead, other replicas are tried beside
/// it: it may be silent only, and is given up once another one has the request.
async fn attempt(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    attempts: &mut Attempts,
    avoid: &mut BTreeSet<ReplicaName>,
    placed: &Placed,
    resume: Option<Resume>,
) -> Result<StartedResponse, Ended> {
    let last_send = &req.trace.last_send;
    last_send.end();
    // A send that failed is over; that of a response counts until this VM goes on with it.
    let own = forward(node, &routed.route, req, placed, resume);
    let own = own.inspect_err(|_| {
        last_send.end();
    });
    let mut own = Box::pin(own);
    let broken = AttemptFailure::Broken;
    loop {
        let dead = async {
            let send = last_send.until_sent().await;
            until_dead(node, &send.replica, send.run).await;
            send
        };
        let send = tokio::select! {
            biased;
            ended = &mut own => return ended.map_err(Ended::Failed),
            send = dead, if routed.route.idempotent() => send,
        };
        let mut tried = *attempts;
        tried.record_failure(broken);
        let mut tried_avoid = avoid.clone();
        tried_avoid.insert(placed.replica.clone());
        last_send.end();
        let mut others: OtherAttempts<'_> = Box::pin(retry(
            node,
            routed,
            req,
            &mut tried,
            &mut tried_avoid,
            broken,
            resume,
        ));
        let refusal = match take_over(&mut own, &mut others, last_send).await {
            Takeover::Stayed(Ok(started)) => {
                drop(others);
                *attempts = without_own(tried, last_send);
                return Ok(started);
            }
            Takeover::Moved(started) => {
                drop(others);
                give_up(node, req, &send, own);
                (*attempts, *avoid) = (tried, tried_avoid);
                return Ok(*started);
            }
            step @ (Takeover::Stayed(Err(_)) | Takeover::GiveUp) => {
                if let Takeover::GiveUp = step {
                    give_up(node, req, &send, own);
                }
                // The others are the next attempts.
                let started = others.await;
                (*attempts, *avoid) = (tried, tried_avoid);
                return started.map_err(Ended::Final);
            }
            Takeover::Refused(refusal) => refusal,
        };
        drop(others);
        if is_replaced(node, &send.replica) {
            (*attempts, *avoid) = (tried, tried_avoid);
            return Err(Ended::Final(refusal));
        }
        slog::info!(node.log, "silent run goes on, as no other replica takes it";
            "id" => &req.id, "replica" => placed.replica.as_str(), "why" => refusal.reason);
        *attempts = without_own(tried, last_send);
        tokio::select! {
            biased;
            ended = &mut own => return ended.map_err(Ended::Failed),
            () = tokio::time::sleep(RETRY_DELAY) => last_send.begin(send),
        }
    }
}

/// Returns the attempts that were made beside a run which goes on, one of them perhaps still under
/// way.
pub(in crate::serving) fn without_own(mut tried: Attempts, last_send: &LastSend) -> Attempts {
    tried.undo_failure(AttemptFailure::Broken);
    if last_send.end() {
        tried.record_failure(AttemptFailure::Broken);
    }
    tried
}

/// Gives up a run that another replica has taken over.
fn give_up<T>(node: &Node, req: &BufferedRequest, send: &PendingSend, run: T) {
    slog::info!(node.log, "silent run given up"; "id" => &req.id,
        "replica" => send.replica.name.as_str(), "ran_ms" => now().since(send.at).as_millis());
    drop(run);
    let mut state = node.state();
    if state.fleet.is_current(&send.replica) {
        let fleet = &mut state.fleet;
        fleet.record_outcome(now(), &send.replica.name, RunOutcome::Broken);
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
