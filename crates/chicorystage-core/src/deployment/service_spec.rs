use std::sync::Arc;

use chicorystage_api::name::ServiceName;

use crate::deployment::EngineSpec;

/// A service of the configuration: a set of endpoints that answer the same routes.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check at each endpoint.
    pub health_path: Arc<str>,
    /// Largest number of connections that one endpoint accepts in total.
    pub connections_max: u32,
    /// Model engines of the service; `None` if its endpoints are plain applications.
    pub engine: Option<Arc<EngineSpec>>,
}
