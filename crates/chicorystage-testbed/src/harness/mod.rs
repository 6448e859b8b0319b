//! Real routers and agents in one operating system process, with simulated link faults.
//!
//! Tests of failover and timeouts need many daemons, faults at exact moments and
//! no waiting in real time. The harness runs the real loops and handlers of every
//! router and agent (each counts as a process on a VM of its own) within one tokio
//! runtime, whose clock tests pause. The processes reach each other, and callers reach
//! them, by HTTP over in-memory pipes. A seeded generator decides which messages
//! are refused, lost or delayed. All traffic of a process passes through its
//! [`VmGate`], which can pause it, cut it off from the table, or kill it.

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
