//! Structured logging to standard output that never blocks the daemon.
//!
//! A log line goes through a bounded queue to a thread that writes it. When
//! the queue is full, lines are dropped and counted.

mod bounded_appender;
mod line_encoder;

pub use bounded_appender::BoundedAppender;
pub use line_encoder::LineEncoder;
