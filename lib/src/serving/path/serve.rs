//! One request of a caller, from its head to the head of its answer.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Body;
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
use crate::serving::decisions::fleet::Load;
use crate::serving::decisions::fleet::RunOutcome;
use crate::serving::decisions::retry::AttemptFailure;
use crate::serving::decisions::retry::Attempts;
use crate::serving::decisions::retry::RETRY_DELAY;
use crate::serving::decisions::retry::Refusal;
use crate::serving::path::charge;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::forward::Caller;
use crate::serving::path::forward::StartedResponse;
use crate::serving::path::forward::forward;
use crate::serving::path::forward::strip_hop_headers;
use crate::serving::path::forward::strip_request_headers;
use crate::serving::path::placement::wait_for_replica;
use crate::serving::path::response::AnswerBody;
use crate::serving::path::response::EventTracker;
use crate::serving::path::response::ResponseStream;
use crate::serving::path::response::Timing;
use crate::serving::path::response::full_body;
use crate::serving::path::response::stream_body;
use crate::serving::path::routes::pick_service;
use crate::serving::path::types::Instance;
use crate::serving::path::types::Organisation;
use crate::serving::path::types::RequestInfo;
use crate::serving::path::types::Route;
use crate::serving::path::types::RouteKind;
use crate::serving::program::node::InFlight;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::serving::program::node::to_span;

/// The longest time that a caller waits who names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of an answer that are read before its head is passed on: a short one
/// is then whole, and can be routed for again where it breaks off.
const READ_AHEAD_BYTES: usize = 64 << 10;

/// When a request that crashes its upstreams may come back.
const BLOCKED_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The part of the most tokens that an answer takes on average.
const MEAN_OUTPUT_RATIO: f64 = 0.6;

/// A request with its route.
pub(in crate::serving) struct RoutedRequest {
    pub(in crate::serving) route: Rc<Route>,
    pub(in crate::serving) service: ServiceName,
}

