//! Runs the production agent loop against a fake engine, table, VM list and router.

mod deceptive_engine;
mod leaving;
mod memory;
mod router;
mod slots;
mod work;
mod world;
