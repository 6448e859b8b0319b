use chicorystage_api::name::{GroupName, VmId, ZoneName};

/// Identity of the daemon's VM: section `[daemon]`.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Identity of the VM in the platform's list.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Group of the VM: that of the routers, or one fleet of endpoints.
    pub group: GroupName,
}
