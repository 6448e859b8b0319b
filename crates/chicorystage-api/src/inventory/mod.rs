//! The inventory: what operators declare, and the changes made to it.
//!
//! The inventory is a set of [`Item`]s, each stored as one [`ItemRow`] in the
//! platform's table under the key returned by [`ItemKey::row_key`]. A
//! [`Change`] is committed in one transaction, which writes its items, advances
//! the head row ([`HeadRow`]) by one revision and appends a [`ChangeRecord`] to
//! the log.

mod adapter_item;
mod application_item;
mod caller_item;
mod change;
mod change_record;
mod class;
mod head_row;
mod item;
mod item_key;
mod item_row;
mod model_item;
mod model_ref;
mod model_version;
mod operation;
mod operator_item;
mod policy_item;
mod rule_item;
mod snapshot;

pub use adapter_item::AdapterItem;
pub use application_item::ApplicationItem;
pub use caller_item::CallerItem;
pub use change::{Change, ItemChange};
pub use change_record::ChangeRecord;
pub use class::Class;
pub use head_row::HeadRow;
pub use item::Item;
pub use item_key::{ItemKey, ItemKind};
pub use item_row::ItemRow;
pub use model_item::ModelItem;
pub use model_ref::{ModelRef, ModelRefError};
pub use model_version::ModelVersion;
pub use operation::Operation;
pub use operator_item::OperatorItem;
pub use policy_item::PolicyItem;
pub use rule_item::RuleItem;
pub use snapshot::Snapshot;

/// Key of the head row, which names the newest committed revision.
pub const HEAD_ROW_KEY: &str = "inventory/head";
/// Prefix of the keys of item rows, followed by the item's key.
pub const ITEM_ROW_PREFIX: &str = "inventory/item/";
/// Prefix of the keys of log rows, followed by the revision as 20 digits.
pub const LOG_ROW_PREFIX: &str = "inventory/log/";
/// Prefix of the keys of rows that map a change identifier to its revision.
pub const CHANGE_ROW_PREFIX: &str = "inventory/change/";
/// Key of the object that holds the newest snapshot.
pub const SNAPSHOT_OBJECT_KEY: &str = "inventory/snapshot.json";
