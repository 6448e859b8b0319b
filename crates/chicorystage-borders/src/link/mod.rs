//! Calls between the system's own processes.
//!
//! The main loop of a process calls other processes through these traits only.
//! Tests connect the real loops with in-memory links that lose, delay and
//! reorder messages.

mod agent_link;
mod router_link;

pub use agent_link::{AgentLink, FrameStream};
pub use router_link::RouterLink;
