//! The life of one request, from a parsed request to its whole answer.
//!
//! The caller API parses HTTP into a [`CallerRequest`] and formats what an
//! [`OpenedAnswer`] yields. Everything between is here and knows no HTTP, so
//! that an in-process harness drives the same path with the same types.
//!
//! # The path
//!
//! 1. [`Dispatcher::enter`] knows the caller by its token and holds it to its
//!    limits of rate, concurrency and body size, before the body is read.
//! 2. The inventory admits the work; the waiting room bounds what waits.
//! 3. The loop chooses an endpoint; a call that is not idempotent is claimed
//!    through the [`ClaimGate`].
//! 4. The attempt's frames are followed over as many connections as it takes.
//! 5. A lost attempt is replaced where nothing was delivered and repeating it
//!    is safe; else the request ends with an honest refusal.

pub mod event;

mod attempt_failure;
mod attempt_start;
mod attempt_stream;
mod caller_head;
mod caller_request;
mod caller_work;
mod choose_request;
mod claim_gate;
mod conversation;
mod dispatcher;
mod entry;
mod flight;
mod opened_answer;
mod request_record;
mod state;
mod taken_on;
mod terms;
mod trace_log;
mod wait_guard;
mod whole_answer;
mod work_key;

pub(crate) mod quarantine;

pub use caller_head::CallerHead;
pub use caller_request::CallerRequest;
pub use caller_work::CallerWork;
pub use choose_request::ChooseRequest;
pub use claim_gate::{ClaimDecision, ClaimGate, ClaimRequest, NoClaims};
pub use dispatcher::Dispatcher;
pub use entry::Entry;
pub use event::ServingEvent;
pub use flight::Flight;
pub use opened_answer::OpenedAnswer;
pub use wait_guard::WaitGuard;
pub use whole_answer::WholeAnswer;

pub(crate) use state::{ServingState, body_too_large};
