//! Decisions of chicorystage, without I/O and without a clock.
//!
//! Everything that decides who may do what, and when, is a state machine here:
//! time comes in as an argument, effects go out as values. The daemons wire
//! these machines to sockets; tests and the trace replay drive them with
//! virtual time.
//!
//! # Parts
//!
//! * [`claim`]: calls that are not idempotent run at most once.
//! * [`inventory`]: the inventory in force and what it allows.
//! * [`rendezvous`]: the order in which VMs are tried for a key.
//! * [`sequence`]: the order of an attempt's frames.
//! * [`token`]: digests of bearer tokens and of work.
//!
//! # Units of time
//!
//! `now_ms` is a reading of a monotonic clock in milliseconds. Only
//! differences of it mean anything.

pub mod claim;
pub mod inventory;
pub mod rendezvous;
pub mod sequence;
pub mod token;
