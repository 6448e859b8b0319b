use std::sync::Arc;

use chicorystage_api::peer::{ClaimOutcome, ClaimRow};

use crate::router::claims::{ClaimWrite, ClaimWriter};

/// The answer of a claimed call: a running attempt, or a recorded outcome.
#[derive(Debug)]
pub enum ClaimedAnswer<O> {
    /// An attempt has begun to answer; record its outcome once the answer is complete.
    Opened {
        /// The attempt's answer, from its first content frame.
        opened: O,
        /// Writes the outcome into the claim row.
        recorder: OutcomeRecorder,
    },
    /// The recorded answer of an earlier call with the same key.
    Recorded(ClaimOutcome),
}

/// Writes the outcome of an open claim into its row.
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
    /// A lost write is safe and only costs time: a resend finds the open claim
    /// and queries the agent. If the agent is gone by then, the call is
    /// reported as one that may have run.
    pub async fn record(self, outcome: ClaimOutcome) {
        let write = ClaimWrite {
            row_key: self.row_key,
            expected_version: Some(self.row_version),
            row: ClaimRow {
                outcome,
                ..self.row
            },
        };
        self.writer.write_in_background(write).await;
    }
}
