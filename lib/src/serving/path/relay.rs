//! Hands requests to another VM while this VM reaches no replica, and serves those that other
//! VMs hand to this one.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use banyangauge_proto as wire;
use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::http::request::Parts;
use prost::Message;

use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Span;
use crate::serving::decisions::crash_tracker::Feature;
use crate::serving::decisions::retry::Attempts;
use crate::serving::decisions::retry::PeerAttempts;
use crate::serving::decisions::retry::RETRY_DELAY;
use crate::serving::decisions::retry::Refusal;
use crate::serving::decisions::retry::STOPPING;
use crate::serving::path::attempts::spend_retry;
use crate::serving::path::bodies::read_body;
use crate::serving::path::builds;
use crate::serving::path::charge::Charge;
use crate::serving::path::crashes::check_blocked;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::forward::Caller;
use crate::serving::path::forward::check_key;
use crate::serving::path::forward::strip_hop_headers;
use crate::serving::path::forward::strip_request_headers;
use crate::serving::path::response::ResponseAborted;
use crate::serving::path::response::ResponseBody;
use crate::serving::path::response::full_body;
use crate::serving::path::routes::Routes;
use crate::serving::path::serve::RoutedRequest;
use crate::serving::path::serve::count_outcome;
use crate::serving::path::serve::estimate_load;
use crate::serving::path::serve::fingerprint;
use crate::serving::path::serve::new_attempts;
use crate::serving::path::serve::origin_form;
use crate::serving::path::serve::run_request;
use crate::serving::path::stop;
use crate::serving::path::takeover::LastSend;
use crate::serving::path::trace::RequestTrace;
use crate::serving::path::types::KeyDigest;
use crate::serving::path::types::Rank;
use crate::serving::path::types::Route;
use crate::serving::program::node::InFlight;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::serving::program::node::to_span;
use crate::upstream::BodyChunks;
use crate::upstream::SendError;
use crate::upstream::UpstreamResponse;
use crate::upstream::join;

/// Maximum number of VMs that are asked to serve one request.
const MAX_HELPERS: usize = 3;

/// Maximum number of requests of other VMs that this VM serves at a time; its own callers
/// must not be crowded out when many VMs are cut off.
const MAX_RELAYED: usize = 256;

/// Space for what goes before the body of a request.
const MAX_HEAD_BYTES: usize = 4 << 10;

/// Time in which another VM must have sent a request that it hands over.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// On a response to another VM: [`SERVED`], or why this VM refused the request.
const OUTCOME: &str = "banyan-relay-outcome";

/// The response is that of a replica.
const SERVED: &str = "served";

/// On a refusal: the sends of this VM and of those before it that reached a replica, those in
/// which the request may have run, and the replicas that refused it.
const ARRIVED: &str = "banyan-relay-arrived";
const RUNS: &str = "banyan-relay-runs";
const AVOIDED: &str = "banyan-relay-avoided";

/// Maximum number of replicas that a VM is told to avoid: each refused a send.
const MAX_AVOIDED: usize = 8;

/// Refusals that concern the VM rather than the replicas, so that another one is asked.
const ASK_ANOTHER: [&str; 7] = [
    "no_configuration",
    "no_memory",
    "no_replica",
    "no_route",
    "no_service",
    "stopping",
    "too_many_relayed",
];

/// Result of handing a request to other VMs.
pub(in crate::serving) enum Relayed {
    /// A VM responds with what a replica sent.
    Served(Box<UpstreamResponse>),
    /// The request must be refused.
    Refused(Refusal),
    /// No VM took the request.
    NotTaken,
}

/// What another VM made of a request.
enum PeerReply {
    /// It responds with what a replica sent.
    Served(UpstreamResponse),
    /// The request may have run there; nothing can be passed on.
    Ended(Refusal),
    /// The request did not run, and would not at another VM.
    NotRun(Refusal),
    /// The request did not run because of that VM; the refusal, if it sent one, and the
    /// attempts before it.
    NotTaken(Option<(Refusal, PeerAttempts)>),
}

/// Returns whether a request could be handed to another VM. A request goes from one VM to
/// another once at most.
pub(in crate::serving) fn has_helper(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
) -> bool {
    !req.relayed && !helpers(node, routed, req).is_empty()
}

