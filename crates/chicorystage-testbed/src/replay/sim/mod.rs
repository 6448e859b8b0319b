//! The discrete event simulation of the replay.

mod agenda;
mod caches;
mod flight;
mod idle;
mod loads;
mod request_path;
mod slots;
mod tally;
mod worker;
mod world;

pub(crate) use tally::Tally;
pub(crate) use world::World;
