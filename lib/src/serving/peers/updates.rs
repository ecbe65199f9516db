//! Store updates between VMs: the messages that carry changes and proofs of their age.

use banyangauge_proto as wire;
use serde_json::value::RawValue;

use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::recency::reader_id;
use crate::serving::cluster::sharing::UpdateBudget;
use crate::serving::cluster::sharing::share_updates;
use crate::serving::cluster::state::NodeState;
use crate::serving::cluster::topic::Topic;
use crate::serving::cluster::update::SkippedRange;
use crate::serving::cluster::update::TopicChange;
use crate::serving::cluster::update::TopicUpdate;
use crate::serving::peers::compression::decompress;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::program::node::to_span;
use crate::serving::store::apply::StoreUpdate;
use crate::serving::store::follow::apply_update;
use crate::serving::store::follow::log_replaced;
use crate::serving::store::follow::store_kind;
use crate::serving::store::port::Era;
use crate::serving::store::port::Item;
use crate::serving::store::port::StoreRevision;

/// The maximum age of a VM's last beacon for which it is sent a witness.
const WITNESS_WINDOW: Span = Span::from_millis(4_000);

/// Applies the updates in another VM's beacon.
pub(in crate::serving) fn apply_updates(
    node: &Node,
    at: Moment,
    messages: &[wire::StoreNews],
    vm: &VmName,
) {
    for message in messages {
        let Some(topic) = Topic::from_number(message.topic) else {
            continue;
        };
        let changes = {
            let mut state = node.state();
            let era = Era(message.era);
            // With an unknown delay the update may be of any age.
            let delay = state.members.beacon_delay(vm);
            let age = delay.map_or(u64::MAX, |d| d.0.saturating_add(message.age_us));
            let changes = message.changes.iter().map(|c| decode_change(c, era));
            let changes: Option<Vec<_>> = changes.collect();
            let revision = StoreRevision::new(era, message.revision);
            let since = StoreRevision::new(Era(message.since_era), message.since);
            let update = TopicUpdate {
                revision,
                as_of: Moment(at.0.saturating_sub(age)),
                // Changes that cannot be decoded count as missed.
                since: changes.as_ref().map_or(revision, |_| since),
                changes: changes.unwrap_or_default(),
            };
            let feed = state.feeds.get(topic);
            let (old, before) = (feed.revision(), feed.has_gap());
            let skipped = SkippedRange {
                last_before: StoreRevision::new(Era(message.blind_from_era), message.blind_from),
                first_after: StoreRevision::new(era, message.blind_to),
            };
            let changes = match message.blind_to {
                0 => feed.apply_update(at, update),
                _ => feed.apply_update_over(at, update, skipped),
            };
            if feed.has_gap() && !before {
                slog::info!(node.log, "store updates missed"; "kind" => store_kind(node, topic),
                    "revision" => %feed.revision(), "since" => %since,
                    "told_by" => vm.as_str());
                node.catch_up_wake.notify_waiters();
            }
            drop(state);
            log_replaced(node, topic, old, &changes);
            changes
        };
        for change in &changes {
            apply_update(node, topic, &StoreUpdate::Change(change));
        }
        mark_cluster_read(node, topic);
        node.state().prove_builds(to_span(node.settings.drain));
        if topic == Topic::Config {
            apply_witnesses(node, &mut node.state(), at, message);
        }
        if !changes.is_empty() {
            node.placement_wake.notify_waiters();
        }
    }
}

/// Records in which era the owner table is known, after an update that may have brought
/// this VM there.
fn mark_cluster_read(node: &Node, topic: Topic) {
    if topic != Topic::Cluster {
        return;
    }
    let mut state = node.state();
    let feed = state.feeds.get(topic);
    if feed.age(now()).is_some() && !feed.is_outdated() {
        let era = feed.revision().era;
        state.ownership.mark_read(era, true);
    }
}

fn decode_change(change: &wire::StoreChange, era: Era) -> Option<TopicChange> {
    let spec = RawValue::from_string(decompress(&change.spec)?).ok()?;
    Some(TopicChange {
        item: Item {
            name: change.name.clone(),
            revision: StoreRevision::new(era, change.revision),
            spec,
        },
        removed: change.removed,
        missing_after_outage: change.lapsed,
        copied: change.copied,
        compressed: change.spec.to_vec(),
    })
}

/// Returns the updates for VMs that do not state what they know.
pub(in crate::serving) fn outgoing_updates(
    node: &Node,
    state: &mut NodeState,
    at: Moment,
) -> Vec<wire::StoreNews> {
    let update = |topic: Topic| {
        let rank = state.poll_rank(at, &node.settings, topic);
        let update = state.feeds.get(topic).outgoing_update(at, rank)?;
        Some(encode_update(node, state, at, topic, update))
    };
    let mut updates: Vec<_> = Topic::ALL.into_iter().filter_map(update).collect();
    if let Some(config) = proven_update(node, &mut updates) {
        config.witnesses = witnesses(state, at);
    }
    updates
}

