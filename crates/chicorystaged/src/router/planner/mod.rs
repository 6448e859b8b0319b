//! Decides which VMs hold a slot (permission to load a replica) of each model.
//!
//! Two routers must not decide the placement of the same model differently.
//! The planner of a model is therefore the live router ranked first by
//! rendezvous hashing of the model's name. Any other router that needs a slot
//! sends a request to that planner, and runs its own planning if the planner
//! fails to answer. Two concurrent runs are safe because each writes the
//! placement row with a version check, so the table lets only one win.
//!
//! [`PlannerState`] is the planner's part of the router's main loop. It starts
//! one task per planning run, which probes agents and reads and writes the
//! table, and pushes the resulting rows to the agents they name.

mod event;
mod probe;
mod pushes;
pub(crate) mod refresh;
mod row_store;
mod run_task;
mod state;
mod view;

pub use event::PlannerEvent;
pub use state::PlannerState;
pub use view::PlannerView;
