use chicorystage_api::inventory::{Change, Item, ItemKey, OperatorItem};
use chicorystage_api::name::OwnerName;

use crate::inventory::InventoryState;

/// Owner that stands for all owners, the deployment's policy and its operators.
pub const ANY_OWNER: &str = "*";

/// Returns the items of a change that the operator may not write or delete.
///
/// An operator needs the owner of the item both as it is and as it would be,
/// so that an item can be neither taken nor given away.
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
    let may = |item: Option<&Item>| match item {
        Some(item) => item
            .owner()
            .is_some_and(|owner| owns(&operator.owners, owner)),
        None => true,
    };
    let forbidden = change.items.iter().filter(|entry| {
        let current = state.row(&entry.key).map(|row| &row.item);
        !may(current) || !may(entry.item.as_ref())
    });
    forbidden.map(|entry| entry.key.clone()).collect()
}

fn owns(owners: &[OwnerName], owner: &OwnerName) -> bool {
    owners.contains(owner)
}
