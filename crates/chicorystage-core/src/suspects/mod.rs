//! Requests that crash endpoints.
//!
//! Every request in progress when its endpoint dies becomes a suspect by the
//! digest of its work, the guilty one and the bystanders alike. A suspect runs
//! alone: if the endpoint dies again there is no other to blame, and the
//! digest is quarantined; if the suspect completes it is cleared. A crash of
//! an attempt that did not run alone never quarantines, however often.
//!
//! Routers tell each other of suspects and quarantined digests. Decisions
//! carry wall-clock times and the newest wins; a quarantine is lifted only by
//! an operator.

mod standing;
mod suspect_list;

pub use standing::Standing;
pub use suspect_list::SuspectList;
