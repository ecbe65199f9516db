//! Sends a request to a replica and classifies the response.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderName;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use tokio::task::JoinHandle;

use crate::ids::BuildName;
use crate::ids::Fingerprint;
use crate::ids::OrganisationName;
use crate::ids::ReplicaName;
use crate::ids::ServiceName;
use crate::pool::Moment;
use crate::serving::decisions::crash_tracker::BrokenRun;
use crate::serving::decisions::crash_tracker::Feature;
use crate::serving::decisions::crash_tracker::RunEnd;
use crate::serving::decisions::fleet::Load;
use crate::serving::decisions::fleet::Observation;
use crate::serving::decisions::fleet::PromptQueue;
use crate::serving::decisions::fleet::RunOutcome;
use crate::serving::decisions::prefill_turns::LONG_PROMPT_TOKENS;
use crate::serving::decisions::retry::AttemptFailure;
use crate::serving::decisions::stream_builds::StreamId;
use crate::serving::decisions::urgency::urgency_when_sent;
use crate::serving::path::bodies::BodyCharge;
use crate::serving::path::charge::Charge;
use crate::serving::path::codec::ForwardHeaders;
use crate::serving::path::codec::NotRun;
use crate::serving::path::codec::ReplicaReply;
use crate::serving::path::crashes::cancel_send;
use crate::serving::path::crashes::check_send;
use crate::serving::path::crashes::log_known_crashes;
use crate::serving::path::crashes::record_break;
use crate::serving::path::crashes::record_lifted;
use crate::serving::path::crashes::record_replaced;
use crate::serving::path::heads::report_invalid_head;
use crate::serving::path::limit;
use crate::serving::path::placement::Placed;
use crate::serving::path::prefill::PrefillTurn;
use crate::serving::path::prefill::Prompt;
use crate::serving::path::prefill::wait_for_turn;
use crate::serving::path::probes;
use crate::serving::path::statements::Call;
use crate::serving::path::statements::apply_statement;
use crate::serving::path::stop;
use crate::serving::path::takeover::LastSend;
use crate::serving::path::takeover::SentRun;
use crate::serving::path::trace::RequestTrace;
use crate::serving::path::types::Instance;
use crate::serving::path::types::KeyDigest;
use crate::serving::path::types::Rank;
use crate::serving::path::types::Route;
use crate::serving::path::types::SharedPrefix;
use crate::serving::path::types::Target;
use crate::serving::peers::stream_origins;
use crate::serving::peers::stream_origins::Kept;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::upstream::BodyChunks;
use crate::upstream::SendError;
use crate::upstream::UpstreamResponse;

/// A caller's request, buffered until its response is complete so that it can be retried.
pub(in crate::serving) struct BufferedRequest {
    pub(in crate::serving) method: Method,
    pub(in crate::serving) path: Uri,
    pub(in crate::serving) headers: HeaderMap,
    pub(in crate::serving) body: Vec<Bytes>,
    /// The memory that the body takes.
    pub(in crate::serving) body_charge: Option<BodyCharge>,
    /// The caller's ID for this attempt.
    pub(in crate::serving) id: String,
    pub(in crate::serving) target: Option<Target>,
    /// The load that it is expected to cause on a replica.
    pub(in crate::serving) cost: Load,
    pub(in crate::serving) shared_prefix: Option<SharedPrefix>,
    pub(in crate::serving) fingerprint: Fingerprint,
    /// What it may have in common with other requests that crash replicas.
    pub(in crate::serving) features: Vec<Feature>,
    /// The organisation and API key that it is admitted under.
    pub(in crate::serving) caller: Caller,
    /// The priorities of its organisation and route.
    pub(in crate::serving) rank: Rank,
    /// The urgency of its rank at arrival; `None` if engines are told none.
    pub(in crate::serving) urgency: Option<u8>,
    /// Time by which the response must start to meet the objective of its route.
    pub(in crate::serving) objective: Moment,
    /// Time by which the response must be complete.
    pub(in crate::serving) deadline: Moment,
    pub(in crate::serving) trace: Rc<RequestTrace>,
    /// Whether another VM handed it to this one.
    pub(in crate::serving) relayed: bool,
    /// The stream that it begins or resumes, if that may be resumed.
    pub(in crate::serving) stream: Option<StreamId>,
    /// The build that must run it, as the caller has events of that build.
    pub(in crate::serving) build: Option<BuildName>,
    /// Whether the store may keep that the stream begins at a build.
    pub(in crate::serving) kept: Cell<bool>,
    pub(in crate::serving) last_send: LastSend,
}

