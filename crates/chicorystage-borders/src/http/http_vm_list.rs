use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::header::{ETAG, IF_NONE_MATCH};
use http::{HeaderValue, Method, Response, StatusCode};

use crate::http::HttpClient;
use crate::vm_list::{VmEntry, VmList};
use crate::{BorderError, BorderErrorKind, BoxFuture};

const LIST_PATH: &str = "/vms/v1/list";

/// The platform's list of VMs over HTTP and JSON.
///
/// Reads are conditional: a platform that gives the list an entity tag sends
/// it again only after it has changed. With thousands of VMs and a change every
/// minute or so, that is what keeps a read each second affordable.
#[derive(Debug)]
pub struct HttpVmList {
    client: HttpClient,
    last: Mutex<Option<Arc<TaggedList>>>,
}

/// A list as it was read, with the platform's tag for it.
#[derive(Debug)]
struct TaggedList {
    tag: HeaderValue,
    vms: Vec<VmEntry>,
}

impl HttpVmList {
    /// Creates a client whose calls fail after `timeout_ms`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            client: HttpClient::new(address, timeout_ms),
            last: Mutex::new(None),
        }
    }

    fn last(&self) -> Option<Arc<TaggedList>> {
        let last = self.last.lock().expect("no holder of the lock panics");
        last.clone()
    }

    async fn read_list(&self) -> Result<Vec<VmEntry>, BorderError> {
        let last = self.last();
        let mut request = self.client.request(Method::GET, LIST_PATH, Bytes::new());
        if let Some(last) = &last {
            request
                .headers_mut()
                .insert(IF_NONE_MATCH, last.tag.clone());
        }
        let response = self.client.send(request).await?;
        match (response.status(), last) {
            (StatusCode::NOT_MODIFIED, Some(last)) => Ok(last.vms.clone()),
            (StatusCode::OK, _) => self.keep(&response),
            (status, _) => {
                let detail = format!("{LIST_PATH}: status {status}");
                Err(BorderError::new(BorderErrorKind::Unknown, detail))
            }
        }
    }

    fn keep(&self, response: &Response<Bytes>) -> Result<Vec<VmEntry>, BorderError> {
        let vms: Vec<VmEntry> = serde_json::from_slice(response.body()).map_err(|error| {
            let detail = format!("{LIST_PATH}: {error}");
            BorderError::new(BorderErrorKind::Unknown, detail)
        })?;
        let tag = response.headers().get(ETAG).cloned();
        let tagged = tag.map(|tag| {
            let vms = vms.clone();
            Arc::new(TaggedList { tag, vms })
        });
        *self.last.lock().expect("no holder of the lock panics") = tagged;
        Ok(vms)
    }
}

impl VmList for HttpVmList {
    fn read(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, BorderError>> {
        Box::pin(self.read_list())
    }
}
