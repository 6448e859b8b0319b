use std::net::SocketAddr;

use chicorystage_api::name::Digest;

/// Settings of a router: section `[router]`.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Address of the caller API.
    pub caller_api: SocketAddr,
    /// Address of the admin API.
    pub admin_api: SocketAddr,
    /// SHA-256 digest of the token that may declare the first operators.
    pub root_token_sha256: Digest,
    /// Longest age of the last confirmation of the inventory's head, in milliseconds.
    pub freshness_max_ms: u64,
    /// Time between failing readiness and refusing new connections on a stop, in milliseconds.
    pub drain_lag_ms: u64,
    /// Longest graceful stop, in milliseconds.
    pub drain_max_ms: u64,
    /// Requests that wait for an endpoint at once.
    pub waiting_max: u32,
    /// Bytes of request bodies held at once.
    pub body_bytes_held_max: u64,
}
