use chicorystage_api::name::ServiceName;

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of its share relative to the other services of the route.
    pub weight: u32,
}
