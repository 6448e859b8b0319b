use chicorystage_api::name::EndpointId;

/// Result of selecting an endpoint: the endpoint, or the reason why none can take the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The request goes to this endpoint.
    Endpoint(EndpointId),
    /// Endpoints have the required model and adapter loaded, but all of them run at capacity.
    Full,
    /// Endpoints have capacity, but have named limits on requests that are used up now.
    Limited,
    /// Endpoints have capacity, but each one still processes prompts that this process sent
    /// shortly before.
    Reading,
    /// No reachable endpoint has the model loaded.
    NoModel,
    /// Endpoints have the model loaded, but none of them has the adapter.
    NoAdapter,
    /// The service has no reachable endpoint that accepts requests.
    NoEndpoint,
}
