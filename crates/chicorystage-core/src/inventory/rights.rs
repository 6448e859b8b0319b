use chicorystage_api::inventory::{Change, Item, ItemKey, OperatorItem};
use chicorystage_api::name::OwnerName;

use crate::inventory::InventoryState;

/// Wildcard owner: grants rights on the items of all owners, the policy and the operators.
pub const ANY_OWNER: &str = "*";

/// Returns the keys of the items in a change that the operator may not write or delete.
///
/// An operator needs rights on the owner of an item both before and after the
/// change, so that it can neither take an item from another owner nor hand one
/// over. Without the wildcard it has no rights on items that have no owner.
#[must_use]
pub fn check_rights(
    state: &InventoryState,
    operator: &OperatorItem,
    change: &Change,
) -> Vec<ItemKey> {
    if operator
        .owners
        .iter()
        .any(|owner| owner.as_str() == ANY_OWNER)
    {
        return Vec::new();
    }
    let has_rights = |item: Option<&Item>| match item {
        Some(item) => item
            .owner()
            .is_some_and(|owner| owns(&operator.owners, owner)),
        None => true,
    };
    let forbidden = change.items.iter().filter(|entry| {
        let current = state.row(&entry.key).map(|row| &row.item);
        !has_rights(current) || !has_rights(entry.item.as_ref())
    });
    forbidden.map(|entry| entry.key.clone()).collect()
}

fn owns(owners: &[OwnerName], owner: &OwnerName) -> bool {
    owners.contains(owner)
}