/// Returns whether a request should be handed to another VM without a try of this one.
pub(in crate::serving) fn should_relay(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
) -> bool {
    node.state().reachability.is_unreachable(&routed.service) && has_helper(node, routed, req)
}

/// Returns whether a request that was refused may be handed to another VM: no replica could be
/// reached, and none has received it.
pub(in crate::serving) fn may_relay(
    req: &BufferedRequest,
    attempts: &Attempts,
    refusal: &Refusal,
) -> bool {
    !req.relayed && attempts.none_arrived() && matches!(refusal.reason, "not_sent" | "no_replica")
}

/// Returns the addresses of the VMs that could serve a request, the first choice first.
fn helpers(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
) -> Vec<(VmName, SocketAddr)> {
    let state = node.state();
    let zone = &node.settings.zone;
    let helpers = state
        .members
        .helpers(now(), &routed.service, zone, req.fingerprint.0);
    let helpers = helpers.into_iter().take(MAX_HELPERS);
    helpers.map(|(vm, at)| (vm.clone(), at)).collect()
}

/// Hands a request to other VMs until one of them takes it.
pub(in crate::serving) async fn relay(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
) -> Relayed {
    let mut last = Relayed::NotTaken;
    let mut peers = PeerAttempts::default();
    // Each send after one that arrived is a retry.
    let mut is_paid = true;
    for (vm, address) in helpers(node, routed, req) {
        let mut attempts = new_attempts(routed);
        attempts.add_peer_attempts(&peers);
        if !attempts.may_hand_over() {
            break;
        }
        if let Err(failure) = check_key(node, req) {
            return Relayed::Refused(Refusal::after(&Attempts::default(), failure));
        }
        if let Err(failure) = stop::check_send(node, &routed.route, req.deadline) {
            return Relayed::Refused(Refusal::after(&attempts, failure));
        }
        if !is_paid && !spend_retry(node, routed, req, "refused_by_peer") {
            break;
        }
        is_paid = true;
        let charged = req.caller.charge.as_ref().map(Charge::mark_sent);
        let request = build_request(node, routed, req, &peers);
        req.trace.add_runs(1);
        let sent = node.upstreams.send(address, request);
        let sent = tokio::time::timeout_at(to_instant(req.deadline), sent).await;
        let outcome = match sent {
            Err(_) => {
                log_relayed(node, req, &peers, &vm, "overdue");
                let status = StatusCode::GATEWAY_TIMEOUT;
                return Relayed::Refused(Refusal::denied(status, "overdue"));
            }
            Ok(Err(e @ (SendError::Broken(_) | SendError::InvalidHead(_)))) => {
                slog::warn!(node.log, "no response of another VM"; "id" => &req.id,
                    "vm" => vm.as_str(), "error" => %e);
                log_relayed(node, req, &peers, &vm, "broken");
                return Relayed::Refused(Refusal::denied(StatusCode::BAD_GATEWAY, "broken"));
            }
            Ok(Err(SendError::NotSent(_))) => PeerReply::NotTaken(None),
            Ok(Ok(answer)) => classify(answer),
        };
        match outcome {
            PeerReply::Served(answer) => {
                log_relayed(node, req, &peers, &vm, SERVED);
                return Relayed::Served(Box::new(answer));
            }
            PeerReply::Ended(refusal) => {
                log_relayed(node, req, &peers, &vm, refusal.reason);
                return Relayed::Refused(refusal);
            }
            PeerReply::NotRun(refusal) => {
                req.trace.revert_run();
                charged.inspect(|c| c.revert());
                log_relayed(node, req, &peers, &vm, refusal.reason);
                return Relayed::Refused(refusal);
            }
            PeerReply::NotTaken(refusal) => {
                req.trace.revert_run();
                let made = refusal.as_ref().map_or(0, |(_, made)| made.runs);
                req.trace.add_runs(made.saturating_sub(peers.runs));
                charged.inspect(|c| c.revert());
                let reason = refusal.as_ref().map_or("not_sent", |(r, _)| r.reason);
                log_relayed(node, req, &peers, &vm, reason);
                if let Some((refusal, made)) = refusal {
                    is_paid = made.arrived <= peers.arrived;
                    peers.update(made);
                    last = Relayed::Refused(refusal);
                }
            }
        }
    }
    last
}

