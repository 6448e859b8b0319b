use std::net::SocketAddr;

/// Addresses that the daemon listens on: section `[listen]`.
#[derive(Clone, Debug)]
pub struct ListenSettings {
    /// Address for the system's own processes.
    pub internal: SocketAddr,
    /// Address for health checks and metrics.
    pub health: SocketAddr,
}
