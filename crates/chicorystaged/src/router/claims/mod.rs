//! At-most-once execution of calls that are not idempotent.
//!
//! A caller may resend such a call with the same idempotency key, through any
//! router, while an earlier copy runs or after it has run. Each key therefore
//! has a claim row in the platform's table. A router writes the row before it
//! dispatches the call, and the row names the one agent that may run it. Each
//! new claim of the same key has a higher epoch.
//!
//! [`ClaimFlow`] runs one call: it reads the claim row, claims an epoch and
//! dispatches it, or attaches to the attempt that another router dispatched.
//! [`ClaimWriter`] commits claims and outcomes of many calls in shared
//! transactions. The rules are those of [`chicorystage_core::claim`].
//!
//! # Lost answers of the table
//!
//! If the table's answer to a commit is lost, the rows are read back. A row
//! that shows the write confirms it. Otherwise the write may still take effect:
//! the claim is never dispatched and the call is refused as not run. A resend
//! finds the open claim, if it was written, and queries the agent.

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
