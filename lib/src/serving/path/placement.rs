//! Chooses a replica for a request, and waits until one can run it.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::adapter_planner::LoadNeed;
use crate::serving::decisions::fleet::Placement;
use crate::serving::decisions::fleet::PlacementRequest;
use crate::serving::decisions::retry::RETRY_DELAY;
use crate::serving::decisions::retry::Refusal;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::limit;
use crate::serving::path::limit::SendPermit;
use crate::serving::path::owner_check;
use crate::serving::path::owner_check::Admission;
use crate::serving::path::serve::RoutedRequest;
use crate::serving::path::types::Rank;
use crate::serving::peers::beacons;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::program::node::time_until;
use crate::serving::program::node::to_instant;
use crate::serving::program::node::to_span;

/// Interval at which a request to load an adapter is repeated, because datagrams can be
/// lost.
const LOAD_REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// Divisor of the time until the deadline that gives the maximum wait for a load. A
/// request refused after that leaves its caller time to try elsewhere.
const WAIT_DIVISOR: u64 = 3;

/// Maximum wait for a replica while the process stops: the request must be answered before
/// the process exits.
const SHUTDOWN_WAIT: Duration = Duration::from_millis(500);

/// `Retry-After` when all replicas are at capacity: about the duration of a short run.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Minimum `Retry-After` while the replicas accept no requests for a while.
const MIN_RETRY: Duration = Duration::from_millis(50);

/// Minimum time between two attempts to choose a replica. Under high load, finished runs
/// and updates wake all waiting requests some hundred times a second, and each attempt scans
/// all replicas; a load takes some twenty times as long as this interval.
const MIN_RECHECK: Span = Span::from_millis(15);

/// Maximum number of owners that decline a request before it is sent without asking: each
/// answer corrects the local view of one replica, and the last choice is then used.
const MAX_OWNER_ASKS: u32 = 3;

/// Minimum wait that is logged.
const LOGGED_WAIT: Span = Span::from_millis(20);

/// The replica chosen for a request, and the permission to send it there.
#[derive(Clone, Debug)]
pub(in crate::serving) struct Placed {
    pub(in crate::serving) replica: ReplicaName,
    pub(in crate::serving) permit: SendPermit,
}

/// Waits until a replica can run a request, and returns it.
///
/// A request waits while its adapter is loaded, or while all replicas are briefly at
/// capacity. It waits for at most a third of the time until its deadline, so that a caller
/// who is refused can still be served elsewhere.
pub(in crate::serving) async fn wait_for_replica(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    avoid: &BTreeSet<ReplicaName>,
) -> Result<Placed, Refusal> {
    let start = now();
    let remaining = req.deadline.since(start);
    let load_deadline = start.after(Span(remaining.0 / WAIT_DIVISOR));
    let capacity_deadline = start
        .after(to_span(routed.route.objective / 4))
        .min(load_deadline);
    let mut requested_at: Option<Moment> = None;
    let mut stop_deadline: Option<Moment> = None;
    let mut reason = "";
    let mut owner_asks = 0;
    loop {
        let at = now();
        let wake = node.placement_wake.notified();
        let waited = (at < load_deadline).then(|| at.since(start));
        let placement = choose_replica(node, routed, req, avoid, waited, at);
        let mut recheck: Option<Moment> = None;
        let (deadline, refusal) = match placement {
            Placement::Send { replica, copy } => {
                if let (Some(copy), Some(target)) = (copy, &req.target) {
                    beacons::request_load(node, &copy, target, &load_need(routed, req, at)).await;
                }
                if owner_asks < MAX_OWNER_ASKS
                    && owner_check::ask_owner(node, req, &replica).await == Admission::ChooseAgain
                {
                    owner_asks += 1;
                    continue;
                }
                // The replica is withheld from the next choice if this fails.
                let permit = match limit::acquire(node, &replica).await {
                    Ok(permit) => permit,
                    Err(withheld) => {
                        reason = withheld.as_str();
                        continue;
                    }
                };
                let waited = now().since(start);
                metrics::histogram!("serve_wait_seconds").record(waited.0 as f64 / 1e6);
                if waited >= LOGGED_WAIT {
                    slog::info!(node.log, "placed"; "id" => &req.id, "replica" => replica.as_str(),
                        "waited_ms" => waited.as_millis(), "why" => reason);
                }
                return Ok(Placed { replica, permit });
            }
            Placement::Load { replica } | Placement::Loading { replica } => {
                let is_due =
                    requested_at.is_none_or(|w| at.since(w) >= to_span(LOAD_REQUEST_INTERVAL));
                if let (true, Some(target)) = (is_due, &req.target) {
                    requested_at = Some(at);
                    beacons::request_load(node, &replica, target, &load_need(routed, req, at))
                        .await;
                }
                (
                    load_deadline,
                    Refusal::not_run("not_loaded_in_time", RETRY_DELAY),
                )
            }
            Placement::Withheld(withheld) => {
                let after = Duration::from_micros(withheld.ready.since(at).0);
                let refusal = Refusal::not_run(withheld.reason.refusal(), after.max(MIN_RETRY));
                if withheld.ready > load_deadline {
                    log_no_replica(node, routed, req, refusal.reason, at.since(start));
                    return Err(refusal);
                }
                recheck = Some(withheld.until);
                (load_deadline, refusal)
            }
            Placement::Full => (
                capacity_deadline,
                Refusal::not_run("replicas_full", FULL_RETRY_AFTER),
            ),
            Placement::Unavailable => (
                capacity_deadline,
                Refusal::not_run("no_replica", RETRY_DELAY),
            ),
        };
        let stopping = node.phase() != Phase::Serving;
        let deadline = match stopping {
            true => deadline.min(*stop_deadline.get_or_insert(at.after(to_span(SHUTDOWN_WAIT)))),
            false => deadline,
        };
        if at >= deadline {
            log_no_replica(node, routed, req, refusal.reason, at.since(start));
            return Err(refusal);
        }
        reason = refusal.reason;
        let wait = Duration::from_micros(deadline.since(at).0).min(LOAD_REQUEST_INTERVAL);
        let wait = recheck.map_or(wait, |until| wait.min(time_until(until)));
        // A wake-up and a time-out both lead to another attempt.
        tokio::time::timeout(wait, wake).await.ok();
        tokio::time::sleep_until(to_instant(at.after(MIN_RECHECK))).await;
    }
}

