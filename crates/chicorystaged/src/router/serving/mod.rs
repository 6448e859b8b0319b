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
//! 3. The loop chooses an endpoint. A call that is not idempotent is claimed
//!    first and takes the way of [`claims`](crate::router::claims).
//! 4. The attempt's frames are followed over as many connections as it takes.
//! 5. A lost attempt is replaced where nothing was delivered; else the request
//!    ends with an honest refusal.

pub mod event;

mod attempt_failure;
mod attempt_start;
mod attempt_stream;
mod call;
mod caller_head;
mod caller_request;
mod caller_work;
mod choose_request;
mod conversation;
mod dispatcher;
mod entry;
mod flight;
mod job;
mod no_dispatch;
mod opened_answer;
mod refusals;
mod request_record;
mod send_failure;
mod state;
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
pub use dispatcher::Dispatcher;
pub use entry::Entry;
pub use event::ServingEvent;
pub use flight::Flight;
pub use opened_answer::OpenedAnswer;
pub use wait_guard::WaitGuard;
pub use whole_answer::WholeAnswer;

pub(crate) use refusals::body_too_large;
pub(crate) use state::ServingState;
