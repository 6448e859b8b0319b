//! Runs the production agent loop against a fake engine, table, VM list and router.

mod faulty_stream_engine;
mod leaving;
mod memory;
mod router;
mod slots;
mod work;
mod world;
