use std::net::SocketAddr;
use std::time::Duration;

use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::HttpClient;
use serde::{Deserialize, Serialize};

use crate::fakes::{FetchKind, WeightStore};

pub(super) const FETCH_PATH: &str = "/weights/v1/fetch";
/// Longest fetch, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 120_000;
/// Time until a failed fetch is tried again, in milliseconds.
const RETRY_MS: u64 = 500;

/// One fetch as asked of the platform's stand-in.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Fetch {
    pub(super) kind: FetchKind,
    pub(super) duration_ms: u64,
}

/// The weight store of the platform's stand-in.
#[derive(Debug)]
pub struct HttpWeightStore {
    client: HttpClient,
}

impl HttpWeightStore {
    /// Creates a client of the platform's stand-in.
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
            let fetch = Fetch { kind, duration_ms };
            let post = || {
                self.client
                    .post_json::<_, serde_json::Value>(FETCH_PATH, &fetch)
            };
            while post().await.is_err() {
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        })
    }
}
