//! Structured log lines that never hold up the process.

mod bounded_appender;

pub use bounded_appender::BoundedAppender;
