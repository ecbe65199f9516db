//! Activation of catalog revisions, and the change sets that led to them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use banyangauge_proto as wire;
use slog::info;
use tokio::sync::Notify;

use crate::catalog::Catalog;
use crate::catalog::ChangeSet;
use crate::control::Shared;
use crate::ids::Revision;
use crate::timeline::EventFields;
use crate::timeline::EventKind;

/// Maximum change sets kept. 7,600 a day are 317 an hour, so that a peer that was
/// disconnected for most of an hour needs no snapshot.
const MAX_HISTORY_SETS: usize = 256;

/// Maximum encoded size of the change sets kept, so that a bulk load of adapters
/// does not stay in memory; a process has 64 MB.
const MAX_HISTORY_BYTES: usize = 1 << 20;

/// The latest activated change sets, encoded once for all receivers. Its lock
/// also serializes activations.
#[derive(Debug, Default)]
pub struct History {
    deltas: Mutex<VecDeque<wire::Delta>>,
    pub(super) wake: Notify,
}

impl History {
    /// Returns the deltas from `revision` to the active one, or `None` if the
    /// history does not reach back that far.
    pub fn since(&self, revision: Revision) -> Option<Vec<wire::Delta>> {
        let deltas = self.lock();
        let first = deltas.front()?.revision;
        if first > revision.0 + 1 {
            return None;
        }
        let newer = deltas.iter().filter(|d| d.revision > revision.0);
        Some(newer.cloned().collect())
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<wire::Delta>> {
        self.deltas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Activates `next` if its revision is higher than the active one, and returns
/// whether it was. `sets` are the known change sets that lead to it.
pub fn activate(shared: &Shared, next: Catalog, sets: &[ChangeSet]) -> bool {
    let mut deltas = shared.state.history.lock();
    let current = shared.state.catalog.borrow().revision;
    if next.revision <= current {
        return false;
    }
    let new: Vec<_> = sets.iter().filter(|s| s.revision > current).collect();
    let complete = new.len() as u64 == next.revision.0 - current.0;
    if !complete {
        deltas.clear();
    }
    if complete {
        deltas.extend(new.into_iter().map(to_delta));
        trim(&mut deltas);
    }
    let revision = next.revision;
    shared.state.catalog.send_replace(Arc::new(next));
    drop(deltas);
    metrics::gauge!("banyan_catalog_revision").set(revision.0 as f64);
    shared.recorder.record(
        EventKind::InForce,
        EventFields {
            detail: format!("revision {}", revision.0),
            ..EventFields::default()
        },
    );
    info!(shared.log, "configuration in force"; "revision" => revision.0);
    true
}

fn to_delta(set: &ChangeSet) -> wire::Delta {
    wire::Delta {
        revision: set.revision.0,
        // Encoding cannot fail: the type holds names, numbers and lists.
        changes: serde_json::to_vec(set).unwrap_or_default().into(),
    }
}

fn trim(deltas: &mut VecDeque<wire::Delta>) {
    let mut bytes: usize = deltas.iter().map(|d| d.changes.len()).sum();
    while deltas.len() > MAX_HISTORY_SETS || bytes > MAX_HISTORY_BYTES {
        bytes -= deltas.pop_front().map_or(bytes, |d| d.changes.len());
    }
}
