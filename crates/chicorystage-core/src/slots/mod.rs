//! Slots that one VM holds, as known to its agent.
//!
//! Placement rows reach an agent over several paths and may be delayed or reordered. For each
//! model the agent tracks the newest row that it has seen. A row at or below the tracked version,
//! or at or below the table's version at the time of the agent's full read, is outdated and
//! ignored. So a delayed message cannot restore a slot that has been released.

mod slot_status;
mod tracked_slots;

pub use slot_status::SlotStatus;
pub use tracked_slots::Slots;
