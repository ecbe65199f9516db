//! Finds out which requests crash their replicas, and refuses them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::state::NodeState;
use crate::serving::decisions::crash_tracker::BrokenRun;
use crate::serving::decisions::crash_tracker::Conviction;
use crate::serving::decisions::crash_tracker::Feature;
use crate::serving::decisions::fleet::RunOutcome;
use crate::serving::decisions::retry::AttemptFailure;
use crate::serving::decisions::retry::CRASHES_UPSTREAMS;
use crate::serving::decisions::retry::RETRY_DELAY;
use crate::serving::decisions::retry::Refusal;
use crate::serving::path::codec::BadRecord;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::forward::Run;
use crate::serving::path::heads::report_invalid_head;
use crate::serving::path::types::Instance;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::store::blocks::log_lifted;
use crate::upstream::SendError;

/// Interval at which crashes are judged, while there are any to judge.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of beacon intervals after which a crash is judged: the other VMs tell of their runs
/// within the first, and what clears features within the next.
const SETTLE_INTERVALS: u64 = 3;

/// Time from a broken run until its replica is asked for a sign of life, and between two
/// questions.
const CHECK_DELAY: Duration = Duration::from_millis(100);

/// For how long a replica is asked at most.
const CHECK_TTL: Span = Span::from_millis(10_000);

/// The silence after which a replica does not answer, in parts: a sound replica may say nothing for
/// about a second, and is asked only after it has been silent for a while.
const SILENCE_TICKS: u32 = 6;
const SILENCE_TICK: Duration = Duration::from_millis(100);

/// The part of it after which the replica gets no further requests until it answers.
const AVOID_TICKS: u32 = 2;

/// The silence after which a replica does not say which start it is: one that has just started has
/// free slots and answers at once.
const NAME_TICKS: u32 = 2;

/// Evidence of a crash: another start answers at the address.
const OTHER_START: &str = "another start at its address";

/// Refuses a request that holds a blocked feature.
pub(in crate::serving) fn check_blocked(node: &Node, req: &BufferedRequest) -> Result<(), Refusal> {
    let blocked = node.state().find_block(now(), &req.features);
    match blocked {
        Some(_) => Err(Refusal::not_run(
            CRASHES_UPSTREAMS,
            blocked_retry_after(node, req),
        )),
        None => Ok(()),
    }
}

/// Returns how long callers should stay away with a request that is blocked: until one like it
/// is let through.
pub(in crate::serving) fn blocked_retry_after(node: &Node, req: &BufferedRequest) -> Duration {
    let left = node
        .state()
        .crash_tracker
        .time_to_trial(now(), &req.features);
    Duration::from_micros(left.0).max(RETRY_DELAY)
}

/// The same for a request that is sent to a replica right after this call.
pub(in crate::serving) fn check_send(
    node: &Node,
    req: &BufferedRequest,
) -> Result<(), AttemptFailure> {
    match node.state().begin_blocked_send(now(), &req.features) {
        Some(_) => Err(AttemptFailure::Blocked),
        None => Ok(()),
    }
}

/// Records that a request did not reach its replica, or was refused there.
pub(in crate::serving) fn cancel_send(node: &Node, req: &BufferedRequest) {
    node.state().crash_tracker.cancel_send(now(), &req.features);
}

/// Logs what is known of crashes on a request that is sent to a replica now, if there were any.
pub(in crate::serving) fn log_known_crashes(node: &Node, req: &BufferedRequest, run: &Run) {
    let state = node.state();
    let settle = settle_time(&state);
    let known = state
        .crash_tracker
        .known_crashes(now(), settle, &req.features);
    if let Some(known) = known {
        slog::info!(node.log, "sent after crashes on this request"; "id" => &req.id,
            "replica" => run.replica.as_str(), "crashes" => known.crashes, "runs" => known.runs,
            "settled" => known.settled, "blocked" => known.blocked);
    }
}

/// Returns how long a crash must be known before it is judged.
fn settle_time(state: &NodeState) -> Span {
    Span(state.members.beacon_interval().0 * SETTLE_INTERVALS)
}

/// Returns whether replicas crashed on requests like this one so often that it must not be sent
/// again.
pub(in crate::serving) fn is_doubtful(node: &Node, req: &BufferedRequest) -> bool {
    let state = node.state();
    state.crash_tracker.is_doubtful(now(), &req.features)
}

