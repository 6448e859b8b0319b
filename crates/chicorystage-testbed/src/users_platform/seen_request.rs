use bytes::Bytes;
use http::{HeaderMap, Method};

/// A request as an endpoint saw it.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl SeenRequest {
    /// Returns a header as text, empty where it is absent.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}
