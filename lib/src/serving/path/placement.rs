//! Chooses a replica for a request, and waits until one can run it.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::adapter_planner::LoadNeed;
use crate::serving::decisions::retry::Attempts;
use crate::serving::decisions::retry::Refusal;
use crate::serving::decisions::waiting::Arrival;
use crate::serving::decisions::waiting::WaitLimits;
use crate::serving::decisions::waiting::WaitParts;
use crate::serving::decisions::waiting::WaitReason;
use crate::serving::decisions::waiting::WaitStep;
use crate::serving::decisions::waiting::wait_reason;
use crate::serving::path::choice::choose_replica;
use crate::serving::path::crashes::check_blocked;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::limit;
use crate::serving::path::limit::SendPermit;
use crate::serving::path::owner_check;
use crate::serving::path::owner_check::Admission;
use crate::serving::path::serve::RoutedRequest;
use crate::serving::path::types::Target;
use crate::serving::path::wait_log::log_no_replica;
use crate::serving::path::wait_log::log_placed;
use crate::serving::path::wait_log::record_wait;
use crate::serving::path::waiting::Queued;
use crate::serving::path::waiting::Turn;
use crate::serving::path::waiting::enqueue;
use crate::serving::path::waiting::has_capacity;
use crate::serving::path::waiting::is_ordered;
use crate::serving::path::waiting::queue_full;
use crate::serving::path::waiting::with_retry_after;
use crate::serving::peers::beacons;
use crate::serving::program::node::Node;
use crate::serving::program::node::PendingCall;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::program::node::time_until;
use crate::serving::program::node::to_instant;
use crate::serving::program::node::to_span;

/// Interval at which a request to load an adapter is repeated, because datagrams can be
/// lost.
const LOAD_REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum time between two attempts to choose a replica. Under high load, finished runs
/// and updates wake all waiting requests some hundred times a second, and each attempt scans
/// all replicas; a load takes some twenty times as long as this interval.
pub(in crate::serving) const MIN_RECHECK: Span = Span::from_millis(15);

/// How long a new request waits for those before it in the queue to try: two intervals, so that
/// a pass over the queue falls into that time.
const GIVE_WAY: Span = Span(2 * MIN_RECHECK.0);

/// Maximum number of owners that decline a request before it is sent without asking: each
/// answer corrects the local view of one replica, and the last choice is then used.
const MAX_OWNER_ASKS: u32 = 3;

/// The replica chosen for a request, and the permission to send it there.
#[derive(Clone, Debug)]
pub(in crate::serving) struct Placed {
    pub(in crate::serving) replica: ReplicaName,
    pub(in crate::serving) permit: SendPermit,
}

/// Waits until a replica can run a request, and returns it. `attempts` holds the earlier
/// attempts for the request.
///
/// A request waits while its adapter is loaded, or while all replicas are briefly at
/// capacity. It waits for at most a third of the time until its deadline, so that a caller
/// who is refused can still be served elsewhere.
pub(in crate::serving) async fn wait_for_replica(
    node: &Rc<Node>,
    routed: &RoutedRequest,
    req: &BufferedRequest,
    avoid: &BTreeSet<ReplicaName>,
    attempts: &Attempts,
) -> Result<Placed, Refusal> {
    let start = now();
    let route = &routed.route;
    let objective = match attempts.answered {
        // The wait is a pause of the stream.
        true => start.after(to_span(route.max_gap.unwrap_or(route.objective))),
        false => req.objective,
    };
    let mut wait = Wait {
        node,
        routed,
        req,
        avoid,
        sent: attempts.sends > 0,
        objective,
        start,
        limits: wait_limits(routed, req, attempts, start),
        requested_at: None,
        owner_asks: 0,
        why: "",
        parts: WaitParts::default(),
        counted_until: start,
        queued: None,
        turn: None,
    };
    let placed = wait.find_replica().await;
    match &placed {
        Ok(placed) => {
            record_wait(req, &wait.parts, "placed");
            log_placed(node, req, &placed.replica, &wait.parts, wait.why);
        }
        Err(refusal) => {
            record_wait(req, &wait.parts, "refused");
            log_no_replica(node, routed, req, refusal.reason, &wait.parts);
        }
    }
    placed
}

