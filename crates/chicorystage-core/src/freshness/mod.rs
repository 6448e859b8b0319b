//! Bounded staleness: whether a router may still admit requests by its rules.
//!
//! A router enforces its own copy of the inventory (the rules) and must not
//! enforce a replaced revision for longer than a bound. A change is accepted
//! once it is committed and in force at a majority of the listed routers. A
//! router may admit requests as long as one of these holds:
//!
//! * within the bound it read the inventory's head (the newest revision) and
//!   has that revision in force. A peer may have read the head in its place;
//!   the peer's answer includes the age of its reading.
//! * within the bound it queried a majority of the listed routers for their
//!   revision and has in force every revision they have. Any two majorities
//!   share a router, so at least one of the queried routers had every change
//!   that was accepted before the query.
//!
//! Evidence is dated by the time at which its query was sent, never by the
//! time at which the answer arrived, because an answer may be delayed.
//!
//! A process knows nothing of its predecessor on the same VM, which may have
//! acknowledged a change. The process therefore counts in no majority, its own
//! included, until the head was confirmed after its start, or until a majority
//! that does not include itself has answered.

mod peer_answer;
mod probe;
mod state;

pub use peer_answer::PeerAnswer;
pub use probe::Probe;
pub use state::Freshness;
