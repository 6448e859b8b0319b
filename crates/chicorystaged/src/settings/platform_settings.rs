use std::net::SocketAddr;

/// The platform's interfaces: section `[platform]`.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address of the table.
    pub table: SocketAddr,
    /// Address of the object store.
    pub object_store: SocketAddr,
    /// Address of the list of VMs.
    pub vm_list: SocketAddr,
    /// Longest time of one call, in milliseconds.
    pub timeout_ms: u64,
}