/// Builds the request to another VM: that of the caller, with a [`wire::RelayHead`] before
/// its body.
fn build_request(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    peers: &PeerAttempts,
) -> Request<BodyChunks> {
    let at = now();
    let head = wire::RelayHead {
        vm: node.settings.vm.to_string(),
        service: routed.service.to_string(),
        left_us: req.deadline.since(at).0,
        objective_us: req.objective.since(at).0,
        organisation: req
            .caller
            .organisation
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        rank: req.rank.to_wire(),
        ranked: req.urgency.is_some(),
        key: match &req.caller.key {
            Some(key) => Bytes::copy_from_slice(key.as_bytes()),
            None => Bytes::new(),
        },
        earlier: (peers.arrived > 0).then(|| wire::PeerAttempts {
            arrived: peers.arrived,
            runs: peers.runs,
            avoided: avoided_names(peers).map(str::to_owned).collect(),
        }),
    };
    let head = Bytes::from(head.encode_length_delimited_to_vec());
    let chunks = std::iter::once(head).chain(req.body.iter().cloned());
    let mut request = Request::new(BodyChunks::new(chunks));
    *request.method_mut() = req.method.clone();
    *request.uri_mut() = req.path.clone();
    *request.headers_mut() = req.headers.clone();
    // The other VM gets the organisation, and the digest of the key.
    request.headers_mut().remove(AUTHORIZATION);
    request
}

/// Returns the names of the replicas that another VM is told to avoid.
fn avoided_names(peers: &PeerAttempts) -> impl Iterator<Item = &str> {
    peers.avoided.iter().take(MAX_AVOIDED).map(|r| r.as_str())
}

/// Reads the attempts from the refusal of another VM; a VM of an earlier build tells none.
fn read_attempts(answer: &UpstreamResponse) -> PeerAttempts {
    let number = |name| answer.header(name).and_then(|n| n.parse().ok());
    let avoided = answer.header(AVOIDED).unwrap_or_default().split(',');
    PeerAttempts {
        arrived: number(ARRIVED).unwrap_or_default(),
        runs: number(RUNS).unwrap_or_default(),
        avoided: parse_names(avoided),
    }
}

/// Reads the attempts that went before a request of another VM.
fn decode_attempts(wire: &wire::PeerAttempts) -> PeerAttempts {
    PeerAttempts {
        arrived: wire.arrived,
        runs: wire.runs,
        avoided: parse_names(wire.avoided.iter().map(String::as_str)),
    }
}

fn parse_names<'a>(names: impl Iterator<Item = &'a str>) -> BTreeSet<ReplicaName> {
    names
        .take(MAX_AVOIDED)
        .filter_map(|n| n.parse().ok())
        .collect()
}

/// Tells a replica's response, passed on by another VM, from a refusal of that VM.
fn classify(mut answer: UpstreamResponse) -> PeerReply {
    let outcome = answer.header(OUTCOME).unwrap_or_default();
    let (served, ask_another) = (outcome == SERVED, ASK_ANOTHER.contains(&outcome));
    answer.head.headers.remove(OUTCOME);
    if served {
        return PeerReply::Served(answer);
    }
    let made = read_attempts(&answer);
    let after = answer.header(RETRY_AFTER.as_str());
    let after = after.and_then(|a| a.parse().ok());
    let after = after.and_then(|s| Duration::try_from_secs_f64(s).ok());
    let not_run = Refusal::not_run("refused_by_peer", after.unwrap_or(RETRY_DELAY));
    let refusal = match answer.head.status {
        // The configuration of that VM may be older than this one's.
        StatusCode::UNAUTHORIZED => return PeerReply::NotTaken(Some((not_run, made))),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            return match ask_another {
                true => PeerReply::NotTaken(Some((not_run, made))),
                false => PeerReply::NotRun(not_run),
            };
        }
        StatusCode::GATEWAY_TIMEOUT => Refusal::denied(StatusCode::GATEWAY_TIMEOUT, "overdue"),
        _ => Refusal::denied(StatusCode::BAD_GATEWAY, "broken"),
    };
    PeerReply::Ended(refusal)
}

