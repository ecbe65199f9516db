//! Handles a caller's request until the headers of the response are sent.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::Fingerprint;
use crate::ids::ReplicaName;
use crate::ids::ServiceName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::state::ActiveConfig;
use crate::serving::decisions::crash_tracker::Feature;
use crate::serving::decisions::crash_tracker::RunEnd;
use crate::serving::decisions::fleet::Load;
use crate::serving::decisions::fleet::RunOutcome;
use crate::serving::decisions::retry::AttemptFailure;
use crate::serving::decisions::retry::Attempts;
use crate::serving::decisions::retry::PeerAttempts;
use crate::serving::decisions::retry::RETRY_DELAY;
use crate::serving::decisions::retry::Refusal;
use crate::serving::path::attempts::first_attempt;
use crate::serving::path::attempts::retry;
use crate::serving::path::attempts::until_kept;
use crate::serving::path::bodies::AnswerCharge;
use crate::serving::path::bodies::ReadAhead;
use crate::serving::path::bodies::read_body;
use crate::serving::path::builds;
use crate::serving::path::charge;
use crate::serving::path::config_age;
use crate::serving::path::crashes::check_blocked;
use crate::serving::path::crashes::record_break;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::forward::Caller;
use crate::serving::path::forward::StartedResponse;
use crate::serving::path::forward::strip_hop_headers;
use crate::serving::path::forward::strip_request_headers;
use crate::serving::path::relay;
use crate::serving::path::relay::Relayed;
use crate::serving::path::response::EventTracker;
use crate::serving::path::response::ResponseBody;
use crate::serving::path::response::ResponseStream;
use crate::serving::path::response::Timing;
use crate::serving::path::response::full_body;
use crate::serving::path::response::stream_body;
use crate::serving::path::routes::pick_service;
use crate::serving::path::stop;
use crate::serving::path::takeover::LastSend;
use crate::serving::path::trace::RequestTrace;
use crate::serving::path::types::Organisation;
use crate::serving::path::types::Rank;
use crate::serving::path::types::RequestInfo;
use crate::serving::path::types::Route;
use crate::serving::path::types::RouteKind;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::InFlight;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::serving::program::node::to_span;
use crate::upstream::UpstreamResponse;

/// Timeout of a request whose caller states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of a response that are read before its headers are forwarded, so that a short
/// response is complete by then and can still be retried if it breaks off.
const READ_AHEAD_BYTES: usize = 64 << 10;

/// Maximum wait for the first configuration after the start of the process. A VM that has
/// not read it by then cannot reach the store, and its callers should try another VM.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(250);

/// Interval at which a request checks for the first configuration.
const CONFIG_POLL: Duration = Duration::from_millis(5);

/// Mean ratio of generated tokens to the maximum that the request allows.
const MEAN_OUTPUT_RATIO: f64 = 0.6;

/// The route and the service that were selected for a request.
pub(in crate::serving) struct RoutedRequest {
    pub(in crate::serving) route: Rc<Route>,
    pub(in crate::serving) service: ServiceName,
}

