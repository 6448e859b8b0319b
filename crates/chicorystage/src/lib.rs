//! Operator's command-line tool of the chicorystage serving system.
//!
//! The tool reads inventory files, talks to the administration API of one
//! router and prints tables, or JSON for programs.
//!
//! # Parts
//!
//! * [`cli`]: the command line, one module a command.
//! * [`file`]: inventory files, read with findings and written back.
//! * [`admin_client`]: the administration API as seen by an operator.
//! * [`logs`]: log lines of gateways, and what they tell about one request.
//! * [`table`]: tables for people.
//!
//! # Exit status
//!
//! 0 where the command did what was asked, 1 where it failed, 2 where the
//! command line or a file is wrong, 3 where another change came first.

pub mod admin_client;
pub mod cli;
pub mod file;
pub mod logs;
pub mod table;

mod tool_error;
mod utc_time;

pub use tool_error::ToolError;
