use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::call_limit::{CallLimit, stall, within};
use crate::http::{InterimLimit, TransferProgress};
use crate::{BorderError, BorderErrorKind};

type BodyError = Box<dyn std::error::Error + Send + Sync>;
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
        let action = format!("{} {}", request.method(), request.uri());
        let progress = TransferProgress::default();
        let exchange = async {
            let (parts, body) = self.head(request, &action, &progress).await?;
            let body = self.read_body(body, &progress).await;
            let body = body.map_err(|error| unknown(&action, &error))?;
            Ok(Response::from_parts(parts, body))
        };
        let result = within(self.timeout_ms, exchange).await;
        self.unless_late(result, &action, &progress)?
    }

    /// Sends a request and reads a response whose size is not known beforehand.
    ///
    /// The client's time limit ends with the head of the response. The body may take as long as it
    /// makes progress: at least 256 bytes, or its end, within each second. A limit on the whole
    /// transfer would fail each call that a slow link needs longer for, and the next call would begin
    /// from the start. What has arrived is recorded in `progress`.
    ///
    /// # Errors
    ///
    /// Fails as [`send`](Self::send) does.
    pub async fn transfer(
        &self,
        request: Request<Full<Bytes>>,
        progress: &TransferProgress,
    ) -> Result<Response<Bytes>, BorderError> {
        let action = format!("{} {}", request.method(), request.uri());
        let head = self.head(request, &action, progress);
        let head = within(self.timeout_ms, head).await;
        let (parts, body) = self.unless_late(head, &action, progress)??;
        let body = tokio::select! {
            biased;
            body = self.read_body(body, progress) => Ok(body),
            limit = stall(progress) => Err(limit),
        };
        let body = self.unless_late(body, &action, progress)?;
        let body = body.map_err(|error| unknown(&action, &error))?;
        Ok(Response::from_parts(parts, body))
    }

    /// Returns the result of a call, or the error of one that took too long, which also replaces
    /// the connection pool.
    fn unless_late<T>(
        &self,
        result: Result<T, CallLimit>,
        action: &str,
        progress: &TransferProgress,
    ) -> Result<T, BorderError> {
        result.map_err(|limit| {
            *self.lock_pool() = new_pool(self.timeout_ms);
            let detail = limit.detail(action, progress);
            BorderError::new(BorderErrorKind::Unknown, detail)
        })
    }

    /// Sends a request and waits for the head of its response.
    async fn head(
        &self,
        mut request: Request<Full<Bytes>>,
        action: &str,
        progress: &TransferProgress,
    ) -> Result<(response::Parts, Incoming), BorderError> {
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
        Ok(response.into_parts())
    }

    /// Reads a body of limited length whole.
    async fn read_body(
        &self,
        body: Incoming,
        progress: &TransferProgress,
    ) -> Result<Bytes, BodyError> {
        let stated_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        let mut read = BytesMut::with_capacity(stated_bytes.min(self.response_bytes_max));
        let mut body = Limited::new(body, self.response_bytes_max);
        while let Some(data) = next_data(&mut body).await? {
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
        let request = self.request(Method::GET, path, Bytes::new());
        decode_found(path, &self.send(request).await?)
    }

    /// Gets a JSON document whose size is not known beforehand; returns `None` on status 404.
    ///
    /// # Errors
    ///
    /// Fails as [`transfer`](Self::transfer) does, and for the reasons of
    /// [`get_json`](Self::get_json).
    pub async fn transfer_json<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Option<T>, BorderError> {
        let request = self.request(Method::GET, path, Bytes::new());
        let progress = TransferProgress::default();
        decode_found(path, &self.transfer(request, &progress).await?)
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

/// Returns the next data of a body; `None` at its end.
async fn next_data(body: &mut Limited<Incoming>) -> Result<Option<Bytes>, BodyError> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

fn unknown(action: &str, error: &BodyError) -> BorderError {
    BorderError::new(BorderErrorKind::Unknown, format!("{action}: {error}"))
}

fn encode<B: Serialize>(path: &str, body: &B) -> Result<Bytes, BorderError> {
    let bytes = serde_json::to_vec(body).map_err(|error| {
        BorderError::new(BorderErrorKind::NotDelivered, format!("{path}: {error}"))
    })?;
    Ok(Bytes::from(bytes))
}

fn decode_found<T: DeserializeOwned>(
    path: &str,
    response: &Response<Bytes>,
) -> Result<Option<T>, BorderError> {
    if response.status() == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    decode(path, response).map(Some)
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
