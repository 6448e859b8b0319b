//! Interfaces between a chicorystage process and everything outside it.
//!
//! Each interface, called a border, is a trait that is used as a trait object.
//! Its implementation is the HTTP client of this crate, an in-memory fake in a
//! test, or a user's own test bench.
//!
//! # Parts
//!
//! * [`table`]: the platform's transactional table.
//! * [`object_store`]: the platform's object store.
//! * [`vm_list`]: the platform's list of VMs, which may be out of date.
//! * [`engine`]: a model engine beside an agent.
//! * [`service`]: a plain service beside an agent.
//! * [`http`]: the HTTP server, and HTTP clients that implement these traits.
//! * [`link`]: calls between the system's own processes.
//!
//! # Errors
//!
//! Every error states whether the call may have taken effect. At-most-once
//! execution depends on that: a call that was not delivered may be retried
//! elsewhere, a call whose outcome is unknown may not.

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
