//! Refusals: the answers to requests that got no result.
//!
//! A refusal has a stable code ([`RefusalCode`]), states whether the request
//! may have taken effect ([`Outcome`]) and, if a retry can help, contains the
//! delay after which to retry.

mod code;
mod outcome;
mod refused;

pub use code::RefusalCode;
pub use outcome::Outcome;
pub use refused::Refusal;
