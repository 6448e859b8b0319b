use serde::{Deserialize, Serialize};

use crate::inventory::ChangeRecord;
use crate::name::VmId;

/// News of a committed inventory revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionHint {
    /// Router that tells.
    pub from: VmId,
    /// Newest revision that it knows to be committed.
    pub revision: u64,
    /// Age of the teller's last confirmation of the head, in milliseconds.
    pub confirmed_age_ms: u64,
    /// The change itself, where it is known.
    pub record: Option<ChangeRecord>,
}

/// Answer to a [`RevisionHint`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionAck {
    /// Router that answers.
    pub from: VmId,
    /// Revision in force there.
    pub revision: u64,
    /// Age of its last confirmation of the head, in milliseconds.
    pub confirmed_age_ms: u64,
}
