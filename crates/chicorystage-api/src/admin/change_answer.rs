use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::name::{ChangeId, VmId};

/// Answer of the admin API to a committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// Identifier chosen by the submitter.
    pub change_id: ChangeId,
    /// Inventory revision that the change produced.
    pub revision: u64,
    /// Whether a majority of the routers has the change in force.
    pub status: ChangeStatus,
    /// Routers that have acknowledged that the change is in force.
    pub acknowledged: Vec<VmId>,
    /// Listed routers that have not acknowledged it.
    pub unconfirmed: Vec<VmId>,
}

/// Propagation of a committed change to the routers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeStatus {
    /// A majority of the listed routers has the change in force; it will not be lost.
    #[display("accepted")]
    Accepted,
    /// The change is in the table, but no majority of routers has acknowledged it yet.
    #[display("committed")]
    Committed,
}