impl BufferedRequest {
    /// Gives up the body of a request that will not be sent again.
    pub(in crate::serving) fn release_body(&mut self) {
        self.body.clear();
        self.body_charge = None;
    }
}

/// Identity of a request's caller, and the charge for the request.
#[derive(Default)]
pub(in crate::serving) struct Caller {
    /// The organisation that the API key belongs to.
    pub(in crate::serving) organisation: Option<OrganisationName>,
    /// Digest of the API key, if the route needs one.
    pub(in crate::serving) key: Option<KeyDigest>,
    pub(in crate::serving) charge: Option<Charge>,
}

/// Guard for a run on a replica; the run's load is counted until the guard is dropped.
pub(in crate::serving) struct Run {
    node: Rc<Node>,
    pub(in crate::serving) replica: ReplicaName,
    started_ms: u64,
    /// The build of the replica; `None` if the replica is no longer listed.
    pub(in crate::serving) build: Option<BuildName>,
    /// The service of the replica.
    service: Option<ServiceName>,
    /// Waits until the store keeps the stream that begins with this run, if it must.
    pub(in crate::serving) keeping: Option<JoinHandle<Kept>>,
    target: Option<Target>,
    cost: Load,
    pub(in crate::serving) id: u64,
    /// When the request was sent to the replica.
    pub(in crate::serving) sent_at: Moment,
    /// Whether it was sent, and no end of it is known yet.
    pending: Cell<bool>,
    responded: bool,
    /// Whether an event of the response arrived.
    pub(in crate::serving) began: bool,
    /// The urgency that the replica was told.
    pub(in crate::serving) urgency: Option<u8>,
    /// Held until the replica has read the prompt.
    prefill_turn: Option<PrefillTurn>,
    /// When the request was sent, and the prompts before its first event; `None` if the
    /// first event says nothing about the replica's speed, or has arrived.
    sent_prompt: Option<(Moment, PromptQueue)>,
}

impl Run {
    /// Creates the guard and counts the run's load on the replica from now on.
    fn begin(node: &Rc<Node>, req: &BufferedRequest, replica: &ReplicaName) -> Self {
        let id = node.next_id();
        let mut state = node.state();
        state.begin_run(replica, req.target.as_ref(), req.cost);
        let started_ms = state.fleet.started_ms(replica).unwrap_or_default();
        let listing = state.fleet.replica_info(replica);
        Self {
            node: node.clone(),
            replica: replica.clone(),
            started_ms,
            build: listing.map(|l| l.build.clone()),
            service: listing.map(|l| l.service.clone()),
            keeping: None,
            target: req.target.clone(),
            cost: req.cost,
            id,
            sent_at: now(),
            pending: Cell::new(false),
            responded: false,
            began: false,
            urgency: None,
            prefill_turn: None,
            sent_prompt: None,
        }
    }

    /// Waits for the turn of a long prompt, and starts the first-byte timer of the run. The
    /// request must be sent right after this call.
    async fn wait_for_turn(&mut self, rank: Rank, deadline: Moment) {
        if self.cost.prefill >= LONG_PROMPT_TOKENS {
            let node = self.node.clone();
            let prompt = Prompt {
                number: self.id,
                tokens: self.cost.prefill,
                rank,
            };
            let turn = wait_for_turn(&node, &self.replica, prompt, deadline);
            self.prefill_turn = turn.await;
        }
        let mut state = self.node.state();
        state.fleet.await_first_byte(now(), &self.replica, self.id);
    }

    /// Starts the clock for the first event. A run that had to wait for a prefill turn is
    /// not timed: while turns are in force, the reported queue includes prompts that
    /// are still held back.
    fn mark_sent(&mut self, shared_prefix: Option<SharedPrefix>) {
        if self.prefill_turn.is_some() {
            return;
        }
        let at = now();
        let load = self.node.state().fleet.total_load(at, &self.replica);
        let queue = PromptQueue {
            own: self.cost.prefill,
            shared: shared_prefix.map_or(0, |s| u64::from(s.tokens)),
            queued: load.map_or(0, |l| l.prefill.saturating_sub(self.cost.prefill)),
        };
        self.sent_prompt = Some((at, queue));
    }

