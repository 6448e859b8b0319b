//! The deployment's configuration: routes, services and the models they serve.
//!
//! A [`Configuration`] is one complete version, as an operator declared it. It
//! is immutable: a newer version replaces all of it, and a process never
//! returns to an older one.

mod configuration;
mod engine_spec;
mod model_spec;
mod request_limits;
mod route;
mod route_kind;
mod service_spec;
mod weighted_service;

pub use configuration::Configuration;
pub use engine_spec::EngineSpec;
pub use model_spec::ModelSpec;
pub use request_limits::RequestLimits;
pub use route::Route;
pub use route_kind::RouteKind;
pub use service_spec::ServiceSpec;
pub use weighted_service::WeightedService;
