//! One decision about a model's slots, carried through the platform's table.
//!
//! [`PlanRun`] reads the row and the cap, proposes the next row and writes it
//! on the condition that nothing it was derived from has changed. A conflict,
//! or a commit whose answer was lost, sends it back to reading: the row in
//! force tells what happened. So a run needs no lease, and planners that run
//! at once can only delay each other.

mod cap_rows;
mod plan_effect;
mod plan_run;

pub use cap_rows::CapRows;
pub use plan_effect::{PlanEffect, PlanFailure};
pub use plan_run::PlanRun;
