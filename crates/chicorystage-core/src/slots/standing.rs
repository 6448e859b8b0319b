/// What a VM may do with a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The slots have not been read from the table yet: serve on, load nothing.
    Unread,
    /// The VM holds a slot: load and unload freely.
    Held,
    /// The slot is being revoked: finish what runs, then unload.
    Revoking,
    /// The VM holds no slot: unload, load nothing.
    Absent,
}
