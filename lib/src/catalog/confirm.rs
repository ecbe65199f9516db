//! Results of a confirmation, and the checks that decide them.

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

/// An item that a plan read and that has changed since.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadConflict {
    /// The changed item.
    pub item: Item,
    /// The revision, operator and operation id of the change; `None` if the
    /// root's log no longer holds the change.
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

/// Why a confirmation failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfirmError {
    /// Items that the plan read have changed; nothing took effect.
    ReadConflict(Vec<ReadConflict>),
    /// The plan's base revision is older than the root's log; nothing took
    /// effect.
    TooOld {
        /// The revision that the plan was made on.
        base: Revision,
        /// The current revision.
        current: Revision,
    },
    /// The plan is invalid; nothing took effect.
    Plan(PlanError),
    /// Every round conflicted with another operator's; nothing took effect.
    Busy,
    /// The platform failed before the root was replaced; nothing took effect.
    Platform(PlatformError),
    /// It is unknown whether the plan took effect; confirming the same plan
    /// again is safe and returns the result.
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
                "nothing changed: conflicting confirmations in each round; try again"
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

/// A confirmation that took effect, in this call or an earlier one.
#[derive(Clone, Debug)]
pub struct Confirmed {
    /// The revision that it created.
    pub revision: Revision,
    /// The change set and the resulting catalog; `None` if an earlier call
    /// confirmed the operation.
    pub applied: Option<(ChangeSet, Catalog)>,
}

/// Returns the earlier confirmation of the plan's operation from its log entry.
///
/// # Errors
///
/// [`ConfirmError::Plan`] if the operation was confirmed with other changes.
pub(super) fn earlier_confirmation(
    plan: &Plan,
    entry: &LogEntry,
) -> Result<Confirmed, ConfirmError> {
    match &entry.changes {
        Some(changes) if *changes != plan.changes => Err(ConfirmError::Plan(PlanError::Malformed(
            "operation: already confirmed with different changes",
        ))),
        _ => Ok(Confirmed {
            revision: entry.revision,
            applied: None,
        }),
    }
}

/// Checks that no item which the plan read has changed.
///
/// # Errors
///
/// [`ConfirmError::ReadConflict`] with the operators who changed the items, or
/// [`ConfirmError::TooOld`].
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
    let last_change = |item: &Item| {
        let mut after = root.log.iter().rev().filter(|e| e.revision > plan.base);
        after.find(|e| {
            let changes = e.changes.iter().flatten();
            changes.into_iter().any(|c| c.item() == *item)
        })
    };
    let conflict = |item: Item| ReadConflict {
        by: last_change(&item).map(|e| (e.revision, e.operator.clone(), e.operation.clone())),
        item,
    };
    Err(ConfirmError::ReadConflict(
        changed.into_iter().map(conflict).collect(),
    ))
}
