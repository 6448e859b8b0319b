use chicorystage_api::name::VmId;
use serde::{Deserialize, Serialize};

/// The lease as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// VM of the holder.
    pub holder: VmId,
    /// Start of the holder's process; two processes of one VM never share it.
    pub incarnation: u64,
    /// Epoch, the fencing number of the holder's orders.
    pub epoch: u64,
    /// Renewals in this epoch, so that each write changes the row.
    pub renewals: u64,
    /// Whether the holder gave the lease up.
    pub released: bool,
}