/// Answers one request; refusals become answers too.
pub(in crate::serving) async fn serve(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let open = node.track_request();
    let arrived = now();
    let ask = (node.codec.parse_request)(request.headers());
    let mut waiting = DisconnectLog {
        node: node.clone(),
        id: ask.id.clone(),
        arrived,
        answered: false,
    };
    let mut answer = match handle(&node, request, ask, arrived, open).await {
        Ok(answer) => answer,
        Err(refusal) => refusal_response(&node, &waiting.id, arrived, &refusal),
    };
    waiting.answered = true;
    if node.phase() != Phase::Serving {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

/// A request without an answer yet; when it is dropped before it has one, its
/// caller has left.
struct DisconnectLog {
    node: Rc<Node>,
    id: String,
    arrived: Moment,
    answered: bool,
}

impl Drop for DisconnectLog {
    fn drop(&mut self) {
        if !self.answered {
            slog::info!(self.node.log, "caller left"; "id" => &self.id,
                "held_ms" => now().since(self.arrived).as_millis());
            count_outcome("caller_left");
        }
    }
}

fn refusal_response(
    node: &Node,
    id: &str,
    arrived: Moment,
    refusal: &Refusal,
) -> Response<AnswerBody> {
    let config = node.state().active.as_ref().map(|a| a.config.version);
    let after = refusal.retry_after.map(|after| after.as_millis());
    slog::info!(node.log, "refused"; "id" => id, "why" => refusal.reason,
        "status" => refusal.status.as_u16(), "retry_after_ms" => after,
        "held_ms" => now().since(arrived).as_millis(), "config" => config);
    count_outcome(refusal.reason);
    let mut answer = Response::new(full_body(Bytes::new()));
    *answer.status_mut() = refusal.status;
    if let Some(after) = refusal.retry_after {
        let text = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}

async fn handle(
    node: &Rc<Node>,
    request: Request<Incoming>,
    ask: RequestInfo,
    arrived: Moment,
    open: InFlight,
) -> Result<Response<AnswerBody>, Refusal> {
    if node.phase() == Phase::Draining {
        return Err(Refusal::not_run("stopping", Duration::ZERO));
    }
    let active = {
        let b = node.state();
        b.active.clone().filter(|_| b.replicas_listed)
    };
    let active = active.ok_or(Refusal::not_run("no_configuration", RETRY_DELAY))?;
    let (head, body) = request.into_parts();
    let routed = find_route(&active, &head.uri, &head.headers, &ask)?;
    let organisation = authorize(node, &active, &routed, &ask)?;
    let patience = ask.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let time = patience.min(routed.route.timeout);
    let limit = arrived.after(to_span(time));
    let charge = match &organisation {
        Some(organisation) => charge::acquire(node, organisation, &ask).await?,
        None => None,
    };
    let body = read_body(body, active.config.limits.body_bytes, limit).await?;
    let mut headers = head.headers;
    strip_request_headers(&mut headers);
    let req = BufferedRequest {
        method: head.method,
        fingerprint: fingerprint(&head.uri, &body),
        path: origin_form(&head.uri),
        headers,
        cost: estimate_load(&active, &routed.service, &ask),
        shared: ask.shared,
        caller: Caller {
            key: ask
                .key
                .filter(|_| !routed.route.public && organisation.is_some()),
            organisation: organisation.map(|o| o.name.clone()),
            charge,
        },
        body,
        id: ask.id,
        target: ask.target,
        deadline: limit,
    };
    check_blocked(node, &req)?;
    run_request(node, Rc::new(routed), req, arrived, open).await
}

/// The route of a request and the service that it goes to.
fn find_route(
    active: &ActiveConfig,
    uri: &Uri,
    headers: &HeaderMap,
    ask: &RequestInfo,
) -> Result<RoutedRequest, Refusal> {
    let host = headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or(uri.host()).unwrap_or_default();
    let route = active.routes.find(host, uri.path());
    let unknown = Refusal::denied(StatusCode::NOT_FOUND, "no_route");
    let route = route.ok_or(unknown)?;
    let service = pick_service(route, &ask.id).ok_or(unknown)?;
    Ok(RoutedRequest {
        route: route.clone(),
        service: service.clone(),
    })
}

/// The organisation on whose behalf a request runs.
fn authorize(
    node: &Node,
    active: &ActiveConfig,
    routed: &RoutedRequest,
    ask: &RequestInfo,
) -> Result<Option<Rc<Organisation>>, Refusal> {
    let (freshness, bounds) = {
        let mut b = node.state();
        (b.key_freshness(now()), b.key_bounds)
    };
    let (keys, public) = (active.keys.as_ref(), routed.route.public);
    let found = bounds.admit(keys, public, ask.key.as_ref(), &freshness);
    found.map_err(|denial| {
        slog::info!(node.log, "key refused"; "id" => &ask.id, "why" => denial.as_str(),
            "borne" => ask.key.is_some(), "config" => active.config.version,
            "proven_ms" => freshness.confirmed.map(Span::as_millis),
            "believed_ms" => freshness.estimated.map(Span::as_millis));
        Refusal::of_denial(denial)
    })
}

async fn read_body(body: Incoming, most: usize, limit: Moment) -> Result<Vec<Bytes>, Refusal> {
    let too_large = Refusal::denied(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    // A length that is told is judged before a byte is read.
    if body.size_hint().lower() > most as u64 {
        return Err(too_large);
    }
    let mut body = Limited::new(body, most);
    let mut pieces = Vec::new();
    loop {
        let frame = tokio::time::timeout_at(to_instant(limit), body.frame()).await;
        match frame {
            Err(_) => return Err(Refusal::denied(StatusCode::REQUEST_TIMEOUT, "slow_body")),
            Ok(None) => return Ok(pieces),
            Ok(Some(Err(e))) if e.is::<LengthLimitError>() => return Err(too_large),
            Ok(Some(Err(_))) => return Err(Refusal::denied(StatusCode::BAD_REQUEST, "bad_body")),
            // Trailers concern the connection only.
            Ok(Some(Ok(frame))) => pieces.extend(frame.into_data()),
        }
    }
}

fn fingerprint(uri: &Uri, body: &[Bytes]) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(uri.path().as_bytes());
    hash.update(uri.query().unwrap_or_default().as_bytes());
    body.iter().for_each(|piece| hash.update(piece));
    Fingerprint(hash.digest())
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}

/// What a request is expected to hold of an engine's memory.
fn estimate_load(active: &ActiveConfig, service: &ServiceName, ask: &RequestInfo) -> Load {
    let service = active.config.services.get(service);
    let tokens = match service.and_then(|s| s.engine.as_ref()) {
        Some(_) => {
            u64::from(ask.prompt_tokens) + (f64::from(ask.max_tokens) * MEAN_OUTPUT_RATIO) as u64
        }
        None => 0,
    };
    Load {
        requests: 1,
        tokens,
        prefill: if tokens > 0 {
            u64::from(ask.prompt_tokens)
        } else {
            0
        },
    }
}

fn check_blocked(node: &Node, req: &BufferedRequest) -> Result<(), Refusal> {
    let b = node.state();
    let now = now();
    let down = |r: &Instance| !b.fleet.is_current(r) || b.fleet.status(now, &r.name) != "live";
    match b.strikes.is_poison(now, req.fingerprint, down) {
        true => Err(Refusal::not_run("crashes_upstreams", BLOCKED_RETRY_AFTER)),
        false => Ok(()),
    }
}

async fn run_request(
    node: &Rc<Node>,
    routed: Rc<RoutedRequest>,
    req: BufferedRequest,
    arrived: Moment,
    open: InFlight,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut tries = Attempts {
        max_runs: routed.route.max_attempts,
        idempotent: routed.route.idempotent(),
        ..Attempts::default()
    };
    let mut avoid = BTreeSet::new();
    node.state()
        .budget
        .record_first_send(now(), &routed.service);
    let mut started = first_attempt(node, &routed, &req, &mut tries, &mut avoid).await?;
    let mut ahead = VecDeque::new();
    let mut whole = false;
    let stream = routed.route.kind == RouteKind::Stream;
    while !stream || started.failed {
        match read_ahead(&mut started, &req, &mut ahead).await {
            Ok(read) if started.failed && tries.idempotent => {
                whole = read;
                started.run.record_end(RunOutcome::Failed);
                tries.record(AttemptFailure::Failed);
                let pieces = std::mem::take(&mut ahead);
                avoid.insert(started.run.replica.clone());
                let next = retry(
                    node,
                    &routed,
                    &req,
                    &mut tries,
                    &mut avoid,
                    AttemptFailure::Failed,
                    None,
                );
                match next.await {
                    Ok(next) => (started, whole) = (next, false),
                    // The replica's own failure is the answer.
                    Err(_) => {
                        ahead = pieces;
                        break;
                    }
                }
                if stream && !started.failed {
                    break;
                }
            }
            Ok(read) => {
                whole = read;
                break;
            }
            Err(ended) => {
                started.run.record_end(RunOutcome::Broken);
                crate::serving::path::forward::record_strike(node, &req, &started.run.instance());
                tries.record(ended);
                avoid.insert(started.run.replica.clone());
                drop(started);
                ahead.clear();
                started = retry(node, &routed, &req, &mut tries, &mut avoid, ended, None).await?;
            }
        }
    }
    let mut response = Response::new(());
    *response.status_mut() = started.answer.head.status;
    let mut headers = std::mem::take(&mut started.answer.head.headers);
    strip_hop_headers(&mut headers);
    *response.headers_mut() = headers;
    let events = (stream && is_event_stream(response.headers())).then(EventTracker::default);
    tries.answered = true;
    let mut passed = ResponseStream {
        node: node.clone(),
        routed,
        request: req,
        response: Some(started),
        buffered: ahead,
        tries,
        avoid,
        events,
        timing: Timing::new(arrived),
        _open: open,
    };
    if whole {
        passed.finish_buffered();
    }
    Ok(response.map(|()| stream_body(passed)))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    kind.is_some_and(|k| k.starts_with("text/event-stream"))
}

/// Reads a short answer whole; of a longer one, the beginning. Gives whether
/// it came to its end.
async fn read_ahead(
    started: &mut StartedResponse,
    req: &BufferedRequest,
    ahead: &mut VecDeque<Bytes>,
) -> Result<bool, AttemptFailure> {
    let mut read = 0;
    while read < READ_AHEAD_BYTES {
        match tokio::time::timeout_at(to_instant(req.deadline), started.answer.data()).await {
            Err(_) => return Err(AttemptFailure::TimedOut),
            Ok(None) => return Ok(true),
            Ok(Some(Err(_))) => return Err(AttemptFailure::Broken),
            Ok(Some(Ok(piece))) => {
                read += piece.len();
                ahead.push_back(piece);
            }
        }
    }
    Ok(false)
}

/// The first try, and those that follow it until an answer begins.
async fn first_attempt(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    tries: &mut Attempts,
    avoid: &mut BTreeSet<ReplicaName>,
) -> Result<StartedResponse, Refusal> {
    let at = wait_for_replica(node, routed, req, avoid).await?;
    match forward(node, req, &at, None).await {
        Ok(started) => Ok(started),
        Err(ended) => {
            tries.record(ended);
            log_attempt(node, req, &at, tries, ended);
            avoid.insert(at);
            retry(node, routed, req, tries, avoid, ended, None).await
        }
    }
}

/// Tries other replicas after a try that ended so, and is noted already.
pub(in crate::serving) async fn retry(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    tries: &mut Attempts,
    avoid: &mut BTreeSet<ReplicaName>,
    ended: AttemptFailure,
    resume_after: Option<u64>,
) -> Result<StartedResponse, Refusal> {
    let mut ended = ended;
    loop {
        if !tries.may_retry(ended) {
            return Err(Refusal::after(tries, ended));
        }
        if ended == AttemptFailure::NotRun(crate::serving::path::codec::NotRun::NotLoaded) {
            // Only a replica's word on an adapter was wrong, not the replica.
            avoid.clear();
        }
        let at = match wait_for_replica(node, routed, req, avoid).await {
            Ok(at) => at,
            Err(refusal) if tries.runs == 0 => return Err(refusal),
            Err(_) => return Err(Refusal::after(tries, ended)),
        };
        if ended.reached_replica() && !spend_retry(node, routed) {
            return Err(Refusal::after(tries, ended));
        }
        ended = match forward(node, req, &at, resume_after).await {
            // A failure cannot go on an answer that has started.
            Ok(started) if tries.answered && !started.answer.head.status.is_success() => {
                started.run.record_end(RunOutcome::Failed);
                AttemptFailure::Failed
            }
            Ok(started) => return Ok(started),
            Err(next) => next,
        };
        tries.record(ended);
        log_attempt(node, req, &at, tries, ended);
        avoid.insert(at);
    }
}

fn spend_retry(node: &Node, routed: &RoutedRequest) -> bool {
    let mut b = node.state();
    let vms = b.members.count();
    b.budget.try_retry(now(), &routed.service, vms)
}

fn log_attempt(
    node: &Node,
    req: &BufferedRequest,
    at: &ReplicaName,
    tries: &Attempts,
    ended: AttemptFailure,
) {
    let standing = node.state().fleet.status(now(), at);
    slog::info!(node.log, "try ended"; "id" => &req.id, "replica" => at.as_str(),
        "why" => ended.as_str(), "standing" => standing, "sends" => tries.sends,
        "runs" => tries.runs, "left_ms" => req.deadline.since(now()).as_millis());
    metrics::counter!("serve_tries_total", "end" => ended.as_str()).increment(1);
}

/// Counts the end of a request.
pub(in crate::serving) fn count_outcome(outcome: &'static str) {
    metrics::counter!("serve_requests_total", "outcome" => outcome).increment(1);
}
