use std::collections::{BTreeMap, BTreeSet};

use chicorystage_api::inventory::{Item, ItemChange, ItemKey, ItemRow};

/// One difference between an inventory and its desired state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemDiff {
    /// Change that brings the item to its desired state.
    pub change: ItemChange,
    /// Current content of the item; `None` if it does not exist.
    pub before: Option<Item>,
}

/// Returns the changes that lead from `rows` to the `desired` items, sorted by key.
///
/// An existing item that is not in `desired` is deleted if `desired` has any item
/// of the same kind. Items of a kind that `desired` doesn't contain stay as they are.
#[must_use]
pub fn diff(rows: &[ItemRow], desired: &[Item]) -> Vec<ItemDiff> {
    let kinds: BTreeSet<_> = desired.iter().map(|item| item.key().kind).collect();
    let mut desired: BTreeMap<ItemKey, &Item> =
        desired.iter().map(|item| (item.key(), item)).collect();
    let mut diffs = Vec::new();
    for row in rows {
        let key = row.item.key();
        let after = desired.remove(&key);
        let unchanged = after == Some(&row.item);
        if unchanged || !kinds.contains(&key.kind) {
            continue;
        }
        diffs.push(ItemDiff {
            change: ItemChange {
                key,
                expected_revision: Some(row.revision),
                item: after.cloned(),
            },
            before: Some(row.item.clone()),
        });
    }
    let created = desired.into_iter().map(|(key, item)| ItemDiff {
        change: ItemChange {
            key,
            expected_revision: None,
            item: Some(item.clone()),
        },
        before: None,
    });
    diffs.extend(created);
    diffs.sort_by(|a, b| a.change.key.cmp(&b.change.key));
    diffs
}
