//! The real agent loop beside a fake engine, table, list of VMs and router.

mod deceptive_engine;
mod leaving;
mod memory;
mod router;
mod slots;
mod work;
mod world;
