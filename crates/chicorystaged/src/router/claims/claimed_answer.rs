use std::sync::Arc;

use chicorystage_api::peer::{ClaimOutcome, ClaimRow};

use crate::router::claims::{ClaimWrite, ClaimWriter};

/// The answer of a claimed call, or what is recorded of it.
#[derive(Debug)]
pub enum ClaimedAnswer<O> {
    /// An attempt answers; its outcome is to be recorded when it is whole.
    Opened {
        /// The attempt's answer.
        opened: O,
        /// Takes the outcome.
        recorder: OutcomeRecorder,
    },
    /// The recorded answer of an earlier call with the same key.
    Recorded(ClaimOutcome),
}

/// Records what became of a claim.
#[derive(Debug)]
pub struct OutcomeRecorder {
    pub(super) writer: ClaimWriter,
    pub(super) row_key: Arc<str>,
    pub(super) row_version: u64,
    pub(super) row: ClaimRow,
}

impl OutcomeRecorder {
    /// Replaces the open claim by its outcome, in the background.
    ///
    /// Losing the write loses nothing but time: the agent still knows, and
    /// where it is gone the claim reads as one that may have run.
    pub async fn record(self, outcome: ClaimOutcome) {
        let write = ClaimWrite {
            row_key: self.row_key,
            expected_version: Some(self.row_version),
            row: ClaimRow {
                outcome,
                ..self.row
            },
        };
        self.writer.write_later(write).await;
    }
}
