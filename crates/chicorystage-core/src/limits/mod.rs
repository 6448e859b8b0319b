//! Admission control per caller: request rate and requests in progress.
//!
//! The rate limit is a token bucket: it holds up to `burst` tokens, gains
//! `rate_per_s` tokens a second, and each request takes one. A request refused
//! by either limit takes nothing. Memory is one small record for each caller
//! seen recently: above a fixed number of records, those that equal a fresh
//! record (no request in progress, full bucket) are dropped.

mod caller_limits;
mod caller_meters;
mod limit_exceeded;

pub use caller_limits::CallerLimits;
pub use caller_meters::CallerMeters;
pub use limit_exceeded::LimitExceeded;
