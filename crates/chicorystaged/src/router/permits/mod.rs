//! The router as holder of the weight-fetch permits.
//!
//! Agents ask any router; one that is not the holder names the one that is.

mod event;
mod state;

pub use event::PermitEvent;
pub use state::PermitState;
