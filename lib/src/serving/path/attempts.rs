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
use crate::serving::path::crashes::is_gone;
use crate::serving::path::crashes::until_dead;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::forward::Resume;
use crate::serving::path::forward::StartedResponse;
use crate::serving::path::forward::begin_keeping;
use crate::serving::path::forward::forward;
use crate::serving::path::placement::Placed;
use crate::serving::path::placement::wait_for_replica;
use crate::serving::path::relay;
use crate::serving::path::serve::RoutedRequest;
use crate::serving::path::serve::is_event_stream;
use crate::serving::path::stop;
use crate::serving::path::takeover::MAX_OVERLAP;
use crate::serving::path::takeover::OtherAttempts;
use crate::serving::path::takeover::SentRun;
use crate::serving::path::takeover::Takeover;
use crate::serving::path::takeover::race;
use crate::serving::path::types::RouteKind;
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
            // An error response neither continues another one nor is worth giving up a run.
            Ok(started) if attempts.needs_success() && !started.answer.head.status.is_success() => {
                started.run.record_end(RunOutcome::Failed);
                drop(started);
                req.last_send.end();
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
        req.last_send.end();
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
/// it: it may be silent only.
async fn attempt(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    attempts: &mut Attempts,
    avoid: &mut BTreeSet<ReplicaName>,
    placed: &Placed,
    resume: Option<Resume>,
) -> Result<StartedResponse, Ended> {
    let last_send = &req.last_send;
    last_send.end();
    let own = forward(node, &routed.route, req, placed, resume);
    let own = own.inspect_err(|_| {
        last_send.end();
    });
    let mut own = Box::pin(own);
    let mut was_refused = false;
    loop {
        let dead = async {
            let run = last_send.until_sent().await;
            until_dead(node, &run.replica, run.id).await;
            run
        };
        let run = tokio::select! {
            biased;
            ended = &mut own => return ended.map_err(Ended::Failed),
            run = dead, if routed.route.idempotent() => run,
        };
        let others = try_others(node, routed, req, attempts, avoid, own, &run, resume);
        let (silent, why) = match others.await {
            Beside::Ended(ended) => return ended.map(|started| *started),
            Beside::Stays(own, why) => (own, why),
        };
        own = silent;
        if is_gone(node, &run.replica) {
            return Err(Ended::Failed(AttemptFailure::Broken));
        }
        if !std::mem::replace(&mut was_refused, true) {
            log_stays(node, req, &placed.replica, why);
        }
        tokio::select! {
            biased;
            ended = &mut own => return ended.map_err(Ended::Failed),
            () = tokio::time::sleep(RETRY_DELAY) => last_send.begin(run),
        }
    }
}

/// What came of trying other replicas beside a silent run.
enum Beside<F> {
    /// Its own replica or another one answered, or all have ended.
    Ended(Result<Box<StartedResponse>, Ended>),
    /// It goes on, and no other replica takes it.
    Stays(F, &'static str),
}

/// Tries other replicas beside a run that has no response.
#[expect(
    clippy::too_many_arguments,
    reason = "the request and its attempts go through all steps"
)]
async fn try_others<F>(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    attempts: &mut Attempts,
    avoid: &mut BTreeSet<ReplicaName>,
    mut own: F,
    run: &SentRun,
    resume: Option<Resume>,
) -> Beside<F>
where
    F: Future<Output = Result<StartedResponse, AttemptFailure>> + Unpin,
{
    let last_send = &req.last_send;
    let silent = AttemptFailure::Broken;
    let mut tried = attempts.beside_run();
    let mut tried_avoid = avoid.clone();
    tried_avoid.insert(run.replica.name.clone());
    last_send.end();
    let (tries, avoids) = (&mut tried, &mut tried_avoid);
    let others = retry(node, routed, req, tries, avoids, silent, resume);
    let mut others: OtherAttempts<'_> = Box::pin(others);
    // Two replicas may work on a plain request, and must not on a stream.
    let is_stream = routed.route.kind == RouteKind::Stream;
    let overlap = is_stream.then_some(MAX_OVERLAP);
    let is_silent = || {
        let state = node.state();
        state.crash_tracker.is_accused_run(&run.replica, run.id)
    };
    let ended = match race(&mut own, &mut others, last_send, overlap, is_silent).await {
        Takeover::Own(Ok(mut started)) => {
            drop(others);
            *attempts = attempts.after_run(tried, last_send.end());
            if started.run.keeping.is_none() && req.kept.get() {
                // The store may keep that the stream begins at the other replica's build.
                started.run.keeping = begin_keeping(node, req, &started.run);
            }
            return Beside::Ended(Ok(Box::new(started)));
        }
        Takeover::Stays(why) => {
            drop(others);
            *attempts = attempts.after_run(tried, last_send.end());
            return Beside::Stays(own, why);
        }
        Takeover::Moved(started) => {
            give_up(node, req, run, own);
            Ok(started)
        }
        Takeover::GiveUp => {
            give_up(node, req, run, own);
            others.as_mut().await.map(Box::new)
        }
        // The others are the next attempts.
        Takeover::Own(Err(_)) => others.as_mut().await.map(Box::new),
    };
    drop(others);
    *attempts = attempts.after_takeover(tried);
    *avoid = tried_avoid;
    Beside::Ended(ended.map_err(Ended::Final))
}

/// Logs that a silent run goes on.
pub(in crate::serving) fn log_stays(
    node: &Node,
    req: &BufferedRequest,
    replica: &ReplicaName,
    why: &'static str,
) {
    slog::info!(node.log, "silent run goes on, as no other replica takes it"; "id" => &req.id,
        "replica" => replica.as_str(), "why" => why);
}

/// Gives up a run that another replica has taken over.
fn give_up<T>(node: &Node, req: &BufferedRequest, run: &SentRun, own: T) {
    slog::info!(node.log, "silent run given up"; "id" => &req.id,
        "replica" => run.replica.name.as_str(), "ran_ms" => now().since(run.sent_at).as_millis());
    drop(own);
    let mut state = node.state();
    if state.fleet.is_current(&run.replica) {
        let fleet = &mut state.fleet;
        fleet.record_outcome(now(), &run.replica.name, RunOutcome::Broken);
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
