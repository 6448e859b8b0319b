use std::collections::{BTreeMap, HashMap};

use chicorystage_api::inventory::{
    AdapterItem, ApplicationItem, CallerItem, ChangeRecord, Item, ItemKey, ItemKind, ItemRow,
    ModelItem, OperatorItem, PolicyItem, RuleItem, Snapshot,
};
use chicorystage_api::name::{AdapterName, ApplicationName, Digest, ModelName};

use crate::inventory::Applied;

/// The inventory in force in one process.
///
/// A look-up by key costs one map access, and a look-up by token costs two. The
/// revision never decreases: a snapshot or record that is not newer is ignored.
#[derive(Clone, Debug, Default)]
pub struct InventoryState {
    revision: u64,
    rows: BTreeMap<ItemKey, ItemRow>,
    holders_by_token: HashMap<Digest, ItemKey>,
    policy: PolicyItem,
}

impl InventoryState {
    /// Returns the revision in force; 0 before the first one.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Replaces the whole state by a snapshot; returns false, and changes nothing, if it isn't newer.
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
        self.index_all();
        true
    }

    /// Applies the next record of the change log.
    ///
    /// A record that the state already includes changes nothing, and neither
    /// does one whose predecessor is missing.
    pub fn apply(&mut self, record: &ChangeRecord) -> Applied {
        if record.revision <= self.revision {
            return Applied::Known;
        }
        if record.revision != self.revision + 1 {
            return Applied::Gap;
        }
        for entry in &record.items {
            if let Some(old) = self.rows.remove(&entry.key) {
                self.unindex(&entry.key, &old.item);
            }
            let Some(item) = entry.item.clone() else {
                continue;
            };
            self.index(&entry.key, &item);
            let row = ItemRow {
                item,
                revision: record.revision,
                change_id: record.change_id.clone(),
                operator: record.operator.clone(),
            };
            self.rows.insert(entry.key.clone(), row);
        }
        self.revision = record.revision;
        Applied::Advanced
    }

    /// Returns a copy of the inventory as a snapshot, rows sorted by key.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            rows: self.rows.values().cloned().collect(),
        }
    }

    /// Returns the row of an item; `None` if it does not exist.
    #[must_use]
    pub fn row(&self, key: &ItemKey) -> Option<&ItemRow> {
        self.rows.get(key)
    }

    /// Returns all rows, sorted by key.
    pub fn rows(&self) -> impl Iterator<Item = &ItemRow> {
        self.rows.values()
    }

    /// Returns the deployment's policy, or the default if none is declared.
    #[must_use]
    pub fn policy(&self) -> &PolicyItem {
        &self.policy
    }

    /// Returns the caller whose bearer token has this digest.
    #[must_use]
    pub fn caller_by_token(&self, token_sha256: &Digest) -> Option<&CallerItem> {
        let key = self.holders_by_token.get(token_sha256)?;
        match &self.rows.get(key)?.item {
            Item::Caller(caller) => Some(caller),
            _ => None,
        }
    }

    /// Returns the operator whose bearer token has this digest.
    #[must_use]
    pub fn operator_by_token(&self, token_sha256: &Digest) -> Option<&OperatorItem> {
        let key = self.holders_by_token.get(token_sha256)?;
        match &self.rows.get(key)?.item {
            Item::Operator(operator) => Some(operator),
            _ => None,
        }
    }

    /// Returns the model of that name.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&ModelItem> {
        match self.item(ItemKind::Model, name.as_str())? {
            Item::Model(model) => Some(model),
            _ => None,
        }
    }

    /// Returns the adapter of that name of a base model.
    #[must_use]
    pub fn adapter(&self, model: &ModelName, name: &AdapterName) -> Option<&AdapterItem> {
        match &self.rows.get(&ItemKey::adapter(model, name))?.item {
            Item::Adapter(adapter) => Some(adapter),
            _ => None,
        }
    }

    /// Returns the application (plain service) of that name.
    #[must_use]
    pub fn application(&self, name: &ApplicationName) -> Option<&ApplicationItem> {
        match self.item(ItemKind::Application, name.as_str())? {
            Item::Application(application) => Some(application),
            _ => None,
        }
    }

    /// Returns the rule of a model; `None` if none is declared.
    #[must_use]
    pub fn rule(&self, model: &ModelName) -> Option<&RuleItem> {
        match self.item(ItemKind::Rule, model.as_str())? {
            Item::Rule(rule) => Some(rule),
            _ => None,
        }
    }

    /// Returns the largest number of replicas of a model; 0 for an unknown model.
    ///
    /// A model without a rule has the default of the policy.
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

    fn index_all(&mut self) {
        self.holders_by_token.clear();
        self.policy = PolicyItem::default();
        let rows = std::mem::take(&mut self.rows);
        for (key, row) in &rows {
            self.index(key, &row.item);
        }
        self.rows = rows;
    }

    fn index(&mut self, key: &ItemKey, item: &Item) {
        if let Item::Policy(policy) = item {
            self.policy = policy.clone();
        }
        if let Some(token_sha256) = token_of(item) {
            self.holders_by_token
                .insert(token_sha256.clone(), key.clone());
        }
    }

    fn unindex(&mut self, key: &ItemKey, item: &Item) {
        if let Item::Policy(_) = item {
            self.policy = PolicyItem::default();
        }
        // The same change may have given the token to another holder already.
        if let Some(token_sha256) = token_of(item)
            && self.holders_by_token.get(token_sha256) == Some(key)
        {
            self.holders_by_token.remove(token_sha256);
        }
    }
}

fn token_of(item: &Item) -> Option<&Digest> {
    match item {
        Item::Caller(caller) => Some(&caller.token_sha256),
        Item::Operator(operator) => Some(&operator.token_sha256),
        _ => None,
    }
}