/// Returns what a load request of this request states.
fn load_need(routed: &RoutedRequest, req: &BufferedRequest, at: Moment) -> LoadNeed {
    let objective = req.arrived.after(to_span(routed.route.objective));
    LoadNeed {
        waiting: 1,
        rank: Rank::default(),
        left: Some(objective.since(at)),
    }
}

/// Logs a request that found no replica, with the state of the replicas that could run it.
fn log_no_replica(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    reason: &'static str,
    waited: Span,
) {
    let at = now();
    let state = node.state();
    let summary = state
        .fleet
        .summarize(at, &routed.service, req.target.as_ref());
    slog::info!(node.log, "no replica can take the request"; "id" => &req.id, "why" => reason,
        "target" => req.target.as_ref().map(ToString::to_string),
        "service" => routed.service.as_str(), "waited_ms" => waited.as_millis(),
        "replicas" => summary.listed, "live" => summary.live, "holders" => summary.holders,
        "withheld" => summary.withheld, "words" => summary.fresh_reports, "requests" => summary.requests,
        "owners_term" => state.ownership.table.term.0);
}

/// Chooses where a request would run now. `waited` is how long it has waited for a load so
/// far; `None` if it may not wait for one.
fn choose_replica(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    avoid: &BTreeSet<ReplicaName>,
    waited: Option<Span>,
    at: Moment,
) -> Placement {
    let bytes: usize = req.body.iter().map(Bytes::len).sum();
    let state = node.state();
    let request = PlacementRequest {
        service: &routed.service,
        target: req.target.as_ref(),
        cost: req.cost,
        shared_prefix: req.shared_prefix,
        body_kb: bytes as f64 / 1024.0,
        objective_ms: routed.route.objective.as_secs_f64() * 1e3,
        waited,
        avoid,
    };
    let own_vm = &node.settings.vm;
    let can_load = |name: &ReplicaName| state.can_load(at, own_vm, name);
    if state.replica_limits.is_empty() {
        return state.fleet.place(at, &request, can_load);
    }
    // Another adapter would attract more requests to a replica in need.
    let placement = state.fleet.place(at, &request, |name| {
        can_load(name) && !state.is_limited(at, name)
    });
    match placement {
        Placement::Unavailable | Placement::Full | Placement::Withheld(_) => {
            state.fleet.place(at, &request, can_load)
        }
        placement => placement,
    }
}

/// Returns whether a replica outside `avoid` could take over a request at once.
pub(in crate::serving) fn has_other_replica(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    avoid: &BTreeSet<ReplicaName>,
) -> bool {
    let placement = choose_replica(node, routed, req, avoid, None, now());
    matches!(placement, Placement::Send { .. })
}
