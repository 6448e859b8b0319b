use chicorystage_api::name::{AdapterName, EndpointId, ModelName, ServiceName};

/// What a request needs of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// Service of the request's route.
    pub service: ServiceName,
    /// Model that must be held; none for a plain application.
    pub model: Option<ModelName>,
    /// Adapter of the model that must be held.
    pub adapter: Option<AdapterName>,
    /// Endpoints that failed this request before.
    pub avoid: Vec<EndpointId>,
}