/// Logs and counts a request that was handed to another VM.
fn log_relayed(
    node: &Node,
    req: &BufferedRequest,
    peers: &PeerAttempts,
    vm: &VmName,
    outcome: &'static str,
) {
    slog::info!(node.log, "relayed"; "id" => &req.id, "to" => vm.as_str(), "outcome" => outcome,
        "arrived" => peers.arrived,
        "left_ms" => req.deadline.since(now()).as_millis());
    metrics::counter!("serve_relays_total", "outcome" => outcome).increment(1);
}

/// A response that another VM passes on; it keeps the request, whose charge ends with it.
struct RelayedResponse {
    node: Rc<Node>,
    req: BufferedRequest,
    answer: UpstreamResponse,
    _open: InFlight,
}

/// Returns the response to the caller of a request that another VM serves.
pub(in crate::serving) fn response(
    node: &Rc<Node>,
    req: BufferedRequest,
    mut answer: UpstreamResponse,
    open: InFlight,
) -> Response<ResponseBody> {
    let mut response = Response::new(());
    *response.status_mut() = answer.head.status;
    let mut headers = std::mem::take(&mut answer.head.headers);
    strip_hop_headers(&mut headers);
    *response.headers_mut() = headers;
    let relayed = RelayedResponse {
        node: node.clone(),
        req,
        answer,
        _open: open,
    };
    let chunks = unfold(Some(relayed), |relayed| async move {
        let mut relayed = relayed?;
        let chunk = relayed.next().await?;
        let rest = chunk.is_ok().then_some(relayed);
        Some((chunk.map(Frame::data), rest))
    });
    response.map(|()| Box::pin(StreamBody::new(chunks)) as ResponseBody)
}

impl RelayedResponse {
    /// Returns the next chunk, or `None` at the regular end.
    async fn next(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        let deadline = to_instant(self.req.deadline);
        let chunk = self.answer.next_chunk_before(deadline);
        let reason = match stop::chunk_until_end(&self.node, chunk).await {
            Err(_) if self.node.phase() == Phase::Ending => STOPPING,
            Ok(Some(Ok(bytes))) => return Some(Ok(bytes)),
            Ok(None) => {
                count_outcome("relayed");
                return None;
            }
            Ok(Some(Err(e))) => {
                slog::info!(self.node.log, "response ended early"; "id" => &self.req.id,
                    "error" => %e);
                "the VM that served the request broke off"
            }
            Err(_) => "deadline exceeded",
        };
        slog::info!(self.node.log, "response broke off"; "id" => &self.req.id, "why" => reason);
        count_outcome("broken_off");
        Some(Err(ResponseAborted(reason)))
    }
}

/// Handles a request that another VM handed to this one.
pub(in crate::serving) async fn serve_relayed(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let id = (node.codec.parse_request)(request.headers()).id;
    let mut peers = PeerAttempts::default();
    let trace = Rc::new(RequestTrace::default());
    let handled = handle(&node, request, &trace, &mut peers);
    match stop::until_end(&node, &trace, handled).await {
        Ok(mut response) => {
            let served = HeaderValue::from_static(SERVED);
            response.headers_mut().insert(OUTCOME, served);
            response
        }
        Err(refusal) => {
            slog::info!(node.log, "relayed request refused"; "id" => id,
                "why" => refusal.reason, "status" => refusal.status.as_u16(),
                "arrived" => peers.arrived, "runs" => peers.runs);
            refusal_response(&refusal, &peers)
        }
    }
}

/// Returns the response that tells another VM of a refusal.
fn refusal_response(refusal: &Refusal, peers: &PeerAttempts) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = refusal.status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(refusal.reason));
    let after = refusal.retry_after.map(|a| a.as_secs_f64().to_string());
    if let Some(after) = after.and_then(|a| HeaderValue::from_str(&a).ok()) {
        headers.insert(RETRY_AFTER, after);
    }
    headers.insert(ARRIVED, HeaderValue::from(peers.arrived));
    headers.insert(RUNS, HeaderValue::from(peers.runs));
    let avoided: Vec<_> = avoided_names(peers).collect();
    if let Ok(avoided) = HeaderValue::from_str(&avoided.join(",")) {
        headers.insert(AVOIDED, avoided);
    }
    response
}

