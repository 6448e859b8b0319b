//! Emulators: HTTP servers around the in-memory fakes, for tests with real processes.
//!
//! Chaos runs and the demo start the daemons as processes of their own, which
//! reach the platform, the engines and the services over HTTP only. Each type
//! here serves one fake by the protocol that the daemon's client speaks, and
//! adds paths below `/control/` for injecting faults and reading counters.

mod engine_api;
mod http_weight_store;
mod platform_api;
mod service_api;
mod wire;

pub use engine_api::EngineApi;
pub use http_weight_store::HttpWeightStore;
pub use platform_api::PlatformApi;
pub use service_api::ServiceApi;
