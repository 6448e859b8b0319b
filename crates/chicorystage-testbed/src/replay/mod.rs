//! Trace replay: measures the scheduling policies under load, in virtual time.
//!
//! A discrete event simulation runs the decision code of `chicorystage-core`
//! (placement, load permits, keep-alive, eviction, request queue) against
//! simulated engines with cache tiers and a rate-limited weight store. Each
//! trace is replayed under the product's policy and under baselines such as
//! fixed keep-alives, and the figures are compared with the trace's expected
//! outcomes. The same trace, policy and seed give the same figures.
//!
//! # Simplifications
//!
//! * The event loops of routers and agents do not run: a network hop and a
//!   placement decision, which commits to the table, are fixed delays.
//! * Routers know the endpoints' load exactly; load reports do not lag.
//! * An engine runs a fixed number of requests concurrently, and they do not
//!   slow each other down.
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
