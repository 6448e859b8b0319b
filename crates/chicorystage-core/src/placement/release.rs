use chicorystage_api::name::VmId;

/// An agent's word that it holds no replica and will load none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// VM of the agent.
    pub vm: VmId,
    /// Newest row version that the word covers.
    pub row_version: u64,
}

impl Release {
    /// Returns whether the release covers a VM's slot in a row of a version.
    ///
    /// A release under an older row says nothing of a newer one: the slot may
    /// have been removed, granted again and used in between.
    #[must_use]
    pub fn covers(&self, vm: &VmId, row_version: u64) -> bool {
        self.vm == *vm && self.row_version >= row_version
    }
}
