use chicorystage_api::name::VmId;

/// An agent's confirmation that its VM has no replica of the model and will load none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// VM of the agent.
    pub vm: VmId,
    /// Newest row version to which the confirmation applies.
    pub row_version: u64,
}

impl Release {
    /// Returns whether the release applies to a VM's slot in a row of the given version.
    ///
    /// A release under an older row does not apply to a newer one: in between, the slot may have
    /// been removed, granted again and used.
    #[must_use]
    pub fn covers(&self, vm: &VmId, row_version: u64) -> bool {
        self.vm == *vm && self.row_version >= row_version
    }
}
