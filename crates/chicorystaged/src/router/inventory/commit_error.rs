use chicorystage_api::admin::{ChangeConflict, ItemFinding};
use chicorystage_api::inventory::ItemKey;
use chicorystage_api::refusal::Refusal;

/// Reason why a change was not committed, or why its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitError {
    /// Changes committed earlier conflict with this one.
    Conflict(Vec<ChangeConflict>),
    /// The change would make the inventory invalid.
    Invalid(Vec<ItemFinding>),
    /// The operator does not own these items.
    Forbidden(Vec<ItemKey>),
    /// The commit failed or its outcome is unknown; the refusal's outcome says which.
    Refused(Refusal),
}

impl From<Refusal> for CommitError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}
