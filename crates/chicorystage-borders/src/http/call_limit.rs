//! Time limits of calls and of the transfers of their responses.

use std::time::Duration;

use derive_more::Display;

use crate::http::TransferProgress;

/// Longest time in which a transfer gains less than [`PROGRESS_BYTES_MIN`], in milliseconds.
const PROGRESS_TIMEOUT_MS: u64 = 1_000;
/// Smallest progress of a transfer within [`PROGRESS_TIMEOUT_MS`], in bytes.
const PROGRESS_BYTES_MIN: u64 = 256;
/// Time for reading what has arrived when [`PROGRESS_TIMEOUT_MS`] is over, in milliseconds.
const READ_GRACE_MS: u64 = 100;

/// Time limit that a call has exceeded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum CallLimit {
    /// Limit of the call, or of the wait for the head of its response.
    #[display("time limit of {limit_ms} ms")]
    Whole { limit_ms: u64 },
    /// Limit of the time without progress.
    #[display("no progress for {PROGRESS_TIMEOUT_MS} ms")]
    Progress,
}

impl CallLimit {
    /// Returns the text of the error: the limit, and whether there was no answer or a part of one.
    pub(super) fn detail(self, action: &str, progress: &TransferProgress) -> String {
        if progress.has_head() {
            let bytes = progress.body_bytes();
            return format!("{action}: incomplete after {bytes} bytes of the body, {self}");
        }
        format!("{action}: no answer, {self}")
    }
}

/// Waits for a call, but not longer than `limit_ms`.
pub(super) async fn within<T>(
    limit_ms: u64,
    call: impl Future<Output = T>,
) -> Result<T, CallLimit> {
    let result = tokio::time::timeout(Duration::from_millis(limit_ms), call).await;
    result.map_err(|_elapsed| CallLimit::Whole { limit_ms })
}

/// Waits until a transfer makes no progress.
pub(super) async fn stall(progress: &TransferProgress) -> CallLimit {
    loop {
        let wanted_bytes = progress.body_bytes() + PROGRESS_BYTES_MIN;
        let arrived = within(PROGRESS_TIMEOUT_MS, progress.wait_for_body(wanted_bytes)).await;
        if arrived.is_ok() {
            continue;
        }
        // After a pause of the process its timers fire before the bytes that have come meanwhile
        // are read.
        let arrived = within(READ_GRACE_MS, progress.wait_for_body(wanted_bytes)).await;
        if arrived.is_err() {
            return CallLimit::Progress;
        }
    }
}
