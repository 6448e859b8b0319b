//! The system's own processes as seen by each other.
//!
//! A loop that sends to another process does so through these traits, so that
//! tests can join real loops with in-memory links that lose, delay and
//! reorder.

mod agent_link;
mod router_link;

pub use agent_link::{AgentLink, FrameStream};
pub use router_link::RouterLink;
