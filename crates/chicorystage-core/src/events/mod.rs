//! The events of a stream, told apart without reading what they carry.
//!
//! A stream that is resumed at another endpoint continues after the last event
//! that was received whole, so an event that arrived in part is held back
//! until it is whole and dropped where it never becomes so.

mod event_splitter;

pub use event_splitter::EventSplitter;
