use chicorystage_api::peer::PlacementPush;

use crate::placement::{DesiredSlots, next_row};
use crate::planner::{CapRows, PlanEffect, PlanFailure};

/// Maximum number of reads in one run.
const READS_MAX: u32 = 8;

/// State machine of one update of a model's placement row.
#[derive(Clone, Debug)]
pub struct PlanRun {
    desired: DesiredSlots,
    cap_rows: CapRows,
    proposed: Option<PlacementPush>,
    reads: u32,
}

impl PlanRun {
    /// Creates a run; the caller starts with a read and passes the result to
    /// [`on_read`](Self::on_read).
    #[must_use]
    pub fn new(desired: DesiredSlots) -> Self {
        Self {
            desired,
            cap_rows: CapRows::default(),
            proposed: None,
            reads: 0,
        }
    }

    /// Continues with the rows that were read; `None` means that the table could not be read.
    pub fn on_read(&mut self, read: Option<(Option<PlacementPush>, CapRows)>) -> PlanEffect {
        self.reads += 1;
        let Some((current, cap_rows)) = read else {
            return PlanEffect::Failed(PlanFailure::Unreadable);
        };
        self.cap_rows = cap_rows;
        self.propose(current)
    }

    /// Completes the run with the version that the row has after the applied write.
    ///
    /// # Panics
    ///
    /// Panics if no commit was requested, which is a bug in the caller.
    #[must_use]
    pub fn on_applied(&mut self, row_version: u64) -> PlanEffect {
        let mut push = self.proposed.take().expect("a commit was requested");
        push.row_version = row_version;
        PlanEffect::Done { push: Some(push) }
    }

    /// Continues after a conflict, or after a commit whose effect is unknown, by reading the row
    /// again.
    ///
    /// The run fails once it has used up its reads.
    #[must_use]
    pub fn on_unresolved(&mut self) -> PlanEffect {
        self.proposed = None;
        if self.reads >= READS_MAX {
            return PlanEffect::Failed(PlanFailure::Contended);
        }
        PlanEffect::Read
    }

    /// Fails the run after a commit that certainly had no effect.
    #[must_use]
    pub fn on_not_delivered(&mut self) -> PlanEffect {
        self.proposed = None;
        PlanEffect::Failed(PlanFailure::Unwritable)
    }

    fn propose(&mut self, current: Option<PlacementPush>) -> PlanEffect {
        let Some(row) = next_row(current.as_ref(), &self.desired, self.cap_rows.cap) else {
            return PlanEffect::Done { push: current };
        };
        let row_version = current.map(|push| push.row_version);
        self.proposed = Some(PlacementPush {
            row_version: 0,
            row: row.clone(),
        });
        PlanEffect::Commit {
            row_version,
            cap_rows: self.cap_rows.clone(),
            row,
        }
    }
}
