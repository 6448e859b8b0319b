use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderName};
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use serde_json::json;

/// One request of a caller or an operator.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Bearer token.
    pub token: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Time that the caller gives the request, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Class that the caller asks for.
    pub class: Option<String>,
    /// Body.
    pub body: String,
}

impl CallerRequest {
    /// Creates a request with a body.
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

    /// Creates a completion.
    #[must_use]
    pub fn completion(token: &str, model: &str, prompt: &str, max_tokens: u32) -> Self {
        let body = json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens });
        Self::new(Method::POST, "/v1/completions", token, body.to_string())
    }

    /// Creates a completion that is answered as server-sent events.
    #[must_use]
    pub fn streamed(token: &str, model: &str, prompt: &str, max_tokens: u32) -> Self {
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true });
        Self::new(Method::POST, "/v1/completions", token, body.to_string())
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets the time that the caller gives the request.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = Some(timeout_ms);
        self
    }

    /// Sets the class.
    #[must_use]
    pub fn class(mut self, class: &str) -> Self {
        self.class = Some(class.to_owned());
        self
    }

    /// Returns the request as HTTP.
    ///
    /// # Errors
    ///
    /// Fails where a field holds what HTTP does not allow there.
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
