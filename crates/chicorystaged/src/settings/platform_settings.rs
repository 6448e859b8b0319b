use std::net::SocketAddr;

/// Addresses of the platform's services: section `[platform]`.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address of the transactional table.
    pub table: SocketAddr,
    /// Address of the object store.
    pub object_store: SocketAddr,
    /// Address of the list of VMs.
    pub vm_list: SocketAddr,
    /// Longest duration of one call to the platform, in milliseconds.
    pub timeout_ms: u64,
}
