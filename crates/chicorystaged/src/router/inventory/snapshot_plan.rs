use crate::router::inventory::snapshot_writer::SNAPSHOT_EVERY_REVISIONS;

/// When this router writes the next snapshot.
#[derive(Debug, Default)]
pub(crate) struct SnapshotPlan {
    written_revision: u64,
    writing: bool,
}

impl SnapshotPlan {
    /// Returns whether enough has changed since the last snapshot.
    pub(crate) fn is_due(&self, revision: u64) -> bool {
        let since = revision.saturating_sub(self.written_revision);
        !self.writing && since >= SNAPSHOT_EVERY_REVISIONS
    }

    pub(crate) fn started(&mut self) {
        self.writing = true;
    }

    /// Notes the end of a write; one that failed is tried again at the next change.
    pub(crate) fn ended(&mut self, written_revision: Option<u64>) {
        self.writing = false;
        self.written_revision = self.written_revision.max(written_revision.unwrap_or(0));
    }
}
