//! In-order delivery of an attempt's frames across connections.
//!
//! A connection may be replaced while an attempt runs. Frames may then arrive
//! twice, late, from an earlier attempt, or with frames missing in between. A
//! frame is delivered only if its offset is the next one of its attempt.

mod frame_decision;
mod frame_sequence;

pub use frame_decision::FrameDecision;
pub use frame_sequence::FrameSequence;
