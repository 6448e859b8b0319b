//! Refusals: the honest answers of a request that got no result.
//!
//! A refusal states whether the request's effect may have happened
//! ([`Outcome`]), a stable code ([`RefusalCode`]) and, where coming back
//! helps, the delay after which to try again.

mod code;
mod outcome;
mod refused;

pub use code::RefusalCode;
pub use outcome::Outcome;
pub use refused::Refusal;
