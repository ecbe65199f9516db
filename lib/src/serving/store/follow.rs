//! Follows the stored objects that each VM must know, by polling the store or
//! by updates from the VM that polls it.

use std::rc::Rc;
use std::time::Duration;

use banyangauge_proto as wire;
use serde_json::value::RawValue;

use crate::ids::VmName;
use crate::platform::PlatformError;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::feed::FeedAction;
use crate::serving::cluster::state::NodeState;
use crate::serving::cluster::topic::CALL_MARGIN;
use crate::serving::cluster::topic::PollPolicy;
use crate::serving::cluster::topic::Topic;
use crate::serving::cluster::update::SkippedRange;
use crate::serving::cluster::update::TopicChange;
use crate::serving::cluster::update::TopicUpdate;
use crate::serving::peers::compression::decompress;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::serving::program::node::to_span;
use crate::serving::program::settings::ServeSettings;
use crate::serving::store::apply;
use crate::serving::store::apply::StoreUpdate;
use crate::serving::store::port::Consistency;
use crate::serving::store::port::Item;
use crate::serving::store::port::Page;

/// How often a VM that does not poll checks whether it should.
const IDLE_CHECK_INTERVAL: Span = Span::from_millis(500);

/// The fraction of the drain time after which a VM that polls for itself reads
/// the replicas' entries again at the latest. Some entries change with each
/// heartbeat, so an answer is rarely without changes.
const REPLICA_PAUSE_FRACTION: f64 = 0.75;

/// The fraction of `version_apply` within which all VMs must know a new
/// version. The rest is for the replicas to load it.
const VERSION_FRACTION: f64 = 0.5;

/// The time within which all VMs must know a change of owners. Beacons show
/// which VMs are alive, and until the change is known an adapter can be loaded
/// at another replica.
const CLUSTER_STALENESS: Span = Span::from_millis(6_000);

/// The maximum age of a VM's last beacon for which it is sent a witness.
const WITNESS_WINDOW: Span = Span::from_millis(4_000);

/// Returns how a topic is polled.
pub(in crate::serving) fn poll_policy(settings: &ServeSettings, topic: Topic) -> PollPolicy {
    let millis = Duration::from_millis;
    match topic {
        Topic::Config => PollPolicy {
            max_staleness: to_span(settings.config_apply),
            max_solo_wait: millis(4_500),
            // Less than the time for a version to take effect, and more than
            // the pause between changes in a burst.
            solo_pause: millis(250),
            shared_pause: millis(150),
            has_removals: false,
        },
        Topic::Replicas => PollPolicy {
            max_staleness: to_span(settings.drain),
            max_solo_wait: millis(4_000),
            solo_pause: settings.drain.mul_f64(REPLICA_PAUSE_FRACTION),
            shared_pause: millis(400),
            has_removals: true,
        },
        Topic::Versions => PollPolicy {
            max_staleness: to_span(settings.version_apply.mul_f64(VERSION_FRACTION)),
            max_solo_wait: millis(8_000),
            // Versions are announced by the dozen.
            solo_pause: millis(1_000),
            shared_pause: millis(250),
            has_removals: false,
        },
        Topic::Cluster => PollPolicy {
            max_staleness: CLUSTER_STALENESS,
            max_solo_wait: millis(15_000),
            solo_pause: millis(600),
            shared_pause: millis(300),
            has_removals: true,
        },
    }
}

/// Returns the name of a topic's kind in the store.
fn store_kind(node: &Node, topic: Topic) -> &'static str {
    let kinds = node.codec.kinds;
    match topic {
        Topic::Config => kinds.config,
        Topic::Replicas => kinds.replicas,
        Topic::Versions => kinds.versions,
        Topic::Cluster => kinds.internal,
    }
}

/// Applies an update of a topic. Returns whether to share it with other VMs.
fn apply_update(node: &Node, topic: Topic, update: &StoreUpdate<'_>) -> bool {
    match topic {
        Topic::Config => apply::apply_config(node, update),
        Topic::Replicas => apply::apply_replicas(node, update),
        Topic::Versions => apply::apply_versions(node, update),
        Topic::Cluster => apply::apply_cluster(node, update),
    }
}

