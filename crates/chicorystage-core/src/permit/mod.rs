//! Permission to fetch weights: pacing for the weight store.
//!
//! One router, ranked first by rendezvous for [`HOLDER_KEY`], hands out
//! permits. The limits protect the weight store's speed; exceeding them for a
//! moment, as when two routers hold different lists, costs time and no
//! promise.
//!
//! An asker polls. Those who poll wait in the order of their class and then of
//! their deadline; one that stops polling is forgotten.

mod limits;
mod permit_desk;
mod start_pace;

pub use limits::PermitLimits;
pub use permit_desk::{PermitDecision, PermitDesk};

/// Rendezvous key of the router that hands out permits.
pub const HOLDER_KEY: &str = "permits";
