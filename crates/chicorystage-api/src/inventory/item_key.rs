use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::inventory::ITEM_ROW_PREFIX;
use crate::name::{AdapterName, ModelName};

/// Kind of an inventory item.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ItemKind {
    /// A base model.
    #[display("model")]
    Model,
    /// An adapter.
    #[display("adapter")]
    Adapter,
    /// A plain service.
    #[display("application")]
    Application,
    /// A calling application.
    #[display("caller")]
    Caller,
    /// An operator.
    #[display("operator")]
    Operator,
    /// The rule of one model.
    #[display("rule")]
    Rule,
    /// The deployment's policy.
    #[display("policy")]
    Policy,
}

impl ItemKind {
    /// All kinds, in the order in which the items of an inventory are listed.
    pub const ALL: [Self; 7] = [
        Self::Model,
        Self::Adapter,
        Self::Application,
        Self::Caller,
        Self::Operator,
        Self::Rule,
        Self::Policy,
    ];
}

/// Key of an inventory item: its kind and name, as in `model/brief`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{kind}/{name}")]
pub struct ItemKey {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name, unique within the kind; `model:adapter` for an adapter.
    pub name: Arc<str>,
}

impl ItemKey {
    /// Creates the key of an item from its kind and name.
    #[must_use]
    pub fn new(kind: ItemKind, name: &str) -> Self {
        Self {
            kind,
            name: Arc::from(name),
        }
    }

    /// Creates the key of an adapter.
    #[must_use]
    pub fn adapter(model: &ModelName, adapter: &AdapterName) -> Self {
        Self::new(ItemKind::Adapter, &format!("{model}:{adapter}"))
    }

    /// Parses the [`Display`](std::fmt::Display) form, as in `model/brief`.
    ///
    /// Returns `None` if the kind is unknown or the name is empty.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (kind, name) = text.split_once('/')?;
        let kind = ItemKind::ALL
            .into_iter()
            .find(|known| known.to_string() == kind)?;
        (!name.is_empty()).then(|| Self::new(kind, name))
    }

    /// Returns the key of the item's row in the platform's table.
    #[must_use]
    pub fn row_key(&self) -> String {
        format!("{ITEM_ROW_PREFIX}{self}")
    }
}
