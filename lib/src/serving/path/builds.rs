//! Binds streams to the build of the replica that began them.

use std::time::Duration;

use crate::ids::BuildName;
use crate::ids::ServiceName;
use crate::pool::Span;
use crate::serving::decisions::retry::Refusal;
use crate::serving::decisions::stream_builds::StreamId;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::forward::Run;
use crate::serving::path::serve::RoutedRequest;
use crate::serving::path::types::RequestInfo;
use crate::serving::path::types::RouteKind;
use crate::serving::peers::stream_origins;
use crate::serving::peers::stream_origins::Kept;
use crate::serving::program::node::Node;

/// `Retry-After` for a stream that cannot go on now: a VM that knows it, or a replica of its
/// build, may be back by then.
const RETRY_AFTER: Duration = Duration::from_millis(2_000);

/// Returns the stream that a request begins or resumes, if its route can resume streams.
pub(super) fn stream_id(routed: &RoutedRequest, info: &RequestInfo) -> Option<StreamId> {
    let route = &routed.route;
    let root = info.resumes.as_ref().unwrap_or(&info.id);
    let resumable = route.kind == RouteKind::Stream && route.resumable && !root.is_empty();
    resumable.then(|| StreamId::of(root))
}

/// Returns the build that must run a request that resumes a stream; `None` for other requests.
///
/// # Errors
///
/// Refuses a stream whose build is not certain, or has no replica.
pub(super) async fn find_build(
    node: &Node,
    routed: &RoutedRequest,
    info: &RequestInfo,
) -> Result<Option<BuildName>, Refusal> {
    let route = &routed.route;
    let resumes = info.resumes.is_some() || info.resume_after.is_some();
    if route.kind != RouteKind::Stream || !route.resumable || !resumes {
        return Ok(None);
    }
    let named = info.resumes.as_deref().filter(|id| !id.is_empty());
    let stream = named.map(StreamId::of);
    let service = &routed.service;
    let found = stream_origins::find_build(node, stream, service).await;
    let build = found.build;
    let ledger = node.state().stream_builds.stored_ledger();
    let listed = |build: &BuildName| {
        let state = node.state();
        let mut replicas = state.fleet.replica_infos();
        replicas.any(|r| r.service == *service && r.build == *build && !r.draining)
    };
    let outcome = match &build {
        None => "unknown",
        Some(build) if listed(build) => "found",
        Some(_) => "gone",
    };
    slog::info!(node.log, "stream resumed by its caller"; "id" => &info.id,
        "resumes" => &info.resumes, "after" => info.resume_after,
        "build" => build.as_ref().map(BuildName::as_str), "by" => found.by, "outcome" => outcome,
        "answers" => found.answers, "replicas_age_ms" => found.replicas_age.map(Span::as_millis),
        "ledger_age_ms" => found.ledger_age.map(Span::as_millis),
        "revision" => ledger.map(|r| r.to_string()));
    metrics::counter!("serve_stream_resumptions_total", "outcome" => outcome).increment(1);
    match outcome {
        "found" => Ok(build),
        "gone" => Err(Refusal::not_run("build_gone", RETRY_AFTER)),
        _ => Err(Refusal::not_run("build_unknown", RETRY_AFTER)),
    }
}

/// Records that a stream began, or went on, at a replica. The response is not held back until
/// other VMs have heard of it: its first event is sent right after the datagrams to them. Returns
/// whether the stream may go on to its caller: not if the store had to keep it and does not, and
/// it can begin elsewhere.
pub(super) async fn record_began(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    run: &mut Run,
) -> bool {
    if let Some(keeping) = run.keeping.take() {
        let kept = keeping.await.unwrap_or(Kept::Unknown);
        // What is not kept may begin at the default build, under the same ID.
        req.kept.set(kept != Kept::No);
        if kept != Kept::Yes && default_serves(node, &routed.service) {
            return false;
        }
    }
    if let (Some(stream), Some(build)) = (req.stream, &run.build) {
        stream_origins::record_began(node, stream, &routed.service, build).await;
    }
    true
}

/// Whether a replica takes requests whose streams need not be kept.
fn default_serves(node: &Node, service: &ServiceName) -> bool {
    let state = node.state();
    let default = state.stream_builds.default_build(service);
    let mut replicas = state.fleet.replica_infos();
    replicas.any(|r| r.service == *service && !r.draining && Some(&r.build) == default)
}