/// Follows a topic until the process ends.
pub(in crate::serving) async fn follow(node: Rc<Node>, topic: Topic) {
    loop {
        let at = now();
        let (next, rank) = {
            let mut state = node.state();
            let rank = state.poll_rank(at, &node.settings, topic);
            let proof = topic == Topic::Config && state.proof_due(at, rank);
            match state.feeds.get(topic).next_action(at, rank) {
                FeedAction::Wait(_) if proof => (FeedAction::List, rank),
                next => (next, rank),
            }
        };
        let outcome = match next {
            FeedAction::Wait(until) => {
                let until = until.min(at.after(IDLE_CHECK_INTERVAL));
                let woken =
                    tokio::time::timeout_at(to_instant(until), node.catch_up_wake.notified());
                woken.await.ok();
                continue;
            }
            FeedAction::List => sync_by_list(&node, topic).await.map(|()| false),
            FeedAction::Watch(wait) => sync_by_watch(&node, topic, rank, wait).await,
        };
        match outcome {
            Ok(true) => {
                let pause = node.state().feeds.get(topic).pause(rank);
                tokio::time::sleep(pause).await;
            }
            Ok(false) => {}
            Err(e) => log_failure(&node, topic, rank, &e),
        }
    }
}

/// Logs and records a failed call to the store. If the store no longer has the
/// history needed, the topic is listed next.
fn log_failure(node: &Node, topic: Topic, rank: Option<u64>, e: &PlatformError) {
    let mut state = node.state();
    let feed = state.feeds.get(topic);
    if matches!(e, PlatformError::Expired) {
        feed.mark_history_expired();
        slog::info!(node.log, "store history expired, listing again";
            "kind" => store_kind(node, topic),
            "revision" => feed.revision());
        return;
    }
    if !feed.is_failing() {
        slog::warn!(node.log, "store lost"; "kind" => store_kind(node, topic), "error" => %e,
            "revision" => feed.revision(), "rank" => rank);
    }
    feed.record_failure(now(), rank);
}

fn log_recovery(node: &Node, topic: Topic, was_failing: bool, revision: u64) {
    if was_failing {
        slog::info!(node.log, "store regained"; "kind" => store_kind(node, topic),
            "revision" => revision);
    }
}

/// Lists all objects of a topic and applies the changes.
async fn sync_by_list(node: &Node, topic: Topic) -> Result<(), PlatformError> {
    let asked = now();
    let first = node.state().feeds.get(topic).age(asked).is_none();
    // A first list may be stale, as the changes since then follow by watch or
    // from other VMs. There are two exceptions: without fencing, no ownership
    // is valid before the owner table is known to be the newest, and a stale
    // list stopped all loads for 3 s after all VMs lost power; and no caller is
    // admitted by keys that may have been revoked.
    let must_prove = match topic {
        Topic::Cluster => !node.settings.fencing,
        Topic::Config => node.settings.key_revocation.is_some(),
        Topic::Replicas | Topic::Versions => false,
    };
    let may_be_old = first && !must_prove;
    let consistency = match may_be_old {
        true => Consistency::BoundedStale,
        false => Consistency::Latest,
    };
    let (items, revision) = list(node, store_kind(node, topic), consistency).await?;
    let (was_failing, changes) = {
        let mut state = node.state();
        let feed = state.feeds.get(topic);
        let was_failing = feed.is_failing();
        (was_failing, feed.apply_list(now(), asked, revision, &items))
    };
    let newest = items.iter().map(|i| i.revision).max();
    slog::info!(node.log, "store objects listed";
        "kind" => store_kind(node, topic), "count" => items.len(),
        "revision" => revision, "newest" => newest, "first" => first);
    log_recovery(node, topic, was_failing, revision);
    if first {
        apply_update(node, topic, &StoreUpdate::List(&items));
    }
    apply_changes(node, topic, changes);
    if consistency == Consistency::Latest {
        confirm_ownership(node, topic, asked);
        if topic == Topic::Config {
            node.state().recency.confirm_list(asked);
        }
    }
    node.placement_wake.notify_waiters();
    Ok(())
}

