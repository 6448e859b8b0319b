//! Borders of chicorystage to everything outside a process.
//!
//! Each border is a trait used as a trait object, so that the real HTTP
//! client, an in-memory fake or a user's own bench can stand behind it.
//!
//! # Parts
//!
//! * [`table`]: the platform's transactional table.
//! * [`object_store`]: the platform's object store.
//! * [`vm_list`]: the platform's lagging list of VMs.
//! * [`engine`]: a model engine beside an agent.
//! * [`service`]: a plain service beside an agent.
//! * [`http`]: the HTTP clients and server behind these borders.
//! * [`link`]: the system's own processes as seen by each other.
//!
//! # What an error says
//!
//! Every error tells whether the effect may have happened. That distinction
//! carries the system's honesty: "not delivered" may be retried elsewhere,
//! "unknown" may not.

pub mod engine;
pub mod http;
pub mod link;
pub mod object_store;
pub mod service;
pub mod table;
pub mod vm_list;

mod border_error;
mod boxed;

pub use border_error::{BorderError, BorderErrorKind};
pub use boxed::BoxFuture;
