//! Calls that are not idempotent, from the caller's key to one execution.
//!
//! [`ClaimFlow`] follows one call: it reads the claim row, claims an epoch,
//! dispatches it, or attaches to the attempt that another router dispatched.
//! [`ClaimWriter`] commits claims and outcomes of many calls in shared
//! transactions. The rules are those of [`chicorystage_core::claim`].
//!
//! # What a lost answer of the table means
//!
//! A claim whose commit may have taken effect is never dispatched: the call is
//! refused as not run, and whoever repeats it finds the open claim and asks
//! the agent. Reading the row back settles the case where the commit is seen.

mod claim_dispatch;
mod claim_flow;
mod claim_key;
mod claim_writer;
mod claimed_answer;
mod claimed_call;
mod write_batch;

pub use claim_dispatch::{ClaimDispatch, StartFailure};
pub use claim_flow::ClaimFlow;
pub use claim_key::claim_row_key;
pub use claim_writer::{ClaimWrite, ClaimWriter, WriteResult};
pub use claimed_answer::{ClaimedAnswer, OutcomeRecorder};
pub use claimed_call::ClaimedCall;
