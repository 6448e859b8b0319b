//! The end of a graceful stop.

use std::time::Duration;

use crate::router::handle::RouterHandle;

/// Time between two looks at the requests in progress, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// Returns once no request is in progress.
///
/// Connections may be closed before that: a call that is not idempotent is
/// followed to its end though its caller has gone.
pub(crate) async fn finished(handle: &RouterHandle) {
    while let Some(status) = handle.status().await {
        if status.in_progress == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
