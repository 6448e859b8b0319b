//! Command-line tool with which operators manage a chicorystage deployment.
//!
//! The tool reads inventory files, calls the admin API of one router
//! and prints tables, or JSON for programs. It can also explain a request from
//! the log files of gateways.
//!
//! # Parts
//!
//! * [`cli`]: the command line, with one module per command.
//! * [`file`]: inventory files, parsed with findings and written back.
//! * [`admin_client`]: the client of the admin API.
//! * [`logs`]: parsing of gateways' log lines, and analysis of one request's lines.
//! * [`table`]: text tables for the terminal.
//!
//! # Exit status
//!
//! 0 if the command succeeded, 1 if it failed, 2 if the command line or a file
//! is invalid, 3 if a concurrent change caused a conflict.

pub mod admin_client;
pub mod cli;
pub mod file;
pub mod logs;
pub mod table;

mod tool_error;
mod utc_time;

pub use tool_error::ToolError;