/// Watches a topic and applies the changes. Returns whether there were any.
///
/// `rank` is the position of this VM in the polling order of the topic, or `None` if
/// each VM polls for itself. In that order only the first polls regularly: a poll
/// by a later one is logged, as the updates that it should have received are overdue.
async fn sync_by_watch(
    node: &Node,
    topic: Topic,
    rank: Option<u64>,
    wait: Duration,
) -> Result<bool, PlatformError> {
    let asked = now();
    let kind = store_kind(node, topic);
    let revision = {
        let mut state = node.state();
        let feed = state.feeds.get(topic);
        if rank.is_some_and(|rank| rank > 0) {
            slog::info!(node.log, "store updates overdue, polling the store";
                "kind" => kind, "revision" => feed.revision(),
                "age_ms" => feed.age(asked).map(Span::as_millis), "missed" => feed.has_gap(),
                "rank" => rank);
        }
        feed.revision()
    };
    // The store accepts whole milliseconds, at least one.
    let wait = Duration::from_millis(wait.as_millis().max(1) as u64);
    let call = (node.store.watch)(kind, revision, wait);
    let answer = with_timeout(wait + CALL_MARGIN, call).await;
    count_call(kind, answer.is_ok());
    let answer = answer?;
    log_unreadable(node, kind, answer.unreadable);
    let changes = answer.changes.into_iter().map(|c| (c.item, c.removed));
    let changes: Vec<_> = changes.collect();
    let has_changes = !changes.is_empty();
    let (was_failing, changes) = {
        let mut state = node.state();
        let feed = state.feeds.get(topic);
        let was_failing = feed.is_failing();
        let revision = answer.revision;
        (
            was_failing,
            feed.apply_changes(now(), asked, wait, revision, changes),
        )
    };
    log_recovery(node, topic, was_failing, answer.revision);
    apply_changes(node, topic, changes);
    confirm_ownership(node, topic, asked);
    if topic == Topic::Config {
        let waited = if has_changes { Duration::ZERO } else { wait };
        node.state().recency.confirm_watch(asked, to_span(waited));
    }
    if has_changes {
        node.placement_wake.notify_waiters();
    }
    Ok(has_changes)
}

/// Applies changes that this VM read from the store, and shares those that
/// other VMs need.
fn apply_changes(node: &Node, topic: Topic, changes: Vec<TopicChange>) {
    for change in changes {
        if change.removed && !change.missing_after_outage && topic == Topic::Replicas {
            apply::announce_leaving(node, &change);
        }
        let update = StoreUpdate::Change(&change);
        if apply_update(node, topic, &update) {
            if !change.removed && topic == Topic::Replicas {
                apply::announce_leaving(node, &change);
            }
            node.state().feeds.get(topic).share(now(), change);
        }
    }
}

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
            // With an unknown delay the update may be of any age.
            let delay = state.members.beacon_delay(vm);
            let age = delay.map_or(u64::MAX, |d| d.0.saturating_add(message.age_us));
            let changes: Option<Vec<_>> = message.changes.iter().map(decode_change).collect();
            let update = TopicUpdate {
                revision: message.revision,
                as_of: Moment(at.0.saturating_sub(age)),
                // Changes that cannot be decoded count as missed.
                since: changes.as_ref().map_or(message.revision, |_| message.since),
                changes: changes.unwrap_or_default(),
            };
            let feed = state.feeds.get(topic);
            let before = feed.has_gap();
            let skipped = SkippedRange {
                last_before: message.blind_from,
                first_after: message.blind_to,
            };
            let changes = match message.blind_to {
                0 => feed.apply_update(at, update),
                _ => feed.apply_update_over(at, update, skipped),
            };
            if feed.has_gap() && !before {
                slog::info!(node.log, "store updates missed"; "kind" => store_kind(node, topic),
                    "revision" => feed.revision(), "since" => message.since,
                    "told_by" => vm.as_str());
                node.catch_up_wake.notify_waiters();
            }
            changes
        };
        for change in &changes {
            apply_update(node, topic, &StoreUpdate::Change(change));
        }
        if topic == Topic::Config {
            apply_witnesses(node, &mut node.state(), at, message);
        }
        if !changes.is_empty() {
            node.placement_wake.notify_waiters();
        }
    }
}

fn decode_change(change: &wire::StoreChange) -> Option<TopicChange> {
    let spec = RawValue::from_string(decompress(&change.spec)?).ok()?;
    Some(TopicChange {
        item: Item {
            name: change.name.clone(),
            revision: change.revision,
            spec,
        },
        removed: change.removed,
        missing_after_outage: change.lapsed,
        compressed: change.spec.to_vec(),
    })
}

