use chicorystage_api::admin::{ChangeConflict, ItemFinding};
use chicorystage_api::inventory::ItemKey;
use chicorystage_api::refusal::Refusal;

/// Why a change was not committed, or is not known to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitError {
    /// Other changes came first.
    Conflict(Vec<ChangeConflict>),
    /// The inventory does not allow the change.
    Invalid(Vec<ItemFinding>),
    /// The operator does not own these items.
    Forbidden(Vec<ItemKey>),
    /// The change could not be committed, or its commit could not be settled.
    Refused(Refusal),
}

impl From<Refusal> for CommitError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}
