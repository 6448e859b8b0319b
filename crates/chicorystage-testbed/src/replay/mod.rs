//! Trace replay: the policy under load, measured in virtual time.
//!
//! A discrete event loop drives the decision code of `chicorystage-core`
//! (placement, permits, keep-alive, eviction, queue) against in-memory
//! engines with cache tiers and a rate-limited weight store. The same trace,
//! policy and seed give the same figures.
//!
//! # What the model keeps simple
//!
//! * Routers, agents and links are not the real loops: a hop is a delay, and
//!   a decision in the table is a delay.
//! * Routers know the endpoints' load exactly; reports do not lag.
//! * An engine runs a fixed number of requests at once, each at its own speed.
//! * A load's duration is fixed when it starts.
//! * Time has a resolution of one millisecond.

mod check;
mod deployment;
mod idle_policy;
mod options;
mod plot;
mod policy;
mod recorder;
mod report;
mod run;
mod scenario;
mod sim;
mod trace;

pub use check::{Finding, check};
pub use deployment::{Deployment, ModelSpec, TenantSpec};
pub use options::ReplayOptions;
pub use policy::Policy;
pub use recorder::record_all;
pub use report::Report;
pub use run::{replay, run};
pub use scenario::{Faults, Outcomes, Scenario};
pub use trace::TraceRow;
