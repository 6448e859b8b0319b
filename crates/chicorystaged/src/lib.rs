//! Daemon of the chicorystage serving system.
//!
//! The program runs in one of three roles. A *router* runs on an entry VM: it
//! answers callers and operators, assigns slots and grants permits to fetch
//! weights. An *agent* runs beside each endpoint: it manages that endpoint's
//! memory, queue and orders, and executes claims. A *gateway* serves a platform
//! without agents, whose endpoints accept requests and orders over HTTP.
//!
//! # Structure
//!
//! Each daemon is one thread with one runtime. In a router and an agent one
//! main loop owns all state and receives typed events from one channel. The
//! tasks around it convert between connections and events; each ends when its
//! channel closes. In a gateway the tasks share the state and borrow it for
//! one decision at a time. Time comes from the [`timer`] module.
//!
//! # Parts
//!
//! * [`settings`]: the INI file, validated as a whole.
//! * [`router`]: the router's main loop and its APIs.
//! * [`agent`]: the agent's main loop and its APIs.
//! * [`gateway`]: the gateway's tasks and their shared state.
//! * [`metrics`]: counters, gauges and histograms.
//! * [`logging`]: log lines to standard output that never block the daemon.
//! * [`timer`]: clocks and periodic ticks.
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
