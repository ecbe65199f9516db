//! Waits for a replica that can run a request.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::decide::COME_BACK;
use crate::serving::decisions::decide::Refusal;
use crate::serving::decisions::fleet::Place;
use crate::serving::decisions::fleet::Want;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::owner_check;
use crate::serving::path::owner_check::Admission;
use crate::serving::path::serve::RoutedRequest;
use crate::serving::peers::beacons;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::serving::program::node::to_span;

/// How often a wish for an adapter is repeated: datagrams get lost.
const WISH_INTERVAL: Duration = Duration::from_millis(150);

/// The part of the time that is left in which a request waits for a place;
/// later than that it is refused while its caller can still go elsewhere.
const WAIT_DIVISOR: u64 = 3;

/// How long a request waits for a place while the process stops: it must have
/// its answer before the process ends.
const SHUTDOWN_WAIT: Duration = Duration::from_millis(500);

/// When those may come back who found all replicas full: about the time in
/// which a short run ends.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The least time between two looks for a place. Under high load some hundred
/// ends of runs and pieces of news a second wake all that wait, and each look
/// goes through all replicas; a load takes some twenty times as long.
const MIN_RECHECK: Span = Span::from_millis(15);

/// Owners of replicas that are routed about one request at the most: each one
/// mends what is believed of its replica, and the last choice stands.
const MAX_OWNER_ASKS: u32 = 3;

/// A wait that is worth a line.
const LOGGED_WAIT: Span = Span::from_millis(20);

/// Waits for a replica that can run a request.
///
/// Made for adapters that have to be loaded first and for replicas that are
/// full for a moment. A request waits at most a third of the time that it has,
/// so that a caller who is refused can still be served elsewhere.
pub(in crate::serving) async fn wait_for_replica(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    avoid: &BTreeSet<ReplicaName>,
) -> Result<ReplicaName, Refusal> {
    let began = now();
    let left = req.deadline.since(began);
    let load_limit = began.after(Span(left.0 / WAIT_DIVISOR));
    let full_limit = began
        .after(to_span(routed.route.objective / 4))
        .min(load_limit);
    let mut wished: Option<Moment> = None;
    let mut stop_limit: Option<Moment> = None;
    let mut why = "";
    let mut asks = 0;
    loop {
        let at = now();
        let changed = node.placement_wake.notified();
        let waited = (at < load_limit).then(|| at.since(began));
        let place = choose_replica(node, routed, req, avoid, waited, at);
        let (limit, refusal) = match place {
            Place::Send { at, copy } => {
                if let (Some(copy), Some(target)) = (copy, &req.target) {
                    beacons::request_load(node, &copy, target).await;
                }
                if asks < MAX_OWNER_ASKS
                    && owner_check::ask_owner(node, req, &at).await == Admission::ChooseAgain
                {
                    asks += 1;
                    continue;
                }
                let waited = now().since(began);
                metrics::histogram!("serve_wait_seconds").record(waited.0 as f64 / 1e6);
                if waited >= LOGGED_WAIT {
                    slog::info!(node.log, "placed"; "id" => &req.id, "replica" => at.as_str(),
                        "waited_ms" => waited.as_millis(), "why" => why);
                }
                return Ok(at);
            }
            Place::Load { at: replica } | Place::Coming { at: replica } => {
                let again = wished.is_none_or(|w| at.since(w) >= to_span(WISH_INTERVAL));
                if let (true, Some(target)) = (again, &req.target) {
                    wished = Some(at);
                    beacons::request_load(node, &replica, target).await;
                }
                (
                    load_limit,
                    Refusal::not_run("not_loaded_in_time", COME_BACK),
                )
            }
            Place::Full => (
                full_limit,
                Refusal::not_run("replicas_full", FULL_RETRY_AFTER),
            ),
            Place::Nowhere => (full_limit, Refusal::not_run("no_replica", COME_BACK)),
        };
        let stopping = node.phase() != Phase::Serving;
        let limit = match stopping {
            true => limit.min(*stop_limit.get_or_insert(at.after(to_span(SHUTDOWN_WAIT)))),
            false => limit,
        };
        if at >= limit {
            log_no_replica(node, routed, req, refusal.reason, at.since(began));
            return Err(refusal);
        }
        why = refusal.reason;
        let wait = Duration::from_micros(limit.since(at).0).min(WISH_INTERVAL);
        // Whether news or the time wakes us, the place is looked for anew.
        tokio::time::timeout(wait, changed).await.ok();
        tokio::time::sleep_until(to_instant(at.after(MIN_RECHECK))).await;
    }
}

fn log_no_replica(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    why: &'static str,
    waited: Span,
) {
    let at = now();
    let b = node.state();
    let seen = b.fleet.survey(at, &routed.service, req.target.as_ref());
    slog::info!(node.log, "no place"; "id" => &req.id, "why" => why,
        "target" => req.target.as_ref().map(ToString::to_string),
        "service" => routed.service.as_str(), "waited_ms" => waited.as_millis(),
        "replicas" => seen.listed, "live" => seen.live, "holders" => seen.holders,
        "words" => seen.words, "requests" => seen.requests,
        "owners_term" => b.ownership.table.term.0);
}

/// Where a request would run now.
fn choose_replica(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    avoid: &BTreeSet<ReplicaName>,
    waited: Option<Span>,
    at: Moment,
) -> Place {
    let bytes: usize = req.body.iter().map(Bytes::len).sum();
    let b = node.state();
    let want = Want {
        service: &routed.service,
        target: req.target.as_ref(),
        cost: req.cost,
        shared: req.shared,
        body_kb: bytes as f64 / 1024.0,
        objective_ms: routed.route.objective.as_secs_f64() * 1e3,
        waited,
        avoid,
    };
    let own = &node.settings.vm;
    b.fleet.place(at, &want, |name| b.can_load(at, own, name))
}

/// Whether another replica could go on with a request at once.
pub(in crate::serving) fn has_other_replica(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    avoid: &BTreeSet<ReplicaName>,
) -> bool {
    let place = choose_replica(node, routed, req, avoid, None, now());
    matches!(place, Place::Send { .. })
}
