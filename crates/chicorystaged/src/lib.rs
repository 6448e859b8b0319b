//! Daemon of the chicorystage serving system.
//!
//! One program, two roles. A *router* runs on an entry VM: it answers callers
//! and operators, decides slots and hands out permits to fetch weights. An
//! *agent* runs beside each endpoint: it owns that endpoint's memory, queue,
//! orders and the execution of claims.
//!
//! # How a daemon is built
//!
//! Each daemon is one thread with one runtime. One main loop owns all state
//! and takes typed events from one channel. Tasks around it only move bytes:
//! they turn a connection into events and events into bytes, and end when
//! their channel closes. Time comes from the [`timer`] service.
//!
//! # Parts
//!
//! * [`settings`]: the INI file, checked as a whole.
//! * [`router`]: the router's loop and its APIs.
//! * [`agent`]: the agent's loop and its APIs.
//! * [`metrics`]: counters and histograms.
//! * [`timer`]: ticks that parts subscribe to.
//! * [`cli`]: the command line and the start of the process.

pub mod agent;
pub mod cli;
pub mod gateway;
pub mod logging;
pub mod metrics;
pub mod router;
pub mod settings;
pub mod timer;

mod rpc_server;
mod stop;
mod web;