    /// Records that an event of the response arrived; the first one shows how fast the
    /// replica prefills.
    pub(in crate::serving) fn on_event(&mut self) {
        let Some((sent_at, queue)) = self.sent_prompt.take() else {
            return;
        };
        let mut state = self.node.state();
        if !state.fleet.is_current(&self.instance()) {
            return;
        }
        let at = now();
        let took = at.since(sent_at);
        let observation = state
            .fleet
            .record_first_event(at, &self.replica, &queue, took);
        metrics::counter!("serve_prefill_speeds_total", "observation" => observation.as_str())
            .increment(1);
        if matches!(observation, Observation::Slower | Observation::Faster) {
            slog::debug!(self.node.log, "prefill speed differs from estimate";
                "replica" => self.replica.as_str(), "observation" => observation.as_str(),
                "tokens" => queue.own, "queued" => queue.queued, "took_ms" => took.as_millis());
        }
    }

    /// Records that data of the response arrived, which also means that the prompt was read.
    pub(in crate::serving) fn on_data(&mut self) {
        self.responded = true;
        self.prefill_turn = None;
        let mut state = self.node.state();
        if state.fleet.is_current(&self.instance()) {
            state.record_heard(now(), &self.replica);
            state.fleet.finish_prefill(&self.replica, self.cost.prefill);
            state
                .fleet
                .record_progress(now(), &self.replica, self.id, true);
        }
        self.cost.prefill = 0;
    }

    /// Records that the replica that executes the run is alive, as opposed to another start at
    /// its address.
    pub(in crate::serving) fn record_sign(&self) {
        let instance = self.instance();
        let lifted = self.node.state().crash_tracker.hear(now(), &instance);
        record_lifted(&self.node, &lifted);
    }

    /// Records how the run ended, which counts towards the replica's health.
    pub(in crate::serving) fn record_end(&self, end: RunOutcome) {
        self.pending.set(false);
        let mut state = self.node.state();
        if state.fleet.is_current(&self.instance()) {
            state.fleet.record_outcome(now(), &self.replica, end);
        }
    }

    /// Records that the request is sent now, from when on its replica may crash on it.
    fn begin_sent(&mut self, req: &BufferedRequest) {
        self.sent_at = now();
        self.pending.set(true);
        let run = BrokenRun {
            sent: self.sent_at,
            features: req.features.clone(),
        };
        let tracker = &mut self.node.state().crash_tracker;
        tracker.begin_run(&self.instance(), self.id, run);
    }

    /// Records how the run ended, which says whether its replica may still crash on it.
    pub(in crate::serving) fn close(&self, end: RunEnd) {
        let tracker = &mut self.node.state().crash_tracker;
        tracker.end_run(now(), &self.instance(), self.id, end);
    }

