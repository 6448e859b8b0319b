//! The graceful stop of a router.
//!
//! The balancer learns late that a router leaves, so readiness fails first and
//! the router serves on for a while. Then it accepts nothing more and finishes
//! what is in progress.

use std::time::Duration;

use chicorystage_borders::http::RunningServer;

use crate::router::handle::RouterHandle;
use crate::settings::RouterSettings;

/// Time between two looks at the requests in progress, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// Leaves: returns once nothing is in progress, or the longest stop has passed.
pub async fn leave(handle: &RouterHandle, callers: RunningServer, role: &RouterSettings) {
    handle.leave().await;
    tokio::time::sleep(Duration::from_millis(role.drain_lag_ms)).await;
    let finishing = async {
        callers.stop_gracefully().await;
        finished(handle).await;
    };
    let limit = Duration::from_millis(role.drain_max_ms);
    if tokio::time::timeout(limit, finishing).await.is_err() {
        log::warn!(event = "drain_cut", limit_ms = role.drain_max_ms; "requests in progress were cut off");
    }
}

/// Returns once no request is in progress.
///
/// Connections may be closed before that: a call that is not idempotent is
/// followed to its end though its caller has gone.
async fn finished(handle: &RouterHandle) {
    while let Some(status) = handle.status().await {
        if status.in_progress == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
