use std::collections::HashSet;
use std::hash::Hash;

use chicorystage_api::inventory::{Item, ItemRow};
use chicorystage_api::name::{ChangeId, ModelName, OperatorName, OwnerName};

/// Names that many rows repeat, kept once each.
///
/// A snapshot that was decoded holds a copy of its own for every name. Tens of
/// thousands of adapters repeat a few hundred owners, models and changes.
#[derive(Debug, Default)]
pub(super) struct SharedNames {
    owners: HashSet<OwnerName>,
    models: HashSet<ModelName>,
    changes: HashSet<ChangeId>,
    operators: HashSet<OperatorName>,
}

impl SharedNames {
    /// Replaces a row's repeated names by those that are kept.
    pub(super) fn share_in(&mut self, row: &mut ItemRow) {
        share(&mut self.changes, &mut row.change_id);
        share(&mut self.operators, &mut row.operator);
        match &mut row.item {
            Item::Adapter(item) => {
                share(&mut self.models, &mut item.model);
                share(&mut self.owners, &mut item.owner);
            }
            Item::Model(item) => {
                share(&mut self.models, &mut item.name);
                share(&mut self.owners, &mut item.owner);
            }
            Item::Rule(item) => {
                share(&mut self.models, &mut item.model);
                share(&mut self.owners, &mut item.owner);
            }
            Item::Application(item) => share(&mut self.owners, &mut item.owner),
            Item::Caller(item) => share(&mut self.owners, &mut item.owner),
            Item::Operator(_) | Item::Policy(_) => {}
        }
    }
}

fn share<T: Clone + Eq + Hash>(kept: &mut HashSet<T>, name: &mut T) {
    if let Some(known) = kept.get(name) {
        *name = known.clone();
        return;
    }
    kept.insert(name.clone());
}