/// Records that the connection broke while a replica ran this request.
pub(in crate::serving) fn record_break(node: &Rc<Node>, req: &BufferedRequest, run: &Run) {
    let replica = run.instance();
    let broken = BrokenRun {
        sent: run.sent_at,
        features: req.features.clone(),
    };
    let (is_new, counted) = {
        let tracker = &mut node.state().crash_tracker;
        let is_new = tracker.break_run(now(), &replica, run.id, broken);
        (is_new, tracker.request_crashes(now(), &req.features))
    };
    let features: Vec<_> = req.features.iter().map(ToString::to_string).collect();
    slog::info!(node.log, "run broken by its replica"; "id" => &req.id,
        "replica" => replica.name.as_str(), "born" => replica.started_ms,
        "features" => features.join(" "), "ran_ms" => now().since(run.sent_at).as_millis(),
        "new" => is_new, "request_crashes" => counted);
    metrics::counter!("serve_broken_runs_total").increment(1);
    if is_new {
        node.crash_wake.notify_one();
        if let Standing::Listed(address) | Standing::Draining(address) = standing(node, &replica) {
            begin_check(node, replica, address, CHECK_DELAY);
        }
    }
}

/// What the list of replicas says of one start of a replica.
enum Standing {
    /// It is listed, at this address.
    Listed(SocketAddr),
    /// Another start is listed in its place.
    Replaced,
    /// It leaves as planned, from this address.
    Draining(SocketAddr),
    /// It is not listed any more.
    Unlisted,
}

fn standing(node: &Node, replica: &Instance) -> Standing {
    let state = node.state();
    match state.fleet.replica_info(&replica.name) {
        Some(info) if info.instance() != *replica => Standing::Replaced,
        Some(info) if info.draining => Standing::Draining(info.address),
        Some(info) => Standing::Listed(info.address),
        None => Standing::Unlisted,
    }
}

/// Records that another start of a replica answered at the address at which one is listed.
pub(in crate::serving) fn record_replaced(node: &Node, run: &Run) {
    let replica = run.instance();
    if let Standing::Listed(_) = standing(node, &replica) {
        record_dead(node, &replica, run.sent_at, OTHER_START);
    }
}

/// Returns whether a replica that says nothing is gone: another start of it is listed, or none.
pub(in crate::serving) fn is_gone(node: &Node, replica: &Instance) -> bool {
    matches!(
        standing(node, replica),
        Standing::Replaced | Standing::Unlisted
    )
}

/// Asks the replicas for a sign of life that ran something and have given none since.
pub(in crate::serving) fn check_replicas(node: &Rc<Node>) {
    let due = node.state().crash_tracker.due_replicas(now());
    for replica in due {
        match standing(node, &replica) {
            Standing::Listed(address) => begin_check(node, replica, address, Duration::ZERO),
            Standing::Replaced => record_dead(node, &replica, now(), "replaced"),
            Standing::Draining(_) | Standing::Unlisted => {
                node.state().crash_tracker.excuse(&replica);
            }
        }
    }
}

fn begin_check(node: &Rc<Node>, replica: Instance, address: SocketAddr, delay: Duration) {
    if node.state().crash_tracker.begin_check(&replica) {
        let node = node.clone();
        let health = health(&node, &replica);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            check(&node, &replica, address, &health).await;
            node.state().crash_tracker.end_check(&replica);
        });
    }
}

/// Asks a replica for a sign of life until it gives one, or is known to be dead. That its address
/// accepts a connection is none: the system accepts for a process that hangs, and another start of
/// the replica may be there.
async fn check(node: &Node, replica: &Instance, address: SocketAddr, health: &Health) {
    let begun = now();
    while now().since(begun) < CHECK_TTL && node.state().crash_tracker.is_suspected(now(), replica)
    {
        let asked = now();
        let sign = match ask_sign(node, replica, address, health).await {
            Ok(sign) => sign,
            Err(e) => {
                slog::warn!(node.log, "check of a replica could not be encoded"; "error" => %e);
                return;
            }
        };
        match sign {
            Sign::Alive | Sign::Unnamed => record_alive(node, replica, asked),
            Sign::Replaced => return record_dead(node, replica, asked, OTHER_START),
            Sign::Unclear => {}
            Sign::None(evidence) => {
                let is_silent = {
                    let state = node.state();
                    let hears_peers = state.members.hears_any(asked);
                    state.crash_tracker.is_silent(replica, asked, hears_peers)
                };
                if is_silent {
                    // It goes on being asked: a sign of life refutes this.
                    record_dead(node, replica, asked, evidence);
                }
            }
        }
        tokio::time::sleep(CHECK_DELAY).await;
    }
}

/// Records that a replica gave a sign of life when it was asked at `asked`.
fn record_alive(node: &Node, replica: &Instance, asked: Moment) {
    let (lifted, was_accused) = {
        let tracker = &mut node.state().crash_tracker;
        let was_accused = tracker.is_accused(replica);
        (tracker.record_answer(asked, replica), was_accused)
    };
    record_lifted(node, &lifted);
    node.state().fleet.record_check(now(), replica, true);
    if was_accused {
        slog::info!(node.log, "replica did not crash"; "replica" => replica.name.as_str());
        node.crash_wake.notify_one();
    }
}

