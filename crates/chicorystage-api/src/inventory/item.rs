use serde::{Deserialize, Serialize};

use crate::inventory::{
    AdapterItem, ApplicationItem, CallerItem, ItemKey, ItemKind, ModelItem, OperatorItem,
    PolicyItem, RuleItem,
};
use crate::name::OwnerName;

/// One item of the inventory, as declared by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Item {
    /// A base model.
    Model(ModelItem),
    /// An adapter.
    Adapter(AdapterItem),
    /// A plain service.
    Application(ApplicationItem),
    /// A calling application.
    Caller(CallerItem),
    /// An operator.
    Operator(OperatorItem),
    /// The limits on the replicas of one model.
    Rule(RuleItem),
    /// The settings of the whole deployment.
    Policy(PolicyItem),
}

impl Item {
    /// Returns the key that identifies the item in the inventory.
    #[must_use]
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Model(item) => ItemKey::new(ItemKind::Model, item.name.as_str()),
            Self::Adapter(item) => ItemKey::adapter(&item.model, &item.name),
            Self::Application(item) => ItemKey::new(ItemKind::Application, item.name.as_str()),
            Self::Caller(item) => ItemKey::new(ItemKind::Caller, item.name.as_str()),
            Self::Operator(item) => ItemKey::new(ItemKind::Operator, item.name.as_str()),
            Self::Rule(item) => ItemKey::new(ItemKind::Rule, item.model.as_str()),
            Self::Policy(_) => ItemKey::new(ItemKind::Policy, "deployment"),
        }
    }

    /// Returns the organisational unit that owns the item; `None` for operators and the policy.
    #[must_use]
    pub fn owner(&self) -> Option<&OwnerName> {
        match self {
            Self::Model(item) => Some(&item.owner),
            Self::Adapter(item) => Some(&item.owner),
            Self::Application(item) => Some(&item.owner),
            Self::Caller(item) => Some(&item.owner),
            Self::Rule(item) => Some(&item.owner),
            Self::Operator(_) | Self::Policy(_) => None,
        }
    }
}
