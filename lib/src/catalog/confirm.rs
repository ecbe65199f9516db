//! How a confirmation ends, and the checks that decide it.

use std::fmt;

use super::Catalog;
use super::ChangeSet;
use super::Item;
use super::LogEntry;
use super::Plan;
use super::PlanError;
use super::Root;
use crate::ids::Revision;
use crate::platform::PlatformError;

/// What a plan read and another operator changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadConflict {
    /// What changed.
    pub item: Item,
    /// The revision, the operator and the operation id; `None` when the root
    /// no longer tells.
    pub by: Option<(Revision, String, String)>,
}

impl fmt::Display for ReadConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.by {
            Some((revision, operator, operation)) => write!(
                f,
                "{} was changed by {operator} in revision {} (operation {operation})",
                self.item, revision.0
            ),
            None => write!(f, "{} was changed", self.item),
        }
    }
}

/// Why a confirmation did not take effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfirmError {
    /// Something that the plan read has changed; nothing took effect.
    ReadConflict(Vec<ReadConflict>),
    /// The plan is older than the root's log; nothing took effect.
    TooOld {
        /// The revision the plan was made on.
        base: Revision,
        /// The revision in force.
        current: Revision,
    },
    /// The plan is not as this system makes plans; nothing took effect.
    Plan(PlanError),
    /// Other operators won each round; nothing took effect.
    Busy,
    /// The platform failed before the deciding write; nothing took effect.
    Platform(PlatformError),
    /// It is not known whether it took effect; confirming the same plan again
    /// settles it and is safe.
    Unknown(PlatformError),
}

impl fmt::Display for ConfirmError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ReadConflict(items) => {
                let items: Vec<_> = items.iter().map(ReadConflict::to_string).collect();
                write!(f, "nothing changed: {}; plan again", items.join("; "))
            }
            Self::TooOld { base, current } => write!(
                f,
                "nothing changed: the plan was made on revision {}, {} is in force; plan again",
                base.0, current.0
            ),
            Self::Plan(e) => write!(f, "nothing changed: {e}"),
            Self::Busy => write!(
                f,
                "nothing changed: other operators won each round; try again"
            ),
            Self::Platform(e) => write!(f, "nothing changed: {e}"),
            Self::Unknown(e) => write!(
                f,
                "not known whether it took effect ({e}); confirm the same plan again"
            ),
        }
    }
}

impl std::error::Error for ConfirmError {}

impl From<PlanError> for ConfirmError {
    fn from(e: PlanError) -> Self {
        Self::Plan(e)
    }
}

/// A confirmation that took effect, now or earlier.
#[derive(Clone, Debug)]
pub struct Confirmed {
    /// The revision that it made.
    pub revision: Revision,
    /// The whole catalog at that revision, when this call made it.
    pub applied: Option<(ChangeSet, Catalog)>,
}

/// The earlier confirmation of the plan's operation, as the root tells it.
pub(super) fn repeated(plan: &Plan, entry: &LogEntry) -> Result<Confirmed, ConfirmError> {
    match &entry.changes {
        Some(changes) if *changes != plan.changes => Err(ConfirmError::Plan(PlanError::Malformed(
            "operation: was confirmed with other changes",
        ))),
        _ => Ok(Confirmed {
            revision: entry.revision,
            applied: None,
        }),
    }
}

/// Refuses a plan when something that it read has changed, and tells who did
/// it.
pub(super) fn check_reads(plan: &Plan, root: &Root, current: &Catalog) -> Result<(), ConfirmError> {
    if !root.covers(plan.base) {
        return Err(ConfirmError::TooOld {
            base: plan.base,
            current: root.revision,
        });
    }
    let changed = plan.changed_reads(current);
    if changed.is_empty() {
        return Ok(());
    }
    let who = |item: &Item| {
        let mut after = root.log.iter().rev().filter(|e| e.revision > plan.base);
        after.find(|e| {
            let changes = e.changes.iter().flatten();
            changes.into_iter().any(|c| c.item() == *item)
        })
    };
    let tell = |item: Item| ReadConflict {
        by: who(&item).map(|e| (e.revision, e.operator.clone(), e.operation.clone())),
        item,
    };
    Err(ConfirmError::ReadConflict(
        changed.into_iter().map(tell).collect(),
    ))
}
