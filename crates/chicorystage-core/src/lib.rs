//! Decisions of chicorystage, without I/O and without a clock.
//!
//! Everything that decides who may do what, and when, is a state machine here:
//! time comes in as an argument, effects go out as values. The daemons wire
//! these machines to sockets; tests and the trace replay drive them with
//! virtual time.
//!
//! # Parts
//!
//! * [`admission`]: which requests may wait.
//! * [`choice`]: which endpoint a request goes to.
//! * [`inventory`]: the inventory in force and what it allows.
//! * [`limits`]: rate and concurrency of a caller.
//! * [`rendezvous`]: the order in which VMs are tried for a key.
//! * [`retry`]: when a failed attempt may be followed by another.
//! * [`sequence`]: the order of an attempt's frames.
//! * [`suspects`]: requests that crash endpoints.
//! * [`token`]: digests of bearer tokens and of work.
//!
//! # Units of time
//!
//! `now_ms` is a reading of a monotonic clock in milliseconds. Only
//! differences of it mean anything.

pub mod admission;
pub mod choice;
pub mod inventory;
pub mod limits;
pub mod rendezvous;
pub mod retry;
pub mod sequence;
pub mod suspects;
pub mod token;
