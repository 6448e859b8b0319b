use std::collections::BTreeSet;

use chicorystage_api::admin::ItemFinding;
use chicorystage_api::inventory::{Change, ItemChange, ItemKey, ItemKind};
use chicorystage_api::name::ModelName;

use crate::inventory::check_item::check_item;
use crate::inventory::overlay::Overlay;
use crate::inventory::{InventoryState, Problem};

/// Returns every reason why a change to a state is invalid; an empty list means it is valid.
///
/// Item versions are not checked here; see [`check_versions`].
#[must_use]
pub fn check_change(state: &InventoryState, change: &Change) -> Vec<Problem> {
    let overlay = Overlay::new(state, change);
    let mut problems = Vec::new();
    let mut seen = BTreeSet::new();
    for entry in &change.items {
        if !seen.insert(&entry.key) {
            problems.push(problem(&entry.key, "", "twice", "each item once"));
        }
        match &entry.item {
            Some(item) if item.key() != entry.key => {
                let given = item.key().to_string();
                problems.push(problem(&entry.key, "key", &given, "the key of the item"));
            }
            Some(item) => check_item(&overlay, item, &mut problems),
            None => check_delete(state, &overlay, &entry.key, &mut problems),
        }
    }
    problems
}

/// Returns the items whose version in the state differs from the one that the change expects.
#[must_use]
pub fn check_versions<'a>(state: &InventoryState, change: &'a Change) -> Vec<&'a ItemChange> {
    let differs = |entry: &&ItemChange| {
        let current = state.row(&entry.key).map(|row| row.revision);
        current != entry.expected_revision
    };
    change.items.iter().filter(differs).collect()
}

fn check_delete(
    state: &InventoryState,
    overlay: &Overlay<'_>,
    key: &ItemKey,
    problems: &mut Vec<Problem>,
) {
    if state.row(key).is_none() {
        problems.push(problem(key, "", "deleted", "an item that exists"));
    }
    if key.kind != ItemKind::Model {
        return;
    }
    for dependant in overlay.dependants(&ModelName::from(&*key.name)) {
        let given = format!("deleted while {dependant} exists");
        let mut found = problem(key, "", &given, "a model without adapters and rule");
        found.cause = Some(dependant);
        problems.push(found);
    }
}

pub(crate) fn problem(key: &ItemKey, field: &str, given: &str, allowed: &str) -> Problem {
    Problem {
        finding: ItemFinding {
            key: key.clone(),
            field: field.into(),
            given: given.into(),
            allowed: allowed.into(),
        },
        cause: None,
    }
}
