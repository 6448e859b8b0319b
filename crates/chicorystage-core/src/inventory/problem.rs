use chicorystage_api::admin::ItemFinding;
use chicorystage_api::inventory::ItemKey;

/// A finding in a change, with the other item that causes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// What is wrong and what is allowed.
    pub finding: ItemFinding,
    /// Item outside the change whose presence or absence makes it wrong.
    pub cause: Option<ItemKey>,
}
