//! Describes a request to the decision that chooses a replica for it.

use std::collections::BTreeSet;

use bytes::Bytes;

use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::fleet::Placement;
use crate::serving::decisions::fleet::PlacementRequest;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::serve::RoutedRequest;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;

/// Chooses where a request would run now. `waited` is how long it has waited for a load so
/// far; `None` if it may not wait for one.
pub(super) fn choose_replica(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    avoid: &BTreeSet<ReplicaName>,
    waited: Option<Span>,
    at: Moment,
) -> Placement {
    let bytes: usize = req.body.iter().map(Bytes::len).sum();
    let mut state = node.state();
    let state = &mut *state;
    let is_ordered = node.settings.experiment.is_enabled(Mechanism::WaitOrder);
    let left = Some(req.objective.since(at));
    // A stream that callers may resume begins only where a VM that starts could tell.
    let begins = req.stream.is_some() && req.build.is_none();
    let admitted = begins.then(|| state.admitted_builds(at, &routed.service));
    let admitted = admitted.flatten();
    let request = PlacementRequest {
        service: &routed.service,
        target: req.target.as_ref(),
        cost: req.cost,
        shared_prefix: req.shared_prefix,
        body_kb: bytes as f64 / 1024.0,
        objective_ms: routed.route.objective.as_secs_f64() * 1e3,
        waited,
        left: left.filter(|_| is_ordered),
        store_busy: state.planner.is_store_busy(),
        build: req.build.as_ref(),
        admitted: admitted.as_ref(),
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
