use crate::router::inventory::snapshot_writer::SNAPSHOT_EVERY_REVISIONS;

/// Decides when this router writes the next snapshot.
#[derive(Debug, Default)]
pub(crate) struct SnapshotPlan {
    written_revision: u64,
    writing: bool,
}

impl SnapshotPlan {
    /// Returns whether enough revisions passed since the last snapshot and no write is running.
    pub(crate) fn is_due(&self, revision: u64) -> bool {
        let since = revision.saturating_sub(self.written_revision);
        !self.writing && since >= SNAPSHOT_EVERY_REVISIONS
    }

    pub(crate) fn started(&mut self) {
        self.writing = true;
    }

    /// Records the end of a write; a failed write (`None`) is retried at the next change.
    pub(crate) fn ended(&mut self, written_revision: Option<u64>) {
        self.writing = false;
        self.written_revision = self.written_revision.max(written_revision.unwrap_or(0));
    }
}
