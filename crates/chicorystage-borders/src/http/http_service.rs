use std::net::SocketAddr;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use chicorystage_api::work::ServiceCall;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method};

use crate::http::{BodyFraming, HttpClient};
use crate::service::{Service, ServiceReply};
use crate::{BorderError, BorderErrorKind, BoxFuture};

/// Largest answer of a service, in bytes; its encoding must fit into one frame to the router.
const ANSWER_BYTES_MAX: usize = 8 << 20;

/// Client of a plain service over HTTP.
#[derive(Debug)]
pub struct HttpService {
    client: HttpClient,
}

impl HttpService {
    /// Creates a client; `timeout_ms` bounds each call.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            client: HttpClient::new(address, timeout_ms).with_response_bytes_max(ANSWER_BYTES_MAX),
        }
    }
}

impl Service for HttpService {
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceReply, BorderError>> {
        Box::pin(async move {
            let invalid = |detail: String| BorderError::new(BorderErrorKind::NotDelivered, detail);
            let body = STANDARD
                .decode(call.body_base64.as_bytes())
                .map_err(|error| invalid(format!("body: {error}")))?;
            let method = Method::from_bytes(call.method.as_bytes())
                .map_err(|error| invalid(error.to_string()))?;
            let mut request = self.client.request(method, &call.path, Bytes::from(body));
            if let Ok(value) = HeaderValue::from_str(&call.content_type)
                && !call.content_type.is_empty()
            {
                request.headers_mut().insert(CONTENT_TYPE, value);
            }
            let response = self.client.send(request).await?;
            let content_type = response
                .headers()
                .get(CONTENT_TYPE)
                .and_then(|value| value.to_str().ok());
            Ok(ServiceReply {
                status: response.status().as_u16(),
                content_type: content_type.unwrap_or_default().into(),
                framing: BodyFraming::of(response.headers()),
                body: response.into_body(),
            })
        })
    }

    fn probe(&self) -> BoxFuture<'_, Result<(), BorderError>> {
        Box::pin(async move {
            let request = self.client.request(Method::GET, "/healthz", Bytes::new());
            self.client.send(request).await.map(drop)
        })
    }
}
