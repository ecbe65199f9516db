//! Keeps the ownerships of this VM valid where replicas check no fencing
//! tokens: confirms with the store that the owner table is the newest and
//! informs the other VMs.

use std::rc::Rc;
use std::time::Duration;

use banyangauge_proto as wire;

use crate::ids::VmName;
use crate::pool::Moment;
use crate::serving::cluster::state::NodeState;
use crate::serving::cluster::update::TopicChange;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::store::apply::StoreUpdate;
use crate::serving::store::apply::apply_cluster;
use crate::serving::store::call::CALL_TIMEOUT;
use crate::serving::store::call::CallError;
use crate::serving::store::call::call;
use crate::serving::store::follow;
use crate::serving::store::port::Era;
use crate::serving::store::port::StoreRevision;

/// The interval between checks whether a confirmation is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The pause after a failed confirmation.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The wait of a watch that only returns existing changes.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(1);

/// Confirms the owner table until the process ends.
pub(in crate::serving) async fn renew(node: Rc<Node>) {
    if node.settings.fencing {
        return;
    }
    let mut validity = ValidityLog::default();
    let mut since = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        validity.refresh_acknowledgements(&node);
        if !is_due(&node) {
            continue;
        }
        if let Err(e) = confirm_table(&node, &mut since).await {
            slog::info!(node.log, "owner table not confirmed"; "error" => %e);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Whether this VM should confirm the table itself.
fn is_due(node: &Node) -> bool {
    let state = node.state();
    let at = now();
    let live = state.members.live_vms(at);
    let rank = live.iter().position(|vm| *vm == node.settings.vm);
    state.ownership.should_confirm(at, rank.unwrap_or(0))
}

/// Reads the changes since the last answer and records the confirmation.
async fn confirm_table(node: &Node, since: &mut Option<StoreRevision>) -> Result<(), CallError> {
    let kind = node.codec.kinds.internal;
    let asked = now();
    let era = node.state().store_era();
    // After a failure all is listed, as the store may not have the history since then.
    let revision = match since.take().filter(|s| s.era == era) {
        None => {
            let (items, revision) = follow::list(node, kind, kind).await?;
            apply_cluster(node, &StoreUpdate::List(&items));
            node.state().ownership.confirm(asked, revision.era);
            revision
        }
        Some(from) => {
            let watch = (node.store.watch)(kind, from, MIN_WATCH_WAIT);
            let answer = call(node, CALL_TIMEOUT, watch).await;
            follow::count_call(kind, answer.is_ok());
            let answer = answer?;
            for c in answer.changes {
                let change = TopicChange::new(c.item, c.removed, false);
                apply_cluster(node, &StoreUpdate::Change(&change));
            }
            let answered = answer.revision;
            let mut state = node.state();
            if !state.ownership.confirm_changes(asked, from, answered) {
                return Err(CallError::OtherEra {
                    expected: from.era,
                    answered: answered.era,
                });
            }
            answer.revision.max(from)
        }
    };
    *since = Some(revision);
    Ok(())
}

/// Whether the ownerships were valid at the last check, to log changes.
#[derive(Default)]
struct ValidityLog(bool);

impl ValidityLog {
    /// Sets until when the acknowledgements of the members keep our ownerships
    /// valid, and logs if the validity changed.
    fn refresh_acknowledgements(&mut self, node: &Node) {
        let mut state = node.state();
        let at = now();
        let acknowledged = state
            .members
            .acknowledged_until(&state.ownership.table.members);
        state.ownership.set_acknowledged_until(at, acknowledged);
        let valid = state.ownership.is_valid(at);
        if std::mem::replace(&mut self.0, valid) != valid {
            let age = state.ownership.confirmed().map(|c| at.since(c).as_millis());
            let acknowledged = acknowledged.map(|until| until.since(at).as_millis());
            slog::info!(node.log, "ownership validity changed";
                "holds" => valid, "confirmed_ms" => age,
                "vouched_ms" => acknowledged, "revision" => %state.ownership.revision);
        }
    }
}

/// Returns the acknowledgement of the last beacon of a VM.
pub(in crate::serving) fn echo_for(
    node: &Node,
    state: &NodeState,
    vm: &VmName,
) -> Option<wire::Echo> {
    if node.settings.fencing {
        return None;
    }
    let (incarnation, sent, received_at) = state.members.last_beacon(vm)?;
    Some(wire::Echo {
        incarnation: incarnation.0,
        sent_us: sent.0,
        confirmed_us: state.ownership.confirmation_offset(received_at),
    })
}

/// Records the owner table revision and the acknowledgement in a beacon.
pub(in crate::serving) fn handle_beacon(
    node: &Node,
    state: &mut NodeState,
    at: Moment,
    vm: &VmName,
    beacon: &wire::Beacon,
) {
    let owners = StoreRevision::new(Era(beacon.owners_era), beacon.owners);
    let newer = beacon.owners > 0 && state.ownership.record_peer_revision(at, vm, owners);
    // Where replicas check fencing tokens, the next update of the store is soon
    // enough.
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
        state.ownership.confirm_from_peer(owners, sent, after);
    }
}
