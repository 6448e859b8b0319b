//! The discrete event simulation of the replay.

mod caches;
mod event_queue;
mod idle;
mod loads;
mod request_path;
mod request_state;
mod simulation;
mod slots;
mod tally;
mod worker;

pub(crate) use simulation::Simulation;
pub(crate) use tally::Tally;
