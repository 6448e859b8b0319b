use std::net::SocketAddr;
use std::time::Duration;

use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::HttpClient;
use serde::{Deserialize, Serialize};

use crate::fakes::{FetchKind, WeightStore};

pub(super) const FETCH_PATH: &str = "/weights/v1/fetch";
/// Timeout of one fetch, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 120_000;
/// Delay before a failed fetch is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 500;

/// Request body of one fetch; `duration_ms` is its duration at full speed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct FetchRequest {
    pub(super) kind: FetchKind,
    pub(super) duration_ms: u64,
}

/// HTTP client of the emulated platform's weight store; retries until a fetch succeeds.
#[derive(Debug)]
pub struct HttpWeightStore {
    client: HttpClient,
}

impl HttpWeightStore {
    /// Creates a client of the emulated platform at an address.
    #[must_use]
    pub fn new(platform: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(platform, FETCH_TIMEOUT_MS),
        }
    }
}

impl WeightStore for HttpWeightStore {
    fn fetch(&self, kind: FetchKind, duration_ms: u64) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let fetch = FetchRequest { kind, duration_ms };
            let post = || {
                self.client
                    .post_json::<_, serde_json::Value>(FETCH_PATH, &fetch)
            };
            while post().await.is_err() {
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        })
    }
}
