use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::engine::{
    CacheEvent, CompletionStart, Engine, EngineStatus, EngineStream, LoadReport, Order,
};
use crate::http::body::body_text;
use crate::http::http_table::percent_encode;
use crate::http::stream_client::send_on_new_connection;
use crate::http::{HttpClient, JsonLines};
use crate::{BorderError, BorderErrorKind, BoxFuture};

/// Largest reply to a short call, in bytes.
const REPLY_BYTES_MAX: usize = 4 << 20;
/// Longest event of a stream, in bytes.
const EVENT_BYTES_MAX: usize = 256 << 10;
/// Number of stream events buffered ahead of the receiver.
const STREAM_EVENTS_BUFFERED: usize = 64;

/// Client of a model engine over HTTP and JSON.
#[derive(Debug)]
pub struct HttpEngine {
    client: HttpClient,
    order_timeout_ms: u64,
}

impl HttpEngine {
    /// Creates a client of the engine at `address`.
    ///
    /// `timeout_ms` bounds short calls; `order_timeout_ms` bounds the wait for
    /// the response head of orders and streams.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: u64, order_timeout_ms: u64) -> Self {
        Self {
            client: HttpClient::new(address, timeout_ms).with_response_bytes_max(REPLY_BYTES_MAX),
            order_timeout_ms,
        }
    }

    async fn open_stream(
        &self,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<EngineStream, BorderError> {
        let response = send_on_new_connection(self.client.address(), request, timeout_ms).await?;
        let status = response.status();
        if status != StatusCode::OK {
            let detail = format!("engine stream: status {status}");
            return Err(BorderError::new(BorderErrorKind::Rejected, detail));
        }
        let (sender, receiver) = mpsc::channel(STREAM_EVENTS_BUFFERED);
        let mut lines = JsonLines::new(response.into_body(), EVENT_BYTES_MAX);
        tokio::spawn(async move {
            while let Ok(Some(event)) = lines.next().await {
                if sender.send(event).await.is_err() {
                    return;
                }
            }
        });
        Ok(receiver)
    }

    async fn post<B: Serialize + Sync>(&self, path: &str, body: &B) -> Result<(), BorderError> {
        self.client
            .post_json::<B, serde_json::Value>(path, body)
            .await
            .map(drop)
    }

    async fn read<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, BorderError> {
        let found = self.client.get_json(path).await?;
        found.ok_or_else(|| {
            BorderError::new(BorderErrorKind::Rejected, format!("{path}: not found"))
        })
    }
}

impl Engine for HttpEngine {
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, BorderError>> {
        Box::pin(self.read("/engine/v1/status"))
    }

    fn order(&self, order: Order) -> BoxFuture<'_, Result<(), BorderError>> {
        Box::pin(async move {
            let body = json(&order);
            let request = self.client.request(Method::POST, "/engine/v1/orders", body);
            let response =
                send_on_new_connection(self.client.address(), request, self.order_timeout_ms)
                    .await?;
            let status = response.status();
            if status.is_success() {
                return Ok(());
            }
            let text = body_text(response.into_body()).await;
            let detail = format!("order: status {status}: {text}");
            let kind = if status.is_client_error() {
                BorderErrorKind::Rejected
            } else {
                BorderErrorKind::Unknown
            };
            Err(BorderError::new(kind, detail))
        })
    }

    fn start(&self, start: CompletionStart) -> BoxFuture<'_, Result<EngineStream, BorderError>> {
        Box::pin(async move {
            let request = self
                .client
                .request(Method::POST, "/engine/v1/streams", json(&start));
            self.open_stream(request, self.order_timeout_ms).await
        })
    }

    fn resume<'a>(
        &'a self,
        stream_id: &'a str,
        offset_tokens: u64,
    ) -> BoxFuture<'a, Result<EngineStream, BorderError>> {
        Box::pin(async move {
            let path = format!(
                "/engine/v1/streams/{}?offset={offset_tokens}",
                percent_encode(stream_id)
            );
            let request = self.client.request(Method::GET, &path, Bytes::new());
            self.open_stream(request, self.order_timeout_ms).await
        })
    }

    fn cancel<'a>(&'a self, stream_id: &'a str) -> BoxFuture<'a, Result<(), BorderError>> {
        Box::pin(async move {
            let path = format!("/engine/v1/streams/{}/cancel", percent_encode(stream_id));
            self.post(&path, &()).await
        })
    }

    fn load_report(&self) -> BoxFuture<'_, Result<LoadReport, BorderError>> {
        Box::pin(self.read("/engine/v1/load"))
    }

    fn cache_events(
        &self,
        after_sequence: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, BorderError>> {
        Box::pin(async move {
            self.read(&format!("/engine/v1/events?after={after_sequence}"))
                .await
        })
    }
}

fn json<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).expect("message types serialise to JSON"))
}
