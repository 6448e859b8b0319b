//! Log lines of gateways, and what they tell about one request.
//!
//! A [`LogLine`] is one JSON line as a gateway writes it, with whatever a log
//! collector put before it as its source. A [`History`] gathers the lines of
//! one request and those that bear on it: changes of its endpoints, orders for
//! its model, and what the gateway that took it lost at that time. A [`Cause`]
//! is what they say about the request's end.

mod cause;
mod history;
mod log_line;

pub use cause::Cause;
pub use history::History;
pub use log_line::LogLine;
