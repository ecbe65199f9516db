//! Refuses what a process that stops as planned could not end in time.

use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::retry::AttemptFailure;
use crate::serving::decisions::retry::Attempts;
use crate::serving::decisions::retry::Refusal;
use crate::serving::path::trace::RequestTrace;
use crate::serving::path::types::Route;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::upstream::Overdue;

/// Time after which it is looked at again whether a request can still be sent: runs that end
/// meanwhile tell more of its route.
const RECHECK: Span = Span::from_millis(250);

/// Checks that a run which begins now is over before the process ends.
pub(in crate::serving) fn check_send(
    node: &Node,
    route: &Route,
    deadline: Moment,
) -> Result<(), AttemptFailure> {
    match last_send(node, route, deadline) {
        Some(last) if now() > last => Err(AttemptFailure::Stopping),
        _ => Ok(()),
    }
}

/// Returns until when a run of a route may begin, if this process stops.
fn last_send(node: &Node, route: &Route, deadline: Moment) -> Option<Moment> {
    let plan = node.stop_plan.get()?;
    let at = now();
    let state = node.state();
    let longest = state.run_times.longest(at, &route.name, deadline.since(at));
    Some(plan.last_send(longest))
}

/// Returns the time until what is open is broken off, if this process stops.
pub(in crate::serving) fn time_left(node: &Node) -> Option<Span> {
    let plan = node.stop_plan.get()?;
    Some(plan.end.since(now()))
}

/// Waits until a request that was not sent yet can no longer be, and returns its refusal.
pub(in crate::serving) async fn until_too_late(
    node: &Node,
    route: &Route,
    deadline: Moment,
) -> Refusal {
    until(node, Phase::Unready).await;
    loop {
        if let Err(failure) = check_send(node, route, deadline) {
            return Refusal::after(&Attempts::default(), failure);
        }
        let last = last_send(node, route, deadline);
        let recheck = now().after(RECHECK);
        let wake = last.map_or(recheck, |last| last.after(Span(1)).min(recheck));
        tokio::time::sleep_until(to_instant(wake)).await;
    }
}

/// Handles a request until the end of the grace period; what is then open is refused, with what is
/// known of its runs.
pub(in crate::serving) async fn until_end<T>(
    node: &Node,
    trace: &RequestTrace,
    handled: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    tokio::select! {
        biased;
        handled = handled => handled,
        () = until(node, Phase::Ending) => Err(Refusal::stopping(trace.may_have_run())),
    }
}

/// Waits for the next chunk of a response until the end of the grace period.
pub(in crate::serving) async fn chunk_until_end<T>(
    node: &Node,
    chunk: impl Future<Output = Result<T, Overdue>>,
) -> Result<T, Overdue> {
    if node.phase() == Phase::Ending {
        return Err(Overdue);
    }
    tokio::select! {
        biased;
        chunk = chunk => chunk,
        () = until(node, Phase::Ending) => Err(Overdue),
    }
}

/// Waits until the process is in a phase or a later one.
pub(in crate::serving) async fn until(node: &Node, phase: Phase) {
    let mut phases = node.phase.subscribe();
    // The node holds the sender.
    phases.wait_for(|p| *p >= phase).await.ok();
}
