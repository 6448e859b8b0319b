use std::collections::BTreeMap;

use chicorystage_api::inventory::{Change, Item, ItemKey, ItemKind};
use chicorystage_api::name::ModelName;

use crate::inventory::InventoryState;

/// A read-only view of the inventory as it would be after a change.
#[derive(Debug)]
pub(crate) struct Overlay<'a> {
    state: &'a InventoryState,
    changed: BTreeMap<&'a ItemKey, Option<&'a Item>>,
}

impl<'a> Overlay<'a> {
    pub(crate) fn new(state: &'a InventoryState, change: &'a Change) -> Self {
        let changed = change
            .items
            .iter()
            .map(|entry| (&entry.key, entry.item.as_ref()));
        Self {
            state,
            changed: changed.collect(),
        }
    }

    pub(crate) fn get(&self, key: &ItemKey) -> Option<&'a Item> {
        match self.changed.get(key) {
            Some(item) => *item,
            None => self.state.row(key).map(|row| &row.item),
        }
    }

    pub(crate) fn has(&self, kind: ItemKind, name: &str) -> bool {
        self.get(&ItemKey::new(kind, name)).is_some()
    }

    /// Returns every item after the change; costs one walk of the whole inventory.
    pub(crate) fn items(&self) -> impl Iterator<Item = &'a Item> {
        let unchanged = self
            .state
            .rows()
            .map(|row| &row.item)
            .filter(|item| !self.changed.contains_key(&item.key()));
        unchanged.chain(self.changed.values().copied().flatten())
    }

    /// Returns the keys of the adapters and the rule that refer to a model.
    pub(crate) fn dependants(&self, model: &ModelName) -> Vec<ItemKey> {
        let needs = |item: &&Item| match item {
            Item::Adapter(adapter) => adapter.model == *model,
            Item::Rule(rule) => rule.model == *model,
            _ => false,
        };
        self.items().filter(needs).map(Item::key).collect()
    }
}
