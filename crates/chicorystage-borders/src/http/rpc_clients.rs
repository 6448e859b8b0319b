use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chicorystage_api::peer::RPC_PATH;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

use crate::{BorderError, BorderErrorKind};

/// Largest number of cached clients; one process calls fewer other processes than this.
///
/// When the number is reached, all clients are dropped and created again on demand.
const CLIENTS_MAX: usize = 1_024;

/// Cache of JSON-RPC clients by address.
pub(crate) struct RpcClients {
    timeout_ms: u64,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
}

impl RpcClients {
    pub(crate) fn new(timeout_ms: u64) -> Self {
        Self {
            timeout_ms,
            clients: Mutex::new(HashMap::new()),
        }
    }

    pub(crate) fn client(&self, address: SocketAddr) -> Result<Arc<HttpClient>, BorderError> {
        let mut clients = self
            .clients
            .lock()
            .expect("no thread panics while it holds the lock");
        if let Some(client) = clients.get(&address) {
            return Ok(Arc::clone(client));
        }
        if clients.len() >= CLIENTS_MAX {
            clients.clear();
        }
        let client = HttpClientBuilder::default()
            .request_timeout(Duration::from_millis(self.timeout_ms))
            .build(format!("http://{address}{RPC_PATH}"))
            .map_err(|error| BorderError::new(BorderErrorKind::NotDelivered, error.to_string()))?;
        let client = Arc::new(client);
        clients.insert(address, Arc::clone(&client));
        Ok(client)
    }

    /// Converts a failed call's error; drops the client unless the server answered the call.
    ///
    /// Without an answer the client's pooled connection may be dead.
    pub(crate) fn convert_error(&self, address: SocketAddr, error: &ClientError) -> BorderError {
        if let ClientError::Call(refused) = error {
            return BorderError::new(BorderErrorKind::Rejected, format!("{address}: {refused}"));
        }
        self.clients
            .lock()
            .expect("no thread panics while it holds the lock")
            .remove(&address);
        BorderError::new(BorderErrorKind::Unknown, format!("{address}: {error}"))
    }
}

impl fmt::Debug for RpcClients {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RpcClients")
            .field("timeout_ms", &self.timeout_ms)
            .finish_non_exhaustive()
    }
}

/// Calls one method of the generated client for an address and converts its error.
macro_rules! call {
    ($clients:expr, $address:expr, $client:ident => $call:expr) => {
        Box::pin(async move {
            let $client = $clients.client($address)?;
            $call
                .await
                .map_err(|error| $clients.convert_error($address, &error))
        })
    };
}

pub(crate) use call;
