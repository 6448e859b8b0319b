/// Status of a VM's slot for a model, which determines what its agent may load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotStatus {
    /// The table has not been read yet: loaded replicas keep serving, nothing may be loaded.
    Unread,
    /// The VM holds a slot: its agent may load and unload the model.
    Held,
    /// The slot is being revoked: running attempts finish, then the replica is unloaded.
    Revoking,
    /// The VM holds no slot: the replica is unloaded, nothing may be loaded.
    Absent,
}
