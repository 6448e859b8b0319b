//! Optimistic update of a model's placement row in the platform's table.
//!
//! Several routers may change the slots of a model at the same time. [`PlanRun`] reads the row
//! and the cap, proposes the next row and writes it on the condition that no row from which it
//! was derived has changed. After a conflict, or a commit whose answer was lost, it reads again:
//! the current row shows what happened. So a run needs no lease, and concurrent planners can only
//! delay each other.

mod cap_rows;
mod plan_effect;
mod plan_run;

pub use cap_rows::CapRows;
pub use plan_effect::{PlanEffect, PlanFailure};
pub use plan_run::PlanRun;
