use chicorystage_api::name::ServiceName;

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of its share relative to the other services of the route.
    ///
    /// A service of weight 0 receives no request, unless all weights of the route are 0: then its
    /// first service receives every request.
    pub weight: u32,
}
