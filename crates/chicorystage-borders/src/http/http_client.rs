use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::{InterimLimit, TransferProgress};
use crate::{BorderError, BorderErrorKind};

type Pool = Client<HttpConnector, Full<Bytes>>;

/// Time after which an idle pooled connection is closed, in milliseconds.
const POOL_IDLE_MS: u64 = 30_000;
/// Idle time before the first TCP keepalive probe and interval between probes, in milliseconds.
const KEEPALIVE_INTERVAL_MS: u64 = 1_000;
/// Number of unanswered TCP keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES_MAX: u32 = 2;
/// Longest time that sent bytes stay unacknowledged before the connection is closed, in
/// milliseconds.
const TCP_USER_TIMEOUT_MS: u64 = 2_000;
/// Largest response body that is accepted by default, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 << 20;

/// HTTP client of one address that pools its connections, for short calls.
pub struct HttpClient {
    address: SocketAddr,
    timeout_ms: u64,
    response_bytes_max: usize,
    pool: Mutex<Pool>,
}

impl HttpClient {
    /// Creates a client; `timeout_ms` bounds each call including its connection attempt.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            address,
            timeout_ms,
            response_bytes_max: RESPONSE_BYTES_MAX,
            pool: Mutex::new(new_pool(timeout_ms)),
        }
    }

    /// Accepts response bodies of at most `bytes_max` bytes; a longer one fails its call.
    #[must_use]
    pub fn with_response_bytes_max(mut self, bytes_max: usize) -> Self {
        self.response_bytes_max = bytes_max;
        self
    }

    /// Returns the address that the client calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns `NotDelivered` if no connection could be opened. Every other
    /// failure is `Unknown`, as the request may have taken effect. A call that
    /// times out also replaces the connection pool.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, BorderError> {
        self.send_noting_progress(request, &TransferProgress::default())
            .await
    }

    /// Sends a request as [`send`](Self::send) does, and records in `progress` how much of the
    /// response has arrived.
    ///
    /// # Errors
    ///
    /// Fails as [`send`](Self::send) does.
    pub async fn send_noting_progress(
        &self,
        request: Request<Full<Bytes>>,
        progress: &TransferProgress,
    ) -> Result<Response<Bytes>, BorderError> {
        let action = format!("{} {}", request.method(), request.uri());
        let exchange = self.exchange(request, &action, progress);
        let limit = Duration::from_millis(self.timeout_ms);
        let Ok(result) = tokio::time::timeout(limit, exchange).await else {
            *self.lock_pool() = new_pool(self.timeout_ms);
            let detail = timeout_detail(&action, self.timeout_ms, progress);
            return Err(BorderError::new(BorderErrorKind::Unknown, detail));
        };
        result
    }

    /// Sends a request and reads the whole response, without a time limit.
    async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
        action: &str,
        progress: &TransferProgress,
    ) -> Result<Response<Bytes>, BorderError> {
        let pool = self.lock_pool().clone();
        let interim = InterimLimit::default();
        interim.watch(&mut request);
        let response = tokio::select! {
            response = pool.request(request) => response,
            () = interim.exceeded() => {
                let detail = format!("{action}: too many interim responses");
                return Err(BorderError::new(BorderErrorKind::Unknown, detail));
            }
        };
        let response = response.map_err(|error| {
            let kind = if error.is_connect() {
                BorderErrorKind::NotDelivered
            } else {
                BorderErrorKind::Unknown
            };
            BorderError::new(kind, format!("{action}: {error}"))
        })?;
        progress.record_head();
        let (parts, body) = response.into_parts();
        let body = self.read_body(body, progress).await.map_err(|error| {
            BorderError::new(BorderErrorKind::Unknown, format!("{action}: {error}"))
        })?;
        Ok(Response::from_parts(parts, body))
    }

    /// Reads a body of limited length whole.
    async fn read_body(
        &self,
        body: Incoming,
        progress: &TransferProgress,
    ) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>> {
        let mut body = Limited::new(body, self.response_bytes_max);
        let mut read = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            progress.record_body(data.len());
            read.extend_from_slice(&data);
        }
        Ok(read.freeze())
    }

    /// Gets a JSON document; returns `None` on status 404.
    ///
    /// # Errors
    ///
    /// Fails as [`send`](Self::send) does. A server error (5xx) or a malformed
    /// document is `Unknown`; any other status than success or 404 is `Rejected`.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Option<T>, BorderError> {
        let response = self
            .send(self.request(Method::GET, path, Bytes::new()))
            .await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(path, &response).map(Some)
    }

    /// Posts a JSON document and returns the JSON response.
    ///
    /// # Errors
    ///
    /// Fails as [`send`](Self::send) does. A server error (5xx) or a malformed
    /// response is `Unknown`; any other status than success is `Rejected`.
    pub async fn post_json<B: Serialize + Sync, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, BorderError> {
        let body = encode(path, body)?;
        let response = self.send(self.request(Method::POST, path, body)).await?;
        decode(path, &response)
    }

    /// Builds a request to the client's address.
    ///
    /// # Panics
    ///
    /// Panics if `path` is not a valid path and query.
    #[must_use]
    pub fn request(&self, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .expect("an address and an encoded path form a URI")
    }

    fn lock_pool(&self) -> std::sync::MutexGuard<'_, Pool> {
        self.pool
            .lock()
            .expect("no thread panics while it holds the pool's lock")
    }
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpClient")
            .field("address", &self.address)
            .field("timeout_ms", &self.timeout_ms)
            .finish_non_exhaustive()
    }
}

fn new_pool(timeout_ms: u64) -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(Duration::from_millis(timeout_ms)));
    connector.set_nodelay(true);
    // A connection whose state the network dropped sends no error; only
    // unanswered probes reveal it.
    connector.set_keepalive(Some(Duration::from_millis(KEEPALIVE_INTERVAL_MS)));
    connector.set_keepalive_interval(Some(Duration::from_millis(KEEPALIVE_INTERVAL_MS)));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES_MAX));
    connector.set_tcp_user_timeout(Some(Duration::from_millis(TCP_USER_TIMEOUT_MS)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_millis(POOL_IDLE_MS))
        .build(connector)
}

fn timeout_detail(action: &str, timeout_ms: u64, progress: &TransferProgress) -> String {
    if progress.has_head() {
        let bytes = progress.body_bytes();
        return format!("{action}: {bytes} bytes of the body within {timeout_ms} ms");
    }
    format!("{action}: no answer within {timeout_ms} ms")
}

fn encode<B: Serialize>(path: &str, body: &B) -> Result<Bytes, BorderError> {
    let bytes = serde_json::to_vec(body).map_err(|error| {
        BorderError::new(BorderErrorKind::NotDelivered, format!("{path}: {error}"))
    })?;
    Ok(Bytes::from(bytes))
}

fn decode<T: DeserializeOwned>(path: &str, response: &Response<Bytes>) -> Result<T, BorderError> {
    let status = response.status();
    if status.is_server_error() {
        let detail = format!("{path}: status {status}");
        return Err(BorderError::new(BorderErrorKind::Unknown, detail));
    }
    if !status.is_success() {
        let detail = format!(
            "{path}: status {status}: {}",
            String::from_utf8_lossy(response.body())
        );
        return Err(BorderError::new(BorderErrorKind::Rejected, detail));
    }
    serde_json::from_slice(response.body())
        .map_err(|error| BorderError::new(BorderErrorKind::Unknown, format!("{path}: {error}")))
}
