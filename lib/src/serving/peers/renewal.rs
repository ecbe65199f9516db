//! Keeps this VM in office where replicas check no fences: asks the store
//! whether the owner table is still the newest, and tells the others.

use std::rc::Rc;
use std::time::Duration;

use banyangauge_proto as wire;

use crate::ids::VmName;
use crate::platform::PlatformError;
use crate::pool::Moment;
use crate::serving::cluster::state::NodeState;
use crate::serving::cluster::update::TopicChange;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::store::apply::StoreUpdate;
use crate::serving::store::apply::apply_cluster;
use crate::serving::store::follow;
use crate::serving::store::follow::with_timeout;
use crate::serving::store::port::Consistency;

/// How often it is looked whether to ask.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The pause after a question that had no answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// How long the store waits for news before it answers: it is only asked for
/// what is there.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(1);

/// Asks the store as long as the process lives.
pub(in crate::serving) async fn renew(node: Rc<Node>) {
    if node.settings.fencing {
        return;
    }
    let mut office = ValidityLog::default();
    let mut since = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        office.update(&node);
        if !is_due(&node) {
            continue;
        }
        if let Err(e) = confirm_table(&node, &mut since).await {
            slog::info!(node.log, "owners not confirmed"; "error" => %e);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Whether the confirmation is so old that this VM asks itself.
fn is_due(node: &Node) -> bool {
    let state = node.state();
    let at = now();
    let live = state.members.live_vms(at);
    let rank = live.iter().position(|vm| *vm == node.settings.vm);
    state.ownership.should_confirm(at, rank.unwrap_or(0))
}

/// Asks for what changed since the last answer.
async fn confirm_table(node: &Node, since: &mut u64) -> Result<(), PlatformError> {
    let kind = node.border.kinds.internal;
    let asked = now();
    if *since == 0 {
        let (items, revision) = follow::list(node, kind, Consistency::Latest).await?;
        apply_cluster(node, &StoreUpdate::List(&items));
        *since = revision;
    } else {
        let call = (node.store.watch)(kind, *since, MIN_WATCH_WAIT);
        let answer = with_timeout(follow::CALL_TIMEOUT, call).await;
        follow::count_call(kind, answer.is_ok());
        if answer.is_err() {
            *since = 0;
        }
        let answer = answer?;
        let revision = answer.revision;
        for c in answer.changes {
            let told = TopicChange::new(c.item, c.removed, false);
            apply_cluster(node, &StoreUpdate::Change(&told));
        }
        *since = revision.max(*since);
    }
    node.state().ownership.confirm(asked);
    Ok(())
}

/// Whether the VM was in office when it was last looked; a change is worth a
/// line.
#[derive(Default)]
struct ValidityLog(bool);

impl ValidityLog {
    fn update(&mut self, node: &Node) {
        let mut state = node.state();
        let at = now();
        let vouched = state
            .members
            .acknowledged_until(&state.ownership.table.members);
        state.ownership.set_acknowledged_until(at, vouched);
        let holds = state.ownership.is_valid(at);
        if std::mem::replace(&mut self.0, holds) != holds {
            let age = state.ownership.confirmed().map(|c| at.since(c).as_millis());
            let vouched = vouched.map(|until| until.since(at).as_millis());
            slog::info!(node.log, "office"; "holds" => holds, "confirmed_ms" => age,
                "vouched_ms" => vouched, "revision" => state.ownership.revision);
        }
    }
}

/// What is told a VM of its last beacon.
pub(in crate::serving) fn echo_for(
    node: &Node,
    state: &NodeState,
    vm: &VmName,
) -> Option<wire::Echo> {
    if node.settings.fencing {
        return None;
    }
    let (incarnation, sent, heard) = state.members.last_beacon(vm)?;
    Some(wire::Echo {
        incarnation: incarnation.0,
        sent_us: sent.0,
        confirmed_us: state.ownership.confirmation_offset(heard),
    })
}

/// Takes what a beacon says of the owner table and of our own beacons.
pub(in crate::serving) fn handle_beacon(
    node: &Node,
    state: &mut NodeState,
    at: Moment,
    vm: &VmName,
    beacon: &wire::Beacon,
) {
    let newer = beacon.owners > 0 && state.ownership.record_peer_revision(at, vm, beacon.owners);
    // Where replicas check fences the news of the store is soon enough.
    if newer && !node.settings.fencing {
        node.owners_wake.notify_one();
    }
    let Some(echo) = &beacon.echo else {
        return;
    };
    if echo.incarnation != node.incarnation.0 || echo.sent_us > at.0 {
        return;
    }
    let sent = Moment(echo.sent_us);
    state.members.record_echo(vm, sent);
    if let Some(after) = echo.confirmed_us {
        state
            .ownership
            .confirm_from_peer(beacon.owners, sent, after);
    }
}
