//! The platform's lagging list of VMs.
//!
//! The list decides who tries, never what is safe: it may name a VM that is
//! gone and lack one that is up. The one promise used is that a VM's id is
//! never given to another VM, so a VM that has left the list stays gone.

mod vm_entry;

pub use vm_entry::{VmEntry, VmState};

use crate::{BorderError, BoxFuture};

/// The platform's list of VMs.
pub trait VmList: Send + Sync {
    /// Reads the whole list.
    fn read(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, BorderError>>;
}
