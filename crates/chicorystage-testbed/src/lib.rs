//! Emulators, fakes and experiments for testing chicorystage; not part of the shipped programs.
//!
//! # Parts
//!
//! * [`fakes`]: in-memory implementations of the external systems, behind the
//!   traits of `chicorystage-borders`, with fault injection.
//! * [`standin`]: emulators, which serve the fakes over HTTP from processes of their own.
//! * [`harness`]: real routers and agents in one process, for tests.
//! * [`calls`]: HTTP requests of callers and operators, and their responses.
//! * [`settings_file`]: settings files for the daemons that the test bed starts.
//! * [`deployment`]: the whole system on one machine, as processes.
//! * [`audit`]: observations from outside the daemons, to check guarantees with.
//! * [`chaos`]: a stress test of real processes under random faults.
//! * [`soak`]: gateways as processes under load and faults, judged from what endpoints see.
//! * [`slopes`]: the cost of routers and agents, measured at several sizes.
//! * [`demo`]: a demonstration of the whole system on one machine.
//! * [`users_platform`]: emulators of the users' platform.
//! * [`replay`]: the scheduling policies under load, simulated in virtual time.
//!
//! # Limits
//!
//! The fakes model only the documented guarantees of the external systems. They
//! are no cluster simulator: time is tokio's clock, which tests pause.

pub mod audit;
pub mod calls;
pub mod chaos;
pub mod cli;
pub mod demo;
pub mod deployment;
pub mod fakes;
pub mod harness;
pub mod replay;
pub mod settings_file;
pub mod slopes;
pub mod soak;
pub mod standin;
pub mod users_platform;
