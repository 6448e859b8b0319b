//! The life of one request, from a parsed request to its whole answer.
//!
//! The caller API parses HTTP into a [`CallerRequest`] and formats what an
//! [`OpenedAnswer`] yields. Everything between is here and knows no HTTP, so
//! that an in-process harness drives the same path with the same types.

mod attempt_failure;
mod attempt_stream;
mod caller_head;
mod caller_request;
mod caller_work;
mod claim_gate;
mod conversation;
mod dispatcher;
mod opened_answer;
mod whole_answer;

pub use caller_head::CallerHead;
pub use caller_request::CallerRequest;
pub use caller_work::CallerWork;
pub use claim_gate::{ClaimDecision, ClaimGate, ClaimRequest, NoClaims};
pub use dispatcher::Dispatcher;
pub use opened_answer::OpenedAnswer;
pub use whole_answer::WholeAnswer;