/// What a replica that is asked for a sign of life does.
enum Sign {
    Alive,
    /// Another start answers at its address.
    Replaced,
    /// A start answers at its address and does not say which: it has no free slot, so that it is
    /// hardly a new one.
    Unnamed,
    /// Something answers at its address that cannot be believed.
    Unclear,
    /// It gives none; holds what its address does. A replica that is overloaded, or that this VM
    /// reaches over old connections only, refuses or resets new ones as well.
    None(&'static str),
}

/// How a replica may be asked.
struct Health {
    /// The health path of its service.
    path: Option<String>,
    is_engine: bool,
}

fn health(node: &Node, replica: &Instance) -> Health {
    let state = node.state();
    let info = state.fleet.replica_info(&replica.name);
    let config = state.active.as_ref().map(|active| &active.config);
    let service = info.and_then(|info| config?.services.get(&info.service));
    Health {
        path: service.and_then(|service| service.health_path.clone()),
        is_engine: service.is_none_or(|service| service.engine.is_some()),
    }
}

/// A question that a replica answers without running anything.
#[derive(Clone, Copy)]
enum Question<'a> {
    /// Engines answer it without a slot, whichever start is asked.
    Report,
    /// Other starts refuse it.
    Health(&'a str),
}

/// Asks a replica for a sign of life. One that answers and does not say which start it is, is asked
/// for that as well.
async fn ask_sign(
    node: &Node,
    replica: &Instance,
    address: SocketAddr,
    health: &Health,
) -> Result<Sign, BadRecord> {
    let path = health.path.as_deref().map(Question::Health);
    let first = path.filter(|_| !health.is_engine);
    let first = first.unwrap_or(Question::Report);
    let sign = ask(node, replica, address, first, SILENCE_TICKS).await?;
    let (Sign::Unnamed, Some(path)) = (&sign, path) else {
        return Ok(sign);
    };
    Ok(match ask(node, replica, address, path, NAME_TICKS).await? {
        Sign::None(_) | Sign::Unclear => Sign::Unnamed,
        sign => sign,
    })
}

async fn ask(
    node: &Node,
    replica: &Instance,
    address: SocketAddr,
    question: Question<'_>,
    ticks: u32,
) -> Result<Sign, BadRecord> {
    let request = match question {
        Question::Report => (node.codec.encode_report_request)(&replica.name),
        Question::Health(path) => (node.codec.encode_health_request)(path, &replica.name),
    }?;
    let mut sent = pin!(node.upstreams.send(address, request));
    let mut failed = None;
    // Time for which this VM stood still is no silence of the replica.
    for tick in 0..ticks {
        if tick == AVOID_TICKS {
            node.state().fleet.record_check(now(), replica, false);
        }
        tokio::select! {
            biased;
            answer = &mut sent, if failed.is_none() => match answer {
                Ok(mut answer) => {
                    let head = &answer.head;
                    let start = (node.codec.identify)(head.status, &head.headers, &replica.name);
                    // The connection is kept once the answer is read.
                    let end = tokio::time::Instant::now() + SILENCE_TICK;
                    while let Ok(Some(Ok(_))) = answer.next_chunk_before(end).await {}
                    return Ok(match (start, question) {
                        (Some(true), _) | (None, Question::Health(_)) => Sign::Alive,
                        (Some(false), _) => Sign::Replaced,
                        (None, Question::Report) => Sign::Unnamed,
                    });
                }
                Err(SendError::NotSent(_)) => failed = Some("connection refused"),
                Err(SendError::Broken(_)) => failed = Some("connection reset"),
                Err(SendError::InvalidHead(fault)) => {
                    report_invalid_head(&node.log, &replica.name, None, &fault);
                    return Ok(Sign::Unclear);
                }
            },
            () = tokio::time::sleep(SILENCE_TICK) => {}
        }
    }
    Ok(Sign::None(failed.unwrap_or("silent")))
}

/// Records that a replica had crashed by `at`, though not all connections to it broke. The planned
/// end of one that drains is no crash.
fn record_dead(node: &Node, replica: &Instance, at: Moment, evidence: &'static str) {
    if let Standing::Draining(_) = standing(node, replica) {
        node.state().crash_tracker.excuse(replica);
        return;
    }
    let runs = {
        let mut state = node.state();
        if state.fleet.is_current(replica) {
            let outcome = RunOutcome::Unreached;
            state.fleet.record_outcome(now(), &replica.name, outcome);
        }
        state.crash_tracker.record_dead(now(), replica, at)
    };
    if runs > 0 {
        slog::info!(node.log, "replica taken for crashed"; "replica" => replica.name.as_str(),
            "born" => replica.started_ms, "evidence" => evidence, "runs" => runs,
            "known_ms" => now().since(at).as_millis());
        metrics::counter!("serve_presumed_crashes_total", "evidence" => evidence).increment(1);
        node.crash_wake.notify_one();
        node.dead_wake.notify_waiters();
    }
}

/// Waits until the replica is taken for crashed that executes a run.
pub(in crate::serving) async fn until_dead(node: &Node, replica: &Instance, run: u64) {
    loop {
        let woken = node.dead_wake.notified();
        if node.state().crash_tracker.is_accused_run(replica, run) {
            return;
        }
        woken.await;
    }
}

/// Records that the response to a request was complete, whose run was sent at `sent`.
pub(in crate::serving) fn record_complete(node: &Node, req: &BufferedRequest, sent: Moment) {
    let cleared = node.state().crash_tracker.accusations(now(), &req.features);
    for accusation in cleared {
        slog::info!(node.log, "crashes cleared by a complete run"; "id" => &req.id,
            "feature" => %accusation.feature, "crashes" => accusation.crashes,
            "sent_before_first" => sent < accusation.first,
            "ran_ms" => now().since(sent).as_millis());
        metrics::counter!("serve_crashes_cleared_total",
            "sent_before_first" => (sent < accusation.first).to_string())
        .increment(accusation.crashes as u64);
    }
    let lifted = node
        .state()
        .crash_tracker
        .complete(now(), sent, &req.features);
    record_lifted(node, &lifted);
}

/// Records that a replica began the response to a request, whose run was sent at `sent`.
pub(in crate::serving) fn record_begun(node: &Node, req: &BufferedRequest, sent: Moment) {
    let tracker = &mut node.state().crash_tracker;
    tracker.begin_response(now(), sent, &req.features);
}

/// Logs the blocks that ended, and has the store remove them.
pub(in crate::serving) fn record_lifted(node: &Node, lifted: &[Feature]) {
    for feature in lifted {
        log_lifted(node, *feature, node.settings.vm.as_str());
        node.blocks_wake.notify_one();
    }
}

/// Judges crashes until the process ends.
pub(in crate::serving) async fn judge_crashes(node: Rc<Node>) {
    let mut judged = Judged::default();
    loop {
        let pending = {
            let state = node.state();
            let settle = settle_time(&state);
            // One more check follows the time at which the last crash is settled.
            let until = Span(settle.0 + 2 * CHECK_INTERVAL.as_micros() as u64);
            state.crash_tracker.is_unsettled(now(), until)
        };
        if !pending {
            node.crash_wake.notified().await;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        judge(&node, &mut judged);
    }
}

/// What the last judgement came to, beside blocks.
#[derive(Default)]
struct Judged {
    /// The leading suspect.
    suspect: Option<Conviction>,
    /// The parts that are half-open.
    half_open: BTreeSet<Feature>,
}

/// Blocks the features that crash replicas. Logs the leading suspect that is not blocked, and the
/// parts that are half-open, unless that is as before.
fn judge(node: &Node, before: &mut Judged) {
    let (convictions, leading, half_open) = {
        let mut state = node.state();
        let settle = settle_time(&state);
        let tracker = &mut state.crash_tracker;
        let convictions = tracker.convict(now(), settle);
        let half_open: BTreeSet<_> = tracker.half_open(now()).collect();
        (
            convictions,
            tracker.leading_suspect(now(), settle),
            half_open,
        )
    };
    for feature in half_open.difference(&before.half_open) {
        slog::warn!(node.log, "requests limited to one at a time after crashes";
            "feature" => %feature);
        metrics::counter!("serve_crash_limits_total").increment(1);
    }
    for feature in before.half_open.difference(&half_open) {
        slog::info!(node.log, "requests not limited after crashes any more"; "feature" => %feature);
    }
    before.half_open = half_open;
    if leading != before.suspect {
        if let Some(s) = &leading {
            slog::info!(node.log, "crashes judged without a block"; "feature" => %s.feature,
                "crashes" => s.crashes, "successive" => s.successive, "all_crashes" => s.spanned,
                "known" => s.known, "requests" => s.requests, "span_ms" => s.span.as_millis());
            metrics::counter!("serve_crash_suspects_total").increment(1);
        }
        before.suspect = leading;
    }
    for c in convictions {
        slog::warn!(node.log, "requests blocked that crash their replicas";
            "feature" => %c.feature, "crashes" => c.crashes, "successive" => c.successive,
            "all_crashes" => c.spanned, "known" => c.known, "requests" => c.requests,
            "span_ms" => c.span.as_millis());
        metrics::counter!("serve_crash_blocks_total").increment(1);
        node.blocks_wake.notify_one();
    }
}
