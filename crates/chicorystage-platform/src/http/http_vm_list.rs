use std::net::SocketAddr;

use crate::http::HttpClient;
use crate::vm_list::{VmEntry, VmList};
use crate::{BorderError, BorderErrorKind, BoxFuture};

/// The platform's list of VMs over HTTP and JSON.
#[derive(Debug)]
pub struct HttpVmList {
    client: HttpClient,
}

impl HttpVmList {
    /// Creates a client whose calls fail after `timeout_ms`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            client: HttpClient::new(address, timeout_ms),
        }
    }
}

impl VmList for HttpVmList {
    fn read(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, BorderError>> {
        Box::pin(async move {
            let list = self.client.get_json("/vms/v1/list").await?;
            list.ok_or_else(|| {
                BorderError::new(BorderErrorKind::Rejected, "the platform offers no VM list")
            })
        })
    }
}
