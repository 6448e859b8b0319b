use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::header::{ETAG, IF_NONE_MATCH};
use http::{HeaderValue, Method, Response, StatusCode};

use crate::http::HttpClient;
use crate::vm_list::{VmEntry, VmList};
use crate::{BorderError, BorderErrorKind, BoxFuture};

const LIST_PATH: &str = "/vms/v1/list";

/// Client of the platform's list of VMs over HTTP and JSON.
///
/// Reads are conditional: a platform that sends an entity tag with the list
/// sends the list again only after it has changed. With thousands of VMs and
/// about one change a minute, this keeps one read a second cheap.
#[derive(Debug)]
pub struct HttpVmList {
    client: HttpClient,
    cached: Mutex<Option<Arc<TaggedList>>>,
}

/// The last list read, with the entity tag that the platform sent for it.
#[derive(Debug)]
struct TaggedList {
    tag: HeaderValue,
    vms: Vec<VmEntry>,
}

impl HttpVmList {
    /// Creates a client; `timeout_ms` bounds each read.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            client: HttpClient::new(address, timeout_ms),
            cached: Mutex::new(None),
        }
    }

    fn cached(&self) -> Option<Arc<TaggedList>> {
        let cached = self
            .cached
            .lock()
            .expect("no thread panics while it holds the lock");
        cached.clone()
    }

    async fn read_list(&self) -> Result<Vec<VmEntry>, BorderError> {
        let cached = self.cached();
        let mut request = self.client.request(Method::GET, LIST_PATH, Bytes::new());
        if let Some(cached) = &cached {
            request
                .headers_mut()
                .insert(IF_NONE_MATCH, cached.tag.clone());
        }
        let response = self.client.send(request).await?;
        match (response.status(), cached) {
            (StatusCode::NOT_MODIFIED, Some(cached)) => Ok(cached.vms.clone()),
            (StatusCode::OK, _) => self.cache_response(&response),
            (status, _) => {
                let detail = format!("{LIST_PATH}: status {status}");
                Err(BorderError::new(BorderErrorKind::Unknown, detail))
            }
        }
    }

    fn cache_response(&self, response: &Response<Bytes>) -> Result<Vec<VmEntry>, BorderError> {
        let vms: Vec<VmEntry> = serde_json::from_slice(response.body()).map_err(|error| {
            let detail = format!("{LIST_PATH}: {error}");
            BorderError::new(BorderErrorKind::Unknown, detail)
        })?;
        let tag = response.headers().get(ETAG).cloned();
        let tagged = tag.map(|tag| {
            let vms = vms.clone();
            Arc::new(TaggedList { tag, vms })
        });
        *self
            .cached
            .lock()
            .expect("no thread panics while it holds the lock") = tagged;
        Ok(vms)
    }
}

impl VmList for HttpVmList {
    fn read(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, BorderError>> {
        Box::pin(self.read_list())
    }
}
