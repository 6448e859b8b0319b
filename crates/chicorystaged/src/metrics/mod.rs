//! Counters and histograms of a daemon, served at `/metrics`.
//!
//! One [`Metrics`] is created at the start and shared by reference count.
//! Counting costs a map look-up; the request path takes its handles once for
//! each request. Histograms are kept for each class and tenant.

mod class_labels;
mod gateway_metrics;
mod metrics_registry;
mod model_labels;
mod refusal_labels;
mod request_metrics;

pub use class_labels::ClassLabels;
pub use gateway_metrics::{GatewayMetrics, RequestOutcome};
pub use metrics_registry::Metrics;
pub use model_labels::ModelLabels;
pub use refusal_labels::RefusalLabels;
pub use request_metrics::RequestMetrics;
