//! Commits inventory changes and replicates them between the routers.
//!
//! The inventory (models, callers, operators and so on) is a log of changes in
//! the platform's table. The head row names the newest revision. Every router
//! serves from a copy in memory and must know that the copy is recent enough.
//!
//! - [`InventorySync`] is the inventory's part of the main loop. It handles
//!   [`InventoryEvent`]s, keeps the copy up to date, and stores the newest change
//!   records and the time at which the copy was last confirmed.
//! - The [`Committer`] commits one operator's change from the admin API to the
//!   table and announces it to the other routers.
//! - The reader task polls the head row in the table.
//! - Routers also send each other revision hints and fetch missing changes from
//!   one another, so that they stay up to date while the table is unreachable.

mod announce;
mod commit_error;
mod committer;
mod deferred_requests;
mod event;
mod inventory_sync;
mod long_poll;
mod peers;
mod prepare;
mod reader;
mod rows;
mod snapshot_plan;
mod snapshot_writer;
mod table_read;

pub use commit_error::CommitError;
pub use committer::Committer;
pub use event::{ChangeVerdict, InventoryEvent, InventoryUpdate};
pub use inventory_sync::InventorySync;

pub(crate) use reader::follow_head;
pub(crate) use table_read::{read_records, read_revision};