/// Returns the updates for each of the VMs that state what they know, in their order. The
/// topics come in the order of their importance, as the budget may not suffice for all.
pub(in crate::serving) fn peer_updates(
    node: &Node,
    state: &mut NodeState,
    at: Moment,
    vms: &[&VmName],
    mut budget: UpdateBudget,
) -> Vec<Vec<wire::StoreNews>> {
    let mut messages = vec![Vec::new(); vms.len()];
    for topic in Topic::ALL {
        let rank = state.poll_rank(at, &node.settings, topic);
        let knowledge = vms.iter().map(|vm| *state.members.knowledge(vm, topic));
        let mut knowledge: Vec<_> = knowledge.collect();
        let feed = state.feeds.get(topic);
        let updates = share_updates(feed, at, rank, &mut knowledge, &mut budget);
        for (vm, known) in vms.iter().zip(knowledge) {
            *state.members.knowledge(vm, topic) = known;
        }
        for (messages, update) in messages.iter_mut().zip(updates) {
            messages.extend(update.map(|u| encode_update(node, state, at, topic, u)));
        }
    }
    messages
}

/// Encodes an update of a topic.
fn encode_update(
    node: &Node,
    state: &mut NodeState,
    at: Moment,
    topic: Topic,
    update: TopicUpdate,
) -> wire::StoreNews {
    let bytes: usize = update.changes.iter().map(|c| c.compressed.len()).sum();
    if bytes > 0 {
        metrics::counter!("serve_update_bytes_total", "kind" => store_kind(node, topic))
            .increment(bytes as u64);
    }
    let skipped = state.feeds.get(topic).skipped();
    let changes = update.changes.into_iter().map(|c| wire::StoreChange {
        name: c.item.name,
        revision: c.item.revision.number,
        spec: c.compressed.into(),
        removed: c.removed,
        lapsed: c.missing_after_outage,
        copied: c.copied,
    });
    wire::StoreNews {
        topic: topic.number(),
        revision: update.revision.number,
        age_us: at.since(update.as_of).0,
        since: update.since.number,
        changes: changes.collect(),
        blind_from: skipped.map_or(0, |r| r.last_before.number),
        blind_to: skipped.map_or(0, |r| r.first_after.number),
        witnesses: Vec::new(),
        era: update.revision.era.0,
        since_era: update.since.era.0,
        blind_from_era: skipped.map_or(0, |r| r.last_before.era.0),
    }
}

/// Returns the update of the configuration among `updates`, if keys depend on proofs of its age.
fn proven_update<'a>(
    node: &Node,
    updates: &'a mut [wire::StoreNews],
) -> Option<&'a mut wire::StoreNews> {
    let proves = node.settings.key_revocation.is_some()
        && node.settings.experiment.is_enabled(Mechanism::KeyWitnesses);
    let mut updates = updates.iter_mut().filter(|_| proves);
    updates.find(|n| n.topic == Topic::Config.number())
}

/// Adds to the update for each of the VMs the proof of the configuration's age that is meant
/// for it.
pub(in crate::serving) fn add_own_witnesses(
    node: &Node,
    state: &mut NodeState,
    at: Moment,
    vms: &[&VmName],
    updates: &mut [Vec<wire::StoreNews>],
) {
    let mut proven: Vec<_> = vms
        .iter()
        .zip(updates)
        .filter_map(|(vm, updates)| Some((*vm, proven_update(node, updates)?)))
        .collect();
    if proven.is_empty() {
        return;
    }
    let all = witnesses(state, at);
    for (vm, update) in &mut proven {
        let beacon = state.members.last_beacon(vm);
        let reader = beacon.map(|(incarnation, ..)| reader_id(vm, incarnation));
        let own = all.iter().filter(|w| Some(w.reader) == reader);
        update.witnesses = own.cloned().collect();
    }
}

/// Returns the revisions up to which this VM knows all changes, by topic, for a beacon of
/// the latest known era.
pub(in crate::serving) fn known_revisions(state: &mut NodeState) -> Vec<u64> {
    let era = state.store_era();
    let known = Topic::ALL.map(|topic| {
        let revision = state.feeds.get(topic).revision();
        if revision.era == era {
            revision.number
        } else {
            0
        }
    });
    known.to_vec()
}

/// Records the revisions that another VM states to know.
pub(in crate::serving) fn record_known(state: &mut NodeState, vm: &VmName, beacon: &wire::Beacon) {
    for (topic, number) in Topic::ALL.into_iter().zip(&beacon.known) {
        let revision = StoreRevision::new(Era(beacon.era), *number);
        let revision = Some(revision).filter(|r| r.number > 0);
        state.members.knowledge(vm, topic).state(revision);
    }
}

/// Returns the witnesses for the next update: for each VM a proof of when the
/// configuration, and with it the API keys, was the newest.
fn witnesses(state: &mut NodeState, at: Moment) -> Vec<wire::Witness> {
    let beacons = state.members.recent_beacons(at, WITNESS_WINDOW);
    let chosen = state
        .witnesses
        .next_batch(&state.recency, beacons)
        .into_iter();
    chosen
        .map(|w| wire::Witness {
            reader: w.reader,
            sent_us: w.sent.0,
            after_us: w.after_us,
        })
        .collect()
}

/// Applies the witnesses from another VM. That VM must not know a newer revision than
/// this one does, or one of another era.
fn apply_witnesses(node: &Node, state: &mut NodeState, at: Moment, message: &wire::StoreNews) {
    let known = state.feeds.get(Topic::Config).revision();
    if known.era.0 != message.era || known.number < message.revision {
        return;
    }
    for w in &message.witnesses {
        if w.reader == node.reader_id && w.sent_us <= at.0 {
            state
                .recency
                .confirm_witness(at, Moment(w.sent_us), w.after_us);
        }
    }
}
