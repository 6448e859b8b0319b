//! The whole system on one machine, each part a process of its own.
//!
//! The test bed starts its own program again with other arguments, and ends
//! only processes that it started, by their id.

mod child;
mod config;
mod node;
mod plan;
mod ports;
mod started;
mod talk;

pub use child::{ChildProcess, Signal};
pub use config::DeploymentConfig;
pub use node::Node;
pub use started::Deployment;
