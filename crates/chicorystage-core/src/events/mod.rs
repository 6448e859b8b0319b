//! Splits an event stream into events without parsing their content.
//!
//! A stream that is resumed at another endpoint continues after the last event
//! that was received completely. An incomplete event is therefore buffered
//! until it is complete, and discarded if the stream breaks off before.

mod event_scanner;
mod event_splitter;
mod event_too_long;
mod media_type;
mod whole_stream;

pub use event_scanner::EventScanner;
pub use event_splitter::EventSplitter;
pub use event_too_long::EventTooLong;
pub use media_type::is_event_stream_type;
pub use whole_stream::is_whole_stream;
