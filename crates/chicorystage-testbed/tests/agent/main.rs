//! The real agent loop beside a fake engine, table, list of VMs and router.

mod leaving;
mod memory;
mod router;
mod slots;
mod work;
mod world;
