//! Stand-ins, fakes and experiments for chicorystage; not shipped.
//!
//! # Parts
//!
//! * [`fakes`]: the outside world in memory, behind the traits of
//!   `chicorystage-borders`, with faults.
//! * [`standin`]: the fakes behind HTTP, as processes.
//! * [`harness`]: real routers and agents in one process, for tests.
//! * [`calls`]: what callers and operators send, and what they get.
//! * [`settings_text`]: settings files of the daemons that are started.
//! * [`deployment`]: the whole system as processes.
//! * [`audit`]: what the stand-ins saw, held against the promises.
//! * [`chaos`]: real processes under random faults.
//! * [`slopes`]: what routers and agents cost at several sizes.
//! * [`demo`]: the whole system on one machine.
//! * [`users_platform`]: stand-ins that speak the pages of the users' platform.
//! * [`replay`]: the policy under load, measured in virtual time.
//!
//! # Limits
//!
//! The fakes model what the brief promises of the outside world and no more.
//! They are no cluster simulator: time is tokio's, and tests pause it.

pub mod audit;
pub mod calls;
pub mod chaos;
pub mod cli;
pub mod demo;
pub mod deployment;
pub mod fakes;
pub mod harness;
pub mod replay;
pub mod settings_text;
pub mod slopes;
pub mod standin;
pub mod users_platform;
