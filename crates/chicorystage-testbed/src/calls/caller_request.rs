use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderName};
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use serde_json::json;

/// An HTTP request of a caller or an operator.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path, with the query where there is one.
    pub path: String,
    /// Bearer token of the caller or operator.
    pub token: String,
    /// Idempotency key; absent unless the caller sends one.
    pub key: Option<String>,
    /// Timeout that the caller sends with the request, in milliseconds; absent
    /// where the router's default applies.
    pub timeout_ms: Option<u64>,
    /// Priority class that the caller requests; absent for the caller's own class.
    pub class: Option<String>,
    /// Request body.
    pub body: String,
}

impl CallerRequest {
    /// Creates a request without the optional headers.
    #[must_use]
    pub fn new(method: Method, path: &str, token: &str, body: impl Into<String>) -> Self {
        Self {
            method,
            path: path.to_owned(),
            token: token.to_owned(),
            key: None,
            timeout_ms: None,
            class: None,
            body: body.into(),
        }
    }

    /// Creates a completion request that is answered as one JSON document.
    #[must_use]
    pub fn completion(token: &str, model: &str, prompt: &str, max_tokens: u32) -> Self {
        let body = json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens });
        Self::new(Method::POST, "/v1/completions", token, body.to_string())
    }

    /// Creates a completion request that is answered as server-sent events.
    #[must_use]
    pub fn streamed(token: &str, model: &str, prompt: &str, max_tokens: u32) -> Self {
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true });
        Self::new(Method::POST, "/v1/completions", token, body.to_string())
    }

    /// Sends an idempotency key with the request.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sends a timeout with the request, in milliseconds.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = Some(timeout_ms);
        self
    }

    /// Requests a priority class.
    #[must_use]
    pub fn class(mut self, class: &str) -> Self {
        self.class = Some(class.to_owned());
        self
    }

    /// Returns the HTTP request, with its headers.
    ///
    /// # Errors
    ///
    /// Fails where a field contains characters that HTTP does not allow there.
    pub fn to_http(&self) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(http::header::HOST, "localhost")
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(self.body.clone())))?;
        let timeout_ms = self.timeout_ms.map(|timeout_ms| timeout_ms.to_string());
        let headers = [
            ("idempotency-key", self.key.clone()),
            ("x-request-timeout-ms", timeout_ms),
            ("x-request-class", self.class.clone()),
        ];
        for (name, value) in headers {
            let Some(value) = value else { continue };
            let value = HeaderValue::from_str(&value)?;
            request
                .headers_mut()
                .insert(HeaderName::from_static(name), value);
        }
        Ok(request)
    }
}
