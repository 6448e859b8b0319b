//! Slots of a model: which VMs may load a replica, and how a slot moves.
//!
//! A slot is the right of one VM to load one replica. The row of a model in
//! the platform's table lists its slots, and every change of it is a
//! compare-and-set. The functions here propose the next row; they never
//! assume that the proposal wins.
//!
//! # Moves
//!
//! A slot leaves a VM in two writes with an acknowledgement between them: the
//! slot is marked as revoking, the agent unloads and acknowledges the release
//! under that row version or a newer one, and only then the slot is removed.
//! Without an acknowledgement a slot is removed only when the VM itself has
//! gone, as told by [`VmHistory`].
//!
//! # Cap
//!
//! A slot that is revoking counts until it is removed. A slot is added only
//! while fewer than the cap are in the row, so the number of VMs that may load
//! never exceeds the cap under which the row was written.

mod cache_tier;
mod candidate;
mod goal;
mod next_row;
mod release;
mod select;
mod vm_history;

pub use cache_tier::CacheTier;
pub use candidate::Candidate;
pub use goal::{Goal, Wanted};
pub use next_row::next_row;
pub use release::Release;
pub use select::select_vm;
pub use vm_history::VmHistory;
