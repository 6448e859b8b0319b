use std::collections::{BTreeMap, BTreeSet};

use chicorystage_api::inventory::{Item, ItemChange, ItemKey, ItemRow};

/// One difference between an inventory and a wanted one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemDiff {
    /// Change that removes the difference.
    pub change: ItemChange,
    /// Item as it is; none where it is absent.
    pub before: Option<Item>,
}

/// Returns the changes that lead from `rows` to the wanted items, by key.
///
/// An item that is not wanted is deleted if any item of its kind is wanted; a
/// kind without wanted items is left as it is.
#[must_use]
pub fn diff(rows: &[ItemRow], wanted: &[Item]) -> Vec<ItemDiff> {
    let kinds: BTreeSet<_> = wanted.iter().map(|item| item.key().kind).collect();
    let mut wanted: BTreeMap<ItemKey, &Item> =
        wanted.iter().map(|item| (item.key(), item)).collect();
    let mut diffs = Vec::new();
    for row in rows {
        let key = row.item.key();
        let after = wanted.remove(&key);
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
    let created = wanted.into_iter().map(|(key, item)| ItemDiff {
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
