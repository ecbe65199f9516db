//! What is in force here, and the last change sets that led to it.

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

/// Change sets kept for those who follow: an hour at 7,600 a day is 317, a
/// peer that was cut off for most of it needs no snapshot.
const HISTORY_SETS: usize = 256;

/// Bytes of change sets kept; a bulk load of adapters would else stay in
/// memory of which a process has 64 MB.
const HISTORY_BYTES: usize = 1 << 20;

/// The last change sets that came into force here, encoded once for all who
/// follow. Its lock also orders what comes into force.
#[derive(Debug, Default)]
pub struct History {
    deltas: Mutex<VecDeque<wire::Delta>>,
    pub(super) wake: Notify,
}

impl History {
    /// The deltas that lead from `revision` to the present one; `None` when
    /// they do not reach back that far.
    pub fn since(&self, revision: Revision) -> Option<Vec<wire::Delta>> {
        let deltas = self.lock();
        let first = deltas.front()?.revision;
        if first > revision.0 + 1 {
            return None;
        }
        let later = deltas.iter().filter(|d| d.revision > revision.0);
        Some(later.cloned().collect())
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<wire::Delta>> {
        self.deltas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Brings `next` into force if it is higher than what is; gives whether it
/// was. `sets` are the change sets that lead to it, as far as they are known.
pub fn activate(shared: &Shared, next: Catalog, sets: &[ChangeSet]) -> bool {
    let mut deltas = shared.state.history.lock();
    let current = shared.state.catalog.borrow().revision;
    if next.revision <= current {
        return false;
    }
    let new: Vec<_> = sets.iter().filter(|s| s.revision > current).collect();
    let whole = new.len() as u64 == next.revision.0 - current.0;
    if !whole {
        deltas.clear();
    }
    if whole {
        deltas.extend(new.into_iter().map(delta));
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

fn delta(set: &ChangeSet) -> wire::Delta {
    wire::Delta {
        revision: set.revision.0,
        // Names, numbers and lists; encoding them cannot fail.
        changes: serde_json::to_vec(set).unwrap_or_default().into(),
    }
}

fn trim(deltas: &mut VecDeque<wire::Delta>) {
    let mut bytes: usize = deltas.iter().map(|d| d.changes.len()).sum();
    while deltas.len() > HISTORY_SETS || bytes > HISTORY_BYTES {
        bytes -= deltas.pop_front().map_or(bytes, |d| d.changes.len());
    }
}