/// Returns until when a request may wait.
fn wait_limits(
    routed: &RoutedRequest,
    req: &BufferedRequest,
    attempts: &Attempts,
    start: Moment,
) -> WaitLimits {
    let objective = to_span(routed.route.objective);
    match req.build.is_some() && !attempts.answered {
        true => WaitLimits::of_resumed(start, req.deadline, objective),
        false => WaitLimits::new(start, req.deadline, objective),
    }
}

/// The wait of a request for a replica.
struct Wait<'a> {
    node: &'a Rc<Node>,
    routed: &'a RoutedRequest,
    req: &'a BufferedRequest,
    avoid: &'a BTreeSet<ReplicaName>,
    /// Whether the request was sent before.
    sent: bool,
    /// When data of the response should arrive.
    objective: Moment,
    start: Moment,
    limits: WaitLimits,
    /// When a load was last requested.
    requested_at: Option<Moment>,
    /// Number of owners that declined the request.
    owner_asks: u32,
    /// What the request waited for at last.
    why: &'static str,
    parts: WaitParts,
    /// Until when the time is counted in `parts`.
    counted_until: Moment,
    /// Its place in the queue, once it waits in one.
    queued: Option<Queued>,
    /// Its turn to try; those behind it in the queue wait for the end.
    turn: Option<Turn>,
}

impl<'a> Wait<'a> {
    /// Tries to choose a replica until there is one or the wait is over.
    async fn find_replica(&mut self) -> Result<Placed, Refusal> {
        let node = self.node;
        loop {
            let at = now();
            // Registered before the attempt, so that no change in between is missed.
            let change = node.placement_wake.notified();
            let turn_call = self
                .queued
                .as_ref()
                .map(|q| node.wait_calls.register(q.id.0));
            if node.phase() != Phase::Serving {
                self.limits.begin_stop(at);
            }
            check_blocked(node, self.req)?;
            let (step, waits_for) = self.attempt(at);
            let gives_way = matches!(step, WaitStep::Send { .. }) && self.must_give_way(at);
            let (step, waits_for) = match gives_way {
                true => (self.limits.give_way(at.after(GIVE_WAY)), WaitReason::Full),
                false => (step, waits_for),
            };
            match step {
                WaitStep::Send { replica, copy } => {
                    let placed = self.prepare_send(&replica, copy.as_ref()).await;
                    self.count(waits_for);
                    if let Some(placed) = placed {
                        if let Some(queued) = &self.queued {
                            queued.record_served();
                        }
                        return Ok(placed);
                    }
                }
                WaitStep::Refuse { refusal, load } => {
                    if let Some(replica) = &load {
                        self.request_load(at, replica).await;
                    }
                    self.count(waits_for);
                    let (routed, req) = (self.routed, self.req);
                    return Err(with_retry_after(node, routed, req, waits_for, refusal));
                }
                WaitStep::Wait {
                    until,
                    recheck,
                    load,
                    refusal,
                } => {
                    let turn_call = match turn_call {
                        Some(call) => Some(call),
                        None => self.join_queue(at, waits_for, gives_way)?,
                    };
                    if self.queued.as_ref().is_some_and(Queued::is_removed) {
                        self.count(waits_for);
                        return Err(queue_full(node, self.routed, self.req));
                    }
                    if let Some(replica) = &load {
                        self.request_load(at, replica).await;
                    }
                    self.why = refusal.reason;
                    let wait = Duration::from_micros(until.since(at).0).min(LOAD_REQUEST_INTERVAL);
                    let wait = recheck.map_or(wait, |at| wait.min(time_until(at)));
                    // A wake-up and a time-out both lead to another attempt.
                    self.turn = None;
                    match turn_call {
                        Some(call) => {
                            let min = Duration::from_micros(MIN_RECHECK.0);
                            self.turn = call.wait(wait.max(min)).await;
                        }
                        None => {
                            tokio::time::timeout(wait, change).await.ok();
                            tokio::time::sleep_until(to_instant(at.after(MIN_RECHECK))).await;
                        }
                    }
                    self.count(waits_for);
                }
            }
        }
    }

