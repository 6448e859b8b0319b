//! Assignment of a model's slots to VMs.
//!
//! A slot is the right of one VM to load one replica of a model. The row of a model in the
//! platform's table lists its slots, and every change of the row is a compare-and-set. Several
//! planners may run concurrently, so the functions here only propose the next row and never
//! assume that the compare-and-set of a proposal succeeds.
//!
//! # Moves
//!
//! A slot leaves a VM in two writes with an acknowledgement between them. The first write marks
//! the slot as revoking. The agent then unloads the replica and acknowledges the release under
//! that row version or a newer one. Only then does the second write remove the slot. Without an
//! acknowledgement a slot is removed only if the VM itself no longer exists, according to
//! [`VmHistory`].
//!
//! # Cap
//!
//! A revoking slot counts against the cap until it is removed. A slot is added only while the row
//! has fewer slots than the cap, so the number of VMs that may load the model never exceeds the
//! cap under which the row was written.

mod cache_tier;
mod candidate;
mod desired_slots;
mod next_row;
mod release;
mod select;
mod vm_history;

pub use cache_tier::CacheTier;
pub use candidate::Candidate;
pub use desired_slots::{DesiredSlots, SlotDemand};
pub use next_row::next_row;
pub use release::Release;
pub use select::select_vm;
pub use vm_history::VmHistory;
