//! Queues requests that wait for a replica, and has them try one after the other.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::ReplicaName;
use crate::ids::ServiceName;
use crate::pool::Moment;
use crate::serving::decisions::retry::Refusal;
use crate::serving::decisions::waiting::Arrival;
use crate::serving::decisions::waiting::WaitEntry;
use crate::serving::decisions::waiting::WaitId;
use crate::serving::decisions::waiting::WaitQueue;
use crate::serving::decisions::waiting::WaitReason;
use crate::serving::decisions::waiting::cap_retry;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::placement::MIN_RECHECK;
use crate::serving::path::serve::RoutedRequest;
use crate::serving::path::types::Rank;
use crate::serving::path::types::Target;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::serving::program::node::to_span;

/// How long the next request waits for the one that tries before it. It must only ask an owner,
/// which takes about a millisecond; a silent owner must not hold up the others.
const MAX_TRY: Duration = Duration::from_millis(3);

/// `Retry-After` for a full queue before a rate was observed: about the duration of a short run.
const RETRY_WHEN_FULL: Duration = Duration::from_millis(300);

/// Highest rank that the metrics name by itself.
const MAX_RANK_LABEL: u32 = 9;

/// A request's turn to try; dropped when it waits again or leaves the queue.
pub(in crate::serving) type Turn = oneshot::Sender<()>;

/// Guard for a request in the queue; dropping it, also when its caller disconnects, removes the
/// request.
pub(in crate::serving) struct Queued {
    node: Rc<Node>,
    service: ServiceName,
    pub(in crate::serving) id: WaitId,
    rank: Rank,
}

impl Queued {
    /// Returns whether the request was removed to keep the bounds of the queue.
    pub(in crate::serving) fn is_removed(&self) -> bool {
        let state = self.node.state();
        let queue = state.waiting.get(&self.service);
        queue.is_none_or(|q| q.get(self.id).is_none())
    }

    /// Removes the request because it is sent to a replica, and has those that follow it try.
    pub(in crate::serving) fn record_served(&self) {
        let has_follower = {
            let mut state = self.node.state();
            let queue = state.waiting.get_mut(&self.service);
            queue.is_some_and(|queue| {
                let has_follower = queue.has_follower(self.id);
                queue.leave(now(), self.id, true);
                has_follower
            })
        };
        if has_follower {
            self.node.placement_wake.notify_waiters();
        }
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        let mut state = self.node.state();
        if let Some(queue) = state.waiting.get_mut(&self.service) {
            queue.leave(now(), self.id, false);
            if queue.is_empty() {
                state.waiting.remove(&self.service);
            }
        }
        metrics::gauge!("serve_waiting", "rank" => rank_label(self.rank)).decrement(1.0);
    }
}

/// Returns the label of a rank in metrics; there are few different ones.
fn rank_label(rank: Rank) -> String {
    match rank.to_wire() {
        wire if wire <= MAX_RANK_LABEL => wire.to_string(),
        _ => "other".to_owned(),
    }
}

/// Returns whether requests of a service wait in a queue.
pub(in crate::serving) fn is_ordered(node: &Node, service: &ServiceName) -> bool {
    let state = node.state();
    let service = state
        .active
        .as_ref()
        .and_then(|a| a.config.services.get(service));
    node.settings.experiment.is_enabled(Mechanism::WaitOrder)
        && service.is_some_and(|s| s.engine.is_some())
}

/// Queues a request that waits since `start`, or refuses it: because those before it will not
/// leave in time, or because the queue is full and it is the last in order. Another request
/// that is removed for it tries once more.
pub(in crate::serving) fn enqueue(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    avoid: &BTreeSet<ReplicaName>,
    arrival: &Arrival,
) -> Result<Queued, Refusal> {
    let at = now();
    let entry = WaitEntry {
        rank: req.rank,
        organisation: req.caller.organisation.clone(),
        target: req.target.clone(),
        arrival: at,
        objective: arrival.objective,
        deadline: req.deadline,
        tokens: req.cost.tokens,
        bytes: arrival.bytes,
        sent: arrival.sent,
        avoids: !avoid.is_empty(),
    };
    if is_too_late(node, &routed.service, arrival, at) {
        let refusal = Refusal::not_run("wait_too_long", Duration::ZERO);
        return Err(with_retry_after(
            node,
            routed,
            req,
            WaitReason::Full,
            refusal,
        ));
    }
    let id = WaitId(node.next_id());
    let bounds = node.settings.waiting;
    let removed = {
        let mut state = node.state();
        let queue = state.waiting.entry(routed.service.clone());
        let queue = queue.or_insert_with(|| WaitQueue::new(bounds));
        queue.push(at, id, entry)
    };
    metrics::gauge!("serve_waiting", "rank" => rank_label(req.rank)).increment(1.0);
    let queued = Queued {
        node: node.clone(),
        service: routed.service.clone(),
        id,
        rank: req.rank,
    };
    for other in removed.iter().filter(|other| **other != id) {
        node.wait_calls.complete(other.0, oneshot::channel().0);
    }
    match removed.contains(&id) {
        true => Err(queue_full(node, routed, req)),
        false => Ok(queued),
    }
}

