//! Metrics of routers and gateways, served at `/metrics`.
//!
//! A router creates one [`Metrics`] at its start, a gateway one
//! [`GatewayMetrics`]; both are shared by reference count. A look-up by labels
//! costs a map access, so each request of a router takes its handles once, as
//! [`RequestMetrics`]. Histograms are kept per class and tenant in a router and
//! per route in a gateway.

mod class_labels;
mod gateway_labels;
mod gateway_metrics;
mod metrics_registry;
mod model_labels;
mod refusal_labels;
mod request_metrics;
mod team_metrics;

pub use class_labels::ClassLabels;
pub use gateway_labels::RequestOutcome;
pub use gateway_metrics::GatewayMetrics;
pub use metrics_registry::Metrics;
pub use model_labels::ModelLabels;
pub use refusal_labels::RefusalLabels;
pub use request_metrics::RequestMetrics;
pub use team_metrics::TeamMetrics;
