//! The router as planner: decides slots for the models that it ranks first for.
//!
//! The planner of a model is the router ranked first by rendezvous over the
//! live routers. Another router that needs a slot asks it and falls back to a
//! run of its own where the planner does not answer; the table arbitrates.
//! [`PlannerState`] is the part of the main loop that decides, a run's task
//! does its reads, writes and probes, and pushes deliver rows to agents.

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
