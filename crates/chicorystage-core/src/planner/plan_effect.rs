use chicorystage_api::peer::{PlacementPush, PlacementRow};
use displaydoc::Display as DocDisplay;

use crate::planner::CapRows;

/// What a [`PlanRun`](crate::planner::PlanRun) wants done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanEffect {
    /// Read the placement row and the rows of the cap.
    Read,
    /// Write the row if its version and those of the cap are unchanged.
    Commit {
        /// Version that the placement row must have; none where it is absent.
        row_version: Option<u64>,
        /// Rows of the cap, which must be unchanged.
        cap_rows: CapRows,
        /// New row.
        row: PlacementRow,
    },
    /// The run is over; this row is in force, or none exists.
    Done {
        /// The row.
        push: Option<PlacementPush>,
    },
    /// The run is given up.
    Failed(PlanFailure),
}

/// Why a run was given up.
#[derive(Clone, Copy, Debug, DocDisplay, PartialEq, Eq)]
pub enum PlanFailure {
    /// the table could not be read
    Unreadable,
    /// the table could not be written
    Unwritable,
    /// other planners changed the row too often
    Contended,
}
