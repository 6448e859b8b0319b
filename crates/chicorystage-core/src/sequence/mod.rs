//! The order of an attempt's frames, whichever connection they come on.
//!
//! Connections are replaced while an attempt runs, so frames may come twice,
//! late, from an earlier attempt or with a hole. A frame is delivered only if
//! it is the very next of its attempt.

mod frame_sequence;
mod sequenced;

pub use frame_sequence::FrameSequence;
pub use sequenced::Sequenced;
