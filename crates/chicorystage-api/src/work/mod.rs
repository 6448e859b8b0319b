//! One attempt of one request, and the frames that answer it.
//!
//! A router sends an [`AttemptRequest`] to an agent as the body of
//! `POST /work/v1/attempts`. The answer is a stream of [`Frame`]s, one JSON
//! document a line. `GET /work/v1/attempts/<request>/<attempt>?offset=N`
//! resumes the same attempt on a new connection at frame offset `N`.
//!
//! # Invariants
//!
//! * Offsets of an attempt's content frames are consecutive and start at 0.
//!   Heartbeats carry the offset of the next content frame and are not recorded.
//! * Exactly one frame of an attempt is final ([`Payload::is_final`]); an
//!   answer that ends without it is truncated.
//! * Each frame names its attempt, so that a delayed frame of an earlier attempt
//!   is recognised and dropped.

mod attempt_request;
mod claim_ticket;
mod completion;
mod end_summary;
mod endpoint_load;
mod frame;
mod payload;
mod service_call;
mod slot_grant;
mod spec;

pub use attempt_request::AttemptRequest;
pub use claim_ticket::ClaimTicket;
pub use completion::Completion;
pub use end_summary::EndSummary;
pub use endpoint_load::EndpointLoad;
pub use frame::Frame;
pub use payload::Payload;
pub use service_call::ServiceCall;
pub use slot_grant::SlotGrant;
pub use spec::WorkSpec;

/// Path to which a router posts attempts.
pub const ATTEMPTS_PATH: &str = "/work/v1/attempts";
/// Longest interval between two frames of a running attempt, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Number of consecutive missed heartbeats after which a connection is replaced.
pub const HEARTBEATS_MISSED_MAX: u64 = 3;
/// Longest encoded frame, in bytes; the whole answer of a plain service is one frame.
pub const FRAME_BYTES_MAX: usize = 16 << 20;
