//! Limits how many agents fetch model weights at the same time.
//!
//! One router, the permit holder, keeps the limiter for the whole deployment;
//! it is the live router ranked first by rendezvous hashing of a fixed key.
//! Agents may send their request to any router. A router that is not the
//! permit holder answers with the holder's VM.

mod event;
mod state;

pub use event::PermitEvent;
pub use state::PermitState;