/// Handles one request; a refusal is turned into a response as well.
pub(in crate::serving) async fn serve(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let in_flight = node.track_request();
    let arrived = now();
    let info = (node.codec.parse_request)(request.headers());
    let mut disconnect_log = DisconnectLog {
        node: node.clone(),
        id: info.id.clone(),
        arrived,
        answered: false,
    };
    let trace = Rc::new(RequestTrace::default());
    let handled = handle(&node, request, info, &trace, arrived, in_flight);
    let handled = stop::until_end(&node, &trace, handled);
    let mut response = match handled.await {
        Ok(response) => response,
        Err(refusal) => refusal_response(&node, &disconnect_log.id, &trace, arrived, &refusal),
    };
    disconnect_log.answered = true;
    if node.phase() != Phase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Logs the disconnect of a caller: hyper drops the handler, and this guard with it, if the
/// connection closes before there is a response.
struct DisconnectLog {
    node: Rc<Node>,
    id: String,
    arrived: Moment,
    answered: bool,
}

impl Drop for DisconnectLog {
    fn drop(&mut self) {
        if !self.answered {
            slog::info!(self.node.log, "caller disconnected before the response"; "id" => &self.id,
                "held_ms" => now().since(self.arrived).as_millis());
            count_outcome("caller_left");
        }
    }
}

/// Logs a refusal and builds the response for it.
fn refusal_response(
    node: &Node,
    id: &str,
    trace: &RequestTrace,
    arrived: Moment,
    refusal: &Refusal,
) -> Response<ResponseBody> {
    let config = node.state().active.as_ref().map(|a| a.config.version);
    let after = refusal.retry_after.map(|after| after.as_millis());
    slog::info!(node.log, "refused"; "id" => id, "why" => refusal.reason,
        "status" => refusal.status.as_u16(), "retry_after_ms" => after,
        "held_ms" => now().since(arrived).as_millis(), "config" => config, trace.fields());
    count_outcome(refusal.reason);
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = refusal.status;
    if let Some(after) = refusal.retry_after {
        let text = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Admits a request, reads its body and runs it.
async fn handle(
    node: &Rc<Node>,
    request: Request<Incoming>,
    info: RequestInfo,
    trace: &Rc<RequestTrace>,
    arrived: Moment,
    in_flight: InFlight,
) -> Result<Response<ResponseBody>, Refusal> {
    if node.phase() >= Phase::Draining {
        return Err(Refusal::stopping(false));
    }
    let active = wait_for_config(node, info.timeout, arrived).await?;
    config_age::record_use(node, active.config.version);
    let (head, body) = request.into_parts();
    let routed = find_route(&active, &head.uri, &head.headers, &info)?;
    trace.record_route(&routed.route, rank_of(&routed.route, None));
    let organisation = authorize(node, &active, &routed, &info)?;
    // With ranks switched off, all requests have the same one and engines are told nothing.
    let ranked = node.settings.experiment.is_enabled(Mechanism::Ranks);
    let rank = ranked.then(|| rank_of(&routed.route, organisation.as_deref()));
    trace.record_route(&routed.route, rank.unwrap_or_default());
    let build = builds::find_build(node, &routed, &info).await?;
    let requested = info.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let timeout = requested.min(routed.route.timeout);
    let deadline = arrived.after(to_span(timeout));
    let charge = match &organisation {
        Some(organisation) => charge::acquire(node, organisation, &info).await?,
        None => None,
    };
    let connection = head.extensions.get().copied();
    let max_bytes = active.config.limits.body_bytes;
    let body = tokio::select! {
        biased;
        refusal = stop::until_too_late(node, &routed.route, deadline) => return Err(refusal),
        body = read_body(node, connection, body, max_bytes, deadline) => body?,
    };
    let mut headers = head.headers;
    strip_request_headers(&mut headers);
    let fingerprint = fingerprint(&head.uri, &body.blocks);
    let req = BufferedRequest {
        method: head.method,
        fingerprint,
        features: Feature::of_request(fingerprint, &info.prompt_parts),
        path: origin_form(&head.uri),
        headers,
        cost: estimate_load(&active, &routed.service, &info),
        urgency: rank.and_then(|rank| active.urgencies.find(&routed.service, rank)),
        rank: rank.unwrap_or_default(),
        objective: arrived.after(to_span(routed.route.objective)),
        shared_prefix: info.shared_prefix,
        caller: Caller {
            key: info
                .key
                .filter(|_| !routed.route.public && organisation.is_some()),
            organisation: organisation.map(|o| o.name.clone()),
            charge,
        },
        body: body.blocks,
        body_charge: Some(body.charge),
        stream: builds::stream_id(&routed, &info),
        build,
        kept: Cell::new(false),
        id: info.id,
        target: info.target,
        deadline,
        trace: trace.clone(),
        relayed: false,
        last_send: LastSend::default(),
    };
    check_blocked(node, &req)?;
    let peers = &mut PeerAttempts::default();
    run_request(node, Rc::new(routed), req, arrived, in_flight, peers).await
}

/// Returns the configuration to serve a request with. A VM that has just started waits for
/// it: reading it takes a few milliseconds, while a caller that is refused stays away for
/// `RETRY_DELAY`.
async fn wait_for_config(
    node: &Node,
    timeout: Option<Duration>,
    arrived: Moment,
) -> Result<Rc<ActiveConfig>, Refusal> {
    let patience = timeout.map_or(MAX_CONFIG_WAIT, |t| (t / 3).min(MAX_CONFIG_WAIT));
    let deadline = arrived.after(to_span(patience));
    loop {
        let at = now();
        if let Some(active) = node.state().serving_config(at) {
            return Ok(active);
        }
        if at >= deadline || node.phase() != Phase::Serving {
            return Err(Refusal::not_run("no_configuration", RETRY_DELAY));
        }
        tokio::time::sleep(CONFIG_POLL).await;
    }
}

/// Finds the route of a request and picks one of its services.
fn find_route(
    active: &ActiveConfig,
    uri: &Uri,
    headers: &HeaderMap,
    info: &RequestInfo,
) -> Result<RoutedRequest, Refusal> {
    let host = headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or(uri.host()).unwrap_or_default();
    let route = active.routes.find(host, uri.path());
    let unknown = Refusal::denied(StatusCode::NOT_FOUND, "no_route");
    let route = route.ok_or(unknown)?;
    let service = pick_service(route, &info.id).ok_or(unknown)?;
    Ok(RoutedRequest {
        route: route.clone(),
        service: service.clone(),
    })
}

/// Returns the organisation whose API key the request has, or `None` if no key is needed.
fn authorize(
    node: &Node,
    active: &ActiveConfig,
    routed: &RoutedRequest,
    info: &RequestInfo,
) -> Result<Option<Rc<Organisation>>, Refusal> {
    let (config_age, bounds) = {
        let mut state = node.state();
        (state.key_freshness(now()), state.key_bounds)
    };
    let (keys, public) = (active.keys.as_ref(), routed.route.public);
    let found = bounds.admit(keys, public, info.key.as_ref(), &config_age);
    found.map_err(|denial| {
        // `borne`: whether the request has a key. `proven_ms` and `believed_ms`: time since
        // the configuration was confirmed, or estimated, to be the newest.
        slog::info!(node.log, "API key refused"; "id" => &info.id, "why" => denial.as_str(),
            "borne" => info.key.is_some(), "config" => active.config.version,
            "proven_ms" => config_age.confirmed.map(Span::as_millis),
            "believed_ms" => config_age.estimated.map(Span::as_millis));
        Refusal::of_denial(denial)
    })
}

/// Returns the rank of a request of an organisation, or of a caller without one.
fn rank_of(route: &Route, organisation: Option<&Organisation>) -> Rank {
    Rank {
        organisation: organisation.map_or(0, |o| o.priority),
        route: route.priority,
    }
}

/// Hashes the path, query and body, to recognise a request that is sent again.
pub(in crate::serving) fn fingerprint(uri: &Uri, body: &[Bytes]) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(uri.path().as_bytes());
    hash.update(uri.query().unwrap_or_default().as_bytes());
    body.iter().for_each(|piece| hash.update(piece));
    Fingerprint(hash.digest())
}

/// Reduces a URI to its path and query.
pub(in crate::serving) fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}

/// Estimates the load of a request, with its tokens in the engine's KV cache.
pub(in crate::serving) fn estimate_load(
    active: &ActiveConfig,
    service: &ServiceName,
    info: &RequestInfo,
) -> Load {
    let service = active.config.services.get(service);
    let tokens = match service.and_then(|s| s.engine.as_ref()) {
        Some(_) => {
            u64::from(info.prompt_tokens) + (f64::from(info.max_tokens) * MEAN_OUTPUT_RATIO) as u64
        }
        None => 0,
    };
    Load {
        requests: 1,
        tokens,
        prefill: if tokens > 0 {
            u64::from(info.prompt_tokens)
        } else {
            0
        },
    }
}

/// Runs a request, with retries, and builds the response to the caller. `peers` holds the
/// attempts that other VMs made before; those of this VM are added if it refuses the request.
pub(in crate::serving) async fn run_request(
    node: &Rc<Node>,
    routed: Rc<RoutedRequest>,
    req: BufferedRequest,
    arrived: Moment,
    in_flight: InFlight,
    peers: &mut PeerAttempts,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut attempts = new_attempts(&routed);
    attempts.add_peer_attempts(peers);
    let avoid = &mut peers.avoided;
    let response = run_attempts(node, routed, req, arrived, in_flight, &mut attempts, avoid).await;
    peers.arrived = attempts.arrived;
    peers.runs = attempts.runs;
    if attempts.unreached > 0 {
        // Another VM may reach replicas that this one did not.
        peers.avoided.clear();
    }
    response
}

/// Returns the attempts for a request that was not sent yet.
pub(in crate::serving) fn new_attempts(routed: &RoutedRequest) -> Attempts {
    Attempts {
        max_runs: routed.route.max_attempts,
        idempotent: routed.route.idempotent(),
        ..Attempts::default()
    }
}

/// Runs a request after `attempts`; replicas that fail it are added to `avoid`.
async fn run_attempts(
    node: &Rc<Node>,
    routed: Rc<RoutedRequest>,
    mut req: BufferedRequest,
    arrived: Moment,
    in_flight: InFlight,
    attempts: &mut Attempts,
    avoid: &mut BTreeSet<ReplicaName>,
) -> Result<Response<ResponseBody>, Refusal> {
    if !req.relayed {
        let at = now();
        let mut state = node.state();
        let budget = state.retry_budget(at);
        budget.record_first_send(at, &routed.service);
    }
    let start = start_response(node, &routed, &req, attempts, avoid).await?;
    let mut started = match start {
        Start::Here(started) => *started,
        Start::Relayed(answer) => return Ok(relay::response(node, req, *answer, in_flight)),
    };
    let mut buffered = ReadAhead::new(node);
    let mut complete = false;
    let stream = routed.route.kind == RouteKind::Stream;
    while !stream || started.failed {
        match read_ahead(&node.log, &mut started, &req, &mut buffered).await {
            Ok(read) if started.failed && attempts.idempotent => {
                complete = read;
                started.run.record_end(RunOutcome::Failed);
                if read && !started.unframed {
                    started.run.close(RunEnd::Closed);
                }
                attempts.record_failure(AttemptFailure::Failed);
                let earlier = std::mem::replace(&mut buffered, ReadAhead::new(node));
                avoid.insert(started.run.replica.clone());
                let next = retry(
                    node,
                    &routed,
                    &req,
                    attempts,
                    avoid,
                    AttemptFailure::Failed,
                    None,
                );
                match next.await {
                    Ok(next) => (started, complete) = (next, false),
                    // No retry succeeded: the replica's error response is forwarded.
                    Err(_) => {
                        buffered = earlier;
                        break;
                    }
                }
                if stream && !started.failed {
                    break;
                }
            }
            Ok(read) => {
                complete = read;
                break;
            }
            Err(ended) => {
                started.run.record_end(RunOutcome::Broken);
                if ended == AttemptFailure::Broken {
                    record_break(node, &req, &started.run);
                }
                attempts.record_failure(ended);
                avoid.insert(started.run.replica.clone());
                drop(started);
                buffered = ReadAhead::new(node);
                started = retry(node, &routed, &req, attempts, avoid, ended, None).await?;
            }
        }
    }
    if stream {
        started = until_kept(node, &routed, &req, attempts, avoid, started, None).await?;
    }
    let mut response = Response::new(());
    *response.status_mut() = started.answer.head.status;
    let mut headers = std::mem::take(&mut started.answer.head.headers);
    strip_hop_headers(&mut headers);
    *response.headers_mut() = headers;
    let events = (stream && is_event_stream(response.headers())).then(EventTracker::default);
    attempts.answered = true;
    if events.is_none() {
        // The response has begun and cannot be resumed.
        req.release_body();
    }
    let mut body = ResponseStream {
        node: node.clone(),
        routed,
        request: req,
        response: Some(started),
        buffered,
        attempts: *attempts,
        avoid: std::mem::take(avoid),
        events,
        event_charge: AnswerCharge::new(node),
        timing: Timing::new(arrived),
        _open: in_flight,
    };
    metrics::histogram!("serve_read_ahead_pieces").record(f64::from(body.buffered.pieces()));
    if complete {
        body.finish_buffered();
    }
    Ok(response.map(|()| stream_body(body)))
}

/// Returns whether the response is a stream of server-sent events.
pub(in crate::serving) fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    kind.is_some_and(|k| k.starts_with("text/event-stream"))
}

