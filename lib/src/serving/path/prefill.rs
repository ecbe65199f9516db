//! Turns for the prefill of long prompts: requesting, granting and ending them.

use std::rc::Rc;
use std::time::Duration;

use banyangauge_proto as wire;
use wire::datagram::Body;

use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::serving::decisions::prefill_turns::MAX_TURN_WAIT;
use crate::serving::decisions::prefill_turns::TurnId;
use crate::serving::path::types::Rank;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::program::node::time_until;

/// How often the task that grants turns runs while no prompt waits. New requests wake it at
/// once, so these passes only drop turns that timed out.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Guard for a requested turn; dropping it notifies the replica's owner that the turn has
/// ended.
pub(in crate::serving) struct PrefillTurn {
    node: Rc<Node>,
    replica: ReplicaName,
    number: u64,
}

/// A long prompt that needs a turn.
#[derive(Clone, Copy, Debug)]
pub(in crate::serving) struct Prompt {
    /// The run's number, unique within the VM.
    pub(in crate::serving) number: u64,
    /// Its length in tokens.
    pub(in crate::serving) tokens: u64,
    /// The rank of its request.
    pub(in crate::serving) rank: Rank,
}

/// Requests a turn from the replica's owner and waits for it.
///
/// Returns `None` if prompts need no turns at present or the replica has no live owner.
/// After `MAX_TURN_WAIT` the prompt is sent without a grant.
pub(in crate::serving) async fn wait_for_turn(
    node: &Rc<Node>,
    replica: &ReplicaName,
    prompt: Prompt,
    deadline: Moment,
) -> Option<PrefillTurn> {
    let at = now();
    let owner = {
        let state = node.state();
        let enabled = node.settings.experiment.is_enabled(Mechanism::PromptTurns);
        let owner = state.ownership.owner(replica).cloned().filter(|_| enabled);
        owner.filter(|vm| state.stall_detector.is_active(at) && state.members.is_live(at, vm))?
    };
    let Prompt { number, tokens, .. } = prompt;
    // Messages tell fewer ranks apart; all VMs' prompts are compared alike.
    let rank = prompt.rank.to_wire();
    let call = node.turn_calls.register(number);
    let turn = PrefillTurn {
        node: node.clone(),
        replica: replica.clone(),
        number,
    };
    if owner == node.settings.vm {
        let id = TurnId { vm: owner, number };
        let rank = Rank::from_wire(rank);
        node.state().turns.request(at, replica, id, rank, tokens);
        node.turns_wake.notify_one();
    } else {
        let ask = wire::TurnAsk {
            vm: node.settings.vm.to_string(),
            number,
            replica: replica.to_string(),
            tokens,
            rank,
        };
        send_message(node, &owner, Body::TurnAsk(ask)).await;
    }
    let end = at.after(MAX_TURN_WAIT).min(deadline);
    if call.wait(time_until(end)).await.is_none() {
        slog::debug!(node.log, "no prefill turn granted in time; sending the prompt";
            "replica" => replica.as_str());
    }
    Some(turn)
}

impl Drop for PrefillTurn {
    fn drop(&mut self) {
        let vm = self.node.settings.vm.clone();
        let owner = self.node.state().ownership.owner(&self.replica).cloned();
        let Some(owner) = owner else {
            return;
        };
        let number = self.number;
        if owner == vm {
            let id = TurnId { vm, number };
            let mut state = self.node.state();
            state.turns.finish(now(), &self.replica, &id);
            drop(state);
            self.node.turns_wake.notify_one();
            return;
        }
        let end = wire::TurnEnd {
            vm: vm.to_string(),
            number,
            replica: self.replica.to_string(),
        };
        let node = self.node.clone();
        tokio::task::spawn_local(
            async move { send_message(&node, &owner, Body::TurnEnd(end)).await },
        );
    }
}

/// Sends a message to another VM, if its address is known.
async fn send_message(node: &Node, vm: &VmName, body: Body) {
    let Some(address) = node.state().members.address(vm) else {
        return;
    };
    node.send_message(body, address).await;
}

/// Grants turns at the replicas that this VM owns, until the process ends.
pub(in crate::serving) async fn grant_turns(node: Rc<Node>) {
    loop {
        let (grants, wake) = {
            let mut state = node.state();
            let state = &mut *state;
            let at = now();
            let speed_of = |name: &ReplicaName| state.fleet.prefill_speed(at, name);
            let grants = state.turns.take_grants(at, speed_of);
            (grants, state.turns.next_wake())
        };
        for (_, id) in grants {
            if id.vm == node.settings.vm {
                node.turn_calls.complete(id.number, ());
                continue;
            }
            let grant = wire::TurnGrant { number: id.number };
            send_message(&node, &id.vm, Body::TurnGrant(grant)).await;
        }
        let wait = wake.map_or(IDLE_INTERVAL, |w| {
            time_until(w).max(Duration::from_millis(1))
        });
        // A wake-up and a time-out both lead to another pass.
        tokio::time::timeout(wait, node.turns_wake.notified())
            .await
            .ok();
    }
}

/// Records another VM's request for a turn at a replica that this VM owns.
pub(in crate::serving) fn handle_turn_ask(node: &Node, ask: &wire::TurnAsk) {
    let (Ok(vm), Ok(replica)) = (ask.vm.parse(), ask.replica.parse()) else {
        return;
    };
    let id = TurnId {
        vm,
        number: ask.number,
    };
    let rank = Rank::from_wire(ask.rank);
    node.state()
        .turns
        .request(now(), &replica, id, rank, ask.tokens);
    node.turns_wake.notify_one();
}

/// Ends the turn of another VM: the engine has read its prompt, or the run has ended.
pub(in crate::serving) fn handle_turn_end(node: &Node, end: &wire::TurnEnd) {
    let (Ok(vm), Ok(replica)) = (end.vm.parse(), end.replica.parse()) else {
        return;
    };
    let id = TurnId {
        vm,
        number: end.number,
    };
    node.state().turns.finish(now(), &replica, &id);
    node.turns_wake.notify_one();
}