/// Returns the refusal of a request that was removed to keep the bounds of the queue.
pub(in crate::serving) fn queue_full(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
) -> Refusal {
    let refusal = Refusal::not_run("queue_full", RETRY_WHEN_FULL);
    with_retry_after(node, routed, req, WaitReason::Full, refusal)
}

/// Returns whether there may be capacity for a request that waits.
///
/// A wait for a load under way, for a second copy or for replicas that come back ends whatever
/// waits before it.
pub(in crate::serving) fn has_capacity(
    node: &Node,
    service: &ServiceName,
    waits_for: WaitReason,
    target: Option<&Target>,
    at: Moment,
) -> bool {
    match waits_for {
        WaitReason::Full => false,
        WaitReason::Load => target.is_none_or(|target| {
            let state = node.state();
            state.fleet.has_vacancy(at, service, target)
        }),
        _ => true,
    }
}

/// Returns whether a new request is refused because those before it will not leave in time.
fn is_too_late(node: &Node, service: &ServiceName, arrival: &Arrival, at: Moment) -> bool {
    let state = node.state();
    let queue = state.waiting.get(service);
    let experiment = &node.settings.experiment;
    experiment.is_enabled(Mechanism::EarlyRefusals)
        && queue.is_some_and(|q| q.is_too_late(at, arrival))
}

/// Returns a refusal with the time at which capacity is expected, where that was observed.
/// Replicas that get no requests for a while state theirs.
pub(in crate::serving) fn with_retry_after(
    node: &Node,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    waits_for: WaitReason,
    refusal: Refusal,
) -> Refusal {
    let enabled = node
        .settings
        .experiment
        .is_enabled(Mechanism::EarlyRefusals);
    if !enabled || waits_for == WaitReason::Withheld || !is_ordered(node, &routed.service) {
        return refusal;
    }
    let at = now();
    let left = req.deadline.since(at);
    let seed = xxh3_64(req.id.as_bytes());
    let state = node.state();
    let queue = state.waiting.get(&routed.service);
    let expected = queue.and_then(|q| q.retry_after(at, req.rank, left, seed));
    let stated = refusal
        .retry_after
        .map(|after| cap_retry(to_span(after), left));
    let after = expected.or(stated);
    Refusal {
        retry_after: after.map(|after| Duration::from_micros(after.0)),
        ..refusal
    }
}

/// Has the queued requests try, in order, whenever a replica may have capacity, until the
/// process ends.
pub(in crate::serving) async fn try_queued(node: Rc<Node>) {
    loop {
        let change = node.placement_wake.notified();
        let began = now();
        let services: Vec<ServiceName> = node.state().waiting.keys().cloned().collect();
        for service in &services {
            try_service(&node, service).await;
        }
        tokio::time::sleep_until(to_instant(began.after(MIN_RECHECK))).await;
        change.await;
    }
}

/// Has the queued requests of a service try once. Each looks for a replica only after the one
/// before it has taken its capacity.
async fn try_service(node: &Node, service: &ServiceName) {
    let pass = {
        let state = node.state();
        state.waiting.get(service).map(|q| q.begin_pass(now()))
    };
    let Some(mut pass) = pass else {
        return;
    };
    loop {
        let next = {
            let state = node.state();
            state.waiting.get(service).and_then(|q| pass.next(q))
        };
        let Some(id) = next else {
            return;
        };
        let (turn, ended) = oneshot::channel();
        node.wait_calls.complete(id.0, turn);
        // The turn ends without a message.
        tokio::time::timeout(MAX_TRY, ended).await.ok();
    }
}
