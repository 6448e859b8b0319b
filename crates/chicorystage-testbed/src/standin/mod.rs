//! The fakes behind HTTP, as processes of their own.

mod engine_api;
mod http_weight_store;
mod platform_api;
mod service_api;
mod wire;

pub use engine_api::EngineApi;
pub use http_weight_store::HttpWeightStore;
pub use platform_api::PlatformApi;
pub use service_api::ServiceApi;
