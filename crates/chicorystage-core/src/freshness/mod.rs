//! Whether the rules in force may still be used.
//!
//! A change is accepted once it is committed and in force at a majority of the
//! listed routers. A router may go on admitting requests while it knows that no
//! accepted change was hidden from it for longer than a bound:
//!
//! * it saw the head of the inventory within the bound, itself or through a
//!   peer that tells how long ago it saw it; or
//! * within the bound it asked a majority of the listed routers and has in
//!   force whatever they have. Any two majorities share a router, so one of
//!   those asked had every change that was accepted before the question.
//!
//! Times are those at which a question was sent, never those at which its
//! answer came: an answer may be late.
//!
//! A process remembers nothing of its predecessor on the same VM, which may
//! have acknowledged a change. Until it has seen the head confirmed after its
//! own start, or has asked a majority that does not count itself, it takes part
//! in no majority, its own included.

mod peer_contact;
mod probe;
mod state;

pub use peer_contact::PeerContact;
pub use probe::Probe;
pub use state::Freshness;
