//! Admission control for fetches from the weight store.
//!
//! Too many concurrent fetches slow each other down, so an agent needs a permit
//! for each. The router that rendezvous hashing ranks first for [`HOLDER_KEY`]
//! grants them. Two routers may briefly grant permits at once while their
//! lists of routers differ. Exceeding the limits makes fetches slower and
//! breaks no guarantee.
//!
//! Agents poll for a permit. Waiting requests are ordered by class and then by
//! deadline. A request that is no longer polled is dropped.

mod limits;
mod permit_limiter;
mod start_rate_window;

pub use limits::PermitLimits;
pub use permit_limiter::{PermitDecision, PermitLimiter};

/// Key of the rendezvous hashing that selects the router that grants permits.
pub const HOLDER_KEY: &str = "permits";
