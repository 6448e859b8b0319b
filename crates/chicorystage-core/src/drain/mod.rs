//! When a leaving agent may exit.
//!
//! A leaving agent refuses new work, finishes what runs, unloads its replicas
//! and gives up its slots, in this order. It exits when all of that is done,
//! or when the longest graceful stop has passed.

mod progress;
mod remaining;

pub use progress::{Drain, RELEASE_WAIT_MAX_MS};
pub use remaining::Remaining;
