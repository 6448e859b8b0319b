//! What operators declare and how they change it.
//!
//! The inventory is a set of [`Item`]s, each stored as one [`ItemRow`] in the
//! platform's table under the key that [`ItemKey::row_key`] gives. Every
//! accepted [`Change`] advances the head row by one revision in the same
//! transaction and leaves a [`ChangeRecord`] in the log.

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

/// Key of the row that holds the newest revision.
pub const HEAD_ROW_KEY: &str = "inventory/head";
/// Prefix of the keys of all item rows.
pub const ITEM_ROW_PREFIX: &str = "inventory/item/";
/// Prefix of the keys of the change log, followed by a 20-digit revision.
pub const LOG_ROW_PREFIX: &str = "inventory/log/";
/// Prefix of the keys that tie a change id to its revision.
pub const CHANGE_ROW_PREFIX: &str = "inventory/change/";
/// Object that holds the newest snapshot.
pub const SNAPSHOT_OBJECT_KEY: &str = "inventory/snapshot.json";
