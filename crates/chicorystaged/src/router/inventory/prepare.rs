//! Validates an operator's change against the inventory copy of the main loop.

use chicorystage_api::admin::ChangeConflict;
use chicorystage_api::inventory::{Change, ItemKey, OperatorItem};
use chicorystage_core::inventory::{
    ChangeLog, InventoryState, Problem, check_change, check_rights, check_versions,
};

use crate::router::inventory::ChangeVerdict;

/// Validates a change that is to be committed on top of the head.
///
/// Checks, in this order: that the copy has the head's revision, the
/// operator's rights, the expected item revisions, and the resulting inventory.
pub(crate) fn prepare(
    state: &InventoryState,
    log: &ChangeLog,
    operator: &OperatorItem,
    change: &Change,
    head_revision: u64,
) -> ChangeVerdict {
    if state.revision() != head_revision {
        return ChangeVerdict::OtherRevision;
    }
    let forbidden = check_rights(state, operator, change);
    if !forbidden.is_empty() {
        return ChangeVerdict::Forbidden(forbidden);
    }
    let outdated = check_versions(state, change);
    if !outdated.is_empty() {
        let conflicts = outdated
            .into_iter()
            .map(|entry| conflict(state, log, &entry.key, entry.expected_revision));
        return ChangeVerdict::Conflict(conflicts.collect());
    }
    let problems = check_change(state, change);
    if problems.is_empty() {
        return ChangeVerdict::Ready;
    }
    let conflicts: Vec<_> = problems
        .iter()
        .filter_map(|problem| concurrent_change(state, log, change, problem))
        .collect();
    if conflicts.is_empty() {
        let findings = problems.into_iter().map(|problem| problem.finding);
        return ChangeVerdict::Invalid(findings.collect());
    }
    ChangeVerdict::Conflict(conflicts)
}

/// Returns the conflict behind a problem if a concurrent change caused it.
///
/// That is so if the item that causes the problem was changed after the newest
/// revision that the submitted change expects. `None` means that the change
/// itself is invalid.
fn concurrent_change(
    state: &InventoryState,
    log: &ChangeLog,
    change: &Change,
    problem: &Problem,
) -> Option<ChangeConflict> {
    let cause = problem.cause.as_ref()?;
    let expected_revisions = change
        .items
        .iter()
        .filter_map(|entry| entry.expected_revision);
    let seen_revision = expected_revisions.max().unwrap_or(0);
    let winner = log.newest_record_of(cause)?;
    (winner.revision > seen_revision).then(|| conflict(state, log, cause, None))
}

fn conflict(
    state: &InventoryState,
    log: &ChangeLog,
    key: &ItemKey,
    expected_revision: Option<u64>,
) -> ChangeConflict {
    ChangeConflict {
        key: key.clone(),
        expected_revision,
        current_revision: state.row(key).map(|row| row.revision),
        winner: log.newest_record_of(key).cloned(),
    }
}