    /// Returns the incarnation of the replica that executes the run.
    pub(in crate::serving) fn instance(&self) -> Instance {
        Instance {
            name: self.replica.clone(),
            started_ms: self.started_ms,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.pending.get() && !self.responded {
            slog::info!(self.node.log, "run given up before a response";
                "replica" => self.replica.as_str(), "born" => self.started_ms,
                "ran_ms" => now().since(self.sent_at).as_millis());
            metrics::counter!("serve_runs_given_up_total").increment(1);
        }
        self.close(RunEnd::Open);
        let mut state = self.node.state();
        state.end_run(&self.instance(), self.target.as_ref(), self.cost);
        if !self.responded {
            state
                .fleet
                .record_progress(now(), &self.replica, self.id, false);
        }
        drop(state);
        self.node.placement_wake.notify_waiters();
    }
}

/// A response that may be forwarded to the caller.
pub(in crate::serving) struct StartedResponse {
    pub(in crate::serving) answer: UpstreamResponse,
    pub(in crate::serving) run: Run,
    /// Whether the response says that the replica failed.
    pub(in crate::serving) failed: bool,
    /// Whether the response ends with its connection, which may be the crash of the replica.
    pub(in crate::serving) unframed: bool,
}

/// The part of a response that the caller already has, when another replica continues it.
#[derive(Clone, Copy, Debug)]
pub(in crate::serving) struct Resume {
    /// ID of the last event that was forwarded.
    pub(in crate::serving) after: Option<u64>,
    /// The urgency of the run that broke off. Its caller is already served, so the objective
    /// for the first event no longer counts.
    pub(in crate::serving) urgency: Option<u8>,
}

/// Sends a request to a replica and waits for the headers of the response.
///
/// With `resume`, the response is continued; if that is after an event, the API key is not
/// checked again.
pub(in crate::serving) async fn forward(
    node: &Rc<Node>,
    route: &Route,
    req: &BufferedRequest,
    placed: &Placed,
    resume: Option<Resume>,
) -> Result<StartedResponse, AttemptFailure> {
    let replica = &placed.replica;
    let address = {
        let state = node.state();
        let listing = state
            .fleet
            .replica_info(replica)
            .ok_or(AttemptFailure::NotSent)?;
        listing.address
    };
    let mut run = Run::begin(node, req, replica);
    run.wait_for_turn(req.rank, req.deadline).await;
    node.event_loop.until_current().await;
    // The replica may have stated a limit, asked for rest, or stated that it leaves, while
    // the request waited for its turn.
    limit::renew(node, replica, placed.permit)
        .await
        .map_err(AttemptFailure::Withheld)?;
    let resume_after = resume.and_then(|r| r.after);
    if resume_after.is_none() {
        check_key(node, req)?;
    }
    stop::check_send(node, route, req.deadline)?;
    check_send(node, req)?;
    log_known_crashes(node, req, &run);
    run.begin_sent(req);
    log_send(node, req, &run);
    req.last_send.begin(SentRun {
        replica: run.instance(),
        id: run.id,
        sent_at: run.sent_at,
    });
    let sent = req
        .urgency
        .map(|u| urgency_when_sent(u, now(), req.objective));
    run.urgency = resume.map_or(sent, |r| r.urgency);
    let request = build_request(node, req, &run, resume_after);
    if let Some(urgency) = run.urgency {
        let late = run.urgency != req.urgency;
        metrics::counter!("serve_urgency_total", "urgency" => urgency.to_string(),
            "late" => late.to_string())
        .increment(1);
    }
    let send = req.caller.charge.as_ref().map(Charge::mark_sent);
    let timeout = Duration::from_micros(req.deadline.since(now()).0);
    let instance = run.instance();
    let sent_at = node.state().replica_limits.stamp(now(), &instance);
    // The engine may have the whole prompt of a resumed stream in its cache.
    if resume_after.is_none() {
        run.mark_sent(req.shared_prefix);
        run.keeping = begin_keeping(node, req, &run);
    }
    req.trace.add_runs(1);
    let sending = node.upstreams.send_if(address, request, || {
        req.last_send.open();
        true
    });
    let answer = match tokio::time::timeout(timeout, sending).await {
        Err(_) => return Err(AttemptFailure::TimedOut),
        Ok(Err(SendError::NotSent(_))) => {
            run.record_end(RunOutcome::Unreached);
            run.close(RunEnd::Closed);
            probes::record_unreached(node, replica);
            send.inspect(|s| s.revert());
            req.trace.revert_run();
            cancel_send(node, req);
            return Err(AttemptFailure::NotSent);
        }
        Ok(Err(SendError::Broken(e))) => {
            slog::info!(node.log, "no response of a replica"; "id" => &req.id,
                "replica" => replica.as_str(), "error" => e);
            run.record_end(RunOutcome::Broken);
            probes::record_unreached(node, replica);
            record_break(node, req, &run);
            return Err(AttemptFailure::Broken);
        }
        Ok(Err(SendError::InvalidHead(fault))) => {
            // The replica can be reached, and need not have crashed.
            run.on_data();
            run.record_end(RunOutcome::Broken);
            report_invalid_head(&node.log, replica, Some(&req.id), &fault);
            return Err(AttemptFailure::InvalidReply("an invalid head"));
        }
        Ok(Ok(answer)) => answer,
    };
    run.on_data();
    let call = Call {
        id: Some(&req.id),
        replica: &instance,
        sent: &sent_at,
    };
    apply_statement(node, call, answer.head.status, &answer.head.headers);
    let classify = node.codec.classify_response;
    let reply = classify(answer.head.status, &answer.head.headers, &req.id, replica);
    if reply.is_of_replica() {
        run.record_sign();
        let mut state = node.state();
        let tracker = &mut state.crash_tracker;
        tracker.record_heard(now(), &instance, run.sent_at);
    }
    if matches!(reply, ReplicaReply::Answer | ReplicaReply::Failed) {
        node.state().fleet.record_accepted(now(), replica);
    }
    let unframed = answer.is_unframed();
    match reply {
        ReplicaReply::Answer => Ok(StartedResponse {
            answer,
            run,
            failed: false,
            unframed,
        }),
        ReplicaReply::Failed => Ok(StartedResponse {
            answer,
            run,
            failed: true,
            unframed,
        }),
        ReplicaReply::NotRun(reason) => {
            let reason = match reason {
                // What names no adapter is refused so only by another start at the address.
                NotRun::NotLoaded if req.target.is_none() => NotRun::Gone,
                reason => reason,
            };
            send.inspect(|s| s.revert());
            run.close(RunEnd::Closed);
            req.trace.revert_run();
            cancel_send(node, req);
            record_refusal(node, req, &run, reason);
            Err(AttemptFailure::NotRun(reason))
        }
        ReplicaReply::Invalid(reason) => {
            run.record_end(RunOutcome::Broken);
            Err(AttemptFailure::InvalidReply(reason))
        }
    }
}

/// Logs a send that says more than that of a first attempt: a retry, with the time since the budget
/// granted it, and any send of a process that stops.
fn log_send(node: &Node, req: &BufferedRequest, run: &Run) {
    if let Some(granted) = req.trace.granted.take() {
        let delay = run.sent_at.since(granted);
        slog::info!(node.log, "retry sent"; "id" => &req.id, "replica" => run.replica.as_str(),
            "granted_ms" => delay.as_millis());
        metrics::histogram!("serve_retry_delay_seconds").record(delay.0 as f64 / 1e6);
    }
    let phase = node.phase();
    if phase != Phase::Serving {
        slog::info!(node.log, "sent while stopping"; "id" => &req.id,
            "replica" => run.replica.as_str(), "phase" => ?phase,
            "left_ms" => req.deadline.since(run.sent_at).as_millis());
    }
}

/// Has the store keep that a stream begins at the build of a run, if it must. That takes less time
/// than the first event.
pub(in crate::serving) fn begin_keeping(
    node: &Rc<Node>,
    req: &BufferedRequest,
    run: &Run,
) -> Option<JoinHandle<Kept>> {
    let stream = req.stream.filter(|_| req.build.is_none())?;
    let (service, build) = (run.service.clone()?, run.build.clone()?);
    let must = node.state().stream_builds.must_keep(&service, &build);
    if !must && !req.kept.get() {
        return None;
    }
    req.kept.set(true);
    let node = node.clone();
    Some(tokio::task::spawn_local(async move {
        stream_origins::keep(&node, stream, &service, &build).await
    }))
}

/// Checks that the API key of a request is still valid: it may have been revoked while the
/// request waited for a replica or this VM was suspended.
pub(in crate::serving) fn check_key(
    node: &Node,
    req: &BufferedRequest,
) -> Result<(), AttemptFailure> {
    let Some(key) = &req.caller.key else {
        return Ok(());
    };
    let mut state = node.state();
    let config_age = state.key_freshness(now());
    let keys = state.active.as_ref().and_then(|a| a.keys.as_ref());
    let admitted = state.key_bounds.admit(keys, false, Some(key), &config_age);
    admitted.map(|_| ()).map_err(AttemptFailure::Denied)
}

/// Records that a replica did not run the request, and why.
fn record_refusal(node: &Node, req: &BufferedRequest, run: &Run, reason: NotRun) {
    match reason {
        NotRun::Gone => {
            run.record_end(RunOutcome::Gone);
            record_replaced(node, run);
        }
        NotRun::Full => run.record_end(RunOutcome::Full),
        NotRun::NotLoaded => {
            if let Some(target) = &req.target {
                let mut state = node.state();
                state.fleet.mark_missing(now(), &run.replica, target);
            }
        }
    }
}

/// Builds the request to a replica from the caller's request.
fn build_request(
    node: &Node,
    req: &BufferedRequest,
    run: &Run,
    resume_after: Option<u64>,
) -> Request<BodyChunks> {
    let mut request = Request::new(BodyChunks::new(req.body.iter().cloned()));
    *request.method_mut() = req.method.clone();
    *request.uri_mut() = req.path.clone();
    let now = now();
    let version = {
        let state = node.state();
        let target = req.target.as_ref();
        target.and_then(|t| state.fleet.expected_version(now, &run.replica, t))
    };
    let headers = request.headers_mut();
    *headers = req.headers.clone();
    let values = ForwardHeaders {
        timeout: Duration::from_micros(req.deadline.since(now).0),
        replica: &run.replica,
        version,
        resume_after,
        organisation: req.caller.organisation.as_ref(),
        urgency: run.urgency,
    };
    (node.codec.set_headers)(headers, &values);
    request
}

/// Removes hop-by-hop headers, including those that `Connection` names.
pub(in crate::serving) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    for name in [
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
    ] {
        headers.remove(name);
    }
}

/// Removes hop-by-hop headers and those that the connection to the replica sets itself.
pub(in crate::serving) fn strip_request_headers(headers: &mut HeaderMap) {
    strip_hop_headers(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove("expect");
}
