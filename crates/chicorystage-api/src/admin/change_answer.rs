use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::name::{ChangeId, VmId};

/// Answer to a committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// Identity chosen by the submitter.
    pub change_id: ChangeId,
    /// Revision that the change made.
    pub revision: u64,
    /// How far the change has spread.
    pub status: ChangeStatus,
    /// Routers that have it in force.
    pub acknowledged: Vec<VmId>,
    /// Listed routers that have not acknowledged it.
    pub unconfirmed: Vec<VmId>,
}

/// How far a committed change has spread.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeStatus {
    /// A majority of the listed routers has it in force; it will not revert.
    #[display("accepted")]
    Accepted,
    /// It is in the table, but no majority has acknowledged it yet.
    #[display("committed")]
    Committed,
}
