use bytes::Bytes;
use http::{HeaderMap, Method};
use tokio::time::Instant;

/// A request as an emulated endpoint received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// HTTP method of the request.
    pub method: Method,
    /// Path with its query; `/` if the URI has none.
    pub path: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Time at which the request had arrived whole.
    pub arrived: Instant,
    /// Body of the request, empty if it could not be read.
    pub body: Bytes,
}

impl ReceivedRequest {
    /// Returns all values of a header that are text.
    #[must_use]
    pub fn headers_named(&self, name: &str) -> Vec<&str> {
        let values = self.headers.get_all(name).iter();
        values.filter_map(|value| value.to_str().ok()).collect()
    }

    /// Returns a header as text, or an empty string if it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}
