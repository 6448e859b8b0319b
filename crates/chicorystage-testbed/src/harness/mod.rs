//! Real routers and agents in one process, joined by links that fail.
//!
//! Every process of the system runs its real loop and handlers within one
//! runtime, whose time tests pause. Processes reach each other, and callers
//! reach them, by HTTP over in-memory pipes; what goes wrong on the way comes
//! from a seed. Each process has a [`VmGate`] through which all of its traffic
//! passes, so that it can be paused, cut from the table, or killed.

mod exchange;
mod gate;
mod gated_engine;
mod gated_platform;
mod gated_service;
mod harness_config;
mod link_bytes;
mod link_faults;
mod memory_agent_link;
mod memory_router_link;
mod network;
mod process;
mod start;
mod system;

pub use gate::{VmCondition, VmGate};
pub use harness_config::HarnessConfig;
pub use link_bytes::LinkBytes;
pub use link_faults::LinkFaults;
pub use memory_agent_link::MemoryAgentLink;
pub use memory_router_link::MemoryRouterLink;
pub use network::Network;
pub use system::{Harness, ROOT_TOKEN};
