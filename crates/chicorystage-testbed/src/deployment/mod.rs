//! A deployment of the whole system on one machine, with a process for each part.
//!
//! Routers and agents are real daemons; the platform, the engines and the
//! services are emulators. Each process is the test bed's own program, started
//! with other arguments. The test bed signals only processes that it started,
//! by their process IDs.

mod child;
mod config;
mod node;
mod plan;
mod ports;
mod requests;
mod started;

pub use child::{ChildProcess, Signal};
pub use config::DeploymentConfig;
pub use node::Node;
pub(crate) use ports::free_address;
pub use started::Deployment;
