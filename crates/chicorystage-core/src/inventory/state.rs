use std::collections::{BTreeMap, HashMap};

use chicorystage_api::inventory::{
    AdapterItem, ApplicationItem, CallerItem, Item, ItemKey, ItemKind, ItemRow, ModelItem,
    PolicyItem, RuleItem, Snapshot,
};
use chicorystage_api::name::{AdapterName, ApplicationName, Digest, ModelName};

/// The inventory in force in one process.
///
/// A look-up costs one map access. Revisions never go backwards: a snapshot
/// older than the state in force is ignored.
#[derive(Clone, Debug, Default)]
pub struct InventoryState {
    revision: u64,
    rows: BTreeMap<ItemKey, ItemRow>,
    callers_by_token: HashMap<Digest, ItemKey>,
    policy: PolicyItem,
}

impl InventoryState {
    /// Returns the revision in force; 0 for none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Puts a snapshot in force and returns whether it was newer.
    pub fn replace(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        self.revision = snapshot.revision;
        self.rows = snapshot
            .rows
            .into_iter()
            .map(|row| (row.item.key(), row))
            .collect();
        self.index();
        true
    }

    /// Returns the inventory as a snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            rows: self.rows.values().cloned().collect(),
        }
    }

    /// Returns the row of an item.
    #[must_use]
    pub fn row(&self, key: &ItemKey) -> Option<&ItemRow> {
        self.rows.get(key)
    }

    /// Returns all rows by key.
    pub fn rows(&self) -> impl Iterator<Item = &ItemRow> {
        self.rows.values()
    }

    /// Returns the deployment's policy, or the default where none is declared.
    #[must_use]
    pub fn policy(&self) -> &PolicyItem {
        &self.policy
    }

    /// Returns the caller who holds a token.
    #[must_use]
    pub fn caller_by_token(&self, token_sha256: &Digest) -> Option<&CallerItem> {
        let key = self.callers_by_token.get(token_sha256)?;
        match &self.rows.get(key)?.item {
            Item::Caller(caller) => Some(caller),
            _ => None,
        }
    }

    /// Returns a model.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&ModelItem> {
        match self.item(ItemKind::Model, name.as_str())? {
            Item::Model(model) => Some(model),
            _ => None,
        }
    }

    /// Returns an adapter.
    #[must_use]
    pub fn adapter(&self, model: &ModelName, name: &AdapterName) -> Option<&AdapterItem> {
        match &self.rows.get(&ItemKey::adapter(model, name))?.item {
            Item::Adapter(adapter) => Some(adapter),
            _ => None,
        }
    }

    /// Returns a plain service.
    #[must_use]
    pub fn application(&self, name: &ApplicationName) -> Option<&ApplicationItem> {
        match self.item(ItemKind::Application, name.as_str())? {
            Item::Application(application) => Some(application),
            _ => None,
        }
    }

    /// Returns the rule of a model.
    #[must_use]
    pub fn rule(&self, model: &ModelName) -> Option<&RuleItem> {
        match self.item(ItemKind::Rule, model.as_str())? {
            Item::Rule(rule) => Some(rule),
            _ => None,
        }
    }

    /// Returns the largest number of replicas of a model; 0 for an unknown model.
    #[must_use]
    pub fn replicas_max(&self, model: &ModelName) -> u32 {
        if self.model(model).is_none() {
            return 0;
        }
        self.rule(model)
            .map_or(self.policy.replicas_max_default, |rule| rule.replicas_max)
    }

    fn item(&self, kind: ItemKind, name: &str) -> Option<&Item> {
        self.rows
            .get(&ItemKey::new(kind, name))
            .map(|row| &row.item)
    }

    fn index(&mut self) {
        self.callers_by_token.clear();
        self.policy = PolicyItem::default();
        for (key, row) in &self.rows {
            match &row.item {
                Item::Caller(caller) => {
                    self.callers_by_token
                        .insert(caller.token_sha256.clone(), key.clone());
                }
                Item::Policy(policy) => self.policy = policy.clone(),
                _ => {}
            }
        }
    }
}
