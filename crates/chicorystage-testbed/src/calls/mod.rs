//! HTTP requests of callers and operators, and the responses that they receive.

mod caller_answer;
mod caller_request;
mod send;

pub use caller_answer::CallerAnswer;
pub use caller_request::CallerRequest;
pub use send::{SendError, send};
