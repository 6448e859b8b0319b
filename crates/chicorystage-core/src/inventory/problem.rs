use chicorystage_api::admin::ItemFinding;
use chicorystage_api::inventory::ItemKey;

/// A reason why a change is invalid, with the other item that causes it, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The field at fault, its value and the values allowed.
    pub finding: ItemFinding,
    /// Other item whose presence, absence or content makes the value invalid.
    pub cause: Option<ItemKey>,
}
