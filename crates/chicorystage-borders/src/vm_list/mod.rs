//! The platform's list of VMs, which may be out of date.
//!
//! The list may contain a VM that is gone and miss one that is up. It is
//! therefore used only to choose which process attempts an action; safety never
//! depends on it. The only guarantee relied on is that a VM's id is never
//! reused, so a VM that has left the list is never listed again.

mod vm_entry;

pub use vm_entry::{VmEntry, VmState};

use crate::{BorderError, BoxFuture};

/// Client interface of the platform's list of VMs.
pub trait VmList: Send + Sync {
    /// Returns the whole list.
    fn read(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, BorderError>>;
}