/// Reads a request of another VM and runs it.
async fn handle(
    node: &Rc<Node>,
    request: Request<Incoming>,
    trace: &Rc<RequestTrace>,
    peers: &mut PeerAttempts,
) -> Result<Response<ResponseBody>, Refusal> {
    let not_run = |reason| Refusal::not_run(reason, RETRY_DELAY);
    if node.phase() >= Phase::Draining {
        return Err(Refusal::stopping(false));
    }
    let in_flight = node.track_relayed(MAX_RELAYED);
    let in_flight = in_flight.ok_or(not_run("too_many_relayed"))?;
    let arrived = now();
    let active = node.state().serving_config(arrived);
    let active = active.ok_or(not_run("no_configuration"))?;
    let (parts, body) = request.into_parts();
    let connection = parts.extensions.get().copied();
    let max_bytes = active.config.limits.body_bytes + MAX_HEAD_BYTES;
    let read_by = arrived.after(to_span(READ_TIMEOUT));
    let read = read_body(node, connection, body, max_bytes, read_by).await;
    let read = read.map_err(|refusal| not_run(refusal.reason))?;
    let mut body = join(read.blocks);
    let head = wire::RelayHead::decode_length_delimited(&mut body);
    let head = head.map_err(|_| not_run("bad_relay_head"))?;
    *peers = head
        .earlier
        .as_ref()
        .map(decode_attempts)
        .unwrap_or_default();
    trace.add_runs(peers.runs);
    let info = (node.codec.parse_request)(&parts.headers);
    let routed = RoutedRequest {
        route: find_route(&active.routes, &parts).ok_or(not_run("no_route"))?,
        service: head
            .service
            .parse()
            .map_err(|_| not_run("bad_relay_head"))?,
    };
    if !active.config.services.contains_key(&routed.service) {
        return Err(not_run("no_service"));
    }
    let build = builds::find_build(node, &routed, &info).await?;
    let rank = Rank::from_wire(head.rank);
    trace.record_route(&routed.route, rank);
    let mut headers: HeaderMap = parts.headers;
    strip_request_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let urgency = active.urgencies.find(&routed.service, rank);
    let pieces: Vec<Bytes> = vec![body];
    let fingerprint = fingerprint(&parts.uri, &pieces);
    let req = BufferedRequest {
        method: parts.method,
        fingerprint,
        features: Feature::of_request(fingerprint, &info.prompt_parts),
        path: origin_form(&parts.uri),
        headers,
        cost: estimate_load(&active, &routed.service, &info),
        urgency: urgency.filter(|_| head.ranked),
        rank,
        objective: arrived.after(Span(head.objective_us)),
        shared_prefix: info.shared_prefix,
        caller: Caller {
            organisation: head.organisation.parse().ok(),
            key: read_key(&head)?,
            charge: None,
        },
        body: pieces,
        body_charge: Some(read.charge),
        stream: builds::stream_id(&routed, &info),
        build,
        kept: Cell::new(false),
        id: info.id,
        target: info.target,
        deadline: arrived.after(Span(head.left_us)),
        trace: trace.clone(),
        relayed: true,
        last_send: LastSend::default(),
    };
    check_blocked(node, &req)?;
    run_request(node, Rc::new(routed), req, arrived, in_flight, peers).await
}

/// Returns the digest of the caller's API key; `None` if the route needs none.
fn read_key(head: &wire::RelayHead) -> Result<Option<KeyDigest>, Refusal> {
    if head.key.is_empty() {
        return Ok(None);
    }
    let key = KeyDigest::from_bytes(&head.key);
    let bad = Refusal::not_run("bad_relay_head", RETRY_DELAY);
    key.map(Some).ok_or(bad)
}

/// Finds the route of a request by its host and path.
fn find_route(routes: &Routes, parts: &Parts) -> Option<Rc<Route>> {
    let host = parts.headers.get(HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
    routes.find(host, parts.uri.path()).cloned()
}