    /// Tries to choose a replica; returns what follows, and what the request waits for.
    fn attempt(&self, at: Moment) -> (WaitStep, WaitReason) {
        let waited = (at < self.limits.load).then(|| at.since(self.start));
        let placement = choose_replica(self.node, self.routed, self.req, self.avoid, waited, at);
        let waits_for = wait_reason(&placement, || {
            let target = self.req.target.as_ref();
            let state = self.node.state();
            target.is_some_and(|target| state.fleet.is_held(at, &self.routed.service, target))
        });
        (self.limits.step(at, placement), waits_for)
    }

    /// Asks the owner of a replica and the lender of its limit. Returns `None` if a replica
    /// must be chosen again.
    async fn prepare_send(
        &mut self,
        replica: &ReplicaName,
        copy: Option<&ReplicaName>,
    ) -> Option<Placed> {
        let (node, req) = (self.node, self.req);
        if let (Some(copy), Some(target)) = (copy, &req.target) {
            let need = self.load_need(now(), target);
            beacons::request_load(node, copy, target, &need).await;
        }
        if self.owner_asks < MAX_OWNER_ASKS
            && owner_check::ask_owner(node, req, replica).await == Admission::ChooseAgain
        {
            self.owner_asks += 1;
            return None;
        }
        match limit::acquire(node, replica).await {
            Ok(permit) => Some(Placed {
                replica: replica.clone(),
                permit,
            }),
            // The replica is withheld from the next choice.
            Err(withheld) => {
                self.why = withheld.as_str();
                None
            }
        }
    }

    /// Joins the queue of the service, if it has one; returns the call for the first turn.
    fn join_queue(
        &mut self,
        at: Moment,
        waits_for: WaitReason,
        gives_way: bool,
    ) -> Result<Option<PendingCall<'a, Turn>>, Refusal> {
        let node = self.node;
        if !is_ordered(node, &self.routed.service) {
            return Ok(None);
        }
        let arrival = Arrival {
            has_capacity: gives_way
                || has_capacity(
                    node,
                    &self.routed.service,
                    waits_for,
                    self.req.target.as_ref(),
                    at,
                ),
            ..self.arrival()
        };
        let queued = enqueue(node, self.routed, self.req, self.avoid, &arrival);
        let queued = queued.inspect_err(|_| self.count(waits_for))?;
        let call = node.wait_calls.register(queued.id.0);
        self.queued = Some(queued);
        if gives_way {
            node.placement_wake.notify_waiters();
        }
        Ok(Some(call))
    }

    /// Returns what the queue is told of the request.
    fn arrival(&self) -> Arrival {
        Arrival {
            rank: self.req.rank,
            sent: self.sent,
            objective: self.objective,
            until: self.limits.load,
            has_capacity: true,
            bytes: self.req.body.iter().map(Bytes::len).sum(),
        }
    }

    /// Returns whether a new request lets those try first that go before it in the queue.
    fn must_give_way(&self, at: Moment) -> bool {
        let state = self.node.state();
        let queue = state.waiting.get(&self.routed.service);
        let target = self.req.target.as_ref();
        self.queued.is_none() && queue.is_some_and(|q| q.has_before(at, target, &self.arrival()))
    }

    /// Requests the load of the adapter, if the last request for it is old enough.
    async fn request_load(&mut self, at: Moment, replica: &ReplicaName) {
        let interval = to_span(LOAD_REQUEST_INTERVAL);
        let is_due = self.requested_at.is_none_or(|w| at.since(w) >= interval);
        if let (true, Some(target)) = (is_due, &self.req.target) {
            self.requested_at = Some(at);
            let need = self.load_need(at, target);
            beacons::request_load(self.node, replica, target, &need).await;
        }
    }

    /// Returns what waits for an adapter on this VM, this request included.
    fn load_need(&self, at: Moment, target: &Target) -> LoadNeed {
        let state = self.node.state();
        let queue = state.waiting.get(&self.routed.service);
        let queued = queue.and_then(|q| q.load_need(at, target));
        queued.unwrap_or(LoadNeed {
            waiting: 1,
            rank: self.req.rank,
            left: Some(self.objective.since(at)),
        })
    }

    /// Counts the time since the last call for a reason.
    fn count(&mut self, waits_for: WaitReason) {
        let until = now();
        self.parts.add(waits_for, until.since(self.counted_until));
        self.counted_until = until;
    }
}
