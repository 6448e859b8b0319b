//! Decides when a draining agent may exit.
//!
//! A draining agent refuses new work, completes the accepted attempts, unloads
//! its replicas and releases its slots, in this order. It exits once all of
//! that is done, or when the maximum duration of a graceful stop has passed.

mod progress;
mod remaining;

pub use progress::{Drain, RELEASE_WAIT_MAX_MS};
pub use remaining::Remaining;
