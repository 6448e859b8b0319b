//! The outside world in memory.

mod engine;
mod object_store;
mod service;
mod table;
mod vm_list;

pub use engine::{FakeEngine, FakeEngineConfig};
pub use object_store::FakeObjectStore;
pub use service::FakeService;
pub use table::{FakeTable, TableFault};
pub use vm_list::FakeVmList;
