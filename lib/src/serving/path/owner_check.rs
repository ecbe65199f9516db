//! Asks the owner of a replica whether a request may be sent there.

use std::time::Duration;

use banyangauge_proto as wire;
use prost::Message;
use wire::datagram::Body;

use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::serving::decisions::fleet::Load;
use crate::serving::decisions::fleet::PrefillSpeed;
use crate::serving::path::forward::BufferedRequest;
use crate::serving::path::types::Target;
use crate::serving::peers::load_reports;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;

/// Timeout for an owner's answer: owners are a millisecond or two away, and a lost datagram
/// or a busy owner must not delay a request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Result of asking a replica's owner whether a request may be sent there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::serving) enum Admission {
    /// The request may be sent, or no owner could be asked.
    Admitted,
    /// The replica is busier than assumed, or the adapter is not loaded. The local view is
    /// corrected, so the replica must be chosen again.
    ChooseAgain,
}

/// Asks the owner of a replica whether a request may be sent there.
///
/// Requests without an adapter are admitted without asking, and so are requests whose owner
/// does not answer in time.
pub(in crate::serving) async fn ask_owner(
    node: &Node,
    req: &BufferedRequest,
    replica: &ReplicaName,
) -> Admission {
    let Some(target) = req.target.as_ref().filter(|t| t.adapter.is_some()) else {
        return Admission::Admitted;
    };
    let id = node.next_id();
    let (address, ask) = {
        let mut state = node.state();
        let state = &mut *state;
        let at = now();
        let owner = state.ownership.owner(replica);
        if owner == Some(&node.settings.vm) {
            state.planner.record_grant(at, replica, target);
        }
        let owner = owner.filter(|vm| **vm != node.settings.vm && state.members.is_live(at, vm));
        let address = owner.and_then(|vm| state.members.address(vm));
        let enabled = node.settings.experiment.is_enabled(Mechanism::PlaceAsks);
        let Some(address) = address.filter(|_| enabled) else {
            return Admission::Admitted;
        };
        let assumed = state.fleet.total_load(at, replica).unwrap_or_default();
        let ask = wire::PlaceAsk {
            vm: node.settings.vm.to_string(),
            number: id,
            replica: replica.to_string(),
            target: target.to_string(),
            tokens: req.cost.tokens,
            unread: req.cost.prefill,
            // At the default speed, since the owner may know another speed.
            believed_ms: assumed.busy_ms(PrefillSpeed::default()) as u64,
        };
        (address, ask)
    };
    let call = node.place_calls.register(id);
    let datagram = wire::Datagram {
        body: Some(Body::PlaceAsk(ask)),
    };
    node.send(&datagram.encode_to_vec(), address).await;
    let answer = call.wait(ANSWER_TIMEOUT).await;
    let outcome = match &answer {
        Some(answer) if answer.granted => "granted",
        Some(answer) if answer.lacks => "lacks",
        Some(_) => "busy",
        None => "unanswered",
    };
    metrics::counter!("serve_place_asks_total", "outcome" => outcome).increment(1);
    let Some(answer) = answer else {
        return Admission::Admitted;
    };
    let mut state = node.state();
    if answer.lacks {
        state.fleet.mark_missing(now(), replica, target);
    }
    if let Some(load) = &answer.load {
        load_reports::apply_total(&mut state, now(), load);
    }
    match answer.granted {
        true => Admission::Admitted,
        false => Admission::ChooseAgain,
    }
}

/// Answers another VM that asks about a replica that this VM owns.
pub(in crate::serving) async fn handle_place_ask(node: &Node, ask: &wire::PlaceAsk) {
    let (Ok(name), Ok(vm)) = (ask.replica.parse::<ReplicaName>(), ask.vm.parse::<VmName>()) else {
        return;
    };
    let (answer, address) = {
        let mut state = node.state();
        let state = &mut *state;
        let at = now();
        let Some(address) = state.members.address(&vm) else {
            return;
        };
        // A former owner knows no more about the replica than the VM that asks.
        if state.ownership.owner(&name) != Some(&node.settings.vm) {
            return;
        }
        let reported = state.fleet.total_load(at, &name).unwrap_or_default();
        let residency = state.planner.residency(&name);
        let lacks =
            residency.is_some_and(|r| !r.loaded.keys().any(|t| t.to_string() == ask.target));
        let cost = Load {
            requests: 1,
            tokens: ask.tokens,
            prefill: ask.unread,
        };
        let assumed_ms = ask.believed_ms as f64;
        let total = reported.plus(state.reservations.load(at, &name));
        let speed = state.fleet.prefill_speed(at, &name);
        let granted = !lacks
            && state
                .reservations
                .try_reserve(at, &name, reported, assumed_ms, cost, speed);
        if let Some(target) = Target::parse(&ask.target).filter(|_| granted) {
            state.planner.record_grant(at, &name, &target);
        }
        let answer = wire::PlaceAnswer {
            number: ask.number,
            granted,
            lacks,
            load: load_reports::encode_load(state, at, &name, total),
        };
        (answer, address)
    };
    let datagram = wire::Datagram {
        body: Some(Body::PlaceAnswer(answer)),
    };
    node.send(&datagram.encode_to_vec(), address).await;
}
