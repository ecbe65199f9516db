//! Turns in which replicas read long prompts: asked for, given, ended.

use std::rc::Rc;
use std::time::Duration;

use banyangauge_proto as wire;
use prost::Message;
use wire::datagram::Body;

use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::serving::decisions::turns::LONGEST_WAIT;
use crate::serving::decisions::turns::TurnId;
use crate::serving::peers::beacons;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::program::node::time_until;

/// How long the task that gives turns sleeps without any to give.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// A turn that was asked for; its owner hears of its end when it is dropped.
pub(in crate::serving) struct PrefillTurn {
    node: Rc<Node>,
    replica: ReplicaName,
    number: u64,
}

/// Asks for a turn and waits for it, where prompts take turns and the replica
/// has an owner that lives. After the longest wait the prompt is sent anyway.
pub(in crate::serving) async fn wait_for_turn(
    node: &Rc<Node>,
    replica: &ReplicaName,
    number: u64,
    tokens: u64,
    limit: Moment,
) -> Option<PrefillTurn> {
    let at = now();
    let owner = {
        let b = node.state();
        let turns = node.settings.experiment.is_enabled(Mechanism::PromptTurns);
        let owner = b.ownership.owner(replica).cloned().filter(|_| turns);
        owner.filter(|vm| b.strain.active(at) && b.members.is_live(at, vm))?
    };
    let granted = node.turn_calls.register(number);
    let turn = PrefillTurn {
        node: node.clone(),
        replica: replica.clone(),
        number,
    };
    if owner == node.settings.vm {
        let id = TurnId { vm: owner, number };
        node.state().turns.ask(at, replica, id, tokens);
        node.turns_wake.notify_one();
    } else {
        let ask = wire::TurnAsk {
            vm: node.settings.vm.to_string(),
            number,
            replica: replica.to_string(),
            tokens,
        };
        send_message(node, &owner, Body::TurnAsk(ask)).await;
    }
    let end = at.after(LONGEST_WAIT).min(limit);
    if granted.wait(time_until(end)).await.is_none() {
        slog::debug!(node.log, "no turn in time"; "replica" => replica.as_str());
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
            let mut b = self.node.state();
            b.turns.end(now(), &self.replica, &id);
            drop(b);
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

async fn send_message(node: &Node, vm: &VmName, body: Body) {
    let Some(address) = node.state().members.address(vm) else {
        return;
    };
    let datagram = wire::Datagram { body: Some(body) };
    beacons::send(node, &datagram.encode_to_vec(), address).await;
}

/// Gives turns at our replicas until the process ends.
pub(in crate::serving) async fn grant_turns(node: Rc<Node>) {
    loop {
        let (grants, wake) = {
            let mut b = node.state();
            (b.turns.grants(now()), b.turns.next_wake())
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
        // Woken by news or by time, the turns are looked through anew.
        tokio::time::timeout(wait, node.turns_wake.notified())
            .await
            .ok();
    }
}

/// A VM asks for a turn at one of our replicas.
pub(in crate::serving) fn handle_turn_ask(node: &Node, ask: &wire::TurnAsk) {
    let (Ok(vm), Ok(replica)) = (ask.vm.parse(), ask.replica.parse()) else {
        return;
    };
    let id = TurnId {
        vm,
        number: ask.number,
    };
    node.state().turns.ask(now(), &replica, id, ask.tokens);
    node.turns_wake.notify_one();
}

/// A VM's prompt was read.
pub(in crate::serving) fn handle_turn_end(node: &Node, end: &wire::TurnEnd) {
    let (Ok(vm), Ok(replica)) = (end.vm.parse(), end.replica.parse()) else {
        return;
    };
    let id = TurnId {
        vm,
        number: end.number,
    };
    node.state().turns.end(now(), &replica, &id);
    node.turns_wake.notify_one();
}
