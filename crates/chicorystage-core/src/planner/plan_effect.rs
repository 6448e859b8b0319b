use chicorystage_api::peer::{PlacementPush, PlacementRow};
use displaydoc::Display as DocDisplay;

use crate::planner::CapRows;

/// Next action that a [`PlanRun`](crate::planner::PlanRun) requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanEffect {
    /// Read the placement row and the rows that determine the cap.
    Read,
    /// Write the row if the placement row and the rows of the cap are unchanged.
    Commit {
        /// Version that the placement row must have; `None` if it must be absent.
        row_version: Option<u64>,
        /// Rows of the cap, which must be unchanged.
        cap_rows: CapRows,
        /// New row.
        row: PlacementRow,
    },
    /// The run has ended without error.
    Done {
        /// Row that is in force; `None` if the model has no row.
        push: Option<PlacementPush>,
    },
    /// The run has failed.
    Failed(PlanFailure),
}

/// Reason why a run failed.
#[derive(Clone, Copy, Debug, DocDisplay, PartialEq, Eq)]
pub enum PlanFailure {
    /// the table could not be read
    Unreadable,
    /// the table could not be written
    Unwritable,
    /// other planners changed the row too often
    Contended,
}
