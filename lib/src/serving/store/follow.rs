//! Follows the stored objects that each VM must know, by polling the store or
//! by updates from the VM that polls it.

use std::rc::Rc;
use std::time::Duration;

use crate::platform::PlatformError;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::feed::FeedAction;
use crate::serving::cluster::topic::CALL_MARGIN;
use crate::serving::cluster::topic::PollPolicy;
use crate::serving::cluster::topic::Topic;
use crate::serving::cluster::update::TopicChange;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::serving::program::node::to_span;
use crate::serving::program::settings::ServeSettings;
use crate::serving::store::apply;
use crate::serving::store::apply::OWNER_TABLE;
use crate::serving::store::apply::StoreUpdate;
use crate::serving::store::call::CALL_TIMEOUT;
use crate::serving::store::call::CallError;
use crate::serving::store::call::call;
use crate::serving::store::call::expect_era;
use crate::serving::store::port::Era;
use crate::serving::store::port::Item;
use crate::serving::store::port::Page;
use crate::serving::store::port::StoreRevision;
use crate::serving::store::streams;

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

/// The renewals that an entry misses before it lapses, less the one that may have been due
/// right before the store went away.
const LAPSED_HEARTBEATS: u32 = 2;

/// Returns how a topic is polled.
pub(in crate::serving) fn poll_policy(settings: &ServeSettings, topic: Topic) -> PollPolicy {
    let millis = Duration::from_millis;
    let lapse_time = to_span(settings.heartbeat.saturating_mul(LAPSED_HEARTBEATS));
    match topic {
        Topic::Config => PollPolicy {
            max_staleness: to_span(settings.config_apply),
            max_solo_wait: millis(4_500),
            // Less than the time for a version to take effect, and more than
            // the pause between changes in a burst.
            solo_pause: millis(250),
            shared_pause: millis(150),
            has_removals: false,
            lapse_time,
        },
        Topic::Replicas => PollPolicy {
            max_staleness: to_span(settings.drain),
            max_solo_wait: millis(4_000),
            solo_pause: settings.drain.mul_f64(REPLICA_PAUSE_FRACTION),
            shared_pause: millis(400),
            has_removals: true,
            lapse_time,
        },
        Topic::Versions => PollPolicy {
            max_staleness: to_span(settings.version_apply.mul_f64(VERSION_FRACTION)),
            max_solo_wait: millis(8_000),
            // Versions are announced by the dozen.
            solo_pause: millis(1_000),
            shared_pause: millis(250),
            has_removals: false,
            lapse_time,
        },
        Topic::Cluster => PollPolicy {
            max_staleness: CLUSTER_STALENESS,
            max_solo_wait: millis(15_000),
            solo_pause: millis(600),
            shared_pause: millis(300),
            has_removals: true,
            lapse_time,
        },
    }
}

/// Returns the name of a topic's kind in the store.
pub(in crate::serving) fn store_kind(node: &Node, topic: Topic) -> &'static str {
    let kinds = node.codec.kinds;
    match topic {
        Topic::Config => kinds.config,
        Topic::Replicas => kinds.replicas,
        Topic::Versions => kinds.versions,
        Topic::Cluster => kinds.internal,
    }
}

