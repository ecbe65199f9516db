//! Keeps the blocked features in the store, for VMs that start later.

use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::to_raw_value;

use crate::platform::PlatformError;
use crate::pool::Span;
use crate::serving::cluster::update::TopicChange;
use crate::serving::decisions::crash_tracker::Feature;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::store::call::CALL_TIMEOUT;
use crate::serving::store::call::CallError;
use crate::serving::store::call::call;
use crate::serving::store::port::Item;

/// The prefix of the names of blocked features in the store.
pub(in crate::serving) const BLOCK_PREFIX: &str = "blocked.";

/// Interval at which blocks are written and removed while something is left to do.
const INTERVAL: Duration = Duration::from_millis(300);

/// Time for which a VM waits for the one before it in the order of a feature to write it.
const WRITE_STAGGER: Span = Span::from_millis(2_000);

/// The interval at which blocks are looked for that no request has needed for long.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// A blocked feature in the store.
#[derive(Debug, Deserialize, Serialize)]
struct BlockEntry {
    /// The text of the feature.
    feature: String,
}

/// Writes the blocks that the store lacks, and removes those that ended, until the process
/// ends.
pub(in crate::serving) async fn keep_blocks(node: Rc<Node>) {
    loop {
        let lifted = node.state().crash_tracker.take_lifted(now());
        for feature in lifted {
            remove(&node, feature).await;
        }
        for feature in due(&node) {
            write(&node, feature).await;
        }
        let pending = node.state().crash_tracker.unstored().next().is_some();
        let wait = if pending { INTERVAL } else { EXPIRY_INTERVAL };
        tokio::time::timeout(wait, node.blocks_wake.notified())
            .await
            .ok();
    }
}

/// Returns the blocks that this VM should write now.
fn due(node: &Node) -> Vec<Feature> {
    let at = now();
    let state = node.state();
    let unstored = state.crash_tracker.unstored();
    let due = unstored.filter(|(feature, since)| {
        let rank = state.members.rank(at, feature.number());
        at.since(*since) >= Span(WRITE_STAGGER.0 * rank)
    });
    due.map(|(feature, _)| feature).collect()
}

async fn write(node: &Node, feature: Feature) {
    let entry = BlockEntry {
        feature: feature.to_string(),
    };
    let Ok(spec) = to_raw_value(&entry) else {
        return;
    };
    let name = format!("{BLOCK_PREFIX}{feature}");
    let create = (node.store.create)(node.codec.kinds.internal, &name, &spec);
    match call(node, CALL_TIMEOUT, create).await {
        Ok(revision) => {
            slog::info!(node.log, "block written"; "feature" => %feature,
                "revision" => %revision);
            node.state().crash_tracker.set_stored(feature, true);
        }
        // Another VM wrote it.
        Err(CallError::Failed(PlatformError::Conflict)) => {
            node.state().crash_tracker.set_stored(feature, true);
        }
        Err(e) => {
            slog::info!(node.log, "block not written"; "feature" => %feature, "error" => %e);
            tokio::time::sleep(INTERVAL).await;
        }
    }
}

async fn remove(node: &Node, feature: Feature) {
    let name = format!("{BLOCK_PREFIX}{feature}");
    let delete = (node.store.delete)(node.codec.kinds.internal, &name);
    if let Err(e) = call(node, CALL_TIMEOUT, delete).await {
        slog::info!(node.log, "block not removed from the store"; "feature" => %feature,
            "error" => %e);
    }
}

/// Applies an entry of the store; returns whether it is a block.
pub(in crate::serving) fn apply_block(node: &Node, item: &Item) -> bool {
    let Some(name) = item.name.strip_prefix(BLOCK_PREFIX) else {
        return false;
    };
    match name.parse::<Feature>() {
        Ok(feature) => {
            let at = now();
            let mut state = node.state();
            let is_new = state.crash_tracker.learn_block(at, at, feature);
            state.crash_tracker.set_stored(feature, true);
            if is_new {
                slog::warn!(node.log, "requests blocked that crash their replicas";
                    "feature" => name, "revision" => %item.revision);
            }
        }
        Err(e) => slog::error!(node.log, "block not decoded"; "error" => %e),
    }
    true
}

/// Applies the removal of an entry of the store; returns whether it was a block.
pub(in crate::serving) fn remove_block(node: &Node, change: &TopicChange) -> bool {
    let Some(name) = change.item.name.strip_prefix(BLOCK_PREFIX) else {
        return false;
    };
    let Ok(feature) = name.parse::<Feature>() else {
        return true;
    };
    let mut state = node.state();
    if change.missing_after_outage {
        // The store lost it, so it is written again.
        state.crash_tracker.set_stored(feature, false);
        node.blocks_wake.notify_one();
    } else if state.crash_tracker.lift(now(), feature) {
        slog::warn!(node.log, "block lifted, as it was removed from the store";
            "feature" => name, "revision" => %change.item.revision);
    }
    true
}

/// Logs that requests with a feature are served again.
pub(in crate::serving) fn log_lifted(node: &Node, feature: Feature, why: &str) {
    slog::warn!(node.log, "block lifted, as a run was complete"; "feature" => %feature,
        "told_by" => why);
}
