use std::net::SocketAddr;

use chicorystage_api::name::Digest;

/// Settings of a router: section `[router]`.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Address of the caller API.
    pub caller_api: SocketAddr,
    /// Address of the admin API.
    pub admin_api: SocketAddr,
    /// SHA-256 digest of the token that authorizes the declaration of the first operators.
    pub root_token_sha256: Digest,
    /// Largest age of the last confirmation of the inventory's head, in milliseconds.
    pub freshness_max_ms: u64,
    /// Delay in a graceful stop between the readiness check's failure and the refusal of new
    /// connections, in milliseconds.
    pub drain_lag_ms: u64,
    /// Longest duration of a graceful stop, in milliseconds.
    pub drain_max_ms: u64,
    /// Largest number of requests that wait for an endpoint.
    pub waiting_max: u32,
    /// Largest total size of buffered request bodies, in bytes.
    pub body_bytes_held_max: u64,
}
