use chicorystage_api::name::VmId;
use serde::{Deserialize, Serialize};

/// The stored row of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// VM of the lease holder.
    pub holder: VmId,
    /// Start of the holder's process, which differs between any two processes of one VM.
    pub incarnation: u64,
    /// Epoch, which is the fencing token of the holder's orders; each take-over raises it.
    pub epoch: u64,
    /// Number of renewals in this epoch, so that every renewal changes the row.
    pub renewals: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
}