/// Buffers the first `READ_AHEAD_BYTES` of a response, as far as there is room. Returns whether
/// the response is complete.
async fn read_ahead(
    log: &slog::Logger,
    started: &mut StartedResponse,
    req: &BufferedRequest,
    buffered: &mut ReadAhead,
) -> Result<bool, AttemptFailure> {
    let mut read = 0;
    while read < READ_AHEAD_BYTES {
        match started
            .answer
            .next_chunk_before(to_instant(req.deadline))
            .await
        {
            Err(_) => return Err(AttemptFailure::TimedOut),
            Ok(None) => return Ok(true),
            Ok(Some(Err(e))) => {
                slog::info!(log, "response ended early"; "id" => &req.id,
                    "replica" => started.run.replica.as_str(), "error" => %e);
                return Err(AttemptFailure::Broken);
            }
            Ok(Some(Ok(piece))) => {
                read += piece.len();
                if !buffered.push(&piece) {
                    return Ok(false);
                }
            }
        }
    }
    Ok(false)
}

/// A response that has started.
enum Start {
    /// A replica responds to this VM.
    Here(Box<StartedResponse>),
    /// Another VM passes a replica's response on.
    Relayed(Box<UpstreamResponse>),
}

/// Sends a request until a response starts: to replicas, or to another VM if this one reaches
/// none.
async fn start_response(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    attempts: &mut Attempts,
    avoid: &mut BTreeSet<ReplicaName>,
) -> Result<Start, Refusal> {
    let mut refusal = None;
    if !relay::should_relay(node, routed, req) {
        match first_attempt(node, routed, req, attempts, avoid).await {
            Ok(started) => return Ok(Start::Here(Box::new(started))),
            Err(r) if !relay::may_relay(req, attempts, &r) => return Err(r),
            Err(r) => refusal = Some(r),
        }
    }
    match (relay::relay(node, routed, req).await, refusal) {
        (Relayed::Served(answer), _) => Ok(Start::Relayed(answer)),
        (Relayed::Refused(refusal), _) | (Relayed::NotTaken, Some(refusal)) => Err(refusal),
        (Relayed::NotTaken, None) => {
            let started = first_attempt(node, routed, req, attempts, avoid).await;
            started.map(|s| Start::Here(Box::new(s)))
        }
    }
}

/// Counts a finished request by its outcome.
pub(in crate::serving) fn count_outcome(outcome: &'static str) {
    metrics::counter!("serve_requests_total", "outcome" => outcome).increment(1);
}
