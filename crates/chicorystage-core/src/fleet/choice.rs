use chicorystage_api::name::EndpointId;

/// Where a request can go now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To this endpoint.
    Endpoint(EndpointId),
    /// Endpoints hold what is needed, and all of them are full.
    Full,
    /// Endpoints have room, and all of them were given prompts a moment ago.
    Reading,
    /// No endpoint holds the model.
    NoModel,
    /// Endpoints hold the model, and none of them the adapter.
    NoAdapter,
    /// The service has no endpoint that takes requests.
    NoEndpoint,
}