/// Returns the updates to send to other VMs.
pub(in crate::serving) fn outgoing_updates(
    node: &Node,
    state: &mut NodeState,
    at: Moment,
) -> Vec<wire::StoreNews> {
    let update = |topic: Topic| {
        let rank = state.poll_rank(at, &node.settings, topic);
        let feed = state.feeds.get(topic);
        let update = feed.outgoing_update(at, rank)?;
        let skipped = feed.skipped();
        let changes = update.changes.into_iter().map(|c| wire::StoreChange {
            name: c.item.name,
            revision: c.item.revision,
            spec: c.compressed.into(),
            removed: c.removed,
            lapsed: c.missing_after_outage,
        });
        Some(wire::StoreNews {
            topic: topic.number(),
            revision: update.revision,
            age_us: at.since(update.as_of).0,
            since: update.since,
            changes: changes.collect(),
            blind_from: skipped.map_or(0, |r| r.last_before),
            blind_to: skipped.map_or(0, |r| r.first_after),
            witnesses: Vec::new(),
        })
    };
    let mut all: Vec<_> = Topic::ALL.into_iter().filter_map(update).collect();
    let config = all.iter_mut().find(|n| n.topic == Topic::Config.number());
    if let Some(message) = config
        && node.settings.key_revocation.is_some()
        && node.settings.experiment.is_enabled(Mechanism::KeyWitnesses)
    {
        message.witnesses = witnesses(state, at);
    }
    all
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

/// Applies the witnesses from another VM. That VM must not know a newer
/// revision than this one does.
fn apply_witnesses(node: &Node, state: &mut NodeState, at: Moment, message: &wire::StoreNews) {
    if state.feeds.get(Topic::Config).revision() < message.revision {
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

/// Records that the objects of a topic were confirmed to be the newest as of
/// `asked`.
fn confirm_ownership(node: &Node, topic: Topic, asked: Moment) {
    if topic == Topic::Cluster {
        node.state().ownership.confirm(asked);
    }
}

/// Lists all objects of a kind.
pub(in crate::serving) async fn list(
    node: &Node,
    kind: &'static str,
    consistency: Consistency,
) -> Result<(Vec<Item>, u64), PlatformError> {
    let mut list = list_page(node, kind, None, consistency).await?;
    while list.more {
        let after = list.items.last().map(|i| i.name.clone());
        let page = list_page(node, kind, after.as_deref(), consistency).await?;
        let empty = page.items.is_empty();
        list.append(page);
        if empty {
            break;
        }
    }
    Ok((list.items, list.revision))
}

async fn list_page(
    node: &Node,
    kind: &'static str,
    after: Option<&str>,
    consistency: Consistency,
) -> Result<Page, PlatformError> {
    let page = with_timeout(CALL_MARGIN, (node.store.list)(kind, after, consistency)).await;
    count_call(kind, page.is_ok());
    let page = page?;
    log_unreadable(node, kind, page.unreadable);
    Ok(page)
}

/// Logs objects that could not be decoded. They are skipped, and the others
/// apply.
fn log_unreadable(node: &Node, kind: &str, count: usize) {
    if count > 0 {
        slog::warn!(node.log, "store objects not decoded"; "kind" => kind, "count" => count);
    }
}

pub(in crate::serving) fn count_call(kind: &'static str, done: bool) {
    let outcome = if done { "done" } else { "failed" };
    metrics::counter!("serve_store_calls_total", "kind" => kind, "outcome" => outcome).increment(1);
}

/// Limits the duration of a call. After a timeout its effect is unknown.
pub(in crate::serving) async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let timed_out = || PlatformError::Lost(format!("no answer within {} ms", timeout.as_millis()));
    tokio::time::timeout(timeout, call)
        .await
        .map_err(|_| timed_out())?
}

/// The timeout of a call that does not wait for changes.
pub(in crate::serving) const CALL_TIMEOUT: Duration = CALL_MARGIN;

/// Removes the replicas whose entries did not come back after an outage of the
/// store.
pub(in crate::serving) fn drop_expired(node: &Node) {
    let gone = node.state().fleet.remove_expired(now());
    for name in gone {
        slog::info!(node.log, "replica gone"; "replica" => name.as_str(), "why" => "lapsed");
    }
}
