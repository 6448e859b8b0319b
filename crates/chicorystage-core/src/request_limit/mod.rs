//! Limits that endpoints name for the requests of all gateways together.

mod named_limit;

pub use named_limit::NamedLimit;