/// Applies an update of a topic. Returns whether to share it with other VMs.
pub(in crate::serving) fn apply_update(
    node: &Node,
    topic: Topic,
    update: &StoreUpdate<'_>,
) -> bool {
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
/// history needed, or this VM could not read it, the topic is listed next.
fn log_failure(node: &Node, topic: Topic, rank: Option<u64>, e: &CallError) {
    let mut state = node.state();
    let feed = state.feeds.get(topic);
    if let CallError::OtherEra { .. } = e {
        slog::info!(node.log, "answer of another store era dropped";
            "kind" => store_kind(node, topic), "error" => %e,
            "revision" => %feed.revision());
        feed.record_failure(now(), rank);
        return;
    }
    let is_expired = matches!(e, CallError::Failed(PlatformError::Expired));
    let is_too_large = matches!(
        e,
        CallError::Failed(PlatformError::ResponseTooLarge(_)) | CallError::Stalled(_)
    );
    if is_expired || is_too_large {
        feed.mark_history_expired();
        // A list is as large as the objects, and a watch as all changes since the last answer.
        let why = if is_expired { "expired" } else { "too large" };
        slog::info!(node.log, "store history not read, listing again";
            "kind" => store_kind(node, topic), "why" => why, "error" => %e,
            "revision" => %feed.revision());
        if matches!(e, CallError::Stalled(_)) {
            feed.record_failure(now(), rank);
        }
        return;
    }
    if !feed.is_failing() {
        slog::warn!(node.log, "store lost"; "kind" => store_kind(node, topic), "error" => %e,
            "revision" => %feed.revision(), "rank" => rank);
    }
    feed.record_failure(now(), rank);
}

fn log_recovery(node: &Node, topic: Topic, was_failing: bool, revision: StoreRevision) {
    if was_failing {
        slog::info!(node.log, "store regained"; "kind" => store_kind(node, topic),
            "revision" => %revision);
    }
}

/// Logs that the state of a topic was replaced by that of a later era.
pub(in crate::serving) fn log_replaced(
    node: &Node,
    topic: Topic,
    old: StoreRevision,
    changes: &[TopicChange],
) {
    let mut state = node.state();
    let revision = state.feeds.get(topic).revision();
    let Some((era, since)) = state.era.filter(|_| old.era < revision.era) else {
        return;
    };
    drop(state);
    let missing = changes.iter().filter(|c| c.removed);
    let missing: Vec<_> = missing.map(|c| c.item.name.as_str()).collect();
    slog::info!(node.log, "store objects replaced after a restore";
        "kind" => store_kind(node, topic), "era" => era.0,
        "old_revision" => %old, "revision" => %revision,
        "missing" => missing.join(" "), "took_ms" => now().since(since).as_millis());
}

/// Lists all objects of a topic and applies the changes.
async fn sync_by_list(node: &Node, topic: Topic) -> Result<(), CallError> {
    let asked = now();
    let first = node.state().feeds.get(topic).age(asked).is_none();
    let kind = store_kind(node, topic);
    let (items, revision) = list(node, kind, kind).await?;
    let (old, was_failing, changes) = {
        let mut state = node.state();
        let feed = state.feeds.get(topic);
        let (old, was_failing) = (feed.revision(), feed.is_failing());
        let changes = feed.apply_list(now(), asked, revision, &items);
        (old, was_failing, changes)
    };
    let newest = items.iter().map(|i| i.revision).max();
    slog::info!(node.log, "store objects listed";
        "kind" => kind, "count" => items.len(),
        "revision" => %revision, "newest" => newest.map(|n| n.to_string()), "first" => first);
    log_recovery(node, topic, was_failing, revision);
    if first {
        apply_update(node, topic, &StoreUpdate::List(&items));
    } else {
        log_replaced(node, topic, old, &changes);
    }
    apply_changes(node, topic, changes);
    if topic == Topic::Cluster {
        let found = items.iter().any(|i| i.name == OWNER_TABLE);
        node.state().ownership.mark_read(revision.era, found);
        streams::mark_listed(node, revision.era, &items);
    }
    confirm_ownership(node, topic, asked, revision.era);
    node.state().prove_builds(to_span(node.settings.drain));
    if topic == Topic::Config {
        node.state().recency.confirm_list(asked);
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
) -> Result<bool, CallError> {
    let asked = now();
    let kind = store_kind(node, topic);
    let revision = {
        let mut state = node.state();
        let feed = state.feeds.get(topic);
        if rank.is_some_and(|rank| rank > 0) {
            slog::info!(node.log, "store updates overdue, polling the store";
                "kind" => kind, "revision" => %feed.revision(),
                "age_ms" => feed.age(asked).map(Span::as_millis), "missed" => feed.has_gap(),
                "rank" => rank);
        }
        feed.revision()
    };
    // The store accepts whole milliseconds, at least one.
    let wait = Duration::from_millis(wait.as_millis().max(1) as u64);
    let restored = node.restore_wake.notified();
    let watch = (node.store.watch)(kind, revision, wait);
    let answer = tokio::select! {
        answer = call(node, wait + CALL_MARGIN, watch) => answer,
        // A list replaces the state.
        () = restored => return Ok(false),
    };
    count_call(kind, answer.is_ok());
    let answer = answer?;
    if answer.revision.era != revision.era {
        // The revision was given out again, and what follows it now is another
        // history: a list replaces the state.
        return Ok(false);
    }
    log_unreadable(node, kind, answer.unreadable);
    if answer.unreadable > 0 {
        // Any object may have changed, and only a list tells which ones are left.
        node.state().feeds.get(topic).mark_history_expired();
        return Ok(true);
    }
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
    confirm_ownership(node, topic, asked, answer.revision.era);
    node.state().prove_builds(to_span(node.settings.drain));
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

/// Records that the objects of a topic were confirmed to be the newest as of
/// `asked`, in an era.
fn confirm_ownership(node: &Node, topic: Topic, asked: Moment, era: Era) {
    if topic == Topic::Cluster {
        node.state().ownership.confirm(asked, era);
    }
}

/// Lists all objects of a kind; all pages are of one era. The calls are counted as of `label`.
pub(in crate::serving) async fn list(
    node: &Node,
    kind: &str,
    label: &'static str,
) -> Result<(Vec<Item>, StoreRevision), CallError> {
    let mut list = list_page(node, kind, label, None).await?;
    while list.more {
        let after = list.items.last().map(|i| i.name.clone());
        let page = list_page(node, kind, label, after.as_deref()).await?;
        expect_era(node, list.revision.era)?;
        list.append(page);
    }
    Ok((list.items, list.revision))
}

async fn list_page(
    node: &Node,
    kind: &str,
    label: &'static str,
    after: Option<&str>,
) -> Result<Page, CallError> {
    let page = call(node, CALL_TIMEOUT, (node.store.list)(kind, after)).await;
    count_call(label, page.is_ok());
    let page = page?;
    log_unreadable(node, kind, page.unreadable);
    if page.more && page.items.is_empty() {
        // The list would replace the state without the objects of the further pages.
        let error = format!(
            "a page of `{kind}` names none of its {} objects",
            page.unreadable
        );
        return Err(PlatformError::Malformed(error).into());
    }
    Ok(page)
}

/// Logs objects whose names could not be decoded. They are skipped, and the others
/// apply.
fn log_unreadable(node: &Node, kind: &str, count: usize) {
    if count > 0 {
        slog::warn!(node.log, "names of store objects not decoded"; "kind" => kind, "count" => count);
    }
}

pub(in crate::serving) fn count_call(kind: &'static str, done: bool) {
    let outcome = if done { "done" } else { "failed" };
    metrics::counter!("serve_store_calls_total", "kind" => kind, "outcome" => outcome).increment(1);
}

/// Removes the replicas whose entries did not come back after an outage of the
/// store.
pub(in crate::serving) fn drop_expired(node: &Node) {
    let gone = node.state().fleet.remove_expired(now());
    for name in gone {
        slog::info!(node.log, "replica gone"; "replica" => name.as_str(), "why" => "lapsed");
    }
}
