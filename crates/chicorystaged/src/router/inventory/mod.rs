//! The inventory at one router: how changes are committed and how they spread.
//!
//! [`Spread`] is the loop's part: it takes [`InventoryEvent`]s, keeps the
//! inventory in force, the newest records and what is known of its freshness.
//! The [`Committer`] follows one operator's change from the admin API to the
//! table and to the other routers. The reader task follows the head.

mod announce;
mod commit_error;
mod committer;
mod event;
mod held;
mod long_poll;
mod peers;
mod prepare;
mod reader;
mod rows;
mod snapshot_plan;
mod snapshot_writer;
mod spread;
mod table_read;

pub use commit_error::CommitError;
pub use committer::Committer;
pub use event::{InventoryEvent, News, Prepared};
pub use spread::Spread;

pub(crate) use reader::follow_head;
pub(crate) use table_read::{read_records, read_revision};
