//! Follows the kinds of objects in the store that a VM must know.

use std::rc::Rc;
use std::time::Duration;

use super::node::Node;
use super::node::now;
use super::store::Item;
use crate::platform::PlatformError;
use crate::pool::Moment;

/// How often a kind is asked about.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rhythm {
    /// How long a watch waits for a change: a connection that went silent
    /// shows no later than that.
    pub(super) wait: Duration,
    /// The pause after an answer with changes, so that changes in quick
    /// succession cost one call.
    pub(super) pace: Duration,
}

/// How much longer than it should a call may take; the store answers in
/// milliseconds.
const CALL_MARGIN: Duration = Duration::from_millis(900);

/// The pause after a call that failed; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause: the store's return is noticed within it.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// What a follower hears.
pub(super) enum News<'a> {
    /// All objects of the kind; whether the store was away before.
    All(&'a [Item], bool),
    /// One object changed, or was removed.
    One(&'a Item, bool),
}

/// Follows a kind until the process ends.
pub(super) async fn follow(
    node: Rc<Node>,
    kind: &'static str,
    rhythm: Rhythm,
    mut take: impl FnMut(&Node, News<'_>),
) {
    let mut outage = false;
    let mut pause = FIRST_PAUSE;
    loop {
        let asked = now();
        let mut revision = match list(&node, kind).await {
            Ok((items, revision)) => {
                take(&node, News::All(&items, outage));
                confirm(&node, kind, asked);
                node.changed.notify_waiters();
                if outage {
                    slog::info!(node.log, "store regained"; "kind" => kind, "revision" => revision);
                }
                (outage, pause) = (false, FIRST_PAUSE);
                revision
            }
            Err(e) => {
                if !outage {
                    slog::warn!(node.log, "store lost"; "kind" => kind, "error" => %e);
                }
                outage = true;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
                continue;
            }
        };
        loop {
            let asked = now();
            let call = (node.store.changes)(kind, revision, rhythm.wait);
            let answer = limited(rhythm.wait + CALL_MARGIN, call).await;
            count_call(kind, answer.is_ok());
            match answer {
                Ok(changes) => {
                    revision = changes.revision.max(revision);
                    log_unread(&node, kind, changes.unread);
                    for c in &changes.changes {
                        take(&node, News::One(&c.item, c.removed));
                    }
                    confirm(&node, kind, asked);
                    if changes.changes.is_empty() {
                        continue;
                    }
                    node.changed.notify_waiters();
                    tokio::time::sleep(rhythm.pace).await;
                }
                Err(PlatformError::Expired) => break,
                Err(e) => {
                    slog::warn!(node.log, "store lost"; "kind" => kind, "error" => %e);
                    outage = true;
                    tokio::time::sleep(FIRST_PAUSE).await;
                    break;
                }
            }
        }
    }
}

/// All that was in the store of a kind when it was asked is known now.
fn confirm(node: &Node, kind: &str, asked: Moment) {
    if kind == node.border.kinds.own {
        node.beliefs().ownership.confirm(asked);
    }
}

/// Reads a kind whole.
pub(super) async fn list(
    node: &Node,
    kind: &'static str,
) -> Result<(Vec<Item>, u64), PlatformError> {
    let mut items: Vec<Item> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map(|i| i.name.clone());
        let call = (node.store.list)(kind, after.as_deref());
        let page = limited(CALL_MARGIN, call).await;
        count_call(kind, page.is_ok());
        let page = page?;
        // What changes while pages are read comes again with the watch.
        let first = *revision.get_or_insert(page.revision);
        let more = page.more && !page.items.is_empty();
        log_unread(node, kind, page.unread);
        items.extend(page.items);
        if !more {
            return Ok((items, first));
        }
    }
}

/// What is no object names nothing; the others hold.
fn log_unread(node: &Node, kind: &str, count: usize) {
    if count > 0 {
        slog::warn!(node.log, "objects not read"; "kind" => kind, "count" => count);
    }
}

pub(super) fn count_call(kind: &'static str, done: bool) {
    let outcome = if done { "done" } else { "failed" };
    metrics::counter!("serve_store_calls_total", "kind" => kind, "outcome" => outcome).increment(1);
}

/// A call with a time limit; what it did is not known after it.
pub(super) async fn limited<T>(
    time: Duration,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let lost = || PlatformError::Lost("no answer in time".to_owned());
    tokio::time::timeout(time, call).await.map_err(|_| lost())?
}

/// The time limit of a short call.
pub(super) const SHORT_CALL: Duration = CALL_MARGIN;

/// Drops replicas that did not come back after an outage.
pub(super) fn drop_lapsed(node: &Node) {
    let gone = node.beliefs().fleet.drop_lapsed(now());
    for name in gone {
        slog::info!(node.log, "replica gone"; "replica" => name.as_str(), "why" => "lapsed");
    }
}
