//! Analysis of gateways' log lines, which explains how one request ended.
//!
//! A [`LogLine`] is one JSON line that a gateway wrote. A log collector may put
//! a prefix before the JSON; the prefix's last word becomes the line's source. A
//! [`History`] collects the lines of one request and other lines that are
//! relevant to the request. These are changes of its endpoints, orders (commands
//! to an engine) for its model, lease changes, and events that affected the whole
//! gateway at that time, such as the loss of the store. A [`Cause`] is the
//! reason, derived from these lines, for the request's end or its delay.

mod cause;
mod history;
mod log_line;

pub use cause::Cause;
pub use history::History;
pub use log_line::LogLine;
