use std::sync::Arc;

use chicorystage_api::name::ServiceName;

use crate::deployment::EngineSpec;

/// A service as the configuration declares it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Path that answers whether an endpoint is healthy.
    pub health_path: Arc<str>,
    /// Connections that one endpoint accepts from all callers together.
    pub connections_max: u32,
    /// Model engines; none where the endpoints are plain applications.
    pub engine: Option<Arc<EngineSpec>>,
}
