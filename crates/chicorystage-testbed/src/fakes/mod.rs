//! In-memory fakes of the platform, the model engines and the services.
//!
//! Each fake implements a trait of `chicorystage-borders` and injects faults on
//! request. Time is tokio's, so that tests can pause it.

mod answer;
mod engine;
mod object_store;
mod replica_ledger;
mod service;
mod table;
mod vm_list;
mod weight_store;

pub use answer::answer_words;
pub use engine::{EngineFault, EngineReport, FakeEngine, FakeEngineConfig};
pub use object_store::FakeObjectStore;
pub use replica_ledger::{ReplicaEvent, ReplicaLedger};
pub use service::{FakeService, ServiceFault};
pub use table::{FakeTable, TableCalls, TableFault};
pub use vm_list::FakeVmList;
pub use weight_store::{FakeWeightStore, FetchKind, WeightStore};
