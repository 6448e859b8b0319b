use chicorystage_api::name::EndpointId;
use serde::{Deserialize, Serialize};

/// A limit of an endpoint as one gateway tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownLimit {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Start of the endpoint in Unix milliseconds, as registered; tells restarts apart.
    pub born_unix_ms: Option<u64>,
    /// Requests a second that it takes from all gateways together; `None` if it names no limit.
    pub per_s: Option<f64>,
    /// Time since the answer that said so, in milliseconds.
    pub age_ms: u64,
}

impl KnownLimit {
    /// Returns whether the limit is a number that an endpoint can name.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.per_s
            .is_none_or(|per_s| per_s.is_finite() && per_s >= 0.0)
    }
}
