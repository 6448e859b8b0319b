use serde::{Deserialize, Serialize};

use crate::inventory::ChangeRecord;
use crate::name::VmId;

/// Notice of a committed inventory revision, sent from router to router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionHint {
    /// Router that sends the notice.
    pub from: VmId,
    /// Newest revision that the sender knows to be committed.
    pub revision: u64,
    /// Age of the sender's last confirmation of the head, in milliseconds; `u64::MAX` for none.
    pub confirmed_age_ms: u64,
    /// Record of the change; `None` if the sender does not have it.
    pub record: Option<ChangeRecord>,
}

/// Answer to a [`RevisionHint`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionAck {
    /// Router that answers.
    pub from: VmId,
    /// Revision in force at that router.
    pub revision: u64,
    /// Age of that router's last confirmation of the head, in milliseconds; `u64::MAX` for none.
    pub confirmed_age_ms: u64,
}
