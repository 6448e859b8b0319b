use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};

use crate::http::http_table::percent_encode;
use crate::http::{HttpClient, TransferProgress};
use crate::object_store::ObjectStore;
use crate::{BorderError, BorderErrorKind, BoxFuture};

/// Client of the platform's object store over HTTP.
#[derive(Debug)]
pub struct HttpObjectStore {
    client: HttpClient,
}

impl HttpObjectStore {
    /// Creates a client; `timeout_ms` bounds each call but the transfer of an object that is read.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            client: HttpClient::new(address, timeout_ms),
        }
    }
}

impl ObjectStore for HttpObjectStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, BorderError>> {
        Box::pin(async move {
            let path = object_path(key);
            let request = self.client.request(Method::GET, &path, Bytes::new());
            let response = self
                .client
                .transfer(request, &TransferProgress::default())
                .await?;
            match response.status() {
                StatusCode::OK => Ok(Some(response.into_body())),
                StatusCode::NOT_FOUND => Ok(None),
                status => Err(BorderError::new(
                    BorderErrorKind::Unknown,
                    format!("{path}: status {status}"),
                )),
            }
        })
    }

    fn put<'a>(&'a self, key: &'a str, content: Bytes) -> BoxFuture<'a, Result<(), BorderError>> {
        Box::pin(async move {
            let path = object_path(key);
            let response = self
                .client
                .send(self.client.request(Method::PUT, &path, content))
                .await?;
            if response.status().is_success() {
                return Ok(());
            }
            let detail = format!("{path}: status {}", response.status());
            Err(BorderError::new(BorderErrorKind::Unknown, detail))
        })
    }
}

fn object_path(key: &str) -> String {
    format!("/objects/v1/{}", percent_encode(key))
}
