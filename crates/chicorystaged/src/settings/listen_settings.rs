use std::net::SocketAddr;

/// Addresses that the daemon listens on: section `[listen]`.
#[derive(Clone, Debug)]
pub struct ListenSettings {
    /// Address for calls from the system's other processes.
    pub internal: SocketAddr,
    /// Address for health checks and metrics.
    pub health: SocketAddr,
}
