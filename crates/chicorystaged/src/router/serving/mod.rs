//! The serving path: runs one request from its parsed form to its answer.
//!
//! The caller API parses HTTP into a [`CallerRequest`] and formats the payloads
//! of an [`OpenedAnswer`]. This module does everything in between without HTTP
//! types, so that tests can drive the same path in one process.
//!
//! # Stages
//!
//! 1. [`Dispatcher::enter`] authenticates the caller by its token and applies
//!    its limits of rate, concurrency and body size, before the body is read.
//! 2. The inventory admits the work, and a bounded wait queue sheds load.
//! 3. The main loop chooses a VM. A call that is not idempotent is claimed
//!    first, see [`claims`](crate::router::claims).
//! 4. The attempt is sent to the VM's agent, and its frames are read over as
//!    many connections as necessary.
//! 5. A lost attempt is retried on another VM if no content has reached the
//!    caller; else the request ends with a refusal that says whether the work
//!    may have run.

pub mod event;

mod admitted_request;
mod at_most_once_run;
mod attempt_failure;
mod attempt_start;
mod attempt_stream;
mod caller_head;
mod caller_request;
mod caller_work;
mod choose_request;
mod dispatcher;
mod entry_guard;
mod idempotent_run;
mod in_flight_guard;
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
pub use entry_guard::EntryGuard;
pub use event::ServingEvent;
pub use in_flight_guard::InFlightGuard;
pub use opened_answer::OpenedAnswer;
pub use wait_guard::WaitGuard;
pub use whole_answer::WholeAnswer;

pub(crate) use refusals::body_too_large;
pub(crate) use state::ServingState;
